// Package persistence decides what a router writes of the replicated state to its own disk, and when: which records wait for the next
// batch, when that batch may be written, what is queued again after a failure, and how old a restored record is. It knows
// neither what the records mean nor their format on disk (internal/store). A Queue is not safe for concurrent use.
package persistence

import (
	"errors"
	"fmt"

	"lotushook/policy/clock"
)

// Record is one stored record. It has an age; it has no point in time.
type Record struct {
	Kind       uint8 // from 1, as the caller numbers them
	Key        []byte
	Value      []byte
	Age        clock.Nanos // since it was learned
	MinAgeOnly bool        // of a restored one: it is at least so old
}

const recordOverhead = 64 // of a record beside its key and value, in memory

// Size is a record's size in memory, in bytes.
func (r *Record) Size() int { return recordOverhead + len(r.Key) + len(r.Value) }

// Settings bound the queue and the rate of writes.
type Settings struct {
	QueueBytes      int         // of queued records; as much again may be in progress
	FsyncsPerSecond float64     // at most
	RetryBackoff    clock.Nanos // after a batch that failed; doubled after each further one
	MaxRetryBackoff clock.Nanos
}

// DefaultSettings are settings for a router.
func DefaultSettings() Settings {
	return Settings{QueueBytes: 1 << 20, FsyncsPerSecond: 4, RetryBackoff: 1e9, MaxRetryBackoff: 30e9}
}

func (s *Settings) check() error {
	switch {
	case s.QueueBytes < 1<<10:
		return fmt.Errorf("persistence: QueueBytes: %d is below 1024", s.QueueBytes)
	case !(s.FsyncsPerSecond >= 0.1 && s.FsyncsPerSecond <= 1000):
		return fmt.Errorf("persistence: FsyncsPerSecond: %v is not between 0.1 and 1000", s.FsyncsPerSecond)
	case s.RetryBackoff <= 0 || s.MaxRetryBackoff < s.RetryBackoff:
		return errors.New("persistence: RetryBackoff is above 0, and MaxRetryBackoff not below it")
	}
	return nil
}

// Counts are a queue's counts.
type Counts struct {
	Received  uint64 `json:"taken"`     // records passed to Put
	Coalesced uint64 `json:"coalesced"` // of these, in place of a queued one of the same key
	Dropped   uint64 `json:"let_go"`    // while the queue was full: the copy lacks them until they change again
	Batches   uint64 `json:"batches"`   // written
	Failed    uint64 `json:"failed"`    // not written, and queued again
	Fsyncs    uint64 `json:"fsyncs"`
}

// AgeNow is the present age of a record that had a given age when it was written. The clocks are wall clocks: written and last are the
// times at which this record and the last batch of the copy were written, now is the present time. A clock that was set back
// since says nothing about the time between: the record is then at least as old as it was, and unsure. One that was set back by
// less than the downtime can't be detected; nothing may rest on a restored age alone (policy/trust).
func AgeNow(age, written, last, now clock.Nanos) (clock.Nanos, bool) {
	if age < 0 || written > last || now < last {
		return max(0, age), true
	}
	if sum := age + (now - written); sum >= age {
		return sum, false
	}
	return age, true // impossible clocks
}
