// Command knownred reads the list of tests that are known to fail. It says which tests an ordinary run skips, and plays each listed
// case by its own command, so that a fault that is gone is noticed. test.sh calls it; nothing else does.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// Entry is one line of the list: a case that fails for a fault that is not mended yet.
type Entry struct {
	Package string // as go test takes it: ./policy/crdt
	Test    string // as -run takes it, with subtests after slashes
	Flags   string // of go test, which make it fail; "": none, and the ordinary run skips the test
	Seen    string // what it shows
	Cause   string // as far as it is known
	Issue   string // where the work on it is recorded
}

const (
	separator = " | "
	fields    = 6
	noFlags   = "-"
)

// LineError says which line of the list can't be read.
type LineError struct {
	Line   int
	Reason string
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

// Hint says what to do about it.
func (e *LineError) Hint() string {
	return "write: package | test | flags or - | what is seen | cause | issue"
}

// Parse reads a list. Lines that begin with # and empty lines are comments.
func Parse(text string) ([]Entry, error) {
	var list []Entry
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		part := strings.Split(line, separator)
		if len(part) != fields {
			return nil, &LineError{i + 1, fmt.Sprintf("%d fields, not %d", len(part), fields)}
		}
		for k := range part {
			if part[k] = strings.TrimSpace(part[k]); part[k] == "" {
				return nil, &LineError{i + 1, fmt.Sprintf("field %d is empty", k+1)}
			}
		}
		e := Entry{part[0], part[1], part[2], part[3], part[4], part[5]}
		if e.Flags == noFlags {
			e.Flags = ""
		}
		if !strings.HasPrefix(e.Package, "./") || !strings.HasPrefix(e.Test, "Test") {
			return nil, &LineError{i + 1, "the package begins with ./ and the test with Test"}
		}
		list = append(list, e)
	}
	return list, nil
}

// read reads a list from a file; one that is not there is empty.
func read(path string) ([]Entry, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return Parse(string(text))
}

// SkipPattern is what -skip takes in the ordinary run of a package: the tests that fail without further flags.
func SkipPattern(list []Entry, pkg string) string {
	var patterns []string
	for _, e := range list {
		if e.Package == pkg && e.Flags == "" {
			patterns = append(patterns, pattern(e.Test))
		}
	}
	return strings.Join(patterns, "|")
}

// pattern matches one test exactly.
func pattern(test string) string {
	parts := strings.Split(test, "/")
	for i := range parts {
		parts[i] = "^" + parts[i] + "$"
	}
	return strings.Join(parts, "/")
}
