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

const usage = `knownred [-list FILE] packages      print the packages in which the ordinary run skips tests
knownred [-list FILE] skip PACKAGE  print the -skip argument for a package
knownred [-list FILE] play          run each listed test, and report whether it still fails`

func main() {
	list := flag.String("list", "KNOWN-RED.txt", "file that lists the tests known to fail")
	flag.Parse()
	if err := run(os.Stdout, *list, flag.Args(), runGoTest); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		if hinted, ok := err.(interface{ Hint() string }); ok {
			fmt.Fprintln(os.Stderr, hinted.Hint())
		}
		os.Exit(1)
	}
}

// testRunner runs go test with arguments and returns its output and whether it passed.
type testRunner func(args ...string) (output string, passed bool)

func runGoTest(args ...string) (string, bool) {
	out, err := exec.Command("go", append([]string{"test"}, args...)...).CombinedOutput()
	return string(out), err == nil
}

func run(out io.Writer, path string, args []string, runTest testRunner) error {
	list, err := readList(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	switch {
	case len(args) == 1 && args[0] == "packages":
		var packages []string
		for _, entry := range list {
			if entry.Flags == "" && !slices.Contains(packages, entry.Package) {
				packages = append(packages, entry.Package)
			}
		}
		fmt.Fprintln(out, strings.Join(packages, "\n"))
	case len(args) == 2 && args[0] == "skip":
		fmt.Fprintln(out, SkipPattern(list, args[1]))
	case len(args) == 1 && args[0] == "play":
		return runListed(out, list, runTest)
	default:
		return fmt.Errorf("usage:\n%s", usage)
	}
	return nil
}

// MissingTestError reports an entry whose test does not exist.
type MissingTestError struct{ Entry Entry }

// Error implements error.
func (e *MissingTestError) Error() string {
	return fmt.Sprintf("%s has no test %s", e.Entry.Package, e.Entry.Test)
}

// Hint describes how to correct the entry.
func (e *MissingTestError) Hint() string {
	return "write the test's current name, or remove the entry if the commit that removed the test gives a reason"
}

// runListed runs all entries. It fails only if an entry names a test that does not exist: a failure is expected, and a
// pass needs an investigation before its entry may be removed.
func runListed(out io.Writer, list []Entry, runTest testRunner) error {
	for _, entry := range list {
		name, _, _ := strings.Cut(entry.Test, "/")
		if output, _ := runTest("-list", testPattern(name), entry.Package); !slices.Contains(strings.Split(output, "\n"), name) {
			return &MissingTestError{entry}
		}
		verdict := "fails as listed"
		args := append([]string{"-count=1", "-run", testPattern(entry.Test), entry.Package}, strings.Fields(entry.Flags)...)
		if _, passed := runTest(args...); passed {
			verdict = "passes now: find the reason before removing it from the list"
		}
		fmt.Fprintf(out, "known: %s %s: %s\n  seen: %s\n  cause: %s\n  issue: %s\n  play: go test %s\n", entry.Package, entry.Test, verdict, entry.Seen, entry.Cause, entry.Issue, strings.Join(args, " "))
	}
	return nil
}
