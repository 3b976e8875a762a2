package trust

import (
	"lotushook/policy/clock"
	"lotushook/policy/crdt"
)

// Ledger records a fact for each entry that was received from a peer, restored from disk or learned by this process
// itself. It is not safe for concurrent use.
type Ledger struct {
	settings         Settings
	facts            map[entryKey]*trackedFact
	order            []entryKey // keys of facts in the order of recording; once full, a ring buffer
	nextEvicted      int        // index of the oldest key in order
	distrustRestored bool
	unconfirmed      [ProvenanceCount]int // number of unproven facts, by provenance
}

type trackedFact struct {
	entry     crdt.Entry
	fact      Fact
	learnedAt clock.Nanos // on this process's clock
}

// NewLedger returns an empty ledger.
func NewLedger(settings Settings) (*Ledger, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return &Ledger{settings: settings, facts: map[entryKey]*trackedFact{}}, nil
}

// AddRestored records an entry restored from disk, unless a fact is already recorded for its key. minAgeOnly says that
// the entry's age is only a lower bound.
func (ledger *Ledger) AddRestored(now clock.Nanos, entry crdt.Entry, minAgeOnly bool) {
	if ledger.facts[keyOf(&entry)] == nil {
		ledger.record(now, entry, Fact{Provenance: FromDisk, MinAgeOnly: minAgeOnly})
	}
}

// AddOwnResponse records an entry that this process learned from a data server's answer. It replaces any entry
// that is recorded for the same key.
func (ledger *Ledger) AddOwnResponse(now clock.Nanos, entry crdt.Entry) {
	ledger.record(now, entry, Fact{Provenance: OwnResponse, Proven: true})
}

// AddFromPeer records an entry received from a peer. continuouslyUp says that the peer has been up since before this
// router started or wrote its copy on disk. From such a peer, an entry equal to the recorded one confirms it, and a
// greater entry replaces it and is proven. An entry from any other peer is unconfirmed, as that peer may itself have
// restored it from disk.
func (ledger *Ledger) AddFromPeer(now clock.Nanos, entry crdt.Entry, continuouslyUp bool) {
	tracked := ledger.facts[keyOf(&entry)]
	switch {
	case tracked == nil:
		ledger.record(now, entry, Fact{Provenance: FromPeer, Proven: continuouslyUp})
	case tracked.fact.Provenance == OwnResponse:
	case compareValues(&entry, &tracked.entry) == greater:
		ledger.record(now, entry, Fact{Provenance: FromPeer, Proven: continuouslyUp})
	case compareValues(&entry, &tracked.entry) == equal && continuouslyUp:
		ledger.updateUnconfirmed(tracked, -1)
		tracked.fact.Proven = !tracked.fact.Refuted
		ledger.updateUnconfirmed(tracked, 1)
	}
}

// Refute records that a data server's answer contradicts the recorded entry of a key without supplying the correct
// value.
func (ledger *Ledger) Refute(entry crdt.Entry) {
	if tracked := ledger.facts[keyOf(&entry)]; tracked != nil {
		ledger.updateUnconfirmed(tracked, -1)
		tracked.fact.Refuted, tracked.fact.Proven = true, false
		ledger.updateUnconfirmed(tracked, 1)
	}
}

// DistrustRestored records that the copy restored from disk is outdated. Its entries may be older than their recorded
// ages. Therefore they permit conservative uses only, even if a peer confirms them, until an answer to this process or
// a greater entry replaces them.
func (ledger *Ledger) DistrustRestored() {
	ledger.distrustRestored = true
	for _, tracked := range ledger.facts {
		if tracked.fact.Provenance == FromDisk {
			ledger.updateUnconfirmed(tracked, -1)
			tracked.fact.MinAgeOnly, tracked.fact.Proven = true, false
			ledger.updateUnconfirmed(tracked, 1)
		}
	}
}

// Fact returns the fact recorded for the key of an entry, and the entry recorded with it.
func (ledger *Ledger) Fact(now clock.Nanos, entry crdt.Entry) (Fact, crdt.Entry) {
	tracked := ledger.facts[keyOf(&entry)]
	if tracked == nil {
		return Fact{}, crdt.Entry{}
	}
	fact := tracked.fact
	fact.Age = max(0, now-tracked.learnedAt)
	return fact, tracked.entry
}

// Unconfirmed returns the number of unproven facts of a provenance.
func (ledger *Ledger) Unconfirmed(provenance Provenance) int { return ledger.unconfirmed[provenance] }

// Size returns the number of recorded facts.
func (ledger *Ledger) Size() int { return len(ledger.facts) }

func (ledger *Ledger) record(now clock.Nanos, entry crdt.Entry, fact Fact) {
	key := keyOf(&entry)
	tracked := ledger.facts[key]
	if tracked == nil {
		if len(ledger.facts) >= ledger.settings.Capacity {
			ledger.updateUnconfirmed(ledger.facts[ledger.order[ledger.nextEvicted]], -1)
			delete(ledger.facts, ledger.order[ledger.nextEvicted])
			ledger.order[ledger.nextEvicted] = key
			ledger.nextEvicted = (ledger.nextEvicted + 1) % len(ledger.order)
		} else {
			ledger.order = append(ledger.order, key)
		}
		tracked = &trackedFact{}
		ledger.facts[key] = tracked
	} else {
		ledger.updateUnconfirmed(tracked, -1)
	}
	if fact.Provenance == FromDisk && ledger.distrustRestored {
		fact.MinAgeOnly = true
	}
	*tracked = trackedFact{entry, fact, now - max(0, entry.Age)}
	ledger.updateUnconfirmed(tracked, 1)
}

func (ledger *Ledger) updateUnconfirmed(tracked *trackedFact, delta int) {
	if tracked.fact.Provenance != Unknown && !tracked.fact.Proven {
		ledger.unconfirmed[tracked.fact.Provenance] += delta
	}
}

// Results of compareValues.
const (
	lesser = iota
	equal
	greater
)

// compareValues compares the values of two entries of the same key; their origins don't count.
func compareValues(entry, other *crdt.Entry) int {
	value, otherValue := entry.At, other.At
	switch entry.Kind {
	case crdt.Usage:
		value, otherValue = entry.Count, other.Count
	case crdt.Hint:
		value, otherValue = int64(entry.Seq), int64(other.Seq)
	case crdt.PendingWrite:
		return equal
	}
	switch {
	case value > otherValue:
		return greater
	case value < otherValue:
		return lesser
	case entry.Kind == crdt.PrimaryClaim && (entry.Server != other.Server || entry.Born != other.Born):
		if entry.Born > other.Born || entry.Born == other.Born && entry.Server > other.Server {
			return greater
		}
		return lesser
	}
	return equal
}
