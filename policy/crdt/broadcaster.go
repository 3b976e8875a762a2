package crdt

import (
	"cmp"
	"errors"
	"slices"

	"lotushook/policy/clock"
)

// BroadcasterSettings bound how much is sent to whom and how often.
type BroadcasterSettings struct {
	Bytes   int         // of entries in one batch
	Every   clock.Nanos // between batches, at least
	Soon    clock.Nanos // the same while an acknowledgement is awaited
	Members int         // recipients of a batch, in turn where there are more
	Pass    int         // recipients to which an entry is forwarded that another router's write waits for
	First   clock.Nanos // until a batch without acknowledgement is sent again; each time twice as long
	Longest clock.Nanos // the maximum of it
	Tries   int         // how often it is sent; then the recipients fetch it
	Queue   int         // entries that wait for a batch; beyond it the latest of the least important kind is dropped
	Batches int         // batches without acknowledgement; beyond it the oldest is dropped
}

// DefaultBroadcasterSettings are settings for a router.
func DefaultBroadcasterSettings() BroadcasterSettings {
	const ms = 1e6
	return BroadcasterSettings{Bytes: 900, Every: 5 * ms, Soon: ms / 2, Members: 16, Pass: 3, First: 10 * ms, Longest: 160 * ms, Tries: 8, Queue: 1024, Batches: 256}
}

func (s *BroadcasterSettings) check() error {
	if s.Bytes < 1 || s.Every < 0 || s.Soon < 0 || s.Members < 1 || s.Pass < 0 || s.First <= 0 || s.Longest < s.First || s.Tries < 1 || s.Queue < 1 || s.Batches < 1 {
		return errors.New("broadcast: Bytes, Members, First, Tries, Queue and Batches are above 0, Longest at least First, the others not negative")
	}
	return nil
}

// Delivery is a batch for a member. Its outcome is reported by its number.
type Delivery struct {
	To      string
	Number  uint64
	Pass    int // so many of the first entries are awaited: a recipient that did not have one forwards it
	Entries []Entry
}

// BroadcastCounts counts the outcomes of entries and batches since the start.
type BroadcastCounts struct {
	Batches uint64 `json:"batches"`
	Again   uint64 `json:"again"`   // repeated sends of a batch to a member
	Left    uint64 `json:"left"`    // batches that some member did not acknowledge in the end: it will fetch them
	Dropped uint64 `json:"dropped"` // entries for which the queue had no room: members that lack them fetch them
}

// Broadcaster sends new entries to members until each has acknowledged them. It is not safe for concurrent use.
//
// An acknowledgement says that its sender holds the entries, or ones that supersede them. The first one for an awaited
// entry ends the wait: two routers have it then, and a third gets it until it acknowledges it too.
type Broadcaster struct {
	set    BroadcasterSettings
	queue  []queued
	open   []*batch // in order of their numbers
	number uint64
	last   clock.Nanos // when the last new batch was made
	turn   int
	counts BroadcastCounts
}

type queued struct {
	Entry
	at   clock.Nanos
	wait uint64
	not  string // its sender; "": it was learned here
}

type batch struct {
	number uint64
	list   []queued
	pass   int
	left   []string // members that have not acknowledged it
	due    clock.Nanos
	tries  int
}

// NewBroadcaster returns a broadcaster with nothing to send.
func NewBroadcaster(s BroadcasterSettings) (*Broadcaster, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	return &Broadcaster{set: s, last: -s.Every}, nil
}

// Add queues an entry that was learned here just now. wait is the number by which its first
// acknowledgement is awaited; 0: it is not.
func (t *Broadcaster) Add(now clock.Nanos, e Entry, wait uint64) {
	t.add(queued{Entry: e, at: now, wait: wait})
}

// Forward queues an entry that a member sent to this router: its origin may fail before it has sent it to the others.
func (t *Broadcaster) Forward(now clock.Nanos, e Entry, by string) {
	t.add(queued{Entry: e, at: now, not: by})
}

func (t *Broadcaster) add(q queued) {
	at, _ := slices.BinarySearchFunc(t.queue, q, func(x, y queued) int { return cmp.Or(x.order(&y), -1) })
	t.queue = slices.Insert(t.queue, at, q)
	if len(t.queue) > t.set.Queue {
		t.queue = t.queue[:t.set.Queue]
		t.counts.Dropped++
	}
}

