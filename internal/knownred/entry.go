// Command knownred reads the list of tests that are known to fail. It prints which tests an ordinary run skips, and
// runs each listed test with its own flags, so that a fault that no longer occurs is noticed. Only test.sh calls it.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// Entry is one line of the list: a test that fails because of a fault that is not fixed yet.
type Entry struct {
	Package string // argument of go test, such as ./policy/crdt
	Test    string // name of the test, with subtests after slashes
	Flags   string // flags of go test that make it fail; "": it fails without flags, so the ordinary run skips it
	Seen    string // the symptom
	Cause   string // as far as known
	Issue   string // where the work on the fault is recorded
}

const (
	separator = " | "
	fields    = 6
	noFlags   = "-"
)

// LineError reports a line of the list that can't be parsed.
type LineError struct {
	Line   int
	Reason string
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

// Hint describes the expected format.
func (e *LineError) Hint() string {
	return "write: package | test | flags or - | symptom | cause | issue"
}

// Parse parses a list. Empty lines and lines that begin with # are ignored.
func Parse(text string) ([]Entry, error) {
	var list []Entry
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.Split(line, separator)
		if len(parts) != fields {
			return nil, &LineError{i + 1, fmt.Sprintf("%d fields, not %d", len(parts), fields)}
		}
		for k := range parts {
			if parts[k] = strings.TrimSpace(parts[k]); parts[k] == "" {
				return nil, &LineError{i + 1, fmt.Sprintf("field %d is empty", k+1)}
			}
		}
		entry := Entry{parts[0], parts[1], parts[2], parts[3], parts[4], parts[5]}
		if entry.Flags == noFlags {
			entry.Flags = ""
		}
		if !strings.HasPrefix(entry.Package, "./") || !strings.HasPrefix(entry.Test, "Test") {
			return nil, &LineError{i + 1, "the package must begin with ./ and the test with Test"}
		}
		list = append(list, entry)
	}
	return list, nil
}

// readList reads a list from a file; a missing file is an empty list.
func readList(path string) ([]Entry, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return Parse(string(text))
}

// SkipPattern returns the -skip argument for the ordinary run of a package: the tests that fail without further flags.
func SkipPattern(list []Entry, pkg string) string {
	var patterns []string
	for _, entry := range list {
		if entry.Package == pkg && entry.Flags == "" {
			patterns = append(patterns, testPattern(entry.Test))
		}
	}
	return strings.Join(patterns, "|")
}

// testPattern returns a -run argument that matches exactly one test.
func testPattern(test string) string {
	parts := strings.Split(test, "/")
	for i := range parts {
		parts[i] = "^" + parts[i] + "$"
	}
	return strings.Join(parts, "/")
}
