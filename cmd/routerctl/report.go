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

// report compares the results of several runs.
func report(_ context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return errors.New("lab report takes the folders of one or more runs")
	}
	var runs []*experiment.Result
	for _, dir := range cmd.Args().Slice() {
		result, err := experiment.Read(filepath.Join(dir, "result.json"))
		if err != nil {
			return err
		}
		runs = append(runs, result)
	}
	text, err := experiment.Compare(runs)
	if err != nil {
		return err
	}
	dir := cmd.String("out")
	if dir == "" {
		_, err := fmt.Fprint(cmd.Root().Writer, text)
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
