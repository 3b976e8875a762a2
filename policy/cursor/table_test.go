package cursor

import (
	"os"
	"slices"
	"strings"
	"testing"
)

var (
	turnNames   = []string{"goes-on", "returns", "outrun"}
	clientNames = []string{"none", "behind", "equal", "ahead", "future", "other", "old"}
	fleetNames  = []string{"none", "forgot", "behind", "equal", "ahead", "doubted", "other"}
	memberNames = []string{"unknown", "covers", "behind", "forked"}
)

// designed are the rows of the design note's table.
func designed(t *testing.T) (rows [][]string) {
	t.Helper()
	raw, err := os.ReadFile("../../docs/design/cursors.md")
	if err != nil {
		t.Fatal(err)
	}
	in := false
	for line := range strings.Lines(string(raw)) {
		f := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range f {
			f[i] = strings.TrimSpace(f[i])
		}
		switch {
		case f[0] == "turn":
			in = true
		case len(f) < 6:
			in = false
		case in && f[0] != "---":
			rows = append(rows, f)
		}
	}
	return rows
}

// The code does what the design note's table says, for every combination; every row of it is met, and each of its words known.
//
//nolint:gocognit // one history or table of cases, told in order
func TestTable(t *testing.T) {
	rows := designed(t)
	axes := [][]string{turnNames, clientNames, fleetNames, memberNames}
	for _, r := range rows {
		for i, names := range axes {
			for w := range strings.SplitSeq(r[i], ", ") {
				if w != "*" && !slices.Contains(names, w) {
					t.Errorf("%v: no word %q", r, w)
				}
			}
		}
		if !slices.Contains(outcomeNames[:], r[4]) {
			t.Errorf("%v: no row %q", r, r[4])
		}
	}
	fits := func(cell, name string) bool {
		return cell == "*" || slices.Contains(strings.Split(cell, ", "), name)
	}
	met, combinations := map[int]bool{}, 0
	for a, turn := range turnNames {
		for b, client := range clientNames {
			for c, fleet := range fleetNames {
				for d, member := range memberNames {
					combinations++
					at := slices.IndexFunc(rows, func(r []string) bool {
						return fits(r[0], turn) && fits(r[1], client) && fits(r[2], fleet) && fits(r[3], member)
					})
					got := ChooseOutcome(ConnectionState(a), ClientState(b), ClusterState(c), EndpointState(d))
					if at < 0 || rows[at][4] != got.String() {
						t.Errorf("%s %s %s %s: %s, row %d of the note", turn, client, fleet, member, got, at)
					}
					met[at] = true
				}
			}
		}
	}
	if combinations != 588 || len(met) != len(rows) {
		t.Errorf("%d combinations, %d of %d rows met", combinations, len(met), len(rows))
	}
}

func pt(era, id uint32, at int64) Position { return Position{History{era, id}, at} }

// log is a feed after one answer: history 1 up to 100, history 2 from there, events each 10 from 60 on, up to 150; what came up to 50 is not kept.
func log(t *testing.T, set *Settings) *Feed {
	t.Helper()
	f := NewFeed(set)
	a := &Response{Lineage: Lineage{{History{1, 7}, 0}, {History{2, 8}, 100}}, TruncatedUpTo: 50, Head: 150, From: 50}
	for at := int64(60); at <= 150; at += 10 {
		a.Events = append(a.Events, Event{at, "e"})
	}
	if err := a.Check(); err != nil {
		t.Fatal(err)
	}
	if m := f.Apply(0, a, true); m != EndpointCovers {
		t.Fatal(m)
	}
	return f
}

