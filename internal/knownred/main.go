package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

const usage = `knownred [-list FILE] packages      print the packages of which the ordinary run skips tests
knownred [-list FILE] skip PACKAGE  print what -skip takes for one
knownred [-list FILE] play          play each listed case, and say whether it still fails`

func main() {
	list := flag.String("list", "KNOWN-RED.txt", "the list of tests that are known to fail")
	flag.Parse()
	if err := run(os.Stdout, *list, flag.Args(), goTest); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		if h, ok := err.(interface{ Hint() string }); ok {
			fmt.Fprintln(os.Stderr, h.Hint())
		}
		os.Exit(1)
	}
}

// tester runs go test with arguments and returns what it printed, and whether it passed.
type tester func(args ...string) (output string, passed bool)

func goTest(args ...string) (string, bool) {
	out, err := exec.Command("go", append([]string{"test"}, args...)...).CombinedOutput()
	return string(out), err == nil
}

func run(w io.Writer, path string, args []string, test tester) error {
	list, err := read(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	switch {
	case len(args) == 1 && args[0] == "packages":
		var packages []string
		for _, e := range list {
			if e.Flags == "" && !slices.Contains(packages, e.Package) {
				packages = append(packages, e.Package)
			}
		}
		fmt.Fprintln(w, strings.Join(packages, "\n"))
	case len(args) == 2 && args[0] == "skip":
		fmt.Fprintln(w, SkipPattern(list, args[1]))
	case len(args) == 1 && args[0] == "play":
		return play(w, list, test)
	default:
		return fmt.Errorf("usage:\n%s", usage)
	}
	return nil
}

// MissingTestError says that an entry names a test that does not exist.
type MissingTestError struct{ Entry Entry }

// Error implements error.
func (e *MissingTestError) Error() string {
	return fmt.Sprintf("%s has no test %s", e.Entry.Package, e.Entry.Test)
}

// Hint says what to do about it.
func (e *MissingTestError) Hint() string {
	return "write the test's present name, or take the entry off the list if the test has gone for a reason that its commit gives"
}

// play plays all entries. It fails only where one names a test that does not exist: that a case fails is known, and that one
// passes is for people to look into.
func play(w io.Writer, list []Entry, test tester) error {
	for _, e := range list {
		name, _, _ := strings.Cut(e.Test, "/")
		if out, _ := test("-list", pattern(name), e.Package); !slices.Contains(strings.Split(out, "\n"), name) {
			return &MissingTestError{e}
		}
		verdict := "fails as listed"
		args := append([]string{"-count=1", "-run", pattern(e.Test), e.Package}, strings.Fields(e.Flags)...)
		if _, passed := test(args...); passed {
			verdict = "passes now: trace why before taking it off the list"
		}
		fmt.Fprintf(w, "known: %s %s: %s\n  seen: %s\n  cause: %s\n  issue: %s\n  play: go test %s\n", e.Package, e.Test, verdict, e.Seen, e.Cause, e.Issue, strings.Join(args, " "))
	}
	return nil
}
