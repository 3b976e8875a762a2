package persistence

import "lotushook/policy/clock"

// Queue holds the records to be written, the newest of each key.
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

// Put queues a record, in place of an older one of its key. It returns false where there is no room: queued records stay, so
// that a flood of new keys does not displace older ones, and the new one is counted as dropped.
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

// Due is when the next batch may be written; false if nothing is queued or one is in progress.
func (q *Queue) Due() (clock.Nanos, bool) { return q.readyAt, len(q.waiting) > 0 && q.inFlight == nil }

// Batch is a set of records that is being written.
type Batch struct {
	records map[string]queuedRecord
	takenAt clock.Nanos
}

// TakeBatch returns the next batch: all that is queued. None may be in progress. It takes constant time.
func (q *Queue) TakeBatch(now clock.Nanos) Batch {
	if q.inFlight == nil && len(q.waiting) > 0 {
		q.inFlight, q.waiting, q.bytes = q.waiting, map[string]queuedRecord{}, 0
	}
	return Batch{q.inFlight, now}
}

// Records are the batch's, with their ages as of when it was taken. The queue may be used meanwhile.
func (b Batch) Records() []Record {
	out := make([]Record, 0, len(b.records))
	for _, w := range b.records {
		w.record.Age = max(0, b.takenAt-w.learnedAt)
		out = append(out, w.record)
	}
	return out
}

// Committed reports that the batch taken at a given time is on disk, after so many fsyncs.
func (q *Queue) Committed(taken clock.Nanos, fsyncs int) {
	q.inFlight, q.backoff = nil, q.settings.RetryBackoff
	q.counts.Batches++
	q.addFsyncs(taken, fsyncs)
}

// Failed reports that the batch taken at a given time is not on disk. Records without a newer one are queued again.
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

// Bytes is the size of what is queued, and with what is in progress.
func (q *Queue) Bytes() (waiting, all int) {
	all = q.bytes
	for _, w := range q.inFlight {
		all += w.record.Size()
	}
	return q.bytes, all
}

// Counts are since the start.
func (q *Queue) Counts() Counts { return q.counts }
