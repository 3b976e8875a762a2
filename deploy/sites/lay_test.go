// Package sites holds no code: its test lays overrides over a site made up here, so that it needs no operators' pages.
package sites

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const base = `name = "base"

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

const over = `# over kit/base.toml
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

const want = `name = "ours"

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

// lay runs a copy of the script that stands beside over alone.
func lay(t *testing.T, given string) (dir, said string, err error) {
	t.Helper()
	dir = t.TempDir()
	script, err := os.ReadFile("lay.sh")
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"lay.sh": string(script), "ours.over": over} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o755); err != nil {
			t.Fatal(err)
		}
	}
	out, err := exec.Command("/bin/sh", filepath.Join(dir, "lay.sh"), given).CombinedOutput()
	return dir, string(out), err
}

func TestOverridesGoOverTheSiteAndWhatLiesBesideItComesAlong(t *testing.T) {
	given := t.TempDir()
	if err := os.Mkdir(filepath.Join(given, "kit"), 0o755); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"base.toml": base, "real.json": "r", "wire.json": "w", "unlock.txt": "u"} {
		if err := os.WriteFile(filepath.Join(given, "kit", name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	dir, said, err := lay(t, given)
	if err != nil {
		t.Fatalf("%v: %s", err, said)
	}
	for name, want := range map[string]string{"ours.toml": want, "real.json": "r", "wire.json": "w", "unlock.txt": "u"} {
		got, err := os.ReadFile(filepath.Join(dir, "laid", "ours", name))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, string(got)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

func TestOneLineSaysThatTheOperatorsPagesAreMissing(t *testing.T) {
	dir, said, err := lay(t, filepath.Join(t.TempDir(), "absent"))
	if err == nil {
		t.Error("laid a site without the pages")
	}
	if strings.Count(said, "\n") != 1 || !strings.Contains(said, "operators' pages are missing") {
		t.Errorf("said %q, want one line that names what is missing", said)
	}
	if _, err := os.Stat(filepath.Join(dir, "laid")); !os.IsNotExist(err) {
		t.Errorf("laid is there after all: %v", err)
	}
}
