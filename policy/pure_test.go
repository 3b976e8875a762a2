// Package policy contains the decision packages as subdirectories.
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

// Decision packages are pure: their callers pass events and the time in. So they must not import packages that open
// sockets or files, or read a clock. net/netip is allowed, as it only represents addresses.
func TestDecisionsArePure(t *testing.T) {
	var dirs []string
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err == nil && entry.IsDir() && path != "." {
			dirs = append(dirs, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, dir := range dirs {
		pkg, err := build.ImportDir(dir, 0)
		if err != nil {
			t.Fatalf("%s: %v", dir, err)
		}
		checked++
		for _, name := range pkg.Imports {
			if isPure(name) {
				continue
			}
			t.Errorf("%s imports %s, which decision packages must not import", dir, name)
		}
	}
	if checked < 2 {
		t.Errorf("only %d packages were checked, at least 2 expected", checked)
	}
	if _, err := exec.LookPath("go"); err != nil {
		return
	}
	// Indirect imports through other packages of this module must not bypass the check.
	out, err := exec.Command("go", "list", "-f", "{{.ImportPath}}: {{join .Deps \" \"}}", "./...").Output()
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(out)) {
		from, deps, _ := strings.Cut(line, ":")
		for dep := range strings.FieldsSeq(deps) {
			if strings.HasPrefix(dep, "lotushook/") && !strings.HasPrefix(dep, "lotushook/policy/") {
				t.Errorf("%s depends on %s, which is not a decision package", from, dep)
			}
		}
	}
}

// isPure reports whether a decision package may import a package.
func isPure(name string) bool {
	forbidden := []string{"time", "os", "net", "syscall", "log", "log/slog", "io", "bufio", "sync", "sync/atomic", "context", "crypto/rand", "unsafe", "runtime"}
	return !slices.Contains(forbidden, name) && (name == "net/netip" || !slices.ContainsFunc(forbidden, func(parent string) bool { return strings.HasPrefix(name, parent+"/") }))
}
