package router

import (
	"time"

	"lotushook/policy/clock"
)

// unixClock is the Unix time at the process's start plus the monotonic time since then.
type unixClock struct {
	start time.Time
	unix  clock.Nanos
}

func newUnixClock() unixClock {
	now := time.Now()
	return unixClock{start: now, unix: now.UnixNano()}
}

func (c unixClock) now() clock.Nanos { return c.unix + int64(time.Since(c.start)) }

// at converts a time of the clock to a time.Time with a monotonic reading.
func (c unixClock) at(point clock.Nanos) time.Time { return c.start.Add(time.Duration(point - c.unix)) }
