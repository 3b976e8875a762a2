// Package cursor decides where a subscriber's reading of a feed resumes: from the cursor that the subscriber sends, from what
// the routers know of it, and from the log of the member that was read. The decision is a row of one table
// (Choose), which docs/design/cursors.md prints; a Registry holds the cursors that this router issued, a Feed the recent events
// of one group's log, a Limiter how many may catch up, or reconnect, at a time. How cursors travel between routers, how
// members are read and which of them it is, is not decided here.
//
// A log belongs to a history, and each take-over begins another one, which contains the log of the one before it up to the position
// where it forked. Positions are never compared across histories except along a lineage.
package cursor

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"lotushook/policy/clock"
)

// History names one run of a log under one primary: how many take-overs there were before it, and a number drawn at its start,
// by which two that began at once are told apart. The zero History is none.
type History struct{ Era, ID uint32 }

// ErrHistory reports a history's name that can't be parsed.
var ErrHistory = errors.New("no history")

// ParseHistory parses a name as String writes it, such as 3-9f2c11ab.
func ParseHistory(s string) (History, error) {
	era, id, ok := strings.Cut(s, "-")
	e, err := strconv.ParseUint(era, 10, 32)
	i, err2 := strconv.ParseUint(id, 16, 32)
	h := History{uint32(e), uint32(i)}
	if !ok || err != nil || err2 != nil || h.String() != s || h == (History{}) {
		return History{}, fmt.Errorf("%w: %.40q", ErrHistory, s)
	}
	return h, nil
}

// String is the name; "" of none.
func (h History) String() string {
	if h == (History{}) {
		return ""
	}
	return fmt.Sprintf("%d-%08x", h.Era, h.ID)
}

// Compare orders a history after all that it descends from, and two of one era in a fixed order.
func (h History) Compare(g History) int {
	return cmp.Or(cmp.Compare(h.Era, g.Era), cmp.Compare(h.ID, g.ID))
}

// Number packs a history; the order of the numbers is that of Compare.
func (h History) Number() uint64 { return uint64(h.Era)<<32 | uint64(h.ID) }

// HistoryOf unpacks one.
func HistoryOf(n uint64) History { return History{uint32(n >> 32), uint32(n)} }

// Position is a place in a log: the events up to At, of History, are received.
type Position struct {
	History
	At int64
}

// Compare goes by history, then by position.
func (p Position) Compare(q Position) int {
	return cmp.Or(p.History.Compare(q.History), cmp.Compare(p.At, q.At))
}

// Fork is one history of a lineage, and the position up to which it equals the one before.
type Fork struct {
	History
	From int64
}

// Lineage is a log's histories, oldest first: each descends from the one before.
type Lineage []Fork

// MaxLineage is the maximum length of a lineage; older histories are dropped, as with the retention.
const MaxLineage = 16

// Check says whether it can be a lineage: eras rise, forks don't fall.
func (l Lineage) Check() error {
	if len(l) == 0 || len(l) > MaxLineage {
		return fmt.Errorf("a line of %d histories", len(l))
	}
	for i, f := range l {
		if f.From < 0 || f.History == (History{}) || i > 0 && (f.Era <= l[i-1].Era || f.From < l[i-1].From) {
			return fmt.Errorf("history %s at %d can't follow", f.History, f.From)
		}
	}
	return nil
}

// Newest is the last of them.
func (l Lineage) Newest() History {
	if len(l) == 0 {
		return History{}
	}
	return l[len(l)-1].History
}

// End is the position up to which a history is part of this lineage: unbounded for the newest.
func (l Lineage) End(h History) (at int64, on bool) {
	for i, f := range l {
		if f.History == h {
			if i+1 < len(l) {
				return l[i+1].From, true
			}
			return math.MaxInt64, true
		}
	}
	return 0, false
}

// Event is one event with its position. Positions of a history rise.
type Event struct {
	At   int64
	Text string
}

// Response is a member's answer: its lineage, what is retained of its log, and the events after a position.
type Response struct {
	Line          Lineage
	TruncatedUpTo int64 // events up to this position are not retained any more; 0: all are
	Head          int64 // its last event's position
	From          int64 // the events are those after it
	Events        []Event
	More          bool // there are more than these
}

// Check says whether a response can be right.
func (a *Response) Check() error {
	if err := a.Line.Check(); err != nil {
		return err
	}
	last := a.From
	for _, e := range a.Events {
		if e.At <= last || e.At > a.Head {
			return fmt.Errorf("event at %d after %d, of %d", e.At, last, a.Head)
		}
		last = e.At
	}
	if a.From < 0 || a.TruncatedUpTo < 0 || a.Head < a.TruncatedUpTo || a.More && len(a.Events) == 0 {
		return fmt.Errorf("from %d, kept after %d, up to %d", a.From, a.TruncatedUpTo, a.Head)
	}
	return nil
}

// Settings bound what is held, and the reads at data servers.
type Settings struct {
	MaxCursors            int         // in a Registry
	RingEvents            int         // recent ones of one feed
	RingBytes             int         // of their texts
	BatchEvents           int         // events in one answer
	BatchBytes            int         // of their texts; one event goes whatever its length
	EndReadInterval       clock.Nanos // a feed's end is read again after it
	PollInterval          clock.Nanos // a subscriber that has everything is told to return after it
	MaxAhead              int64       // a cursor so far beyond the newest known position is invalid
	CatchUpReadsPerSecond float64     // reads a second for subscribers behind the ring
	ReconnectsPerSecond   float64     // subscribers a second that may reconnect or start; the rest gets a Retry-After time
	MaxRetryAfter         clock.Nanos // the longest Retry-After time
}

// DefaultSettings are settings for a router.
func DefaultSettings() Settings {
	const ms = 1e6
	return Settings{MaxCursors: 100_000, RingEvents: 1024, RingBytes: 256 << 10, BatchEvents: 64, BatchBytes: 32 << 10, EndReadInterval: 250 * ms, PollInterval: 1000 * ms,
		MaxAhead: 60_000, CatchUpReadsPerSecond: 5, ReconnectsPerSecond: 500, MaxRetryAfter: 20_000 * ms}
}

// Check returns an error that names the first invalid field.
func (s *Settings) Check() error {
	switch {
	case s.MaxCursors < 1 || s.MaxCursors > 10_000_000:
		return fmt.Errorf("most_cursors: %d is not between 1 and ten millions", s.MaxCursors)
	case s.RingEvents < 1 || s.RingEvents > 1<<20 || s.RingBytes < 1 || s.RingBytes > 1<<28:
		return fmt.Errorf("ring_events, ring_bytes: %d and %d are not between 1 and 1048576, and 268435456", s.RingEvents, s.RingBytes)
	case s.BatchEvents < 1 || s.BatchEvents > 10_000 || s.BatchBytes < 1 || s.BatchBytes > 1<<19:
		return fmt.Errorf("batch_events, batch_bytes: %d and %d are not between 1 and 10000, and 524288", s.BatchEvents, s.BatchBytes)
	case s.EndReadInterval <= 0 || s.PollInterval <= 0 || s.MaxRetryAfter <= 0:
		return errors.New("fresh_ms, again_ms, spread_ms: not above 0")
	case s.MaxAhead < 1:
		return fmt.Errorf("future_ms: %d is below 1", s.MaxAhead)
	case !(s.CatchUpReadsPerSecond > 0 && s.CatchUpReadsPerSecond <= 1e6) || !(s.ReconnectsPerSecond > 0 && s.ReconnectsPerSecond <= 1e6):
		return errors.New("catch_up_per_s, return_per_s: not above 0, or over a million")
	}
	return nil
}
