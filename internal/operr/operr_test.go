package operr

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

type tornError struct{ path string }

func (e tornError) Error() string { return e.path + " is torn: started empty" }
func (tornError) Kind() string    { return "keep-torn" }
func (tornError) Hint() string    { return "nothing to do; peers feed this router" }

// The kind and the hint of a wrapped error are logged.
func TestAttrs(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	log.Warn("keep", Attrs(fmt.Errorf("router: %w", tornError{"a"}))...)
	log.Warn("keep", Attrs(errors.New("plain"))...)
	lines := strings.Split(out.String(), "\n")
	if !strings.Contains(lines[0], `error_kind=keep-torn hint="nothing to do; peers feed this router"`) || !strings.Contains(lines[0], "router: a is torn") {
		t.Errorf("first line: %s", lines[0])
	}
	if strings.Contains(lines[1], "hint") || Find(errors.New("plain")) != nil {
		t.Errorf("second line: %s", lines[1])
	}
}
