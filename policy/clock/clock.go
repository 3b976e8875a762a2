// Package clock defines the unit of time that all decision packages share. Decision packages never read a clock: their
// callers pass the time in.
package clock

// Nanos is a duration, or a time on the caller's clock, in nanoseconds. Times of different clocks are never compared.
type Nanos = int64

// Durations in nanoseconds.
const (
	Millisecond Nanos = 1e6
	Second      Nanos = 1e9
)
