package recovery

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Times to return are dealt out over what those that were turned away need: as many as are told and not back yet, at the rate
// at which this router sends. A better lane has the earlier part of that span; within its part an account's place follows
// from its hash, salted by this start, so that nobody is always the last and all of one account's connections come together.

const (
	dealt    = 64 // spans in which the told are counted
	dealSpan = second / 8
)

// returns counts who was told to come back, by when.
type returns struct {
	at  Nanos
	due [dealt]float64
	sum float64
}

func (b *returns) move(now Nanos) {
	steps := (now - b.at) / dealSpan
	if steps <= 0 {
		return
	}
	for i := range min(steps, dealt) {
		b.sum -= b.due[i]
	}
	if steps >= dealt {
		b.due = [dealt]float64{}
		b.sum = 0
	} else {
		copy(b.due[:], b.due[steps:])
		clear(b.due[dealt-steps:])
	}
	b.at += steps * dealSpan
}

// Return is how long a client of an account should stay away that is turned away now.
func (r *Recovery) Return(now Nanos, tenant, session string, lane int) Nanos {
	r.Tick(now)
	now = r.now
	b := &r.returns
	b.move(now)
	least, most := r.set.Returns[0], r.set.Returns[1]
	span := Nanos(0)
	switch rate := r.rate(); {
	case r.stage < Proving: // until it may send at all, and then over a second
		span = r.since + r.set.Bounds[r.stage] - now + second
	case r.stage < Serving && rate > 0:
		span = Nanos((b.sum + 1) / rate * float64(second))
	default: // what it serves of late is the rate
		span = Nanos((b.sum + 1) / max(1, r.retries.rate()) * float64(second))
	}
	span = min(max(span, least), most-least)
	lanes := float64(r.set.Lanes)
	at := (float64(min(max(lane, 0), r.set.Lanes-1)) + fraction(hash(tenant, session, r.salt))) / lanes
	wait := least + Nanos(at*float64(span))
	i := min((now+wait-b.at)/dealSpan, dealt-1)
	b.due[i]++
	b.sum++
	return wait
}

// rate is how many successes there were in the last second.
func (t *retries) rate() (sum float64) {
	for _, n := range t.won {
		sum += n
	}
	return sum
}

// hash is of two names and a salt.
func hash(a, b string, salt uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(salt)
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(a)))
	d.Write(n[:])
	d.WriteString(a)
	d.WriteString(b)
	return d.Sum64()
}

// fraction is from 0 to 1.
func fraction(h uint64) float64 { return float64(h>>11) / (1 << 53) }
