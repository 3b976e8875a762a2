package peer

import "lotushook/policy/crdt"

const (
	maxRuns         = 1 << 10
	maxBatchEntries = 64
)

// stateMessage is the replication part of a message.
//
// The numbers in the tags are keys of the encoded message. Keys below 11 belonged to the first format, which numbered
// entries over a whole copy instead of by shard. Routers of that format and of this one see each other as members, but
// replicate nothing to each other. Keys 13 and 14 were requests and pieces whose runs claimed to be complete for all
// keys or for none, which is wrong for a piece that covers only some keys (docs/incidents/2026-12-03-missed-commit.md).
// Routers that use those keys exchange batches with this version, but neither catches up from the other.
type stateMessage struct {
	Batch   *batch        `cbor:"11,keyasint,omitempty"` // new entries
	Acks    []ack         `cbor:"12,keyasint,omitempty"` // acknowledgements of received batches
	Request *stateRequest `cbor:"16,keyasint,omitempty"` // requests the entries that the sender lacks
	Piece   *piece        `cbor:"17,keyasint,omitempty"` // answers a request
	Check   []wireEntry   `cbor:"15,keyasint,omitempty"` // entries that the sender has known for longer than missingAfter
}

// batch carries new entries.
type batch struct {
	_            struct{} `cbor:",toarray"`
	Number       uint64
	ForwardCount int // the first ForwardCount entries are to be forwarded, because writes wait for them
	Entries      []wireEntry
}

// ack acknowledges the batch with the same number.
type ack struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Missing []byte // indexes of entries of the batch that the copy of the ack's sender does not cover after merging
}

// stateRequest describes its sender's copy for a range of shards. The receiver returns the entries that are missing
// there.
type stateRequest struct {
	_          struct{} `cbor:",toarray"`
	FirstShard int      // the request covers one shard per digest from this one on, and wraps around after the last shard
	Digests    []uint64
	Origins    []wireOrigin
	UpTo       [][]uint64 // the crdt.VersionVector of each shard, as values in the order of Origins
	Recovering bool       // the sender has not caught up since its start
}

// wireOrigin is the encoded form of a crdt.Origin.
type wireOrigin struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Epoch uint64
}

// piece is an answer to a stateRequest: some of the entries that the requester lacks. The checksum is computed from the
// entries that are merged, not from the encoded message, so that it also detects fields that encoding or decoding lost.
type piece struct {
	_            struct{} `cbor:",toarray"`
	FirstShard   int      // as in the request
	ShardCount   int
	Runs         []wireRun
	Sum          uint64
	More         bool  // there are more entries for these shards
	RetryAfterMS int64 // if not 0, the sender's rate limit defers the request, and the piece is empty
}

// wireRun is the encoded form of a crdt.OriginRun.
type wireRun struct {
	_                   struct{} `cbor:",toarray"`
	Shard               int
	Name                string
	Epoch               uint64
	After, UpTo         uint64
	SpanAfter, SpanUpTo uint64 // the range of key hashes that the run covers; if equal, all keys
	Evicted             uint16 // bit set of the kinds of which the sender has evicted entries
	Entries             []wireEntry
}

func encodeRun(shard int, originRun *crdt.OriginRun) wireRun {
	encoded := wireRun{Shard: shard, Name: originRun.Origin.Name, Epoch: originRun.Origin.Boot, After: originRun.After,
		UpTo: originRun.UpTo, SpanAfter: originRun.Span.After, SpanUpTo: originRun.Span.UpTo, Evicted: uint16(originRun.Evicted)}
	for index := range originRun.Entries {
		encoded.Entries = append(encoded.Entries, encodeEntry(&originRun.Entries[index]))
	}
	return encoded
}

func (encoded *wireRun) decode() crdt.OriginRun {
	decoded := crdt.OriginRun{Origin: crdt.Origin{Name: encoded.Name, Boot: encoded.Epoch}, After: encoded.After,
		UpTo: encoded.UpTo, Span: crdt.KeySpan{After: encoded.SpanAfter, UpTo: encoded.SpanUpTo}, Evicted: crdt.KindSet(encoded.Evicted)}
	for index := range encoded.Entries {
		decoded.Entries = append(decoded.Entries, encoded.Entries[index].decode())
	}
	return decoded
}

// wireEntry is the encoded form of a crdt.Entry.
type wireEntry struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8
	A, B     string
	Born, At int64
	Count    int64
	Server   string
	Name     string
	Epoch    uint64
	Seq      uint64
	Age      int64
	Acked    int64
}

func encodeEntry(entry *crdt.Entry) wireEntry {
	return wireEntry{Kind: uint8(entry.Kind), A: entry.A, B: entry.B, Born: entry.Born, At: entry.At, Count: entry.Count,
		Server: entry.Server, Name: entry.From.Name, Epoch: entry.From.Boot, Seq: entry.Seq, Age: entry.Age, Acked: entry.Acked}
}

func (encoded *wireEntry) decode() crdt.Entry {
	return crdt.Entry{Kind: crdt.Kind(encoded.Kind), A: encoded.A, B: encoded.B, Born: encoded.Born, At: encoded.At,
		Count: encoded.Count, Server: encoded.Server, From: crdt.Origin{Name: encoded.Name, Boot: encoded.Epoch}, Seq: encoded.Seq, Age: encoded.Age, Acked: encoded.Acked}
}

// withinBounds reports whether the sizes of all parts of the message are within bounds.
func (message *stateMessage) withinBounds() bool {
	entries := message.Check
	if message.Batch != nil {
		entries = append(entries, message.Batch.Entries...)
	}
	if len(entries) > 2*maxBatchEntries || len(message.Acks) > maxBatchEntries {
		return false
	}
	if request := message.Request; request != nil {
		if len(request.Digests) < 1 || len(request.Digests) > shardCount || len(request.UpTo) != len(request.Digests) ||
			request.FirstShard < 0 || request.FirstShard >= shardCount {
			return false
		}
		for _, vector := range request.UpTo {
			if len(vector) != len(request.Origins) {
				return false
			}
		}
	}
	if piece := message.Piece; piece != nil {
		if len(piece.Runs) > maxRuns || piece.FirstShard < 0 || piece.FirstShard >= shardCount ||
			piece.ShardCount < 0 || piece.ShardCount > shardCount {
			return false
		}
		for i := range piece.Runs {
			if originRun := &piece.Runs[i]; originRun.Shard < 0 || originRun.Shard >= shardCount {
				return false
			}
			entries = append(entries, piece.Runs[i].Entries...)
		}
	}
	for i := range entries {
		if checked := &entries[i]; max(len(checked.A), len(checked.B), len(checked.Server)) > 256 || len(checked.Name) > maxNameBytes {
			return false
		}
	}
	return true
}
