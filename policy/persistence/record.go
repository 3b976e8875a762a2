// Package persistence decides what a router writes of the shared state to its own disk, and when: which records wait for the next
// batch, when that batch may go, what is put back after one that failed, and how old a record is that comes back. It knows
// neither what the records mean nor how they lie on disk (internal/store). A Queue belongs to whoever locks it.
package persistence

import (
	"errors"
	"fmt"

	"lotushook/policy/clock"
)

// Record is one thing that is kept. Its age travels; no point in time does.
type Record struct {
	Kind       uint8 // from 1, as the caller counts them
	Key        []byte
	Value      []byte
	Age        clock.Nanos // since it was learned
	MinAgeOnly bool        // of one that came back: it is at least so old, and nobody knows how much older
}

const recordOverhead = 64 // of a record beside its key and value, as it waits

// Size is what it takes up while it waits, in bytes.
func (r *Record) Size() int { return recordOverhead + len(r.Key) + len(r.Value) }

// Settings bound what waits and how often it is written.
type Settings struct {
	QueueBytes      int         // of records that wait; as much again may be on its way to the disk
	FsyncsPerSecond float64     // a second, at the most
	RetryBackoff    clock.Nanos // after a batch that failed; twice as long after each further one
	MaxRetryBackoff clock.Nanos
}

// DefaultSettings are settings for a router.
func DefaultSettings() Settings {
	return Settings{QueueBytes: 1 << 20, FsyncsPerSecond: 4, RetryBackoff: 1e9, MaxRetryBackoff: 30e9}
}

func (s *Settings) check() error {
	switch {
	case s.QueueBytes < 1<<10:
		return fmt.Errorf("keep: QueueBytes: %d is below 1024", s.QueueBytes)
	case !(s.FsyncsPerSecond >= 0.1 && s.FsyncsPerSecond <= 1000):
		return fmt.Errorf("keep: Fsyncs: %v is not between 0.1 and 1000", s.FsyncsPerSecond)
	case s.RetryBackoff <= 0 || s.MaxRetryBackoff < s.RetryBackoff:
		return errors.New("keep: Retry, MostRetry: missing or out of range")
	}
	return nil
}

// Counts are of a queue's life.
type Counts struct {
	Received  uint64 `json:"taken"`     // records that came
	Coalesced uint64 `json:"coalesced"` // of these, in place of one of the same key that still waited
	Dropped   uint64 `json:"let_go"`    // that found the queue full: the copy lacks them until they change again
	Batches   uint64 `json:"batches"`   // written
	Failed    uint64 `json:"failed"`    // not written, and put back
	Fsyncs    uint64 `json:"fsyncs"`
}

// AgeNow is how old a record is that was so old when it was written. The clocks are the wall's: written and last are what it
// showed when this record and when the last batch of the copy was written, now is what it shows. A clock that was set back
// since tells nothing of the time between: the record is then at least as old as it was, and unsure. One that was set back by
// less than the router was down can't be told; nothing may rest on a restored age alone (policy/trust).
func AgeNow(age, written, last, now clock.Nanos) (clock.Nanos, bool) {
	if age < 0 || written > last || now < last {
		return max(0, age), true
	}
	if sum := age + (now - written); sum >= age {
		return sum, false
	}
	return age, true // absurd clocks
}
