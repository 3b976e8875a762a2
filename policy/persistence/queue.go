package persistence

import "lotushook/policy/clock"

// Queue holds the newest record of each key that is to be written.
type Queue struct {
	settings     Settings
	queued       map[string]queuedRecord
	queuedBytes  int
	dueAt        clock.Nanos // earliest start of the next batch
	retryBackoff clock.Nanos // delay after the next failed batch
	inFlight     map[string]queuedRecord
	counts       Counts
}

type queuedRecord struct {
	record    Record
	learnedAt clock.Nanos // on the caller's clock
}

// New returns an empty queue.
func New(settings Settings) (*Queue, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return &Queue{settings: settings, queued: map[string]queuedRecord{}, retryBackoff: settings.RetryBackoff}, nil
}

func recordKey(record *Record) string { return string(append([]byte{record.Kind}, record.Key...)) }

// Put queues a record in place of an older one of the same key. If the queue lacks the capacity, it returns false and
// counts the record as dropped; queued records stay, so that many new keys do not displace older ones.
func (q *Queue) Put(now clock.Nanos, record Record) bool {
	q.counts.Received++
	return q.enqueue(recordKey(&record), queuedRecord{record, now - max(0, record.Age)}, true)
}

func (q *Queue) enqueue(key string, added queuedRecord, isNewer bool) bool {
	old, exists := q.queued[key]
	if exists && !isNewer {
		return true
	}
	newSize := q.queuedBytes + added.record.Size()
	if exists {
		newSize -= old.record.Size()
	}
	if newSize > q.settings.QueueBytes {
		q.counts.Dropped++
		return false
	}
	if exists {
		q.counts.Coalesced++
	}
	q.queued[key], q.queuedBytes = added, newSize
	return true
}

// Due returns the earliest time at which the next batch may be written, and false if nothing is queued or a batch is in
// flight.
func (q *Queue) Due() (clock.Nanos, bool) { return q.dueAt, len(q.queued) > 0 && q.inFlight == nil }

// Batch is a set of records in flight to the disk.
type Batch struct {
	records map[string]queuedRecord
	takenAt clock.Nanos
}

// TakeBatch removes all queued records and returns them as a batch in flight, in constant time. If a batch is in flight
// already, it returns that one.
func (q *Queue) TakeBatch(now clock.Nanos) Batch {
	if q.inFlight == nil && len(q.queued) > 0 {
		q.inFlight, q.queued, q.queuedBytes = q.queued, map[string]queuedRecord{}, 0
	}
	return Batch{q.inFlight, now}
}

// Records returns the batch's records with their ages at the time of TakeBatch. The queue may be used concurrently.
func (batch Batch) Records() []Record {
	records := make([]Record, 0, len(batch.records))
	for _, queued := range batch.records {
		queued.record.Age = max(0, batch.takenAt-queued.learnedAt)
		records = append(records, queued.record)
	}
	return records
}

// Committed reports that the batch taken at takenAt is on disk, and how many fsyncs that required.
func (q *Queue) Committed(takenAt clock.Nanos, fsyncs int) {
	q.inFlight, q.retryBackoff = nil, q.settings.RetryBackoff
	q.counts.Batches++
	q.addFsyncs(takenAt, fsyncs)
}

// Failed reports that the batch taken at takenAt is not on disk. Each of its records is queued again unless a newer one
// of the same key is queued.
func (q *Queue) Failed(takenAt, now clock.Nanos, fsyncs int) {
	for key, returned := range q.inFlight {
		q.enqueue(key, returned, false)
	}
	q.inFlight = nil
	q.counts.Failed++
	q.addFsyncs(takenAt, fsyncs)
	q.dueAt = max(q.dueAt, now+q.retryBackoff)
	q.retryBackoff = min(2*q.retryBackoff, q.settings.MaxRetryBackoff)
}

// addFsyncs delays the next batch so that any interval has at most FsyncsPerSecond fsyncs per second plus those of one
// batch.
func (q *Queue) addFsyncs(takenAt clock.Nanos, fsyncs int) {
	q.counts.Fsyncs += uint64(fsyncs)
	q.dueAt = max(q.dueAt, takenAt) + clock.Nanos(float64(fsyncs)/q.settings.FsyncsPerSecond*1e9)
}

// Bytes returns the size of the queued records, and the size including the batch in flight.
func (q *Queue) Bytes() (queued, total int) {
	total = q.queuedBytes
	for _, inFlight := range q.inFlight {
		total += inFlight.record.Size()
	}
	return q.queuedBytes, total
}

// Counts returns the counts since the queue was created.
func (q *Queue) Counts() Counts { return q.counts }
