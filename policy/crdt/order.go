package crdt

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
)

// entryID identifies the subject of an entry. Two entries with the same ID are joined.
type entryID struct {
	kind               Kind
	subject, qualifier string
	incarnation        int64
	origin             Origin
}

func (entry *Entry) id() entryID {
	id := entryID{kind: entry.Kind, subject: entry.A, qualifier: entry.B}
	switch entry.Kind {
	case ServerPosition:
		id.incarnation = entry.Born
	case Usage, Hint, SheddingLevel:
		id.origin = entry.From
	}
	return id
}

// compare orders two entries with the same ID; the greater one prevails. It ignores ages: two copies of one entry that
// reached this router by different paths may differ in age.
func (entry *Entry) compare(other *Entry) int {
	switch entry.Kind {
	case SessionCommit, ServerPosition:
		return cmp.Or(cmp.Compare(entry.At, other.At), entry.compareVersion(other))
	case PrimaryClaim:
		return cmp.Or(cmp.Compare(entry.At, other.At), cmp.Compare(entry.Born, other.Born), cmp.Compare(entry.Server, other.Server), entry.compareVersion(other))
	case Usage:
		return cmp.Or(cmp.Compare(entry.Count, other.Count), cmp.Compare(entry.Seq, other.Seq))
	case FeedCursor: // generation and the router that raised it, then history by ancestry, then position
		return cmp.Or(cmp.Compare(entry.Count, other.Count), entry.From.compare(other.From), cmp.Compare(uint64(entry.Born), uint64(other.Born)), cmp.Compare(entry.At, other.At),
			cmp.Compare(entry.Acked, other.Acked), cmp.Compare(entry.Seq, other.Seq))
	}
	return entry.compareVersion(other)
}

func (entry *Entry) compareVersion(other *Entry) int {
	return cmp.Or(entry.From.compare(other.From), cmp.Compare(entry.Seq, other.Seq))
}

// hash returns a hash of all fields that compare considers. The age is not one of them.
func (entry *storedEntry) hash() uint64 {
	hasher := fnv.New64a()
	buffer := []byte{byte(entry.Kind)}
	for _, text := range []string{entry.A, entry.B, entry.Server, entry.From.Name} {
		buffer = append(append(buffer, text...), 0xff)
	}
	for _, number := range []uint64{entry.From.Boot, entry.Seq, uint64(entry.Born), uint64(entry.At), uint64(entry.Acked), uint64(entry.Count)} {
		buffer = binary.LittleEndian.AppendUint64(buffer, number)
	}
	hasher.Write(buffer)
	return hasher.Sum64()
}
