package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"lotushook/internal/experiment"
)

// report sets the results of several runs side by side.
func report(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return errors.New("lab report takes the folders of one run or more")
	}
	var runs []*experiment.Result
	for _, dir := range c.Args().Slice() {
		r, err := experiment.Read(filepath.Join(dir, "result.json"))
		if err != nil {
			return err
		}
		runs = append(runs, r)
	}
	text, err := experiment.Compare(runs)
	if err != nil {
		return err
	}
	dir := c.String("out")
	if dir == "" {
		_, err := fmt.Fprint(c.Root().Writer, text)
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(text), 0o644); err != nil {
		return err
	}
	return experiment.CompareCharts(runs, dir)
}
