// Package policy holds the decisions, one package each.
package policy

import (
	"go/build"
	"io/fs"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Decisions get events and the time passed in. A package that could open a
// socket or a file, or read a clock by itself, would not be one; net/netip only
// names addresses.
func TestDecisionsArePure(t *testing.T) {
	var dirs []string
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err == nil && d.IsDir() && path != "." {
			dirs = append(dirs, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, dir := range dirs {
		p, err := build.ImportDir(dir, 0)
		if err != nil {
			t.Fatalf("%s: %v", dir, err)
		}
		checked++
		for _, name := range p.Imports {
			if pure(name) {
				continue
			}
			t.Errorf("%s imports %s", dir, name)
		}
	}
	if checked < 2 {
		t.Errorf("only %d packages were looked at", checked)
	}
	if _, err := exec.LookPath("go"); err != nil {
		return
	}
	// No way round it through another package of ours.
	out, err := exec.Command("go", "list", "-f", "{{.ImportPath}}: {{join .Deps \" \"}}", "./...").Output()
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(out)) {
		from, deps, _ := strings.Cut(line, ":")
		for dep := range strings.FieldsSeq(deps) {
			if strings.HasPrefix(dep, "lotushook/") && !strings.HasPrefix(dep, "lotushook/policy/") {
				t.Errorf("%s depends on %s", from, dep)
			}
		}
	}
}

// pure says whether a decision may import a package.
func pure(name string) bool {
	barred := []string{"time", "os", "net", "syscall", "log", "log/slog", "io", "bufio", "sync", "sync/atomic", "context", "crypto/rand", "unsafe", "runtime"}
	return !slices.Contains(barred, name) && (name == "net/netip" || !slices.ContainsFunc(barred, func(b string) bool { return strings.HasPrefix(name, b+"/") }))
}
