package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const sample = `# comment

./policy/crdt | TestSpread | -rapid.seed=3 -rapid.checks=4000 | one copy lacks a commit | not known | Our known failures
./internal/router | TestTerms | - | EOF | not known | Our known failures
./internal/router | TestOther/case | - | late | not known | Our known failures
`

func TestParse(t *testing.T) {
	list, err := Parse(sample)
	want := []Entry{
		{"./policy/crdt", "TestSpread", "-rapid.seed=3 -rapid.checks=4000", "one copy lacks a commit", "not known", "Our known failures"},
		{"./internal/router", "TestTerms", "", "EOF", "not known", "Our known failures"},
		{"./internal/router", "TestOther/case", "", "late", "not known", "Our known failures"},
	}
	if diff := cmp.Diff(want, list); diff != "" || err != nil {
		t.Error(diff, err)
	}
	for name, line := range map[string]string{
		"a field too few":    "./policy/crdt | TestSpread | - | seen | cause",
		"an empty field":     "./policy/crdt | TestSpread | - | | cause | issue",
		"no package":         "crdt | TestSpread | - | seen | cause | issue",
		"no test":            "./policy/crdt | Spread | - | seen | cause | issue",
		"the list of before": "TestSpread (policy/crdt): fails on one drawn history",
	} {
		var lineError *LineError
		if _, err := Parse("# first\n" + line); !errors.As(err, &lineError) || lineError.Line != 2 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// The ordinary run skips only tests that fail without further flags, and matches their names exactly.
func TestSkipPattern(t *testing.T) {
	list, _ := Parse(sample)
	if got, want := SkipPattern(list, "./internal/router"), "^TestTerms$|^TestOther$/^case$"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
	if got := SkipPattern(list, "./policy/crdt"); got != "" {
		t.Errorf("%q", got)
	}
}

func TestRunListed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := os.WriteFile(path, []byte(sample), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := "TestSpread\nTestTerms\nTestOther\n"
	runTest := func(args ...string) (string, bool) {
		if args[0] == "-list" {
			return tests, true
		}
		return "", args[2] == "^TestTerms$"
	}
	var out strings.Builder
	if err := run(&out, path, []string{"play"}, runTest); err != nil {
		t.Fatal(err)
	}
	if strings.Count(out.String(), "fails as listed") != 2 || !strings.Contains(out.String(), "TestTerms: passes now") ||
		!strings.Contains(out.String(), "play: go test -count=1 -run ^TestSpread$ ./policy/crdt -rapid.seed=3 -rapid.checks=4000") {
		t.Error(out.String())
	}
	tests = "TestSpread\nTestTermsOfOthers\n"
	var missing *MissingTestError
	if err := run(&out, path, []string{"play"}, runTest); !errors.As(err, &missing) || missing.Entry.Test != "TestTerms" {
		t.Errorf("entry of a missing test: got error %v", err)
	}
	if err := run(&out, filepath.Join(t.TempDir(), "none"), []string{"play"}, runTest); err != nil {
		t.Errorf("missing list: %v", err)
	}
}
