// Package crdt holds the state that routers replicate: log positions, primaries, commit positions of sessions, keyed
// writes that may have run, contract usage, hints, feed cursors and shedding levels. Each kind is a join-semilattice:
// copies that merged the same entries are equal, whatever the order and the number of repetitions. The package does not
// decide how entries are transported.
//
// An origin is the router process that learned an entry; it numbers its entries. Of two entries with the same ID, the
// greater one supersedes the other. A copy covers an entry that it stores or that it does not need (see Store.Covers).
//
// A router pushes its new entries to other members in batches (Broadcaster). A member fetches the entries that it still
// lacks: it sends its version vector, and another member answers with runs of entries. A run may claim that the
// receiver then has all entries of one origin up to a sequence number. If the missing entries do not fit into one
// answer, each answer is a piece of the fetch, which covers the keys in one span of key hashes (see KeySpan and
// fetchPass).
//
// Entries are information, never commands. A router sends only to servers that its own endpoint list names. If a peer
// reports a position for a server that is too high, reads are sent to that server and rejected there; they are never
// answered with stale data. A commit position that is too high delays the session's reads, and one that is too
// low changes nothing, because joins only raise values.
package crdt

import (
	"cmp"
	"errors"
	"fmt"

	"lotushook/policy/clock"
)

// Kind is the kind of an entry. Lower values are more urgent.
type Kind uint8

// The kinds. The comment of each says what the fields of its entries mean, and which of several entries on the same
// subject prevails.
const (
	// A: group, B: session. The position of the session's last commit; the greater one prevails.
	SessionCommit Kind = iota + 1
	// A: group. Which server is the primary. Ordered by the position at which the server was seen as the primary, the
	// server's start and the server's name, then by origin.
	PrimaryClaim
	// A: class and key scope, B: idempotency key. A write that may have run. Stored for Settings.WriteWindow.
	PendingWrite
	// A: server, Born: the server's start. How far the server has applied the log; the greater position prevails.
	ServerPosition
	// A: team, B: class; one entry per origin. The usage of the team's contract for the class; the greater one
	// prevails.
	Usage
	// A: subject of the hint, such as a zone in outage, a server in slow start or a suspect; one entry per origin. The
	// origin's latest entry prevails.
	Hint
	// A: feed, B: subscriber. Ordered by Count (generation), From, Born (history), At and Acked.
	FeedCursor
	// A: group; one entry per origin. The origin's shedding threshold and load; its latest entry prevails.
	SheddingLevel

	// LastKind is the greatest kind.
	LastKind  = SheddingLevel
	kindCount = LastKind + 1
)

var kindNames = [...]string{"none", "session", "primary", "write", "position", "use", "hint", "cursor", "level"}

// String returns the kind's name in logs.
func (kind Kind) String() string {
	if int(kind) < len(kindNames) {
		return kindNames[kind]
	}
	return "unknown"
}

// Origin identifies one process of a router. A router that restarts under the same name has another epoch. It is part
// of stored entries, so its fields keep their names.
type Origin struct {
	Name string
	Boot uint64 // epoch of the process
}

func (origin Origin) compare(other Origin) int {
	return cmp.Or(cmp.Compare(origin.Name, other.Name), cmp.Compare(origin.Boot, other.Boot))
}

// Entry is one fact that a router has learned. Routers persist entries in CBOR under the names of the fields, so the
// fields keep their names.
type Entry struct {
	Kind Kind
	// The subject of the entry, and a qualifier that distinguishes entries on the same subject; see the kinds.
	A, B string
	// ServerPosition, PrimaryClaim: the server's start according to the endpoint list; FeedCursor: the history's
	// number; SheddingLevel: an epoch.
	Born int64
	// SessionCommit, PrimaryClaim, ServerPosition, FeedCursor: a log position.
	At int64
	// FeedCursor: the position that the subscriber has acknowledged; -1: none.
	Acked int64
	// Usage: the usage in thousandths; FeedCursor: the generation, which never decreases; SheddingLevel: see
	// NewSheddingLevel.
	Count int64
	// PrimaryClaim: the server that is claimed to be the primary.
	Server string
	// The process that learned the entry.
	From Origin
	Seq  uint64      // number among all entries that the origin has learned, starting at 1
	Age  clock.Nanos // time since the origin learned the entry, without the time in transit
}

