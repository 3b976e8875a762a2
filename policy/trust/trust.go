// Package trust decides which actions a fact permits. A fact is what a router knows about an entry of the replicated
// state: its provenance, which is the source that the entry came from, and whether the entry is confirmed. A router may
// act on a data server's answer to its own request. An entry that a peer sent, or that was restored from disk after a
// start, is unconfirmed until it is proven, either by an answer to this router or by a peer that has been up
// continuously. Callers ask Evaluate before they act; a Ledger records the facts.
//
// What an entry contains, and which of two entries prevails, is decided by policy/crdt.
package trust

import (
	"errors"

	"lotushook/policy/clock"
	"lotushook/policy/crdt"
)

// Provenance is the source of a fact.
type Provenance uint8

// The sources of a fact.
const (
	Unknown         Provenance = iota // no fact is recorded
	OwnResponse                       // a data server's answer to this process, or this process's endpoint list
	FromPeer                          // another router, since this process started
	FromDisk                          // the copy on disk
	ProvenanceCount = iota
)

var provenanceNames = [ProvenanceCount]string{"none", "own", "peer", "restored"}

// String returns the name used in logs and counts.
func (p Provenance) String() string { return provenanceNames[p] }

// Fact describes where an entry came from and whether it is confirmed.
type Fact struct {
	Provenance Provenance
	Age        clock.Nanos // time since the entry was first learned
	MinAgeOnly bool        // Age is only a lower bound
	Proven     bool        // the entry is confirmed; always true when an OwnResponse is recorded
	Refuted    bool        // a data server's answer contradicted the entry
}

// Use is an action that a fact may permit.
type Use uint8

// The uses of a fact.
const (
	RaisePosition    Use = iota // raise the minimum position that a session's reads must see
	LowerPosition               // lower that minimum position
	AssumeMayHaveRun            // treat a keyed write as one that may have run
	AssumeNotRun                // treat a keyed write as one that has not run
	Probe                       // probe a presumed primary before sending a write to it
	Write                       // send a write to a presumed primary
	Read                        // choose the server of a read by a reported position
	GrantLease                  // claim or grant a share of a quota, or an exclusive right
	ExceedSlowStart             // exceed the budget of an endpoint in slow start, as if it were warm
	CountUsage                  // count a team's usage against its contract
	AvoidServer                 // send fewer requests to a server because of a hint
	UseCount         = iota
)

var useNames = [UseCount]string{"raise a floor", "lower a floor", "may have run", "has not run", "probe", "write", "read", "grant", "cold work", "count use", "shun"}

// String returns the name used in logs and counts.
func (u Use) String() string { return useNames[u] }

// Reason is why a use is allowed or not.
type Reason uint8

// The reasons for a decision.
const (
	ReasonOwnResponse     Reason = iota // the fact comes from an answer to this process
	ReasonConfirmedByPeer               // confirmed by a peer that was up continuously, or by a later own answer
	ReasonConservative                  // the use can only make the router more conservative
	ReasonUnconfirmed                   // the fact is not confirmed yet
	ReasonRefuted                       // the fact was contradicted
	ReasonUnknown                       // no fact is recorded
	ReasonOwnOnly                       // the use requires a fact from an answer to this process
	ReasonNotListed                     // the current endpoint list does not contain the server
	ReasonTooOld                        // the fact is older than Settings.MaxAge, or its age is only a lower bound
	ReasonCount           = iota
)

var reasonNames = [ReasonCount]string{"own answer", "proven by a peer", "safe", "doubted", "contradicted", "unknown", "never by others", "not listed", "too old"}

// String returns the name used in logs and counts.
func (r Reason) String() string { return reasonNames[r] }

// Decision says whether a use is allowed, and gives the reason.
type Decision struct {
	Allowed bool
	Reason  Reason
}

// Settings bound the size of a Ledger and the age of the facts that Evaluate accepts.
type Settings struct {
	Capacity int         // maximum number of facts; beyond it the one recorded first is evicted and becomes Unknown
	MaxAge   clock.Nanos // how long a fact confirmed by a peer permits uses that are not merely conservative
}

