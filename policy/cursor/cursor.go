// Package cursor decides where a subscriber's reading of a change feed resumes, based on the cursor that the subscriber
// sends, on what the routers know of it, and on the log of the endpoint that was read. The decision is an outcome from
// one table (ChooseOutcome), which docs/design/cursors.md documents. A Registry holds the cursors that this router
// issued, a Feed the recent events of one group's log, and a Limiter limits the rate of catch-up reads and reconnects.
// The package does not decide how cursors are replicated between routers, nor which endpoint is read and how.
//
// A subscriber is a client that reads a feed under a name. Its cursor is the log position up to which it has received
// the events. The generation of a cursor increases with each reconnect of the subscriber, which shows which of its
// connections is the latest.
//
// Each failover begins a new history of the log, which contains the previous history up to the position of the fork.
// The lineage of a log lists its histories. Positions of different histories are only compared along a lineage. A
// subscriber that has received events beyond a fork, which are void after the failover, is sent back to the fork
// (Rewind).
//
// The head of a feed is the greatest known position on the newest lineage, its end the position up to which this
// router has read the events, and its ring the events before the end that this router still holds in memory.
// Subscribers behind the ring need a catch-up read, which reads older events from an endpoint.
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

// History identifies the part of a log that was written under one primary, between two failovers. Era is the number of
// failovers before it. ID is a random number drawn at its start, which distinguishes histories that began at the same
// failover. The zero History stands for none.
type History struct{ Era, ID uint32 }

// ErrHistory is wrapped by the errors of ParseHistory.
var ErrHistory = errors.New("no history")

// ParseHistory parses a name in the form that String returns, such as 3-9f2c11ab.
func ParseHistory(name string) (History, error) {
	era, id, ok := strings.Cut(name, "-")
	eraNumber, eraErr := strconv.ParseUint(era, 10, 32)
	idNumber, idErr := strconv.ParseUint(id, 16, 32)
	history := History{uint32(eraNumber), uint32(idNumber)}
	if !ok || eraErr != nil || idErr != nil || history.String() != name || history == (History{}) {
		return History{}, fmt.Errorf("%w: %.40q", ErrHistory, name)
	}
	return history, nil
}

// String returns the name of the history, which is empty for the zero History.
func (history History) String() string {
	if history == (History{}) {
		return ""
	}
	return fmt.Sprintf("%d-%08x", history.Era, history.ID)
}

// Compare orders a history after all histories that it descends from, and histories of the same era in a fixed order.
func (history History) Compare(other History) int {
	return cmp.Or(cmp.Compare(history.Era, other.Era), cmp.Compare(history.ID, other.ID))
}

// Number packs the history into one number. Numbers are ordered like Compare orders histories.
func (history History) Number() uint64 { return uint64(history.Era)<<32 | uint64(history.ID) }

// HistoryFromNumber unpacks a number that History.Number returned.
func HistoryFromNumber(number uint64) History { return History{uint32(number >> 32), uint32(number)} }

// Position is a position in a log. As a cursor it means that the events of History up to and including At have been
// received.
type Position struct {
	History
	At int64
}

// Compare orders positions by history, then by At.
func (position Position) Compare(other Position) int {
	return cmp.Or(position.History.Compare(other.History), cmp.Compare(position.At, other.At))
}

// Fork is one history of a lineage, and the position From up to which its log equals that of the previous history.
type Fork struct {
	History
	From int64
}

// Lineage lists the histories of a log, oldest first. Each history continues the previous one from a fork.
type Lineage []Fork

// MaxLineage is the maximum number of histories in a lineage. The oldest ones are dropped, as old events are.
const MaxLineage = 16

// Check returns an error if the lineage is invalid. Eras must increase, and fork positions must not decrease.
func (lineage Lineage) Check() error {
	if len(lineage) == 0 || len(lineage) > MaxLineage {
		return fmt.Errorf("a line of %d histories", len(lineage))
	}
	for i, fork := range lineage {
		if fork.From < 0 || fork.History == (History{}) || i > 0 && (fork.Era <= lineage[i-1].Era || fork.From < lineage[i-1].From) {
			return fmt.Errorf("history %s at %d can't follow", fork.History, fork.From)
		}
	}
	return nil
}

// Newest returns the newest history of the lineage.
func (lineage Lineage) Newest() History {
	if len(lineage) == 0 {
		return History{}
	}
	return lineage[len(lineage)-1].History
}

