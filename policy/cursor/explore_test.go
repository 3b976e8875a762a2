package cursor

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"

	"lotushook/policy/crdt"
)

// modelState is the state of one log with a failover that loses its last event, of three routers, and of two
// subscribers. The first subscriber sends its cursor, the second does not.
type modelState struct {
	logs     [2][]int64 // events of each history; the second history has only those after the fork
	forkedAt int64      // position at which the second history forked; 0: it has not begun
	routers  [3]struct {
		feed  *Feed
		known [2]Cursor
	}
	subscribers [2]struct {
		cursor               Position // the cursor of the last answer
		generation           int64
		received             []int64 // without the events that a rewind revoked
		startedAfter         int64   // events up to this position precede its start; -1: it has received nothing yet
		connectedTo          int     // index of the router with the subscriber's connection; -1: none
		connectionGeneration Generation
	}
	trace []string
}

var histories = [2]History{{1, 1}, {2, 2}}

func (state *modelState) afterEvent(format string, args ...any) *modelState {
	copied := *state
	for i := range copied.logs {
		copied.logs[i] = slices.Clone(copied.logs[i])
	}
	for i := range copied.routers {
		feed := *copied.routers[i].feed
		feed.lineage, feed.ring = slices.Clone(feed.lineage), slices.Clone(feed.ring)
		copied.routers[i].feed = &feed
	}
	for i := range copied.subscribers {
		copied.subscribers[i].received = slices.Clone(copied.subscribers[i].received)
	}
	copied.trace = append(slices.Clone(state.trace), fmt.Sprintf(format, args...))
	return &copied
}

func (state *modelState) hash() uint64 {
	hasher := fnv.New64a()
	fmt.Fprint(hasher, state.logs, state.forkedAt, state.subscribers)
	for _, router := range state.routers {
		fmt.Fprint(hasher, router.feed.lineage, router.feed.ring, router.feed.head, router.feed.end, router.known)
	}
	return hasher.Sum64()
}

// historyLog returns the lineage of a history and all events along it.
func (state *modelState) historyLog(historyIndex int) (Lineage, []int64) {
	if historyIndex == 0 {
		return Lineage{{histories[0], 0}}, state.logs[0]
	}
	count := 0
	for count < len(state.logs[0]) && state.logs[0][count] <= state.forkedAt {
		count++
	}
	return Lineage{{histories[0], 0}, {histories[1], state.forkedAt}}, append(slices.Clone(state.logs[0][:count]), state.logs[1]...)
}

const maxEvents = 3

// successors returns the states that one event can lead to. brokenRule names a rule to break on purpose.
//
//nolint:gocognit // one linear scenario or table of cases
func (state *modelState) successors(brokenRule string) (successors []*modelState) {
	newest := 0
	if state.forkedAt > 0 {
		newest = 1
	}
	if len(state.logs[0])+len(state.logs[1]) < maxEvents+newest {
		successor := state.afterEvent("commit")
		_, all := successor.historyLog(newest)
		position := successor.forkedAt + 1
		if len(all) > 0 {
			position = all[len(all)-1] + 1
		}
		successor.logs[newest] = append(successor.logs[newest], position)
		successors = append(successors, successor)
	}
	if newest == 0 && len(state.logs[0]) > 1 {
		successor := state.afterEvent("failover")
		successor.forkedAt = state.logs[0][len(state.logs[0])-2]
		successors = append(successors, successor)
	}
	for routerIndex := range state.routers {
		// A forked endpoint of the older history still answers.
		for historyIndex := 0; historyIndex <= newest; historyIndex++ {
			successor := state.afterEvent("router %d reads an endpoint of history %d", routerIndex, historyIndex)
			lineage, all := successor.historyLog(historyIndex)
			response := &Response{Lineage: lineage}
			if count := len(all); count > 0 {
				response.Head = all[count-1]
			}
			feed := successor.routers[routerIndex].feed
			if feedEnd, read := feed.End(); read {
				end, included := lineage.End(feedEnd.History)
				if !included {
					continue // the endpoint does not know that history and reports so
				}
				response.From = min(feedEnd.At, end)
			}
			for _, position := range all {
				if position > response.From {
					response.Events = append(response.Events, Event{At: position})
				}
			}
			feed.Apply(0, response, true)
			successors = append(successors, successor)
		}
		for subscriberIndex := range state.subscribers {
			successors = append(successors, state.request(routerIndex, subscriberIndex, false, brokenRule), state.request(routerIndex, subscriberIndex, true, brokenRule))
			for peerIndex := range state.routers {
				if routerIndex != peerIndex && state.routers[routerIndex].known[subscriberIndex].Compare(state.routers[peerIndex].known[subscriberIndex]) > 0 {
					successor := state.afterEvent("router %d sends router %d the cursor of subscriber %d", routerIndex, peerIndex, subscriberIndex)
					successor.routers[peerIndex].known[subscriberIndex] = successor.routers[peerIndex].known[subscriberIndex].Join(successor.routers[routerIndex].known[subscriberIndex])
					successors = append(successors, successor)
				}
			}
		}
	}
	return slices.DeleteFunc(successors, func(successor *modelState) bool { return successor == nil })
}

