// Package operr defines what an error tells an operator: its kind, and what to do about it. The error types are defined
// where the errors arise; this package only finds them in a chain of wrapped errors and logs them.
package operr

import (
	"errors"
	"log/slog"
)

// Error is an error that an operator can act on. Its text says what failed, for which object (a path, a member, a key),
// and what the router did instead.
type Error interface {
	error
	Kind() string // one or two words for counting and filtering, such as "keep-torn"; the same for all errors of a type and cause
	Hint() string // one sentence that says what to do
}

// Find returns the outermost Error in the chain of err, or nil.
func Find(err error) Error {
	var found Error
	if errors.As(err, &found) {
		return found
	}
	return nil
}

// Attrs returns the slog attributes of an error: err and, if the chain has an Error, error_kind and hint.
func Attrs(err error) []any {
	out := []any{slog.Any("err", err)}
	if found := Find(err); found != nil {
		out = append(out, slog.String("error_kind", found.Kind()), slog.String("hint", found.Hint()))
	}
	return out
}
