package balance

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	maxModuleLines = 940 // not counting blank lines
	maxLineLength  = 110 // characters
)

var policyFiles = regexp.MustCompile(`(?m)^policy = \[(.*)\]$`)

// The module will be ported by hand, so its size and line length are limited. Its files are listed in the deploy
// file.
func TestModuleSize(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	listed := policyFiles.FindSubmatch(deploy)
	if listed == nil {
		t.Fatal("the deploy file lists no policy files")
	}
	lines := 0
	for _, quoted := range strings.Split(string(listed[1]), ", ") {
		path := strings.Trim(quoted, `"`)
		text, err := os.ReadFile(filepath.Join("../..", path))
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			// A tab counts as one character.
			if length := len([]rune(line)); length > maxLineLength {
				t.Errorf("%s:%d: %d characters, %d allowed", path, i+1, length, maxLineLength)
			}
		}
	}
	if lines > maxModuleLines {
		t.Errorf("%d lines without the blank ones, %d allowed", lines, maxModuleLines)
	}
}
