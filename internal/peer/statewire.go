package peer

import "lotushook/policy/crdt"

const (
	maxRuns   = 1 << 10
	maxPushed = 64
)

// state is the part of a message about the replicated state. Keys below 11 were those of the first format, which numbered entries over
// a whole copy, not by shard: routers of the two formats see each other as members, and replicate nothing. Keys 13 and 14 were requests
// and answers whose runs were complete for all keys or none, which is wrong for a piece (docs/incidents/2026-12-03-missed-commit.md).
// Routers that use those exchange pushes with this one, and neither fetches from the other.
type state struct {
	Push  *push   `cbor:"11,keyasint,omitempty"` // new entries
	Acks  []ack   `cbor:"12,keyasint,omitempty"` // for batches that were received
	Want  *want   `cbor:"16,keyasint,omitempty"` // what its sender has, to be sent what it lacks
	Feed  *feed   `cbor:"17,keyasint,omitempty"` // what was requested
	Check []entry `cbor:"15,keyasint,omitempty"` // entries that its sender has known for long
}

type push struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Pass    int // so many of the first are to be forwarded
	Entries []entry
}

type ack struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Lacks  []byte // the positions of rejected entries
}

type want struct {
	_       struct{} `cbor:",toarray"`
	First   int      // of the shards that it is about, as many as there are digests; after the last comes the first
	Digests []uint64
	Origins []origin
	Upto    [][]uint64 // by shard: how far each origin was received; of the origin without a name: where the next piece begins
	Hungry  bool       // its sender has not caught up since its start
}

type origin struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Boot uint64
}

// feed is one piece. Its sum is over the joined parts of all entries: losses between two encodings are detected.
type feed struct {
	_      struct{} `cbor:",toarray"`
	First  int      // of the request that it answers
	Shards int
	Runs   []run
	Sum    uint64
	More   bool  // of these shards there is more
	WaitMS int64 // nothing now: request again after it, or from another
}

type run struct {
	_                   struct{} `cbor:",toarray"`
	Shard               int
	Name                string
	Boot                uint64
	After, Upto         uint64
	SpanAfter, SpanUpto uint64 // the keys it is about, by their hashes; equal: all
	Evicted             uint16 // kinds of which its sender has evicted entries, as a set of bits
	Entries             []entry
}

func wireRun(shard int, r *crdt.OriginRun) run {
	out := run{Shard: shard, Name: r.Origin.Name, Boot: r.Origin.Boot, After: r.After, Upto: r.UpTo,
		SpanAfter: r.Span.After, SpanUpto: r.Span.UpTo, Evicted: uint16(r.Evicted)}
	for i := range r.Entries {
		out.Entries = append(out.Entries, wire(&r.Entries[i]))
	}
	return out
}

func (r *run) run() crdt.OriginRun {
	out := crdt.OriginRun{Origin: crdt.Origin{Name: r.Name, Boot: r.Boot}, After: r.After, UpTo: r.Upto,
		Span: crdt.KeySpan{After: r.SpanAfter, UpTo: r.SpanUpto}, Evicted: crdt.KindSet(r.Evicted)}
	for i := range r.Entries {
		out.Entries = append(out.Entries, r.Entries[i].entry())
	}
	return out
}

type entry struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8
	A, B     string
	Born, At int64
	Count    int64
	Server   string
	Name     string
	Boot     uint64
	Seq      uint64
	Age      int64
	Acked    int64
}

func wire(e *crdt.Entry) entry {
	return entry{Kind: uint8(e.Kind), A: e.A, B: e.B, Born: e.Born, At: e.At, Count: e.Count, Server: e.Server, Name: e.From.Name, Boot: e.From.Boot, Seq: e.Seq, Age: e.Age, Acked: e.Acked}
}

func (e *entry) entry() crdt.Entry {
	return crdt.Entry{Kind: crdt.Kind(e.Kind), A: e.A, B: e.B, Born: e.Born, At: e.At, Count: e.Count, Server: e.Server,
		From: crdt.Origin{Name: e.Name, Boot: e.Boot}, Seq: e.Seq, Age: e.Age, Acked: e.Acked}
}

// sound says whether the sizes of all its parts are within bounds.
func (s *state) sound() bool {
	entries := s.Check
	if s.Push != nil {
		entries = append(entries, s.Push.Entries...)
	}
	if len(entries) > 2*maxPushed || len(s.Acks) > maxPushed {
		return false
	}
	if w := s.Want; w != nil {
		if len(w.Digests) < 1 || len(w.Digests) > pieces || len(w.Upto) != len(w.Digests) || w.First < 0 || w.First >= pieces {
			return false
		}
		for _, v := range w.Upto {
			if len(v) != len(w.Origins) {
				return false
			}
		}
	}
	if f := s.Feed; f != nil {
		if len(f.Runs) > maxRuns || f.First < 0 || f.First >= pieces || f.Shards < 0 || f.Shards > pieces {
			return false
		}
		for i := range f.Runs {
			if r := &f.Runs[i]; r.Shard < 0 || r.Shard >= pieces {
				return false
			}
			entries = append(entries, f.Runs[i].Entries...)
		}
	}
	for i := range entries {
		if e := &entries[i]; max(len(e.A), len(e.B), len(e.Server)) > 256 || len(e.Name) > maxNameBytes {
			return false
		}
	}
	return true
}