// End returns the position up to which a history is part of the lineage, which is unlimited for the newest history.
func (lineage Lineage) End(history History) (at int64, included bool) {
	for i, fork := range lineage {
		if fork.History == history {
			if i+1 < len(lineage) {
				return lineage[i+1].From, true
			}
			return math.MaxInt64, true
		}
	}
	return 0, false
}

// Event is one event with its position. Positions increase within a history.
type Event struct {
	At   int64
	Text string
}

// Response is an endpoint's answer to a read: the lineage of its log, the range of positions whose events the log
// retains, and the events after a position.
type Response struct {
	Lineage       Lineage
	TruncatedUpTo int64 // events up to this position are no longer retained; 0: all are
	Head          int64 // position of the log's last event
	From          int64 // the response contains the events after this position
	Events        []Event
	More          bool // more events follow the ones in the response
}

// Check returns an error if the response is inconsistent.
func (response *Response) Check() error {
	if err := response.Lineage.Check(); err != nil {
		return err
	}
	previous := response.From
	for _, event := range response.Events {
		if event.At <= previous || event.At > response.Head {
			return fmt.Errorf("event at %d after %d, of %d", event.At, previous, response.Head)
		}
		previous = event.At
	}
	if response.From < 0 || response.TruncatedUpTo < 0 || response.Head < response.TruncatedUpTo || response.More && len(response.Events) == 0 {
		return fmt.Errorf("from %d, kept after %d, up to %d", response.From, response.TruncatedUpTo, response.Head)
	}
	return nil
}

// Settings limit what a router stores for feeds, and the rate of its reads from data servers.
type Settings struct {
	MaxCursors            int         // cursors held by a Registry
	RingEvents            int         // recent events held per feed
	RingBytes             int         // total size of the texts of the recent events of one feed
	BatchEvents           int         // events in one answer
	BatchBytes            int         // total size of the texts in one answer; a single event is sent whatever its size
	EndReadInterval       clock.Nanos // minimum time between two reads of a feed's end
	PollInterval          clock.Nanos // time after which a subscriber that has all events is told to retry
	MaxAhead              int64       // a cursor that exceeds the newest known position by more than this is invalid
	CatchUpReadsPerSecond float64     // catch-up reads
	ReconnectsPerSecond   float64     // subscribers that may reconnect or start; the others get a Retry-After time
	MaxRetryAfter         clock.Nanos // maximum Retry-After time
}

// DefaultSettings returns the default settings of a router.
func DefaultSettings() Settings {
	const ms = 1e6
	return Settings{MaxCursors: 100_000, RingEvents: 1024, RingBytes: 256 << 10, BatchEvents: 64,
		BatchBytes: 32 << 10, EndReadInterval: 250 * ms, PollInterval: 1000 * ms,
		MaxAhead: 60_000, CatchUpReadsPerSecond: 5, ReconnectsPerSecond: 500, MaxRetryAfter: 20_000 * ms}
}

// Check returns an error that names the first invalid field by its name in the settings file.
func (settings *Settings) Check() error {
	switch {
	case settings.MaxCursors < 1 || settings.MaxCursors > 10_000_000:
		return fmt.Errorf("most_cursors: %d is not between 1 and ten millions", settings.MaxCursors)
	case settings.RingEvents < 1 || settings.RingEvents > 1<<20 || settings.RingBytes < 1 || settings.RingBytes > 1<<28:
		return fmt.Errorf("ring_events, ring_bytes: %d and %d are not between 1 and 1048576, and 268435456", settings.RingEvents, settings.RingBytes)
	case settings.BatchEvents < 1 || settings.BatchEvents > 10_000 || settings.BatchBytes < 1 || settings.BatchBytes > 1<<19:
		return fmt.Errorf("batch_events, batch_bytes: %d and %d are not between 1 and 10000, and 524288", settings.BatchEvents, settings.BatchBytes)
	case settings.EndReadInterval <= 0 || settings.PollInterval <= 0 || settings.MaxRetryAfter <= 0:
		return errors.New("fresh_ms, again_ms, spread_ms: not above 0")
	case settings.MaxAhead < 1:
		return fmt.Errorf("future_ms: %d is below 1", settings.MaxAhead)
	case !(settings.CatchUpReadsPerSecond > 0 && settings.CatchUpReadsPerSecond <= 1e6) ||
		!(settings.ReconnectsPerSecond > 0 && settings.ReconnectsPerSecond <= 1e6):
		return errors.New("catch_up_per_s, return_per_s: not above 0, or over a million")
	}
	return nil
}