// request is a subscriber's request, on its connection if that is to the same router. A lost answer breaks the
// connection.
//
//nolint:gocognit,funlen // one linear scenario or table of cases
func (state *modelState) request(routerIndex, subscriberIndex int, lost bool, brokenRule string) *modelState {
	successor := state.afterEvent("subscriber %d sends a request to router %d, answer lost %v", subscriberIndex, routerIndex, lost)
	subscriber, router, self := &successor.subscribers[subscriberIndex], &successor.routers[routerIndex], crdt.Origin{Name: fmt.Sprint("r", routerIndex), Boot: 1}
	known := router.known[subscriberIndex]
	request := Request{Connection: NewConnection, Known: known, IssuedHere: known.RaisedBy == self}
	// The connection remembers the cursor of its last answer.
	if subscriberIndex == 0 || subscriber.connectedTo == routerIndex {
		request.Client = subscriber.cursor
	}
	if subscriber.connectedTo == routerIndex {
		if request.Connection = SameConnection; known.Generation.Compare(subscriber.connectionGeneration) > 0 {
			request.Connection = SupersededConnection
		}
	}
	if end, included := router.feed.lineage.End(request.Client.History); brokenRule == "positions without histories" && included && end < request.Client.At {
		request.Client.History = router.feed.lineage.Newest()
	}
	decision := router.feed.Decide(0, request, false)
	if brokenRule == "the cluster's cursor first" && decision.Outcome == Resume && known.Gen > 0 {
		decision.Start = known.Position
	}
	switch {
	case decision.RequiredRead != NoRead || decision.Outcome == ReadFirst:
		return nil
	case decision.Outcome == Fenced:
		subscriber.connectedTo = -1
		return successor
	case decision.Outcome == Snapshot || decision.Outcome == Future || decision.Outcome == Impossible:
		successor.trace = append(successor.trace, "BROKEN: "+decision.Outcome.String())
		return successor
	}
	events, cursorAfter, head := []Event(nil), decision.Start, router.feed.Head()
	if decision.Outcome != Wait || decision.Start.Compare(head) <= 0 && decision.Start.At <= head.At {
		events, cursorAfter, _ = router.feed.Batch(decision.Start, nil)
	}
	generation := subscriber.connectionGeneration
	if request.Connection == NewConnection {
		clientGeneration := subscriber.generation
		if subscriberIndex == 1 {
			clientGeneration = 0
		}
		generation = Generation{max(known.Gen, clientGeneration, head.At) + 1, self}
	}
	acked := min(decision.Start.At, cursorAfter.At)
	if decision.Outcome == BeginAtHead && brokenRule != "a start counts as acknowledged" {
		acked = NotAcknowledged
	}
	delivered := cursorAfter
	if decision.Outcome == Rewind && subscriberIndex == 1 && brokenRule != "a rewind counts as acknowledged" {
		delivered, acked = decision.Stale, known.Acked
	}
	// The position that the subscriber may have received stays known.
	if subscriberIndex == 1 && delivered.Compare(known.Position) < 0 {
		delivered = known.Position
	}
	if cursorAfter.At <= head.At {
		router.known[subscriberIndex] = router.known[subscriberIndex].Join(Cursor{generation, delivered, acked, 0})
	}
	if lost {
		subscriber.connectedTo = -1
		return successor
	}
	subscriber.connectedTo, subscriber.connectionGeneration, subscriber.generation, subscriber.cursor = routerIndex, generation, generation.Gen, cursorAfter
	if decision.Outcome == BeginAtHead {
		subscriber.received, subscriber.startedAfter = nil, cursorAfter.At
	}
	if decision.Outcome == Rewind {
		// The subscriber's start position may have been after the fork, on the history that the failover ended.
		subscriber.startedAfter = min(subscriber.startedAfter, decision.Start.At)
		subscriber.received = slices.DeleteFunc(subscriber.received, func(position int64) bool { return position > decision.Start.At })
	}
	// Another router may know the subscriber from before it started again at a router that did not know it.
	if subscriberIndex == 1 && len(events) > 0 {
		subscriber.startedAfter = min(subscriber.startedAfter, decision.Start.At)
	}
	for _, event := range events {
		subscriber.received = append(subscriber.received, event.At)
	}
	return successor
}

