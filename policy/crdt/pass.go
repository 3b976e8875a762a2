package crdt

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// KeySpan is a range of key hashes: those greater than After, up to and including UpTo. The hashes form a circle, in
// which 0 follows the greatest hash, so that UpTo may be less than After. If both are equal, as in the zero value, the
// span covers all keys.
type KeySpan struct{ After, UpTo uint64 }

func (span KeySpan) isAll() bool { return span.After == span.UpTo }

// IsPartial reports whether the span does not cover all keys, so that there is more to fetch.
func (span KeySpan) IsPartial() bool { return !span.isAll() }

// keyHash returns the position of the entry's key on the circle. It is the same on all routers.
func (entry *Entry) keyHash() uint64 {
	id := entry.id()
	hasher := fnv.New64a()
	buffer := []byte{byte(id.kind)}
	for _, text := range []string{id.subject, id.qualifier, id.origin.Name} {
		buffer = append(append(buffer, text...), 0xff)
	}
	for _, number := range []uint64{uint64(id.incarnation), id.origin.Boot} {
		for shift := 0; shift < 64; shift += 8 {
			buffer = append(buffer, byte(number>>shift))
		}
	}
	hasher.Write(buffer)
	return mixHash(hasher.Sum64())
}

// mixHash is the finalizer of MurmurHash3. It distributes hashes over the whole circle, because the upper bits of FNV
// hardly differ between short keys with the same ending.
func mixHash(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// nextPiece returns the missing entries whose key hashes come first in the span, up to maxBytes, and the part of the
// span that they cover, which is the whole span if all of its missing entries fit. Entries with the same hash are never
// split between two pieces.
func nextPiece(missing []*storedEntry, span KeySpan, maxBytes int) ([]*storedEntry, KeySpan) {
	// The distance of an entry's key hash from the first hash of the span.
	offset := func(entry *storedEntry) uint64 { return entry.keyHash - span.After - 1 }
	if !span.isAll() {
		missing = slices.DeleteFunc(missing, func(entry *storedEntry) bool { return offset(entry) >= span.UpTo-span.After })
	}
	slices.SortFunc(missing, func(x, y *storedEntry) int { return cmp.Compare(offset(x), offset(y)) })
	count := 0
	for ; count < len(missing) && missing[count].Size() <= maxBytes; count++ {
		maxBytes -= missing[count].Size()
	}
	if count == len(missing) {
		return missing, span
	}
	for count > 0 && missing[count-1].keyHash == missing[count].keyHash {
		count--
	}
	if count == 0 {
		return nil, KeySpan{}
	}
	return missing[:count], KeySpan{span.After, missing[count-1].keyHash}
}

// fetchPass is the state of a fetch that takes several pieces. Each piece covers a span of the circle of key hashes and
// claims what its sender held of the keys in that span. Different members may send the pieces, because a sender may
// fail during the fetch. Once the spans cover the whole circle, this copy holds, for all keys, what every piece
// claimed. A copy of a fetchPass value is independent of the original.
type fetchPass struct {
	// The span that no piece has covered yet. Before the first piece it covers all keys.
	remaining KeySpan
	// For each origin, the lowest sequence number that a piece of this fetch has claimed; nil before the first piece.
	// An origin that any piece did not claim is absent. The map is replaced, never modified.
	claimedUpTo VersionVector
}

func (pass *fetchPass) hasBegun() bool { return pass.claimedUpTo != nil }

// add records the claims of a piece and reports whether the pass is complete. The first piece may begin anywhere on the
// circle.
func (pass *fetchPass) add(span KeySpan, claims []OriginRun) bool {
	if !pass.hasBegun() {
		pass.remaining = KeySpan{span.After, span.After}
	}
	if span.After != pass.remaining.After || !pass.remaining.isAll() && span.UpTo-span.After > pass.remaining.UpTo-pass.remaining.After {
		return false // the piece belongs to an earlier pass
	}
	common := VersionVector{}
	for _, claim := range claims {
		claimedUpTo, ok := pass.claimedUpTo[claim.Origin]
		switch {
		case claim.Span != span: // all runs of a message have the same span
		case !pass.hasBegun():
			common[claim.Origin] = claim.UpTo
		case ok:
			common[claim.Origin] = min(claimedUpTo, claim.UpTo)
		}
	}
	pass.claimedUpTo, pass.remaining.After = common, span.UpTo
	return pass.remaining.isAll()
}
