// Package crdt holds the state that routers replicate: positions, primaries, sessions' commits, keyed
// writes that may have run, usage of contracts, hints. Each kind is a join-semilattice: copies that merged the same entries in any
// order, some of them twice, are equal. How entries travel is not decided here.
//
// No entry is an order. A router sends only to servers that its own list names; a position that a peer reports too high makes a
// read go to servers that lack it and be rejected there, never be answered stale; a commit reported too high delays a
// session's read, one reported too low changes nothing, as joins only raise.
package crdt

import (
	"cmp"
	"errors"
	"fmt"

	"lotushook/policy/clock"
)

// Kind is the kind of an entry, the most urgent first.
type Kind uint8

// The kinds.
const (
	SessionCommit  Kind = iota + 1 // A group, B session: the position of its last commit. The greater prevails
	PrimaryClaim                   // A group: the position of the evidence, then the server's start, then the origin
	PendingWrite                   // A class and scope, B key: it may have run, until its window is over
	ServerPosition                 // A server, Born its start: how far it has applied the log. The greater prevails
	Usage                          // A team, B class, by origin: what it has used. The greater prevails
	Hint                           // A subject, by origin: zones in outage, slow starts, suspects. The origin's latest prevails
	FeedCursor                     // A feed, B subscriber: Count its generation, Born its history, At and Acked positions. In this order the greater prevails
	SheddingLevel                  // A group, by origin: the shedding threshold, and its load. The origin's latest prevails

	// Last is the last of them.
	Last  = SheddingLevel
	kinds = Last + 1
)

var kindNames = [...]string{"none", "session", "primary", "write", "position", "use", "hint", "cursor", "level"}

// String is the kind's name in logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Origin is one process of a router: a name that restarts has another boot.
type Origin struct {
	Name string
	Boot uint64
}

func (o Origin) compare(p Origin) int {
	return cmp.Or(cmp.Compare(o.Name, p.Name), cmp.Compare(o.Boot, p.Boot))
}

// Entry is one fact that a router has learned.
type Entry struct {
	Kind   Kind
	A, B   string
	Born   int64  // ServerPosition, PrimaryClaim: the server's start, as listed
	At     int64  // SessionCommit, PrimaryClaim, ServerPosition, FeedCursor: a log position
	Acked  int64  // FeedCursor: what its subscriber has acknowledged; -1: nothing
	Count  int64  // Usage: in thousandths; FeedCursor: its generation, which never falls; SheddingLevel: see NewSheddingLevel
	Server string // PrimaryClaim
	From   Origin
	Seq    uint64      // among all entries that its origin learned, from 1
	Age    clock.Nanos // since it was learned; the time in transit is not in it
}

// Key is the key by which an entry is stored: all entries that one query is about have one key, and so one shard of those that store
// copies in several.
func (e *Entry) Key() (a, b string) {
	if e.Kind == Hint { // found by its subject, whatever its origin and part
		return e.A, ""
	}
	return e.A, e.B
}

// Settings bound the store.
type Settings struct {
	Self             Origin
	MaxEntries       [kinds]int  // of each kind, by Kind; sessions and writes of each group or class
	MaxOrigins       int         // processes whose sequence numbers are remembered
	WriteWindow      clock.Nanos // of keyed writes
	HintLifetime     clock.Nanos // hints expire after it
	LevelLifetime    clock.Nanos // and levels
	MaxAhead         int64       // a position further beyond the greatest of this router's own is rejected
	MaxText          int         // bytes of a name or key
	MinLearnInterval clock.Nanos // a server's position, and a primary that stays, are learned anew so often at most: each answer carries them
	MaxPending       int         // entries that wait to be sent; beyond it they are left to be fetched
}

// Shard returns the settings of one of so many stores, over which the keys are spread.
func (s Settings) Shard(of int) Settings {
	for k := range s.MaxEntries {
		s.MaxEntries[k] = (s.MaxEntries[k] + of - 1) / of
	}
	return s
}

// DefaultSettings are settings for a router.
func DefaultSettings(self Origin) Settings {
	const s = 1e9
	return Settings{Self: self, MaxOrigins: 4096, WriteWindow: 30 * s, HintLifetime: 10 * s, LevelLifetime: 2 * s, MaxAhead: 60 * s, MaxText: 128, MinLearnInterval: s / 4, MaxPending: 1024,
		MaxEntries: [kinds]int{SessionCommit: 20_000, PrimaryClaim: 4096, PendingWrite: 20_000, ServerPosition: 4096, Usage: 8192, Hint: 4096, FeedCursor: 20_000, SheddingLevel: 8192}}
}

func (s *Settings) validate() error {
	var errs []error
	for k := SessionCommit; k < kinds; k++ {
		if s.MaxEntries[k] < 1 {
			errs = append(errs, fmt.Errorf("replicated state: MaxEntries of %s is below 1", k))
		}
	}
	if s.Self.Name == "" || s.MaxOrigins < 1 || s.WriteWindow <= 0 || s.HintLifetime <= 0 || s.LevelLifetime <= 0 || s.MaxAhead <= 0 || s.MaxText < 1 || s.MinLearnInterval < 0 || s.MaxPending < 1 {
		errs = append(errs, errors.New("replicated state: Self is named; MaxOrigins, WriteWindow, HintLifetime, LevelLifetime, MaxAhead, MaxText and MaxPending are above 0"))
	}
	return errors.Join(errs...)
}

const levelBits = 10 // of Count, for the threshold

// NewSheddingLevel returns a router's report on a group: its load in requests a second, the threshold that it would choose, and its epoch.
func NewSheddingLevel(group string, load int64, wish int, epoch uint64) Entry {
	return Entry{Kind: SheddingLevel, A: group, Born: int64(epoch), Count: load<<levelBits | int64(wish)&(1<<levelBits-1)}
}

// SheddingLevel returns what NewSheddingLevel stored.
func (e *Entry) SheddingLevel() (load int64, wish int, epoch uint64) {
	return e.Count >> levelBits, int(e.Count & (1<<levelBits - 1)), uint64(e.Born)
}