// violation returns what must never happen: an outcome without a cause, or received events that differ from the log of
// the subscriber's cursor.
func (state *modelState) violation() string {
	if last := state.trace[len(state.trace)-1]; last[:min(6, len(last))] == "BROKEN" {
		return last
	}
	for subscriberIndex := range state.subscribers {
		subscriber := &state.subscribers[subscriberIndex]
		if subscriber.startedAfter < 0 {
			continue
		}
		historyIndex := slices.Index(histories[:], subscriber.cursor.History)
		_, all := state.historyLog(historyIndex)
		var want []int64
		upTo := subscriber.cursor.At
		// A subscriber that is sent back receives the events in between again.
		if subscriberIndex == 1 && len(subscriber.received) > 0 {
			upTo = max(upTo, slices.Max(subscriber.received))
		}
		for _, position := range all {
			if position > subscriber.startedAfter && position <= upTo {
				want = append(want, position)
			}
		}
		received := subscriber.received
		if subscriberIndex == 1 { // the second subscriber receives some events again; the new ones must follow in order
			received = nil
			for _, position := range subscriber.received {
				if !slices.Contains(received, position) {
					received = append(received, position)
				}
			}
		}
		if !slices.Equal(received, want) {
			return fmt.Sprintf("subscriber %d at %v has received %v, want %v", subscriberIndex, subscriber.cursor, subscriber.received, want)
		}
	}
	return ""
}

// explore visits all states up to a depth, breadth first.
func explore(depth, maxStates int, brokenRule string) (states, reached int, trace []string, violation string) {
	settings := DefaultSettings()
	first := &modelState{trace: []string{"start"}}
	for i := range first.routers {
		first.routers[i].feed = NewFeed(&settings)
	}
	for i := range first.subscribers {
		first.subscribers[i].startedAfter, first.subscribers[i].connectedTo = -1, -1
	}
	// Both subscribers start at the first router while the log is empty. Then two events are committed.
	lineage := Lineage{{histories[0], 0}}
	first.routers[0].feed.Apply(0, &Response{Lineage: lineage}, true)
	for subscriberIndex := range first.subscribers {
		first = first.request(0, subscriberIndex, false, "")
	}
	first.logs[0] = []int64{1, 2}
	seen, frontier := map[uint64]bool{first.hash(): true}, []*modelState{first}
	for level := 1; level <= depth && len(frontier) > 0 && len(seen) < maxStates; level++ {
		var nextFrontier []*modelState
		for _, state := range frontier {
			for _, successor := range state.successors(brokenRule) {
				if text := successor.violation(); text != "" {
					return len(seen), level, successor.trace, text
				}
				if hash := successor.hash(); !seen[hash] && len(seen) < maxStates {
					seen[hash] = true
					nextFrontier = append(nextFrontier, successor)
				}
			}
		}
		frontier, reached = nextFrontier, level
	}
	return len(seen), reached, nil, ""
}

// Explores the sequences of endpoint reads before and after a failover, requests, lost answers, reconnects, and cursors
// replicated between routers. Rules that are broken on purpose are found.
func TestExplore(t *testing.T) {
	states, depth, trace, violation := explore(6, 60_000, "")
	if violation != "" {
		t.Fatalf("%s: %q", violation, trace)
	}
	t.Logf("%d states, depth %d", states, depth)
	for _, brokenRule := range []string{"positions without histories", "the cluster's cursor first", "a start counts as acknowledged", "a rewind counts as acknowledged"} {
		states, depth, trace, violation := explore(6, 60_000, brokenRule)
		if violation == "" {
			t.Errorf("%s: not found in %d states", brokenRule, states)
		}
		t.Logf("%s: %s after %d states, depth %d: %q", brokenRule, violation, states, depth, trace)
	}
}
