// Command routerctl is the operators' tool: it renders settings, checks contracts, queries running routers, evaluates
// logs, and runs experiments with routers on this machine.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"lotushook/internal/experiment"
)

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "routerctl:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	returnUsageError := func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	out := &cli.StringFlag{Name: "out", Usage: "folder for results (default: a new one under found/)"}
	seed := &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all random choices"}
	seeds := &cli.Uint64Flag{Name: "seeds", Value: 1, Usage: "number of seeds that a soak runs, starting at --seed"}
	router := &cli.StringFlag{Name: "router", Usage: "path of the router's program (default: router in this program's folder)"}
	return &cli.Command{
		Name:         "routerctl",
		Usage:        "render settings and run experiments for lotushook routers",
		OnUsageError: returnUsageError,
		Action: func(_ context.Context, c *cli.Command) error {
			return fmt.Errorf("no such command %q; see routerctl help", c.Args().First())
		},
		Commands: []*cli.Command{
			{Name: "render", Usage: "render Jsonnet files to the JSON beside them", ArgsUsage: "FILE.jsonnet...", OnUsageError: returnUsageError, Action: renderAll,
				Flags: []cli.Flag{&cli.BoolFlag{Name: "check", Usage: "write nothing; fail if the JSON differs"}}},
			{Name: "contracts", Usage: "check or show the teams' contracts in a settings file", OnUsageError: returnUsageError, Commands: []*cli.Command{
				{Name: "check", Usage: "check that the fleet has the capacity that the contracts promise; fail if there are findings", ArgsUsage: "FILE", OnUsageError: returnUsageError, Action: checkContracts},
				{Name: "show", Usage: "print each team's contract", ArgsUsage: "FILE", OnUsageError: returnUsageError, Action: showContracts},
			}},
			{Name: "accounts", Usage: "print what teams requested from a router and got", ArgsUsage: "SOCKET", OnUsageError: returnUsageError, Action: showAccounts,
				Flags: []cli.Flag{&cli.BoolFlag{Name: "metrics", Usage: "in the Prometheus text format"}}},
			{Name: "members", Usage: "print a router's view of the other routers", ArgsUsage: "SOCKET", OnUsageError: returnUsageError, Action: showMembers},
			{Name: "fleet", Usage: "report on all routers, or trace one request, from the logs of many routers", ArgsUsage: "DIR", OnUsageError: returnUsageError, Action: showFleet,
				Flags: []cli.Flag{&cli.DurationFlag{Name: "span", Value: 10 * time.Second, Usage: "length of one row of the table over time"},
					&cli.StringFlag{Name: "request", Usage: "print only the requests with this `ID` or key"}}},
			{Name: "lab", Usage: "run and compare experiments on this machine", OnUsageError: returnUsageError, Commands: []*cli.Command{
				{Name: "run", Usage: "run an experiment; fail unless all its checks hold", ArgsUsage: "FILE.jsonnet", OnUsageError: returnUsageError,
					Flags: []cli.Flag{seed, seeds, out, router}, Action: func(ctx context.Context, c *cli.Command) error {
						if c.Args().Len() != 1 {
							return errors.New("lab run takes one experiment file")
						}
						text, err := render(c.Args().First())
						if err != nil {
							return err
						}
						return runExperiment(ctx, c, []byte(text))
					}},
				{Name: "report", Usage: "compare runs of one experiment", ArgsUsage: "DIR...", OnUsageError: returnUsageError, Action: report,
					Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "folder for tables and charts (default: tables on standard output)"}}},
				{Name: "demo", Usage: "run three routers in front of a fleet under load for 20 s, kill one router, and report", OnUsageError: returnUsageError,
					Flags: []cli.Flag{seed, out, router}, Action: func(ctx context.Context, c *cli.Command) error {
						text, err := renderEmbedded("lab/demo.jsonnet")
						if err != nil {
							return err
						}
						return runExperiment(ctx, c, []byte(text))
					}},
			}},
		},
	}
}

// runExperiment runs an experiment and writes its results.
func runExperiment(ctx context.Context, cmd *cli.Command, text []byte) error {
	config, err := experiment.Parse(text)
	if err != nil {
		return err
	}
	program := cmd.String("router")
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		program = filepath.Join(filepath.Dir(self), "router")
	}
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("the router's program: %w", err)
	}
	dir := cmd.String("out")
	if dir == "" {
		dir = filepath.Join("found", fmt.Sprintf("%s-%s", config.Name, time.Now().Format("150405")))
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	options := experiment.Options{Seed: cmd.Uint64("seed"), Dir: dir, Build: program}
	if config.Soak != nil {
		return runSoak(ctx, cmd, config, options)
	}
	if status, err := os.Stderr.Stat(); err == nil && status.Mode()&os.ModeCharDevice != 0 {
		options.Progress = func(arm string, done, whole time.Duration) {
			filled := int(30 * done / max(whole, 1))
			fmt.Fprintf(os.Stderr, "\r%-16s [%s%s] %3.0f of %.0f s ", arm, strings.Repeat("=", filled), strings.Repeat(" ", 30-filled), done.Seconds(), whole.Seconds())
			if done >= whole {
				fmt.Fprintln(os.Stderr)
			}
		}
	}
	result, err := experiment.Run(ctx, config, options)
	if err != nil {
		return err
	}
	if err := result.Write(dir); err != nil {
		return err
	}
	fmt.Printf("%-58s %12s %14s\n", "check", "value", "bound")
	for _, check := range result.Checks {
		verdict := "held"
		if !check.Passed {
			verdict = "NOT HELD " + check.Note
		}
		fmt.Printf("%-58s %12.4g %4s %9.4g %s\n", check.Name, check.Value, check.Relation, check.Bound, verdict)
	}
	fmt.Println("report:", filepath.Join(dir, "report.md"))
	if !result.Passed {
		return errors.New("not all checks held")
	}
	return nil
}

// runSoak runs one or more seeds of a soak and prints a row for each.
func runSoak(ctx context.Context, cmd *cli.Command, config *experiment.Experiment, options experiment.Options) error {
	const maxShorteningRuns = 12
	fmt.Println(experiment.SoakTableHeader)
	failed := 0
	dir := options.Dir
	for i := range max(cmd.Uint64("seeds"), 1) {
		options.Seed = cmd.Uint64("seed") + i
		options.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", options.Seed))
		result, err := experiment.RunSoak(ctx, config, options)
		if err != nil {
			return fmt.Errorf("seed %d: %w", options.Seed, err)
		}
		fmt.Println(result.TableRow())
		if err := result.Write(options.Dir); err != nil {
			return err
		}
		if result.Passed() {
			continue
		}
		failed++
		result.Explain(os.Stderr, options.Dir)
		if cmd.Uint64("seeds") <= 1 {
			fmt.Fprintln(os.Stderr, "shortest schedule that still fails:")
			shortest := experiment.ShortenSoak(ctx, config, result, options, maxShorteningRuns)
			shortest.Explain(os.Stderr, options.Dir)
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d seeds violated an invariant", failed)
	}
	return nil
}
