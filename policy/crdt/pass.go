package crdt

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// KeySpan is a part of the circle of all keys' hashes: those after After up to Upto, which may lie beyond the greatest. All of
// them where the two are equal, as in the zero value.
type KeySpan struct{ After, Upto uint64 }

func (k KeySpan) isAll() bool { return k.After == k.Upto }

// IsPiece says that a span does not cover all keys: there is more to fetch.
func (k KeySpan) IsPiece() bool { return !k.isAll() }

// keyHash places a key on the circle. It is the same in all routers.
func (e *Entry) keyHash() uint64 {
	id := e.id()
	x := fnv.New64a()
	buf := []byte{byte(id.kind)}
	for _, text := range []string{id.a, id.b, id.from.Name} {
		buf = append(append(buf, text...), 0xff)
	}
	for _, n := range []uint64{uint64(id.born), id.from.Boot} {
		for shift := 0; shift < 64; shift += 8 {
			buf = append(buf, byte(n>>shift))
		}
	}
	x.Write(buf)
	return mix(x.Sum64())
}

// mix spreads a hash over the whole circle: FNV's upper bits hardly differ for short keys that end alike. It is the finalizer of
// MurmurHash3.
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// nextPiece returns those of the missing entries whose keys' hashes come first in a span, as many as there is room for, and the part
// of the span that they cover: all of it, where there is room for all entries in it. Entries of one hash are not parted.
func nextPiece(missing []*storedEntry, span KeySpan, room int) ([]*storedEntry, KeySpan) {
	place := func(h *storedEntry) uint64 { return h.keyHash - span.After - 1 } // from 0 on, for the first hash in the span
	if !span.isAll() {
		missing = slices.DeleteFunc(missing, func(h *storedEntry) bool { return place(h) >= span.Upto-span.After })
	}
	slices.SortFunc(missing, func(x, y *storedEntry) int { return cmp.Compare(place(x), place(y)) })
	taken := 0
	for ; taken < len(missing) && missing[taken].Size() <= room; taken++ {
		room -= missing[taken].Size()
	}
	if taken == len(missing) {
		return missing, span
	}
	for taken > 0 && missing[taken-1].keyHash == missing[taken].keyHash {
		taken--
	}
	if taken == 0 {
		return nil, KeySpan{}
	}
	return missing[:taken], KeySpan{span.After, missing[taken-1].keyHash}
}

// fetchPass is a fetch that takes several pieces. Each piece covers a span of the circle of keys, and claims what its sender had of
// these keys; the members that send them may differ, as a sender may die on the way. Once the spans have gone round the circle, what
// every piece claimed is held of all keys. It is a value: a copy of it is independent.
type fetchPass struct {
	left KeySpan       // what no piece has covered yet; all keys before the first
	upto VersionVector // what all pieces claimed; nil: there was no piece. It is replaced, not changed.
}

func (p *fetchPass) begun() bool { return p.upto != nil }

// add records a piece's claims, and says whether the pass is complete. The first piece may begin anywhere.
func (p *fetchPass) add(span KeySpan, claims []OriginRun) bool {
	if !p.begun() {
		p.left = KeySpan{span.After, span.After}
	}
	if span.After != p.left.After || !p.left.isAll() && span.Upto-span.After > p.left.Upto-p.left.After {
		return false // of a pass that is over
	}
	least := VersionVector{}
	for _, r := range claims {
		upto, ok := p.upto[r.From]
		switch {
		case r.Span != span: // no message has two
		case !p.begun():
			least[r.From] = r.Upto
		case ok:
			least[r.From] = min(upto, r.Upto)
		}
	}
	p.upto, p.left.After = least, span.Upto
	return p.left.isAll()
}
