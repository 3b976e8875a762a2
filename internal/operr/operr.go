// Package operr is what an error owes to the operator who reads it: which kind it is, and what can be done. Types of such errors
// stand where they arise; this package only finds them in a chain and writes them into a log.
package operr

import (
	"errors"
	"log/slog"
)

// Error is one that an operator can act on. Its text says what failed, on what (a path, a member, a key), and what the router
// did instead.
type Error interface {
	error
	Kind() string // one word or two for counting and filtering, as "keep-torn"; the same for all errors of a type and cause
	Hint() string // one sentence that tells what to do
}

// Of is the outermost such error in a chain; nil if there is none.
func Of(err error) Error {
	var e Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// Attrs are an error's attributes for slog: err, and error_kind and hint where the chain has them.
func Attrs(err error) []any {
	out := []any{slog.Any("err", err)}
	if e := Of(err); e != nil {
		out = append(out, slog.String("error_kind", e.Kind()), slog.String("hint", e.Hint()))
	}
	return out
}
