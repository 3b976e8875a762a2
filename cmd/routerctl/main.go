// Command routerctl is the operators' tool: it renders settings, checks what is
// committed, and runs experiments against routers on this machine.
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
	usage := func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	out := &cli.StringFlag{Name: "out", Usage: "the folder for results; none: a new one under found/"}
	seed := &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "what is drawn follows from it"}
	seeds := &cli.Uint64Flag{Name: "seeds", Value: 1, Usage: "of a soak: play so many, from --seed on"}
	router := &cli.StringFlag{Name: "router", Usage: "the router's program; none: lotushook beside this one"}
	return &cli.Command{
		Name:         "routerctl",
		Usage:        "render settings and run experiments for lotushook routers",
		OnUsageError: usage,
		Action: func(_ context.Context, c *cli.Command) error {
			return fmt.Errorf("no such command %q; see routerctl help", c.Args().First())
		},
		Commands: []*cli.Command{
			{Name: "render", Usage: "render Jsonnet files to the JSON beside them", ArgsUsage: "FILE.jsonnet...", OnUsageError: usage, Action: renderAll,
				Flags: []cli.Flag{&cli.BoolFlag{Name: "check", Usage: "write nothing; fail where the JSON differs"}}},
			{Name: "contracts", Usage: "the teams' contracts in a settings file", OnUsageError: usage, Commands: []*cli.Command{
				{Name: "check", Usage: "hold them against the fleet that they name; fails where there are findings", ArgsUsage: "FILE", OnUsageError: usage, Action: checkContracts},
				{Name: "show", Usage: "print who may do what", ArgsUsage: "FILE", OnUsageError: usage, Action: showContracts},
			}},
			{Name: "accounts", Usage: "what teams asked of a router and got", ArgsUsage: "SOCKET", OnUsageError: usage, Action: readAccounts,
				Flags: []cli.Flag{&cli.BoolFlag{Name: "metrics", Usage: "in the text format that Prometheus reads"}}},
			{Name: "members", Usage: "what a router knows of the other routers", ArgsUsage: "SOCKET", OnUsageError: usage, Action: showMembers},
			{Name: "fleet", Usage: "what the logs of many routers say of all of them, or of one request", ArgsUsage: "DIR", OnUsageError: usage, Action: showFleet,
				Flags: []cli.Flag{&cli.DurationFlag{Name: "span", Value: 10 * time.Second, Usage: "one row over time"},
					&cli.StringFlag{Name: "request", Usage: "print the way of the requests with this `ID` or key"}}},
			{Name: "lab", Usage: "experiments on this machine", OnUsageError: usage, Commands: []*cli.Command{
				{Name: "run", Usage: "run an experiment; fails unless all its checks hold", ArgsUsage: "FILE.jsonnet", OnUsageError: usage,
					Flags: []cli.Flag{seed, seeds, out, router}, Action: func(ctx context.Context, c *cli.Command) error {
						if c.Args().Len() != 1 {
							return errors.New("lab run takes one experiment")
						}
						text, err := render(c.Args().First())
						if err != nil {
							return err
						}
						return runExperiment(ctx, c, []byte(text))
					}},
				{Name: "report", Usage: "set runs of one experiment side by side", ArgsUsage: "DIR...", OnUsageError: usage, Action: report,
					Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "the folder for tables and charts; none: tables on standard output"}}},
				{Name: "demo", Usage: "a fleet, three routers, a load of 20 s, a router that dies, and a report", OnUsageError: usage,
					Flags: []cli.Flag{seed, out, router}, Action: func(ctx context.Context, c *cli.Command) error {
						text, err := renderOwn("lab/demo.jsonnet")
						if err != nil {
							return err
						}
						return runExperiment(ctx, c, []byte(text))
					}},
			}},
		},
	}
}

// runExperiment runs one and writes what it showed.
func runExperiment(ctx context.Context, c *cli.Command, text []byte) error {
	e, err := experiment.Parse(text)
	if err != nil {
		return err
	}
	build := c.String("router")
	if build == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		build = filepath.Join(filepath.Dir(self), "router")
	}
	if _, err := os.Stat(build); err != nil {
		return fmt.Errorf("the router's program: %w", err)
	}
	dir := c.String("out")
	if dir == "" {
		dir = filepath.Join("found", fmt.Sprintf("%s-%s", e.Name, time.Now().Format("150405")))
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	o := experiment.Options{Seed: c.Uint64("seed"), Dir: dir, Build: build}
	if e.Soak != nil {
		return runSoak(ctx, c, e, o)
	}
	if st, err := os.Stderr.Stat(); err == nil && st.Mode()&os.ModeCharDevice != 0 {
		o.Progress = func(arm string, done, whole time.Duration) {
			n := int(30 * done / max(whole, 1))
			fmt.Fprintf(os.Stderr, "\r%-16s [%s%s] %3.0f of %.0f s ", arm, strings.Repeat("=", n), strings.Repeat(" ", 30-n), done.Seconds(), whole.Seconds())
			if done >= whole {
				fmt.Fprintln(os.Stderr)
			}
		}
	}
	res, err := experiment.Run(ctx, e, o)
	if err != nil {
		return err
	}
	if err := res.Write(dir); err != nil {
		return err
	}
	fmt.Printf("%-58s %12s %14s\n", "check", "value", "bound")
	for _, j := range res.Checks {
		word := "held"
		if !j.Passed {
			word = "NOT HELD " + j.Note
		}
		fmt.Printf("%-58s %12.4g %4s %9.4g %s\n", j.Name, j.Value, j.Relation, j.Bound, word)
	}
	fmt.Println("report:", filepath.Join(dir, "report.md"))
	if !res.Passed {
		return errors.New("not all checks held")
	}
	return nil
}

// runSoak plays one or more seeds of a soak and prints a table of them.
func runSoak(ctx context.Context, c *cli.Command, e *experiment.Experiment, o experiment.Options) error {
	const shorteningPlays = 12
	fmt.Println(experiment.SoakTableHeader)
	broken := 0
	top := o.Dir
	for i := range max(c.Uint64("seeds"), 1) {
		o.Seed = c.Uint64("seed") + i
		o.Dir = filepath.Join(top, fmt.Sprintf("seed-%d", o.Seed))
		res, err := experiment.RunSoak(ctx, e, o)
		if err != nil {
			return fmt.Errorf("seed %d: %w", o.Seed, err)
		}
		fmt.Println(res.TableRow())
		if err := res.Write(o.Dir); err != nil {
			return err
		}
		if res.Passed() {
			continue
		}
		broken++
		res.Explain(os.Stderr, o.Dir)
		if c.Uint64("seeds") <= 1 {
			fmt.Fprintln(os.Stderr, "shortest schedule that still fails:")
			shortest := experiment.ShortenSoak(ctx, e, res, o, shorteningPlays)
			shortest.Explain(os.Stderr, o.Dir)
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d seeds broke a rule", broken)
	}
	return nil
}
