package crdt

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
)

// entryID identifies an entry's subject: two entries of one ID are joined.
type entryID struct {
	kind Kind
	a, b string
	born int64
	from Origin
}

func (e *Entry) id() entryID {
	i := entryID{kind: e.Kind, a: e.A, b: e.B}
	switch e.Kind {
	case ServerPosition:
		i.born = e.Born
	case Usage, Hint, SheddingLevel:
		i.from = e.From
	}
	return i
}

// compare orders two entries of one ID: the greater one prevails. It ignores ages, which differ by the paths they came on.
func (e *Entry) compare(f *Entry) int {
	switch e.Kind {
	case SessionCommit, ServerPosition:
		return cmp.Or(cmp.Compare(e.At, f.At), e.compareVersion(f))
	case PrimaryClaim:
		return cmp.Or(cmp.Compare(e.At, f.At), cmp.Compare(e.Born, f.Born), cmp.Compare(e.Server, f.Server), e.compareVersion(f))
	case Usage:
		return cmp.Or(cmp.Compare(e.Count, f.Count), cmp.Compare(e.Seq, f.Seq))
	case FeedCursor: // generation and who raised it, history by ancestry, position
		return cmp.Or(cmp.Compare(e.Count, f.Count), e.From.compare(f.From), cmp.Compare(uint64(e.Born), uint64(f.Born)), cmp.Compare(e.At, f.At),
			cmp.Compare(e.Acked, f.Acked), cmp.Compare(e.Seq, f.Seq))
	}
	return e.compareVersion(f)
}

func (e *Entry) compareVersion(f *Entry) int {
	return cmp.Or(e.From.compare(f.From), cmp.Compare(e.Seq, f.Seq))
}

// hash covers all that is joined, and not the age.
func (h *storedEntry) hash() uint64 {
	x := fnv.New64a()
	buf := []byte{byte(h.Kind)}
	for _, text := range []string{h.A, h.B, h.Server, h.From.Name} {
		buf = append(append(buf, text...), 0xff)
	}
	for _, n := range []uint64{h.From.Boot, h.Seq, uint64(h.Born), uint64(h.At), uint64(h.Acked), uint64(h.Count)} {
		buf = binary.LittleEndian.AppendUint64(buf, n)
	}
	x.Write(buf)
	return x.Sum64()
}
