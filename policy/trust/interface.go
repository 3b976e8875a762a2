// Package evidence decides what may be done on the word of whom. What a router has heard from a data server itself it may act
// on; what another router told it, or what its own disk gave back after a restart, is doubted until it is proven: by this
// router's own answers, or by a peer that has been up all the while. It decides neither what an entry says nor which of two
// holds (policy/crdt), and sends nothing: whoever is about to act asks Judge first.
//
// A Book remembers for each entry that came back, or was told, whether it is proven. It belongs to whoever locks it.
package trust

import (
	"errors"

	"lotushook/policy/crdt"
)

// Nanos is a span or a point of the router's own clock, in nanoseconds.
type Nanos = int64

// Origin is where a fact is from.
type Origin uint8

// The origins.
const (
	None     Origin = iota // nothing is known
	Own                    // this process has it from a data server's answer, or from its list
	Peer                   // another router told it, since this process started
	Restored               // the copy on disk gave it back
	Origins  = iota
)

var originNames = [Origins]string{"none", "own", "peer", "restored"}

func (o Origin) String() string { return originNames[o] }

// Fact is what is known of an entry.
type Fact struct {
	Origin  Origin
	Age     Nanos // since whoever learned it learned it; at least, where Unsure
	Unsure  bool
	Proven  bool // of Own always
	Refuted bool // something better said otherwise
}

// Use is what somebody is about to do on a fact.
type Use uint8

// The uses.
const (
	RaiseFloor Use = iota // have a session's read see at least a position
	LowerFloor            // have it see less than is known so far
	MayHaveRun            // take a keyed write for one that may have run
	HasNotRun             // take it for one that has not
	Probe                 // ask a believed primary first whether it is one
	Write                 // send a write to a believed primary
	Read                  // send a read by a believed position
	Grant                 // take or give a part, or a right
	ColdWork              // send a cold server more than its budget, as one that is believed to be warm
	CountUse              // count what a team has used against its contract
	ShunServer            // send less to a server, as a hint says
	Uses       = iota
)

var useNames = [Uses]string{"raise a floor", "lower a floor", "may have run", "has not run", "probe", "write", "read", "grant", "cold work", "count use", "shun"}

func (u Use) String() string { return useNames[u] }

// Reason is why a use is allowed or not.
type Reason uint8

// The reasons.
const (
	OwnAnswer     Reason = iota // this process knows it itself
	ByPeer                      // proven by a peer that was up all the while, or by an own answer since
	Safe                        // it can only make the router more careful
	Doubted                     // not proven yet
	Contradicted                // refuted
	Unknown                     // nothing is known
	NeverByOthers               // only what this process knows itself is enough, ever
	NotListed                   // the list in hand does not name the server
	TooOld                      // older than such a fact holds
	Reasons       = iota
)

var reasonNames = [Reasons]string{"own answer", "proven by a peer", "safe", "doubted", "contradicted", "unknown", "never by others", "not listed", "too old"}

func (r Reason) String() string { return reasonNames[r] }

// Verdict says whether a use is allowed.
type Verdict struct {
	Allowed bool
	Why     Reason
}

// Settings bound what a Book remembers and believes.
type Settings struct {
	Most    int   // entries; the one that was noted first is forgotten, which makes it unknown
	MostAge Nanos // a proven fact of a peer's holds so long for what is more than careful
}

// Usual are settings for a router.
func Usual() Settings { return Settings{Most: 32_768, MostAge: 30e9} }

func (s *Settings) check() error {
	if s.Most < 1 || s.MostAge <= 0 {
		return errors.New("evidence: Most, MostAge: missing or out of range")
	}
	return nil
}

// Judge says whether a fact is enough for a use. The server is the one that would be sent to, if any: listed says whether the
// list in hand names it.
//
// What only makes the router more careful is allowed on anybody's word at once. What makes it less careful (a floor lowered,
// a write taken for not run, a grant, more to a cold server) is allowed on no word but its own. What lies between (a write to a
// believed primary, a read by a believed position) needs proof, which ages.
func Judge(u Use, f Fact, listed bool, s Settings) Verdict {
	switch u {
	case Probe, Write, Read:
		if !listed {
			return Verdict{false, NotListed}
		}
	}
	switch u {
	case LowerFloor, HasNotRun, Grant, ColdWork:
		if f.Origin == Own && !f.Refuted {
			return Verdict{true, OwnAnswer}
		}
		return Verdict{false, NeverByOthers}
	}
	switch {
	case f.Origin == None:
		return Verdict{false, Unknown}
	case f.Refuted && u != RaiseFloor && u != MayHaveRun: // these two only ever add
		return Verdict{false, Contradicted}
	case f.Origin == Own:
		return Verdict{true, OwnAnswer}
	case u == RaiseFloor, u == MayHaveRun, u == Probe, u == CountUse:
		return Verdict{true, Safe}
	case !f.Proven:
		return Verdict{false, Doubted}
	case f.Unsure || f.Age > s.MostAge:
		return Verdict{false, TooOld}
	}
	return Verdict{true, ByPeer}
}

// Mark is how far a copy, or what somebody remembers of one, goes: a start of the router, and a number that rises while it runs.
type Mark struct{ Boot, Number uint64 }

// Standing is how a copy stands to what others have seen of the router that wrote it.
type Standing uint8

// The standings.
const (
	Unseen  Standing = iota // nobody has said: nothing is proven by that
	Current                 // nobody has seen more
	Short                   // what a crash loses: the last batch or so
	Behind                  // it was put back: a later start, or much more of the same one, was seen
)

// Compare holds a copy against the greatest mark that any peer remembers; a peer that remembers none says the zero Mark. slack
// is how much a crash may lose.
func Compare(copy, seen Mark, slack uint64) Standing {
	switch {
	case seen == (Mark{}):
		return Unseen
	case seen.Boot > copy.Boot:
		return Behind
	case seen.Boot < copy.Boot || seen.Number <= copy.Number:
		return Current
	case seen.Number-copy.Number > slack:
		return Behind
	}
	return Short
}

// key is what an entry is of.
type key struct {
	kind crdt.Kind
	a, b string
	born int64
	from crdt.Origin // of the kinds that each origin has its own word of
}

func keyOf(e *crdt.Entry) key {
	k := key{kind: e.Kind, a: e.A, b: e.B}
	switch e.Kind {
	case crdt.Position:
		k.born = e.Born
	case crdt.Use, crdt.Hint:
		k.from = e.From
	}
	return k
}