// order: awaited entries, then by kind; the earlier first.
func (q *queued) order(r *queued) int {
	class := func(q *queued) int {
		switch {
		case q.wait != 0:
			return 0
		case q.not != "":
			return 1
		}
		return 1 + int(q.Kind)
	}
	return cmp.Compare(class(q), class(r))
}

// Deliveries returns what to send now, and to whom; others are the members present, in a stable order. No acknowledgement is awaited
// of a member that is not present.
func (t *Broadcaster) Deliveries(now clock.Nanos, others []string) (out []Delivery) {
	t.open = slices.DeleteFunc(t.open, func(b *batch) bool {
		if now < b.due {
			return false
		}
		b.left = slices.DeleteFunc(b.left, func(m string) bool { return !slices.Contains(others, m) })
		if len(b.left) == 0 {
			return true
		}
		if b.tries >= t.set.Tries {
			t.counts.Left++
			return true
		}
		t.counts.Again += uint64(len(b.left))
		out = append(out, t.broadcast(now, b)...)
		return false
	})
	for len(t.queue) > 0 && len(others) > 0 {
		pace := t.set.Every
		if t.queue[0].wait != 0 {
			pace = t.set.Soon
		}
		if now-t.last < pace {
			break
		}
		b := t.batch(now, others)
		if t.open = append(t.open, b); len(t.open) > t.set.Batches {
			t.open = slices.Delete(t.open, 0, 1)
			t.counts.Left++
		}
		out = append(out, t.broadcast(now, b)...)
	}
	return out
}

// batch takes from the queue what fits, from one source: learned here, or sent by one member.
func (t *Broadcaster) batch(now clock.Nanos, others []string) *batch {
	t.number++
	t.counts.Batches++
	t.last = now
	b := &batch{number: t.number}
	room, by := t.set.Bytes, t.queue[0].not
	t.queue = slices.DeleteFunc(t.queue, func(q queued) bool {
		size := q.Size()
		if q.not != by || size > room && len(b.list) > 0 {
			return false
		}
		room -= size
		if q.wait != 0 {
			b.pass++
		}
		b.list = append(b.list, q)
		return true
	})
	most := t.set.Members
	if by != "" {
		most = t.set.Pass
	}
	for range others {
		t.turn = (t.turn + 1) % len(others)
		if m := others[t.turn]; m != by && len(b.left) < most {
			b.left = append(b.left, m)
		}
	}
	return b
}

func (t *Broadcaster) broadcast(now clock.Nanos, b *batch) (out []Delivery) {
	b.due = now + min(t.set.First<<min(b.tries, 20), t.set.Longest)
	b.tries++
	list := make([]Entry, len(b.list))
	for i, q := range b.list {
		list[i] = q.Entry
		list[i].Age += max(0, now-q.at)
	}
	for _, m := range b.left {
		out = append(out, Delivery{m, b.number, b.pass, list})
	}
	return out
}

// Acked processes a member's acknowledgement: it holds all of the batch but the entries at these places, which it rejects. It
// returns the waits that end, each at its first acknowledgement.
func (t *Broadcaster) Acked(from string, number uint64, lacks []uint8) (ended []uint64) {
	at, ok := slices.BinarySearchFunc(t.open, number, func(b *batch, n uint64) int { return cmp.Compare(b.number, n) })
	if !ok {
		return nil
	}
	b := t.open[at]
	i := slices.Index(b.left, from)
	if i < 0 {
		return nil
	}
	b.left = slices.Delete(b.left, i, i+1)
	for i := range b.list {
		if q := &b.list[i]; q.wait != 0 && !slices.Contains(lacks, uint8(i)) {
			ended = append(ended, q.wait)
			q.wait = 0
		}
	}
	if len(b.left) == 0 {
		t.open = slices.Delete(t.open, at, at+1)
	}
	return ended
}

// Due says whether Deliveries may have anything to send, and from when on.
func (t *Broadcaster) Due() (at clock.Nanos, ok bool) {
	if len(t.queue) > 0 {
		at, ok = t.last+t.set.Every, true
		if t.queue[0].wait != 0 {
			at = t.last + t.set.Soon
		}
	}
	for _, b := range t.open {
		if !ok || b.due < at {
			at, ok = b.due, true
		}
	}
	return at, ok
}

// Counts counts since the start.
func (t *Broadcaster) Counts() BroadcastCounts { return t.counts }

// Size is how many entries wait, and how many batches are open.
func (t *Broadcaster) Size() (entries, batches int) { return len(t.queue), len(t.open) }
