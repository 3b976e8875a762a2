// Package trust decides which actions a fact permits by its provenance. A router may act on what it has heard from a data server
// itself; what a peer sent, or what its own disk restored after a start, is unconfirmed until it is proven: by this
// router's own answers, or by a peer that has been up all the while. It decides neither what an entry says nor which of two
// prevails (policy/crdt), and sends nothing: callers ask Judge before they act.
//
// A Ledger remembers for each entry that was restored, or received, whether it is confirmed. It is not safe for concurrent use.
package trust

import (
	"errors"

	"lotushook/policy/clock"
	"lotushook/policy/crdt"
)

// Provenance is the source of a fact.
type Provenance uint8

// The sources.
const (
	Unknown         Provenance = iota // nothing is known
	OwnResponse                       // from a data server's answer to this process, or from its list
	FromPeer                          // from another router, since this process started
	FromDisk                          // from the copy on disk
	ProvenanceCount = iota
)

var provenanceNames = [ProvenanceCount]string{"none", "own", "peer", "restored"}

// String is the name in logs and counts.
func (o Provenance) String() string { return provenanceNames[o] }

// Fact is what is known of an entry.
type Fact struct {
	Provenance Provenance
	Age        clock.Nanos // since it was first learned; at least, where MinAgeOnly
	MinAgeOnly bool
	Proven     bool // of OwnResponse always
	Refuted    bool // contradicted by something better
}

// Use is an action that a fact may permit.
type Use uint8

// The uses.
const (
	RaisePosition    Use = iota // make a session's read see at least a position
	LowerPosition               // make it see less than is known so far
	AssumeMayHaveRun            // treat a keyed write as one that may have run
	AssumeNotRun                // treat it as one that has not
	Probe                       // ask a believed primary first whether it is one
	Write                       // send a write to a believed primary
	Read                        // send a read by a believed position
	GrantLease                  // take or give a share, or a right
	ExceedSlowStart             // send an endpoint in slow start more than its budget, as if it were warm
	CountUsage                  // count a team's usage against its contract
	AvoidServer                 // send less to a server, because of a hint
	UseCount         = iota
)

var useNames = [UseCount]string{"raise a floor", "lower a floor", "may have run", "has not run", "probe", "write", "read", "grant", "cold work", "count use", "shun"}

// String is the name in logs and counts.
func (u Use) String() string { return useNames[u] }

// Reason is why a use is allowed or not.
type Reason uint8

// The reasons.
const (
	ReasonOwnResponse     Reason = iota // this process knows it itself
	ReasonConfirmedByPeer               // confirmed by a peer that was up all the while, or by an own answer since
	ReasonCareful                       // it can only make the router more careful
	ReasonUnconfirmed                   // not confirmed yet
	ReasonRefuted                       // contradicted
	ReasonUnknown                       // nothing is known
	ReasonOwnOnly                       // only what this process knows itself is ever enough
	ReasonNotListed                     // the present list does not contain the server
	ReasonTooOld                        // older than such a fact is valid
	ReasonCount           = iota
)

var reasonNames = [ReasonCount]string{"own answer", "proven by a peer", "safe", "doubted", "contradicted", "unknown", "never by others", "not listed", "too old"}

// String is the name in logs and counts.
func (r Reason) String() string { return reasonNames[r] }

// Verdict says whether a use is allowed.
type Verdict struct {
	Allowed bool
	Reason  Reason
}

// Settings bound what a Ledger remembers and accepts.
type Settings struct {
	Capacity int         // entries; the one recorded first is dropped, which makes it unknown
	MaxAge   clock.Nanos // a peer's confirmed fact is valid so long for what is more than careful
}

// DefaultSettings are settings for a router.
func DefaultSettings() Settings { return Settings{Capacity: 32_768, MaxAge: 30e9} }

func (s *Settings) check() error {
	if s.Capacity < 1 || s.MaxAge <= 0 {
		return errors.New("trust: Capacity and MaxAge are above 0")
	}
	return nil
}

// Judge says whether a fact permits a use. The server is the one that would be sent to, if any: listed says whether the
// present list contains it.
//
// What only makes the router more careful is permitted from any source at once. What makes it less careful (a lower position,
// a write treated as not run, a grant, more to an endpoint in slow start) is permitted by own facts only. What lies between (a write to a
// believed primary, a read by a believed position) needs confirmation, which expires.
func Judge(u Use, f Fact, listed bool, s Settings) Verdict {
	switch u {
	case Probe, Write, Read:
		if !listed {
			return Verdict{false, ReasonNotListed}
		}
	}
	switch u {
	case LowerPosition, AssumeNotRun, GrantLease, ExceedSlowStart:
		if f.Provenance == OwnResponse && !f.Refuted {
			return Verdict{true, ReasonOwnResponse}
		}
		return Verdict{false, ReasonOwnOnly}
	}
	switch {
	case f.Provenance == Unknown:
		return Verdict{false, ReasonUnknown}
	case f.Refuted && u != RaisePosition && u != AssumeMayHaveRun: // these two only ever add
		return Verdict{false, ReasonRefuted}
	case f.Provenance == OwnResponse:
		return Verdict{true, ReasonOwnResponse}
	case u == RaisePosition, u == AssumeMayHaveRun, u == Probe, u == CountUsage:
		return Verdict{true, ReasonCareful}
	case !f.Proven:
		return Verdict{false, ReasonUnconfirmed}
	case f.MinAgeOnly || f.Age > s.MaxAge:
		return Verdict{false, ReasonTooOld}
	}
	return Verdict{true, ReasonConfirmedByPeer}
}

// Mark is the extent of a copy: a start of the router, and a number that rises while it runs.
type Mark struct{ Epoch, Number uint64 }

// Standing is the state of a copy against what others have seen of the router that wrote it.
type Standing uint8

// The standings.
const (
	StandingUnseen  Standing = iota // no report: nothing is proven by that
	StandingCurrent                 // no peer has seen more
	StandingShort                   // within the loss of a crash: the last batch or so
	StandingBehind                  // it was put back: a later start, or much more of the same one, was seen
)

// Compare compares a copy with the greatest mark that any peer remembers; a peer that remembers none reports the zero Mark. slack
// is how much a crash may lose.
func Compare(stored, seen Mark, slack uint64) Standing {
	switch {
	case seen == (Mark{}):
		return StandingUnseen
	case seen.Epoch > stored.Epoch:
		return StandingBehind
	case seen.Epoch < stored.Epoch || seen.Number <= stored.Number:
		return StandingCurrent
	case seen.Number-stored.Number > slack:
		return StandingBehind
	}
	return StandingShort
}

// entryKey identifies an entry's subject.
type entryKey struct {
	kind      crdt.Kind
	a, b      string
	startedAt int64
	from      crdt.Origin // of the kinds that have an entry for each origin
}

func keyOf(e *crdt.Entry) entryKey {
	k := entryKey{kind: e.Kind, a: e.A, b: e.B}
	switch e.Kind {
	case crdt.ServerPosition:
		k.startedAt = e.Born
	case crdt.Usage, crdt.Hint:
		k.from = e.From
	}
	return k
}
