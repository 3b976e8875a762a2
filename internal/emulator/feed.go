package emulator

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"lotushook/internal/changefeed"
	"lotushook/internal/pgwire"
	"lotushook/policy/cursor"
)

// history is one run of a group's log: it has its parent's events up to from, and then its own. Nothing is forgotten here, for
// the audit; what is older than the retention is only not told any more.
type history struct {
	cursor.History
	parent *history
	from   int64
	events []cursor.Event
}

// last is the position of the last event at or before a limit, along the parents.
func (h *history) last(limit int64) int64 {
	for ; h != nil; h = h.parent {
		if i := after(h.events, limit); i > 0 {
			return h.events[i-1].At
		}
		limit = min(limit, h.from)
	}
	return 0
}

// after is the index of the first event beyond a position.
func after(list []cursor.Event, at int64) int {
	i, _ := slices.BinarySearchFunc(list, at+1, func(e cursor.Event, at int64) int { return int(min(max(e.At-at, -1), 1)) })
	return i
}

// log is all that a history has up to a limit, and its line.
func (h *history) log(limit int64) (line cursor.Lineage, events []cursor.Event) {
	if h == nil {
		return nil, nil
	}
	line, events = h.parent.log(min(limit, h.from))
	return append(line, cursor.Fork{History: h.History, From: h.from}), append(events, h.events[:after(h.events, limit)]...)
}

// note puts a commit into the log, where the fleet keeps one, and returns its position: after all that the log has.
func (g *Group) note(s *Server, pos int64, key string) int64 {
	if g.fleet.Retain == 0 {
		return pos
	}
	h := s.history
	pos = max(pos-g.clockOffset.Milliseconds(), h.from+1, h.last(1<<62)+1)
	h.events = append(h.events, cursor.Event{At: pos, Text: key})
	return pos
}

// fork begins another history at a new primary, which has lost so many of the events that it had. The others come over by and by:
// until then they have what they had, the lost ones too.
func (g *Group) fork(best *Server, now time.Time) {
	if g.fleet.Retain == 0 || best == nil {
		return
	}
	_, events := best.history.log(best.position(now))
	keep := max(0, len(events)-g.lose)
	from := int64(0)
	if keep > 0 {
		from = events[keep-1].At
	}
	g.lose = 0
	best.history = &history{History: cursor.History{Era: best.history.Era + 1, ID: g.rng.Uint32()}, parent: best.history, from: max(from, best.history.from)}
	for _, s := range g.servers {
		if s != best {
			g.rejoin(s)
		}
	}
}

// rejoin has a server follow the primary's history after a while, if there is one then and it still runs.
func (g *Group) rejoin(s *Server) {
	if g.fleet.Retain == 0 {
		return
	}
	time.AfterFunc(g.fleet.Takeover, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.primary != nil && s.up() {
			s.history = g.primary.history
		}
	})
}

// Lose has the next take-over of the group lose so many events more than replicas lack.
func (g *Group) Lose(events int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lose = events
}

// SetClockBack sets the primary's clock back: positions go on from the last one.
func (g *Group) SetClockBack(by time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clockOffset = by
}

// Log is the primary's line and all of its events; nothing while there is no primary.
func (g *Group) Log() (cursor.Lineage, []cursor.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary == nil {
		return nil, nil
	}
	return g.primary.history.log(1 << 62)
}

// requestedEvents is how many events a statement wants: SELECT feed(64).
func requestedEvents(r *pgwire.Request) int {
	_, s, _ := strings.Cut(r.Statement(), "feed(")
	n, _ := strconv.Atoi(strings.SplitN(s, ")", 2)[0])
	return min(max(n, 1), 1000)
}

// readFeed answers what follows a cursor in this server's log: 72000 where it has not come so far, or has not heard of its history.
func (s *Server) readFeed(r *pgwire.Request, most int) []byte {
	g := s.group
	limit := s.position(time.Now())
	g.mu.Lock()
	if g.primary == s {
		limit = 1 << 62
	}
	line, events := s.history.log(limit)
	g.audit.FeedReads++
	g.mu.Unlock()
	a := &cursor.Response{Lineage: line[max(0, len(line)-cursor.MaxLineage):]}
	if n := len(events); n > 0 {
		a.Head = events[n-1].At
		if n > g.fleet.Retain {
			a.TruncatedUpTo = events[n-1-g.fleet.Retain].At
		}
		a.From = a.TruncatedUpTo
		if i := n - 1 - most; i >= 0 {
			a.From = max(a.TruncatedUpTo, events[i].At)
		}
	}
	if r.HasAfter {
		h, err := cursor.ParseHistory(r.History)
		if err != nil {
			return pgwire.AppendError(nil, "ERROR", pgwire.CodeInvalidParameter, err.Error(), "")
		}
		switch end, on := line.End(h); {
		case on:
			a.From = max(a.TruncatedUpTo, min(r.After, end))
		case h.Compare(line.Newest()) > 0:
			g.count(func(a *Audit) { a.Misses++ })
			return s.says(pgwire.AppendError(nil, "ERROR", pgwire.CodeTooFarBehind, "not of this history yet", ""), 0)
		default:
			a.From = a.Head
		}
	}
	a.Events = events[after(events, a.From):]
	if len(a.Events) > most {
		a.Events, a.More = a.Events[:most], true
	}
	value, err := changefeed.EncodeResponse(a)
	if err != nil {
		panic(err) // numbers and strings alone
	}
	return s.says(row(string(value)), 0)
}
