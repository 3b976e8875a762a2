// Package persistence decides which parts of the replicated state a router writes to its own disk, and when: which
// records the next batch contains, when it may be written, which records are queued again after a failure, and how old
// a restored record is. It depends neither on the meaning of the records nor on their format on disk (internal/store).
// A Queue is not safe for concurrent use.
package persistence

import (
	"errors"
	"fmt"

	"lotushook/policy/clock"
)

// Record is one persisted record. It carries an age instead of a time of day.
type Record struct {
	Kind       uint8 // chosen by the caller, from 1
	Key        []byte
	Value      []byte
	Age        clock.Nanos // time since the record was learned
	MinAgeOnly bool        // for a restored record: Age is only a lower bound
}

const recordOverhead = 64 // bytes of memory per record in addition to its key and value

// Size returns the record's size in memory, in bytes.
func (r *Record) Size() int { return recordOverhead + len(r.Key) + len(r.Value) }

// Settings bound the queue and the rate of writes.
type Settings struct {
	QueueBytes      int         // maximum size of the queued records; a batch of the same size may be in flight
	FsyncsPerSecond float64     // maximum
	RetryBackoff    clock.Nanos // delay after a failed batch, doubled after each further failure up to MaxRetryBackoff
	MaxRetryBackoff clock.Nanos
}

// DefaultSettings returns the settings of a router.
func DefaultSettings() Settings {
	return Settings{QueueBytes: 1 << 20, FsyncsPerSecond: 4, RetryBackoff: 1e9, MaxRetryBackoff: 30e9}
}

func (s *Settings) validate() error {
	switch {
	case s.QueueBytes < 1<<10:
		return fmt.Errorf("persistence: QueueBytes: %d is below 1024", s.QueueBytes)
	case !(s.FsyncsPerSecond >= 0.1 && s.FsyncsPerSecond <= 1000):
		return fmt.Errorf("persistence: FsyncsPerSecond: %v is not between 0.1 and 1000", s.FsyncsPerSecond)
	case s.RetryBackoff <= 0 || s.MaxRetryBackoff < s.RetryBackoff:
		return errors.New("persistence: RetryBackoff must be above 0, and MaxRetryBackoff not below RetryBackoff")
	}
	return nil
}

// Counts are the counters of a queue.
type Counts struct {
	Received  uint64 `json:"taken"`     // records passed to Put
	Coalesced uint64 `json:"coalesced"` // records that replaced a queued record of the same key
	Dropped   uint64 `json:"let_go"`    // while the queue was full: the copy on disk lacks them until they change again
	Batches   uint64 `json:"batches"`   // batches written
	Failed    uint64 `json:"failed"`    // batches not written, whose records were queued again
	Fsyncs    uint64 `json:"fsyncs"`
}

// AgeNow returns the current age of a restored record, and whether that is only a lower bound. age is the record's age
// when it was written; written and lastWritten are the wall-clock times at which the record and the last batch of the
// copy were written; now is the current wall-clock time. If the clock was set back in between, the elapsed time is
// unknown, and the age at the write is the lower bound. A clock that was set back by less than the downtime can't be
// detected, so no decision may rest on a restored age alone (policy/trust).
func AgeNow(age, written, lastWritten, now clock.Nanos) (clock.Nanos, bool) {
	if age < 0 || written > lastWritten || now < lastWritten {
		return max(0, age), true
	}
	if sum := age + (now - written); sum >= age {
		return sum, false
	}
	return age, true // the sum overflows
}
