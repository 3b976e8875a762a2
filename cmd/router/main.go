// Command lotushook is a router for reads and writes across replicated
// database groups.
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

// version is the release; CHANGELOG.md tells what is in it.
const version = "0.1.0"

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lotushook:", strings.ReplaceAll(err.Error(), "\n", " ")) // it may quote a file
		os.Exit(1)
	}
}

func command() *cli.Command {
	// A wrong flag is one line, without the help.
	usage := func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	return &cli.Command{
		Name:  "router",
		Usage: "route reads and writes across replicated database groups",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run the router that the NODE_* variables describe", Action: serve, OnUsageError: usage,
				Flags: []cli.Flag{own()}},
			{Name: "check", Usage: "check a configuration file, an installation's own settings, or both together",
				ArgsUsage: "[FILE]", Action: check, OnUsageError: usage, Flags: []cli.Flag{own(),
					&cli.BoolFlag{Name: "print", Usage: "print the settings as they would be in force, defaults and all"}}},
			{Name: "version", Usage: "print the version", OnUsageError: usage, Action: func(_ context.Context, c *cli.Command) error {
				if err := noArgs(c); err != nil {
					return err
				}
				_, err := fmt.Fprintln(c.Root().Writer, "lotushook", version)
				return err
			}},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fmt.Errorf("unknown command %q; see lotushook help", c.Args().First())
			}
			return fmt.Errorf("no command; see lotushook help")
		},
		OnUsageError: usage,
	}
}

func noArgs(c *cli.Command) error {
	if c.Args().Present() {
		return fmt.Errorf("%s takes no argument, got %q", c.Name, c.Args().First())
	}
	return nil
}

// own is the flag that names the installation's own settings.
func own() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "the installation's own settings, as JSON `FILE`"}
}

// load reads the installation's own settings; without a file nothing is switched on.
func load(path string) (*siteconfig.Config, error) {
	if path == "" {
		return &siteconfig.Config{}, nil
	}
	return siteconfig.Load(path)
}

func check(_ context.Context, c *cli.Command) error {
	path, file, out := c.String("settings"), c.Args().First(), c.Root().Writer
	if c.Args().Len() > 1 || file == "" && path == "" {
		return fmt.Errorf("check takes one file, or --settings FILE, or both")
	}
	mine, err := load(path)
	if err != nil {
		return err
	}
	says := path + ": valid"
	if file != "" {
		conf, err := platformconfig.Check(file)
		if err != nil {
			return err
		}
		if _, err := router.New(conf, mine); err != nil { // do they go together?
			return err
		}
		says = fmt.Sprintf("%s: valid: router %s on %s: %s", file, conf.Name, conf.Listen, conf.Settings.Summary())
	}
	if c.Bool("print") {
		if says, err = mine.Print(); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(out, says)
	return err
}

func serve(ctx context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	// From the start: uncaught, they would end the program. One that is told to stop again goes on with what it has taken.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	conf, err := platformconfig.Load(os.Getenv)
	if err != nil {
		return err
	}
	path := c.String("settings")
	mine, err := load(path)
	if err != nil {
		return err
	}
	r, err := router.New(conf, mine)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // the router's machine has one core
	debug.SetMemoryLimit(conf.Limits.MemoryMB << 20 * 3 / 4)
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	go reload(r, path, hup)
	return r.Run(ctx)
}

// reload reads the files again at each signal. If one can't be read or is
// invalid, nothing changes.
func reload(r *router.Router, path string, hup <-chan os.Signal) {
	for range hup {
		conf, err := platformconfig.Reload(os.Getenv)
		var mine *siteconfig.Config
		if err == nil {
			mine, err = load(path)
		}
		if err == nil {
			err = r.Reload(conf, mine)
		}
		if err != nil {
			slog.Error("not reloaded", operr.Attrs(err)...)
		}
	}
}
