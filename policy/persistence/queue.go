package persistence

import "lotushook/policy/clock"

// Queue is what waits to be written, the newest of each key.
type Queue struct {
	settings Settings
	waiting  map[string]queuedRecord
	bytes    int
	readyAt  clock.Nanos // no batch before it
	backoff  clock.Nanos // after the next failure
	inFlight map[string]queuedRecord
	counts   Counts
}

type queuedRecord struct {
	record    Record
	learnedAt clock.Nanos // when it was learned, by the caller's clock
}

// New returns an empty queue.
func New(s Settings) (*Queue, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	return &Queue{settings: s, waiting: map[string]queuedRecord{}, backoff: s.RetryBackoff}, nil
}

func name(r *Record) string { return string(append([]byte{r.Kind}, r.Key...)) }

// Put has a record wait, in place of an older one of its key. It says false where there is no room: those that wait stay, so
// that a flood of new keys does not wash out what was there before, and the newcomer is counted.
func (q *Queue) Put(now clock.Nanos, r Record) bool {
	q.counts.Received++
	return q.put(name(&r), queuedRecord{r, now - max(0, r.Age)}, true)
}

func (q *Queue) put(key string, w queuedRecord, newer bool) bool {
	old, there := q.waiting[key]
	if there && !newer {
		return true
	}
	bytes := q.bytes + w.record.Size()
	if there {
		bytes -= old.record.Size()
	}
	if bytes > q.settings.QueueBytes {
		q.counts.Dropped++
		return false
	}
	if there {
		q.counts.Coalesced++
	}
	q.waiting[key], q.bytes = w, bytes
	return true
}

// Due is when the next batch may go; false if nothing waits or one is on its way.
func (q *Queue) Due() (clock.Nanos, bool) { return q.readyAt, len(q.waiting) > 0 && q.inFlight == nil }

// Batch is records on their way to the disk.
type Batch struct {
	records map[string]queuedRecord
	takenAt clock.Nanos
}

// Take is the next batch: all that waits. None may be on its way. It takes no time that grows with what waits.
func (q *Queue) Take(now clock.Nanos) Batch {
	if q.inFlight == nil && len(q.waiting) > 0 {
		q.inFlight, q.waiting, q.bytes = q.waiting, map[string]queuedRecord{}, 0
	}
	return Batch{q.inFlight, now}
}

// Records are the batch's, with their ages as of when it was taken. Nobody else need be kept from the queue meanwhile.
func (b Batch) Records() []Record {
	out := make([]Record, 0, len(b.records))
	for _, w := range b.records {
		w.record.Age = max(0, b.takenAt-w.learnedAt)
		out = append(out, w.record)
	}
	return out
}

// Committed tells that the batch that was taken at a time is on disk, for which so many fsyncs were done.
func (q *Queue) Committed(taken clock.Nanos, fsyncs int) {
	q.inFlight, q.backoff = nil, q.settings.RetryBackoff
	q.counts.Batches++
	q.addFsyncs(taken, fsyncs)
}

// Failed tells that the batch that was taken at a time is not on disk. What nothing newer has come for waits again.
func (q *Queue) Failed(taken, now clock.Nanos, fsyncs int) {
	for key, w := range q.inFlight {
		q.put(key, w, false)
	}
	q.inFlight = nil
	q.counts.Failed++
	q.addFsyncs(taken, fsyncs)
	q.readyAt = max(q.readyAt, now+q.backoff)
	q.backoff = min(2*q.backoff, q.settings.MaxRetryBackoff)
}

// addFsyncs spaces batches so that over any time no more fsyncs are done than so many a second and those of one batch.
func (q *Queue) addFsyncs(taken clock.Nanos, fsyncs int) {
	q.counts.Fsyncs += uint64(fsyncs)
	q.readyAt = max(q.readyAt, taken) + clock.Nanos(float64(fsyncs)/q.settings.FsyncsPerSecond*1e9)
}

// Bytes is what waits now, and with what is on its way.
func (q *Queue) Bytes() (waiting, all int) {
	all = q.bytes
	for _, w := range q.inFlight {
		all += w.record.Size()
	}
	return q.bytes, all
}

// Counts are of its life so far.
func (q *Queue) Counts() Counts { return q.counts }
