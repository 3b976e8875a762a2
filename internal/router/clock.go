package router

import (
	"time"

	"lotushook/policy/clock"
)

// unixClock is Unix time at the start, moved on by the monotonic clock.
type unixClock struct {
	start time.Time
	unix  clock.Nanos
}

func newUnixClock() unixClock {
	now := time.Now()
	return unixClock{start: now, unix: now.UnixNano()}
}

func (c unixClock) now() clock.Nanos { return c.unix + int64(time.Since(c.start)) }

// at is the time of a point of the clock, with its monotonic reading.
func (c unixClock) at(point clock.Nanos) time.Time { return c.start.Add(time.Duration(point - c.unix)) }
