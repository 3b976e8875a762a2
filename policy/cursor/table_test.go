package cursor

import (
	"os"
	"slices"
	"strings"
	"testing"
)

var (
	connectionNames = []string{"goes-on", "returns", "outrun"}
	clientNames     = []string{"none", "behind", "equal", "ahead", "future", "other", "old"}
	clusterNames    = []string{"none", "forgot", "behind", "equal", "ahead", "doubted", "other"}
	endpointNames   = []string{"unknown", "covers", "behind", "forked"}
)

// documentedRows returns the rows of the table in the design document.
func documentedRows(t *testing.T) (rows [][]string) {
	t.Helper()
	raw, err := os.ReadFile("../../docs/design/cursors.md")
	if err != nil {
		t.Fatal(err)
	}
	inTable := false
	for line := range strings.Lines(string(raw)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		switch {
		case cells[0] == "turn":
			inTable = true
		case len(cells) < 6:
			inTable = false
		case inTable && cells[0] != "---":
			rows = append(rows, cells)
		}
	}
	return rows
}

// The code follows the table of the design document for every combination of states. Every row of the table is used,
// and all of its words are known.
//
//nolint:gocognit // one linear scenario or table of cases
func TestTable(t *testing.T) {
	rows := documentedRows(t)
	axes := [][]string{connectionNames, clientNames, clusterNames, endpointNames}
	for _, row := range rows {
		for i, names := range axes {
			for word := range strings.SplitSeq(row[i], ", ") {
				if word != "*" && !slices.Contains(names, word) {
					t.Errorf("%v: unknown word %q", row, word)
				}
			}
		}
		if !slices.Contains(outcomeNames[:], row[4]) {
			t.Errorf("%v: unknown outcome %q", row, row[4])
		}
	}
	matches := func(cell, name string) bool {
		return cell == "*" || slices.Contains(strings.Split(cell, ", "), name)
	}
	matched, combinations := map[int]bool{}, 0
	for connectionIndex, connection := range connectionNames {
		for clientIndex, client := range clientNames {
			for clusterIndex, cluster := range clusterNames {
				for endpointIndex, endpoint := range endpointNames {
					combinations++
					rowIndex := slices.IndexFunc(rows, func(row []string) bool {
						return matches(row[0], connection) && matches(row[1], client) && matches(row[2], cluster) && matches(row[3], endpoint)
					})
					got := ChooseOutcome(ConnectionState(connectionIndex), ClientState(clientIndex), ClusterState(clusterIndex), EndpointState(endpointIndex))
					if rowIndex < 0 || rows[rowIndex][4] != got.String() {
						t.Errorf("%s %s %s %s: %s, row %d of the document", connection, client, cluster, endpoint, got, rowIndex)
					}
					matched[rowIndex] = true
				}
			}
		}
	}
	if combinations != 588 || len(matched) != len(rows) {
		t.Errorf("%d combinations, %d of %d rows used", combinations, len(matched), len(rows))
	}
}

func positionOf(era, id uint32, at int64) Position { return Position{History{era, id}, at} }

// exampleFeed returns a feed after one response: history 1 up to 100, then history 2, with an event at each multiple of
// 10 from 60 to 150. Events up to 50 are no longer retained.
func exampleFeed(t *testing.T, settings *Settings) *Feed {
	t.Helper()
	feed := NewFeed(settings)
	response := &Response{Lineage: Lineage{{History{1, 7}, 0}, {History{2, 8}, 100}}, TruncatedUpTo: 50, Head: 150, From: 50}
	for at := int64(60); at <= 150; at += 10 {
		response.Events = append(response.Events, Event{at, "e"})
	}
	if err := response.Check(); err != nil {
		t.Fatal(err)
	}
	if state := feed.Apply(0, response, true); state != EndpointCovers {
		t.Fatal(state)
	}
	return feed
}

