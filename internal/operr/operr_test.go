package operr

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

type torn struct{ path string }

func (e torn) Error() string { return e.path + " is torn: started empty" }
func (torn) Kind() string    { return "keep-torn" }
func (torn) Hint() string    { return "nothing to do; peers feed this router" }

// What an operator reads must not get lost in the wrapping.
func TestAttrs(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	log.Warn("keep", Attrs(fmt.Errorf("router: %w", torn{"a"}))...)
	log.Warn("keep", Attrs(errors.New("plain"))...)
	lines := strings.Split(out.String(), "\n")
	if !strings.Contains(lines[0], `error_kind=keep-torn hint="nothing to do; peers feed this router"`) || !strings.Contains(lines[0], "router: a is torn") {
		t.Errorf("first line: %s", lines[0])
	}
	if strings.Contains(lines[1], "hint") || Of(errors.New("plain")) != nil {
		t.Errorf("second line: %s", lines[1])
	}
}
