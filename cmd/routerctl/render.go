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

// render is a Jsonnet file as JSON.
func render(path string) (string, error) {
	out, err := jsonnet.MakeVM().EvaluateFile(path)
	if err != nil {
		return "", fmt.Errorf("%s: %s", path, oneLine(err))
	}
	return out, nil
}

// renderOwn is a Jsonnet file that this program carries, as JSON.
func renderOwn(name string) (string, error) {
	vm, files := jsonnet.MakeVM(), map[string]jsonnet.Contents{}
	err := fs.WalkDir(deploy.Files, ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		raw, err := deploy.Files.ReadFile(path)
		for _, as := range []string{path, d.Name(), "../" + path} { // as its neighbours import it, and those below it
			files[as] = jsonnet.MakeContentsRaw(raw)
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

// renderAll writes the JSON beside each Jsonnet file, or compares it.
func renderAll(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return errors.New("render takes one file or more")
	}
	for _, path := range c.Args().Slice() {
		base, ok := strings.CutSuffix(path, ".jsonnet")
		if !ok {
			return fmt.Errorf("%s: not a .jsonnet file", path)
		}
		text, err := render(path)
		if err != nil {
			return err
		}
		if c.Bool("check") {
			old, err := os.ReadFile(base + ".json")
			if err != nil {
				return err
			}
			if string(old) != text {
				return fmt.Errorf("%s.json is not what %s renders to: routerctl render %s", base, path, path)
			}
			continue
		}
		if err := os.WriteFile(base+".json", []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}