// Decisions on requests whose cursors differ in their relation to the lineage.
//
//nolint:funlen // one linear scenario or table of cases
func TestDecide(t *testing.T) {
	settings := DefaultSettings()
	known := func(position Position, acked int64) Cursor { return Cursor{Generation{Gen: 9}, position, acked, 0} }
	for _, test := range []struct {
		what    string
		request Request
		outcome Outcome
		start   int64
		need    ReadRequirement
	}{
		{"new", Request{Connection: NewConnection}, BeginAtHead, 150, NoRead},
		{"unknown after evictions", Request{Connection: NewConnection, Evicted: true}, Snapshot, 0, NoRead},
		{"no cursor, last answer not acknowledged", Request{Connection: NewConnection, Known: known(positionOf(2, 8, 130), 110), IssuedHere: true}, ResumeAcked, 110, NoRead},
		{"no cursor, same connection", Request{Connection: SameConnection, Known: known(positionOf(2, 8, 130), 110), IssuedHere: true}, ResumeAcked, 130, NoRead},
		{"no cursor, has all events", Request{Connection: SameConnection, Known: known(positionOf(2, 8, 150), 110)}, Wait, 150, NoRead},
		{"no cursor, known on the lost tail", Request{Connection: NewConnection, Known: known(positionOf(1, 7, 130), 120)}, Rewind, 100, NoRead},
		{"no cursor, known before the retained events", Request{Connection: NewConnection, Known: known(positionOf(1, 7, 45), 40), IssuedHere: true}, Snapshot, 40, NoRead},
		{"at the edge of the retained events", Request{Connection: NewConnection, Client: positionOf(1, 7, 50)}, Resume, 50, NoRead},
		{"before the retained events", Request{Connection: NewConnection, Client: positionOf(1, 7, 49)}, Snapshot, 49, NoRead},
		{"at the fork", Request{Connection: NewConnection, Client: positionOf(1, 7, 100)}, Resume, 100, NoRead},
		{"on the lost tail", Request{Connection: NewConnection, Client: positionOf(1, 7, 101)}, Rewind, 100, NoRead},
		{"on an unknown history", Request{Connection: NewConnection, Client: positionOf(2, 3, 120)}, Snapshot, 120, NoRead},
		{"on a newer history", Request{Connection: NewConnection, Client: positionOf(3, 3, 120)}, Wait, 120, NoRead},
		{"on an impossible history", Request{Connection: NewConnection, Client: positionOf(3000, 3, 120)}, Future, 120, NoRead},
		{"has all events", Request{Connection: SameConnection, Client: positionOf(2, 8, 150)}, Wait, 150, NoRead},
		{"has all events, other routers know more", Request{Connection: NewConnection, Client: positionOf(2, 8, 150), Known: known(positionOf(2, 8, 170), 170), IssuedHere: true}, Wait, 150, NoRead},
		{"a little ahead", Request{Connection: NewConnection, Client: positionOf(2, 8, 151)}, Wait, 151, NoRead},
		{"too far ahead", Request{Connection: NewConnection, Client: positionOf(2, 8, 150+settings.MaxAhead+1)}, Future, 150 + settings.MaxAhead + 1, NoRead},
		{"overtaken", Request{Connection: SameConnection, Client: positionOf(2, 8, 110), Known: known(positionOf(2, 8, 140), 130), IssuedHere: true}, Skip, 130, NoRead},
		{"answer lost", Request{Connection: NewConnection, Client: positionOf(2, 8, 110), Known: known(positionOf(2, 8, 140), 130), IssuedHere: true}, Resume, 110, NoRead},
		{"superseded connection", Request{Connection: SupersededConnection, Client: positionOf(2, 8, 110), Known: known(positionOf(2, 8, 140), 130)}, Fenced, 110, NoRead},
	} {
		decision := exampleFeed(t, &settings).Decide(1, test.request, true)
		if decision.Outcome != test.outcome || decision.Outcome != Snapshot && decision.Start.At != test.start || decision.RequiredRead != test.need {
			t.Errorf("%s: %s at %d, need %d", test.what, decision.Outcome, decision.Start.At, decision.RequiredRead)
		}
	}
	feed := exampleFeed(t, &settings)
	if decision := feed.Decide(settings.EndReadInterval, Request{Client: positionOf(2, 8, 150)}, true); decision.Outcome != Wait || decision.RequiredRead != ReadEnd {
		t.Errorf("the end is not read again: %+v", decision)
	}
	if decision := NewFeed(&settings).Decide(0, Request{Client: positionOf(2, 8, 150)}, true); decision.Outcome != ReadFirst || decision.RequiredRead != ReadEnd {
		t.Errorf("on a feed that has not been read: %+v", decision)
	}
	small := settings
	small.RingEvents = 3
	if decision := exampleFeed(t, &small).Decide(1, Request{Client: positionOf(2, 8, 110)}, true); decision.Outcome != Resume || decision.RequiredRead != ReadCatchUp {
		t.Errorf("behind the ring: %+v", decision)
	}

	// An endpoint on the old history is behind up to the fork and ignored beyond it. A failover truncates the ring.
	if state := feed.ClassifyEndpoint(&Response{Lineage: Lineage{{History{1, 7}, 0}}, Head: 100}); state != EndpointBehind {
		t.Error(state)
	}
	if state := feed.Apply(1, &Response{Lineage: Lineage{{History{1, 7}, 0}}, Head: 160, From: 150, Events: []Event{{160, "lost"}}}, true); state != EndpointForked {
		t.Error(state)
	}
	feed.Apply(2, &Response{Lineage: Lineage{{History{1, 7}, 0}, {History{2, 8}, 100}, {History{3, 9}, 120}}, Head: 140, From: 120, Events: []Event{{125, "n"}, {140, "n"}}}, true)
	if decision := feed.Decide(3, Request{Client: positionOf(2, 8, 150)}, true); decision.Outcome != Rewind || decision.Start.At != 120 || decision.Stale.At != 150 {
		t.Errorf("%+v", decision)
	}
	if events, next, more := feed.Batch(positionOf(2, 8, 110), nil); len(events) != 3 || events[1].At != 125 || next != positionOf(3, 9, 140) || more {
		t.Errorf("%v %v %v", events, next, more)
	}
}