// Key returns the key by which stores are sharded. All entries that one query reads have the same key and so are in the
// same shard.
func (entry *Entry) Key() (subject, qualifier string) {
	if entry.Kind == Hint { // a query reads the hints of all origins on a subject
		return entry.A, ""
	}
	return entry.A, entry.B
}

// Settings limit what a store holds and accepts.
type Settings struct {
	Self Origin
	// Maximum number of stored entries, indexed by Kind.
	MaxEntries [kindCount]int
	// Maximum number of origins whose sequence numbers are remembered.
	MaxOrigins int
	// Time during which a write with an idempotency key is remembered as one that may have run.
	WriteWindow clock.Nanos
	// Time after which a hint expires.
	HintLifetime clock.Nanos
	// Time after which a shedding level expires.
	LevelLifetime clock.Nanos
	// Positions that exceed the greatest one learned by this router by more than this are rejected.
	MaxAhead int64
	// Maximum length of a name or key in bytes.
	MaxText int
	// Minimum time between two learned entries on one server's position or on an unchanged primary. Without it, each
	// answer of a server would lead to new entries, because each contains the position and the role of the server.
	MinLearnInterval clock.Nanos
	// Maximum number of learned entries waiting to be sent. Further entries are not sent; members have to fetch them.
	MaxPending int
}

// Shard returns the settings of each store when the keys are divided among count stores.
func (settings Settings) Shard(count int) Settings {
	for kind := range settings.MaxEntries {
		settings.MaxEntries[kind] = (settings.MaxEntries[kind] + count - 1) / count
	}
	return settings
}

// DefaultSettings returns the default settings of a router.
func DefaultSettings(self Origin) Settings {
	const second = 1e9
	return Settings{Self: self, MaxOrigins: 4096, WriteWindow: 30 * second, HintLifetime: 10 * second,
		LevelLifetime: 2 * second, MaxAhead: 60 * second, MaxText: 128, MinLearnInterval: second / 4,
		MaxPending: 1024,
		MaxEntries: [kindCount]int{SessionCommit: 20_000, PrimaryClaim: 4096, PendingWrite: 20_000,
			ServerPosition: 4096, Usage: 8192, Hint: 4096, FeedCursor: 20_000, SheddingLevel: 8192}}
}

func (settings *Settings) validate() error {
	var errs []error
	for kind := SessionCommit; kind < kindCount; kind++ {
		if settings.MaxEntries[kind] < 1 {
			errs = append(errs, fmt.Errorf("replicated state: MaxEntries of %s is below 1", kind))
		}
	}
	if settings.Self.Name == "" || settings.MaxOrigins < 1 || settings.WriteWindow <= 0 ||
		settings.HintLifetime <= 0 || settings.LevelLifetime <= 0 || settings.MaxAhead <= 0 ||
		settings.MaxText < 1 || settings.MinLearnInterval < 0 || settings.MaxPending < 1 {
		errs = append(errs, errors.New("replicated state: Self must be named, MinLearnInterval must not be negative, and MaxOrigins, WriteWindow, HintLifetime, LevelLifetime, MaxAhead, MaxText and MaxPending must be above 0"))
	}
	return errors.Join(errs...)
}

const thresholdBits = 10 // low bits of Count that hold the threshold of a SheddingLevel

// NewSheddingLevel returns a router's report on a group: its load in requests per second, the threshold that it would
// choose, and its epoch (a number that the caller defines).
func NewSheddingLevel(group string, load int64, threshold int, epoch uint64) Entry {
	return Entry{Kind: SheddingLevel, A: group, Born: int64(epoch), Count: load<<thresholdBits | int64(threshold)&(1<<thresholdBits-1)}
}

// SheddingLevel returns the values that NewSheddingLevel stored in the entry.
func (entry *Entry) SheddingLevel() (load int64, threshold int, epoch uint64) {
	return entry.Count >> thresholdBits, int(entry.Count & (1<<thresholdBits - 1)), uint64(entry.Born)
}