// Where the rows come from: points against a line, and what a request gets for each.
//
//nolint:funlen // one history or table of cases, told in order
func TestJudge(t *testing.T) {
	set := DefaultSettings()
	known := func(p Position, acked int64) Cursor { return Cursor{Generation{Gen: 9}, p, acked, 0} }
	for _, c := range []struct {
		what  string
		asked Request
		row   Outcome
		start int64
		need  ReadRequirement
	}{
		{"new", Request{Connection: NewConnection}, BeginAtHead, 150, NoRead},
		{"nobody knows whether new", Request{Connection: NewConnection, Evicted: true}, Snapshot, 0, NoRead},
		{"none, last answer unheard of", Request{Connection: NewConnection, Known: known(pt(2, 8, 130), 110), IssuedHere: true}, ResumeAcked, 110, NoRead},
		{"none, goes on", Request{Connection: SameConnection, Known: known(pt(2, 8, 130), 110), IssuedHere: true}, ResumeAcked, 130, NoRead},
		{"none, had all", Request{Connection: SameConnection, Known: known(pt(2, 8, 150), 110)}, Wait, 150, NoRead},
		{"none, known on the lost tail", Request{Connection: NewConnection, Known: known(pt(1, 7, 130), 120)}, Rewind, 100, NoRead},
		{"none, known before what is kept", Request{Connection: NewConnection, Known: known(pt(1, 7, 45), 40), IssuedHere: true}, Snapshot, 40, NoRead},
		{"at the edge of what is kept", Request{Connection: NewConnection, Client: pt(1, 7, 50)}, Resume, 50, NoRead},
		{"older", Request{Connection: NewConnection, Client: pt(1, 7, 49)}, Snapshot, 49, NoRead},
		{"at the fork", Request{Connection: NewConnection, Client: pt(1, 7, 100)}, Resume, 100, NoRead},
		{"on the lost tail", Request{Connection: NewConnection, Client: pt(1, 7, 101)}, Rewind, 100, NoRead},
		{"of a history that nobody knows", Request{Connection: NewConnection, Client: pt(2, 3, 120)}, Snapshot, 120, NoRead},
		{"of one that is to come", Request{Connection: NewConnection, Client: pt(3, 3, 120)}, Wait, 120, NoRead},
		{"of one that can't come", Request{Connection: NewConnection, Client: pt(3000, 3, 120)}, Future, 120, NoRead},
		{"has all", Request{Connection: SameConnection, Client: pt(2, 8, 150)}, Wait, 150, NoRead},
		{"has all, others more", Request{Connection: NewConnection, Client: pt(2, 8, 150), Known: known(pt(2, 8, 170), 170), IssuedHere: true}, Wait, 150, NoRead},
		{"a little ahead", Request{Connection: NewConnection, Client: pt(2, 8, 151)}, Wait, 151, NoRead},
		{"of the future", Request{Connection: NewConnection, Client: pt(2, 8, 150+set.MaxAhead+1)}, Future, 150 + set.MaxAhead + 1, NoRead},
		{"overtaken", Request{Connection: SameConnection, Client: pt(2, 8, 110), Known: known(pt(2, 8, 140), 130), IssuedHere: true}, Skip, 130, NoRead},
		{"answer lost", Request{Connection: NewConnection, Client: pt(2, 8, 110), Known: known(pt(2, 8, 140), 130), IssuedHere: true}, Resume, 110, NoRead},
		{"outrun", Request{Connection: SupersededConnection, Client: pt(2, 8, 110), Known: known(pt(2, 8, 140), 130)}, Fenced, 110, NoRead},
	} {
		v := log(t, &set).Decide(1, c.asked, true)
		if v.Outcome != c.row || v.Outcome != Snapshot && v.Start.At != c.start || v.RequiredRead != c.need {
			t.Errorf("%s: %s at %d, need %d", c.what, v.Outcome, v.Start.At, v.RequiredRead)
		}
	}
	f := log(t, &set)
	if v := f.Decide(set.EndReadInterval, Request{Client: pt(2, 8, 150)}, true); v.Outcome != Wait || v.RequiredRead != ReadEnd {
		t.Errorf("the end is not asked for again: %+v", v)
	}
	if v := NewFeed(&set).Decide(0, Request{Client: pt(2, 8, 150)}, true); v.Outcome != ReadFirst || v.RequiredRead != ReadEnd {
		t.Errorf("of a feed that nobody read: %+v", v)
	}
	small := set
	small.RingEvents = 3
	if v := log(t, &small).Decide(1, Request{Client: pt(2, 8, 110)}, true); v.Outcome != Resume || v.RequiredRead != ReadCatchUp {
		t.Errorf("behind the ring: %+v", v)
	}

	// A member of the old history: behind up to the fork, never read beyond it. A take-over rewinds the ring.
	if m := f.ClassifyEndpoint(&Response{Lineage: Lineage{{History{1, 7}, 0}}, Head: 100}); m != EndpointBehind {
		t.Error(m)
	}
	if m := f.Apply(1, &Response{Lineage: Lineage{{History{1, 7}, 0}}, Head: 160, From: 150, Events: []Event{{160, "lost"}}}, true); m != EndpointForked {
		t.Error(m)
	}
	f.Apply(2, &Response{Lineage: Lineage{{History{1, 7}, 0}, {History{2, 8}, 100}, {History{3, 9}, 120}}, Head: 140, From: 120, Events: []Event{{125, "n"}, {140, "n"}}}, true)
	if v := f.Decide(3, Request{Client: pt(2, 8, 150)}, true); v.Outcome != Rewind || v.Start.At != 120 || v.Stale.At != 150 {
		t.Errorf("%+v", v)
	}
	if events, next, more := f.Batch(pt(2, 8, 110), nil); len(events) != 3 || events[1].At != 125 || next != pt(3, 9, 140) || more {
		t.Errorf("%v %v %v", events, next, more)
	}
}
