package peer

import "lotushook/policy/crdt"

const (
	maxRuns   = 1 << 10
	maxPushed = 64
)

// state is what travels of a copy. Its keys are not those of the first form, which counted over a whole copy what is counted
// by shard now: routers of the two forms keep each other as members, and share nothing.
type state struct {
	Push  *push   `cbor:"11,keyasint,omitempty"` // what is new
	Acks  []ack   `cbor:"12,keyasint,omitempty"` // for batches that were pushed
	Want  *want   `cbor:"13,keyasint,omitempty"` // what its sender has, to be given what it lacks
	Feed  *feed   `cbor:"14,keyasint,omitempty"` // what was wanted
	Check []entry `cbor:"15,keyasint,omitempty"` // what its sender has known for long: whoever lacks it has missed it
}

type push struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Pass    int // so many of the first are to be handed on
	Entries []entry
}

type ack struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Lacks  []byte // the places of those that are not believed
}

type want struct {
	_       struct{} `cbor:",toarray"`
	First   int      // of the shards that it is about, as many as there are digests; after the last comes the first
	Digests []uint64
	Origins []origin
	Upto    [][]uint64 // by shard: how far each origin was had
	Hungry  bool       // its sender has not caught up since its start
}

type origin struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Boot uint64
}

// feed is one piece. Its sum is over all entries as they are joined: what was lost between two encodings shows.
type feed struct {
	_      struct{} `cbor:",toarray"`
	First  int      // of the want that it answers
	Shards int
	Runs   []run
	Sum    uint64
	More   bool  // of these shards there is more
	WaitMS int64 // nothing now: come again after it, or ask another
}

type run struct {
	_           struct{} `cbor:",toarray"`
	Shard       int
	Name        string
	Boot        uint64
	After, Upto uint64
	Entries     []entry
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

// sound says whether all in it is of a size that is kept.
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
