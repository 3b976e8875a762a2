// Package clock names the unit of time that all decision packages share. They read no clock: whoever calls them
// passes the time in.
package clock

// Nanos is a span, or a point of the caller's clock, in nanoseconds. Points of different clocks are never compared.
type Nanos = int64

// Spans in nanoseconds.
const (
	Millisecond Nanos = 1e6
	Second      Nanos = 1e9
)
