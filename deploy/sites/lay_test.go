// Package sites contains only a test of lay.sh, with a site file of its own, so that the test does not need the
// operators' files.
package sites

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const baseFile = `name = "base"

[rules]
fall_ms = 1500
drain_grace_ms = 500

[[class]]
name = "one"
worth = 3

[[class]]
name = "two"
worth = 1
`

const overrideFile = `# over kit/base.toml
# What differs.
name = "ours"

[rules]
fall_ms = 900
slack_ms = 5

[[class]]
name = "first"

[[class]]
worth = 7
effect = "keyed"

[[tenant]]
name = "left"
`

const wantFile = `name = "ours"

[rules]
fall_ms = 900
drain_grace_ms = 500
slack_ms = 5

[[class]]
name = "first"
worth = 3

[[class]]
name = "two"
worth = 7
effect = "keyed"

[[tenant]]
name = "left"
`

// runScript runs a copy of lay.sh in a folder with only one override file.
func runScript(t *testing.T, siteFolder string) (dir, output string, err error) {
	t.Helper()
	dir = t.TempDir()
	script, err := os.ReadFile("lay.sh")
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"lay.sh": string(script), "ours.over": overrideFile} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o755); err != nil {
			t.Fatal(err)
		}
	}
	out, err := exec.Command("/bin/sh", filepath.Join(dir, "lay.sh"), siteFolder).CombinedOutput()
	return dir, string(out), err
}

func TestOverridesAreAppliedAndOtherFilesCopied(t *testing.T) {
	siteFolder := t.TempDir()
	if err := os.Mkdir(filepath.Join(siteFolder, "kit"), 0o755); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"base.toml": baseFile, "real.json": "r", "wire.json": "w", "unlock.txt": "u"} {
		if err := os.WriteFile(filepath.Join(siteFolder, "kit", name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	dir, output, err := runScript(t, siteFolder)
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	for name, want := range map[string]string{"ours.toml": wantFile, "real.json": "r", "wire.json": "w", "unlock.txt": "u"} {
		got, err := os.ReadFile(filepath.Join(dir, "laid", "ours", name))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, string(got)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

func TestMissingSiteFolder(t *testing.T) {
	dir, output, err := runScript(t, filepath.Join(t.TempDir(), "absent"))
	if err == nil {
		t.Error("no error without the site folder")
	}
	if strings.Count(output, "\n") != 1 || !strings.Contains(output, "operators' pages are missing") {
		t.Errorf("output %q, want one line that names the missing folder", output)
	}
	if _, err := os.Stat(filepath.Join(dir, "laid")); !os.IsNotExist(err) {
		t.Errorf("folder laid exists: %v", err)
	}
}