// DefaultSettings returns the settings of a router.
func DefaultSettings() Settings { return Settings{Capacity: 32_768, MaxAge: 30e9} }

func (settings *Settings) validate() error {
	if settings.Capacity < 1 || settings.MaxAge <= 0 {
		return errors.New("trust: Capacity and MaxAge must be above 0")
	}
	return nil
}

// Evaluate says whether a fact permits a use. isListed says whether the current endpoint list contains the server that
// the use would send to, if there is one.
//
// A use that only makes the router more conservative is permitted by an unconfirmed fact of any provenance. A use that
// makes it less conservative (lowering a position, assuming that a write has not run, granting a lease, exceeding slow
// start) is permitted only by an answer to this process. The uses between these (a write to a presumed primary, a read
// by a reported position, avoiding a server) require a confirmation, which expires after Settings.MaxAge.
func Evaluate(use Use, fact Fact, isListed bool, settings Settings) Decision {
	switch use {
	case Probe, Write, Read:
		if !isListed {
			return Decision{false, ReasonNotListed}
		}
	}
	switch use {
	case LowerPosition, AssumeNotRun, GrantLease, ExceedSlowStart:
		if fact.Provenance == OwnResponse && !fact.Refuted {
			return Decision{true, ReasonOwnResponse}
		}
		return Decision{false, ReasonOwnOnly}
	}
	switch {
	case fact.Provenance == Unknown:
		return Decision{false, ReasonUnknown}
	case fact.Refuted && use != RaisePosition && use != AssumeMayHaveRun: // the two exceptions are conservative
		return Decision{false, ReasonRefuted}
	case fact.Provenance == OwnResponse:
		return Decision{true, ReasonOwnResponse}
	case use == RaisePosition, use == AssumeMayHaveRun, use == Probe, use == CountUsage:
		return Decision{true, ReasonConservative}
	case !fact.Proven:
		return Decision{false, ReasonUnconfirmed}
	case fact.MinAgeOnly || fact.Age > settings.MaxAge:
		return Decision{false, ReasonTooOld}
	}
	return Decision{true, ReasonConfirmedByPeer}
}

// CopyVersion says how recent a copy of the replicated state on disk is: the epoch of the process that wrote it, and
// the sequence number of the last entry in it, which grows while the process runs.
type CopyVersion struct{ Epoch, Number uint64 }

// CopyStatus compares a copy on disk with what peers have received from the router that wrote it.
type CopyStatus uint8

// The statuses of a copy.
const (
	CopyUnreported      CopyStatus = iota // no peer has reported a version, so that nothing is known
	CopyCurrent                           // no peer has seen a newer version
	CopyWithinCrashLoss                   // a peer has seen a newer version, by no more than a crash may lose
	CopyOutdated                          // a peer has seen a much newer version, so an older copy was restored
)

// CompareCopy compares the version of a copy with the greatest version that any peer has seen; a peer that has seen
// none reports the zero CopyVersion. maxCrashLoss is how many entries a crash may lose.
func CompareCopy(stored, seen CopyVersion, maxCrashLoss uint64) CopyStatus {
	switch {
	case seen == (CopyVersion{}):
		return CopyUnreported
	case seen.Epoch > stored.Epoch:
		return CopyOutdated
	case seen.Epoch < stored.Epoch || seen.Number <= stored.Number:
		return CopyCurrent
	case seen.Number-stored.Number > maxCrashLoss:
		return CopyOutdated
	}
	return CopyWithinCrashLoss
}

// entryKey identifies the subject of an entry.
type entryKey struct {
	kind      crdt.Kind
	a, b      string
	startedAt int64
	origin    crdt.Origin // set for kinds that have one entry per origin
}

func keyOf(entry *crdt.Entry) entryKey {
	key := entryKey{kind: entry.Kind, a: entry.A, b: entry.B}
	switch entry.Kind {
	case crdt.ServerPosition:
		key.startedAt = entry.Born
	case crdt.Usage, crdt.Hint:
		key.origin = entry.From
	}
	return key
}
