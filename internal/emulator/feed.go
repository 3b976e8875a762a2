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

// history is one branch of a group's log: the events of its parent up to from, followed by its own. All events are kept
// for the audit, but those beyond the retention limit are no longer served.
type history struct {
	cursor.History
	parent *history
	from   int64
	events []cursor.Event
}

// last returns the position of the last event at or before a limit, in this history or its ancestors; 0: none.
func (branch *history) last(limit int64) int64 {
	for ; branch != nil; branch = branch.parent {
		if index := after(branch.events, limit); index > 0 {
			return branch.events[index-1].At
		}
		limit = min(limit, branch.from)
	}
	return 0
}

// after returns the index of the first event after a position.
func after(events []cursor.Event, position int64) int {
	index, _ := slices.BinarySearchFunc(events, position+1, func(event cursor.Event, position int64) int { return int(min(max(event.At-position, -1), 1)) })
	return index
}

// log returns the lineage of a history and all events up to a limit.
func (branch *history) log(limit int64) (lineage cursor.Lineage, events []cursor.Event) {
	if branch == nil {
		return nil, nil
	}
	lineage, events = branch.parent.log(min(limit, branch.from))
	return append(lineage, cursor.Fork{History: branch.History, From: branch.from}), append(events, branch.events[:after(branch.events, limit)]...)
}

// appendLog appends a commit to the log, if the fleet has logs, and returns its position, which is after all others in
// the log.
func (group *Group) appendLog(server *Server, position int64, key string) int64 {
	if group.fleet.Retain == 0 {
		return position
	}
	history := server.history
	position = max(position-group.clockOffset.Milliseconds(), history.from+1, history.last(1<<62)+1)
	history.events = append(history.events, cursor.Event{At: position, Text: key})
	return position
}

// fork begins a new history at a new primary, without its last events if LoseOnFailover has set a number. The other
// servers switch to it later; until then they serve their old history, including the lost events.
func (group *Group) fork(primary *Server, now time.Time) {
	if group.fleet.Retain == 0 || primary == nil {
		return
	}
	_, events := primary.history.log(primary.position(now))
	kept := max(0, len(events)-group.lose)
	from := int64(0)
	if kept > 0 {
		from = events[kept-1].At
	}
	group.lose = 0
	primary.history = &history{History: cursor.History{Era: primary.history.Era + 1, ID: group.rng.Uint32()}, parent: primary.history, from: max(from, primary.history.from)}
	for _, server := range group.servers {
		if server != primary {
			group.joinHistory(server)
		}
	}
}

// joinHistory makes a server follow the primary's history after the failover delay, if there is a primary and the
// server is running then.
func (group *Group) joinHistory(server *Server) {
	if group.fleet.Retain == 0 {
		return
	}
	time.AfterFunc(group.fleet.FailoverDelay, func() {
		group.mu.Lock()
		defer group.mu.Unlock()
		if group.primary != nil && server.up() {
			server.history = group.primary.history
		}
	})
}

// LoseOnFailover makes the next failover of the group lose a number of events in addition to those that the new primary
// lacks.
func (group *Group) LoseOnFailover(events int) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.lose = events
}

// SetClockBack sets the primary's clock back. Positions still increase from the last one.
func (group *Group) SetClockBack(offset time.Duration) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.clockOffset = offset
}

// Log returns the primary's lineage and all of its events, or nothing while there is no primary.
func (group *Group) Log() (cursor.Lineage, []cursor.Event) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if group.primary == nil {
		return nil, nil
	}
	return group.primary.history.log(1 << 62)
}

// requestedEvents returns the number of events that a statement requests, as 64 in SELECT feed(64).
func requestedEvents(request *pgwire.Request) int {
	_, arguments, _ := strings.Cut(request.Statement(), "feed(")
	count, _ := strconv.Atoi(strings.SplitN(arguments, ")", 2)[0])
	return min(max(count, 1), 1000)
}

// readFeed answers with the events that follow a cursor in this server's log, or with error 72000 if the server does
// not know the cursor's history yet.
func (server *Server) readFeed(request *pgwire.Request, maxEvents int) []byte {
	group := server.group
	position := server.position(time.Now())
	group.mu.Lock()
	if group.primary == server {
		position = 1 << 62
	}
	lineage, events := server.history.log(position)
	group.audit.FeedReads++
	group.mu.Unlock()
	response := &cursor.Response{Lineage: lineage[max(0, len(lineage)-cursor.MaxLineage):]}
	if count := len(events); count > 0 {
		response.Head = events[count-1].At
		if count > group.fleet.Retain {
			response.TruncatedUpTo = events[count-1-group.fleet.Retain].At
		}
		response.From = response.TruncatedUpTo
		if index := count - 1 - maxEvents; index >= 0 {
			response.From = max(response.TruncatedUpTo, events[index].At)
		}
	}
	if request.HasAfter {
		history, err := cursor.ParseHistory(request.History)
		if err != nil {
			return pgwire.AppendError(nil, "ERROR", pgwire.CodeInvalidParameter, err.Error(), "")
		}
		switch end, known := lineage.End(history); {
		case known:
			response.From = max(response.TruncatedUpTo, min(request.After, end))
		case history.Compare(lineage.Newest()) > 0:
			group.updateAudit(func(audit *Audit) { audit.Misses++ })
			return server.withStatus(pgwire.AppendError(nil, "ERROR", pgwire.CodeTooFarBehind, "not of this history yet", ""), 0)
		default:
			response.From = response.Head
		}
	}
	response.Events = events[after(events, response.From):]
	if len(response.Events) > maxEvents {
		response.Events, response.More = response.Events[:maxEvents], true
	}
	value, err := changefeed.EncodeResponse(response)
	if err != nil {
		panic(err) // can't fail: the value contains only numbers and strings
	}
	return server.withStatus(row(string(value)), 0)
}
