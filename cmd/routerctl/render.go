package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"github.com/google/go-jsonnet"
	"github.com/urfave/cli/v3"

	"lotushook/deploy"
)

// render evaluates a Jsonnet file to JSON.
func render(path string) (string, error) {
	out, err := jsonnet.MakeVM().EvaluateFile(path)
	if err != nil {
		return "", fmt.Errorf("%s: %s", path, oneLine(err))
	}
	return out, nil
}

// renderEmbedded evaluates a Jsonnet file embedded in this program to JSON.
func renderEmbedded(name string) (string, error) {
	vm, files := jsonnet.MakeVM(), map[string]jsonnet.Contents{}
	err := fs.WalkDir(deploy.Files, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		raw, err := deploy.Files.ReadFile(path)
		for _, importPath := range []string{path, entry.Name(), "../" + path} { // as imported from the same folder, and from a subfolder
			files[importPath] = jsonnet.MakeContentsRaw(raw)
		}
		return err
	})
	if err != nil {
		return "", err
	}
	vm.Importer(&jsonnet.MemoryImporter{Data: files})
	out, err := vm.EvaluateFile(name)
	if err != nil {
		return "", fmt.Errorf("%s: %s", name, oneLine(err))
	}
	return out, nil
}

func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}

// renderAll writes each Jsonnet file as JSON next to it, or with --check compares that JSON.
func renderAll(_ context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return errors.New("render takes one or more files")
	}
	for _, path := range cmd.Args().Slice() {
		base, ok := strings.CutSuffix(path, ".jsonnet")
		if !ok {
			return fmt.Errorf("%s: not a .jsonnet file", path)
		}
		text, err := render(path)
		if err != nil {
			return err
		}
		if cmd.Bool("check") {
			old, err := os.ReadFile(base + ".json")
			if err != nil {
				return err
			}
			if string(old) != text {
				return fmt.Errorf("%s.json is not what %s renders to; run routerctl render %s", base, path, path)
			}
			continue
		}
		if err := os.WriteFile(base+".json", []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}
