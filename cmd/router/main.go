// Command lotushook routes reads and writes across replicated database groups.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"lotushook/internal/operr"
	"lotushook/internal/platformconfig"
	"lotushook/internal/router"
	"lotushook/internal/siteconfig"
)

// version is the release, as listed in CHANGELOG.md.
const version = "0.1.0"

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lotushook:", strings.ReplaceAll(err.Error(), "\n", " ")) // one line, even if the error quotes a file
		os.Exit(1)
	}
}

func command() *cli.Command {
	// Reports a usage error in one line, without the help text.
	returnUsageError := func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	return &cli.Command{
		Name:  "router",
		Usage: "route reads and writes across replicated database groups",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run the router that the NODE_* variables describe", Action: serve, OnUsageError: returnUsageError,
				Flags: []cli.Flag{settingsFlag()}},
			{Name: "check", Usage: "check a configuration file, an installation's own settings, or both together",
				ArgsUsage: "[FILE]", Action: check, OnUsageError: returnUsageError, Flags: []cli.Flag{settingsFlag(),
					&cli.BoolFlag{Name: "print", Usage: "print the effective settings, including defaults"}}},
			{Name: "version", Usage: "print the version", OnUsageError: returnUsageError, Action: func(_ context.Context, cmd *cli.Command) error {
				if err := rejectArguments(cmd); err != nil {
					return err
				}
				_, err := fmt.Fprintln(cmd.Root().Writer, "lotushook", version)
				return err
			}},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return fmt.Errorf("unknown command %q; see lotushook help", cmd.Args().First())
			}
			return fmt.Errorf("no command; see lotushook help")
		},
		OnUsageError: returnUsageError,
	}
}

func rejectArguments(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("%s takes no argument, got %q", cmd.Name, cmd.Args().First())
	}
	return nil
}

// settingsFlag names the file of the installation's own settings.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "the installation's own settings, as JSON `FILE`"}
}

// loadSettings reads the installation's own settings; without a file all optional subsystems are off.
func loadSettings(path string) (*siteconfig.Config, error) {
	if path == "" {
		return &siteconfig.Config{}, nil
	}
	return siteconfig.Load(path)
}

func check(_ context.Context, cmd *cli.Command) error {
	path, file, out := cmd.String("settings"), cmd.Args().First(), cmd.Root().Writer
	if cmd.Args().Len() > 1 || file == "" && path == "" {
		return fmt.Errorf("check takes one file, or --settings FILE, or both")
	}
	settings, err := loadSettings(path)
	if err != nil {
		return err
	}
	report := path + ": valid"
	if file != "" {
		config, err := platformconfig.Check(file)
		if err != nil {
			return err
		}
		if _, err := router.New(config, settings); err != nil { // checks that both files are compatible
			return err
		}
		report = fmt.Sprintf("%s: valid: router %s on %s: %s", file, config.Name, config.Listen, config.Settings.Summary())
	}
	if cmd.Bool("print") {
		if report, err = settings.Print(); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(out, report)
	return err
}

func serve(ctx context.Context, cmd *cli.Command) error {
	if err := rejectArguments(cmd); err != nil {
		return err
	}
	// Signals are caught before the files are read, because an uncaught signal ends the program. Further SIGTERMs
	// during the shutdown are ignored: requests in flight are completed.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	config, err := platformconfig.Load(os.Getenv)
	if err != nil {
		return err
	}
	path := cmd.String("settings")
	settings, err := loadSettings(path)
	if err != nil {
		return err
	}
	instance, err := router.New(config, settings)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // the router's machine has one core
	debug.SetMemoryLimit(config.Limits.MemoryMB << 20 * 3 / 4)
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	go reload(instance, path, hup)
	return instance.Run(ctx)
}

// reload reads both files again at each signal. If one of them can't be read or is invalid, nothing changes.
func reload(running *router.Router, path string, signals <-chan os.Signal) {
	for range signals {
		config, err := platformconfig.Reload(os.Getenv)
		var settings *siteconfig.Config
		if err == nil {
			settings, err = loadSettings(path)
		}
		if err == nil {
			err = running.Reload(config, settings)
		}
		if err != nil {
			slog.Error("not reloaded", operr.Attrs(err)...)
		}
	}
}
