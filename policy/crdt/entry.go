// Package crdt holds what routers tell each other of what they have learned: positions, primaries, sessions' commits, keyed
// writes that may have run, use of contracts, hints. Each kind is a join-semilattice: copies that got the same entries in any
// order, some of them twice, are equal, and copies that differ have one answer. How entries travel is not decided here.
//
// No entry is an order. A router sends only to servers that its own list names; a position that a peer tells too high makes a
// read go to servers that lack it and be refused there, never be answered stale; a commit told too high delays a
// session's read, one told too low changes nothing, as joins only raise.
package crdt

import (
	"cmp"
	"errors"
	"fmt"

	"lotushook/policy/clock"
)

// Kind says what an entry is of. Those that matter soonest come first when they are told.
type Kind uint8

// The kinds.
const (
	SessionCommit  Kind = iota + 1 // A group, B session: the position of its last commit. The greater holds
	PrimaryClaim                   // A group: the position of the evidence, then the server's start, then who says so
	PendingWrite                   // A class and scope, B key: it may have run, until its window is over
	ServerPosition                 // A server, Born its start: how far it has applied the log. The greater holds
	Usage                          // A team, B class, by origin: what it has used. The greater holds
	Hint                           // A what, by origin: dark halls, cold starts, suspects. The later word of the origin holds
	FeedCursor                     // A feed, B subscriber: Count its generation, Born its history, At and Acked positions. In this order the greater holds
	SheddingLevel                  // A group, by origin: the level below which accounts would be shed, and its load. The later word of the origin holds

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

// Origin is one process of a router: a name that comes back has another boot.
type Origin struct {
	Name string
	Boot uint64
}

func (o Origin) compare(p Origin) int {
	return cmp.Or(cmp.Compare(o.Name, p.Name), cmp.Compare(o.Boot, p.Boot))
}

// Entry is one thing that a router has learned.
type Entry struct {
	Kind   Kind
	A, B   string
	Born   int64  // ServerPosition, PrimaryClaim: the server's start, as the list tells it
	At     int64  // SessionCommit, PrimaryClaim, ServerPosition, FeedCursor: a log position
	Acked  int64  // FeedCursor: what its subscriber is known to have had; -1: nothing
	Count  int64  // Use: in thousandths; FeedCursor: its generation, which never falls; Level: see SheddingLevel
	Server string // PrimaryClaim
	From   Origin
	Seq    uint64      // among all that its origin learned, from 1
	Age    clock.Nanos // since it was learned; what it waited on the way is not in it
}

// Key is what an entry is kept by: all entries that a question is about have one key, and so one shard of those that keep
// copies in several.
func (e *Entry) Key() (a, b string) {
	if e.Kind == Hint { // asked for by what it is of, whoever says it of whichever part
		return e.A, ""
	}
	return e.A, e.B
}

// Settings bound what is kept.
type Settings struct {
	Self             Origin
	MaxEntries       [kinds]int  // entries of each kind, by Kind; sessions and writes of each group or class
	MaxOrigins       int         // processes whose numbers are remembered
	WriteWindow      clock.Nanos // of keyed writes
	HintLifetime     clock.Nanos // hints are forgotten after it
	LevelLifetime    clock.Nanos // and levels
	MaxAhead         int64       // a position beyond the greatest of this router's own knowledge by more is not believed
	MaxText          int         // bytes of a name or key
	MinLearnInterval clock.Nanos // a server's position, and a primary that stays, are learned anew so often at the most: each answer tells them
	MaxPending       int         // what waits to be pushed; what is beyond is left to those who ask
}

// Shard are the settings of one of so many stores, over which the keys are spread.
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
			errs = append(errs, fmt.Errorf("shared: room for no %s", k))
		}
	}
	if s.Self.Name == "" || s.MaxOrigins < 1 || s.WriteWindow <= 0 || s.HintLifetime <= 0 || s.LevelLifetime <= 0 || s.MaxAhead <= 0 || s.MaxText < 1 || s.MinLearnInterval < 0 || s.MaxPending < 1 {
		errs = append(errs, errors.New("shared: Self, Origins, Window, HintFor, LevelFor, Future, MostText, Pace, Fresh: missing or out of range"))
	}
	return errors.Join(errs...)
}

const levelBits = 10 // of Count, for the level

// NewSheddingLevel is what a router says of a group: its load in requests a second, the level that it would have, and its epoch.
func NewSheddingLevel(group string, load int64, wish int, epoch uint64) Entry {
	return Entry{Kind: SheddingLevel, A: group, Born: int64(epoch), Count: load<<levelBits | int64(wish)&(1<<levelBits-1)}
}

// SheddingLevel is what SheddingLevel was told.
func (e *Entry) SheddingLevel() (load int64, wish int, epoch uint64) {
	return e.Count >> levelBits, int(e.Count & (1<<levelBits - 1)), uint64(e.Born)
}
