package persistence

// Queue is what waits to be written, the newest of each key.
type Queue struct {
	set     Settings
	waiting map[string]waits
	bytes   int
	ready   Nanos // no batch before it
	wait    Nanos // after the next failure
	flying  map[string]waits
	counts  Counts
}

type waits struct {
	rec Record
	at  Nanos // when it was learned, by the caller's clock
}

// New returns an empty queue.
func New(s Settings) (*Queue, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	return &Queue{set: s, waiting: map[string]waits{}, wait: s.Retry}, nil
}

func name(r *Record) string { return string(append([]byte{r.Kind}, r.Key...)) }

// Put has a record wait, in place of an older one of its key. It says false where there is no room: those that wait stay, so
// that a flood of new keys does not wash out what was there before, and the newcomer is counted.
func (q *Queue) Put(now Nanos, r Record) bool {
	q.counts.Taken++
	return q.put(name(&r), waits{r, now - max(0, r.Age)}, true)
}

func (q *Queue) put(key string, w waits, newer bool) bool {
	old, there := q.waiting[key]
	if there && !newer {
		return true
	}
	bytes := q.bytes + w.rec.Size()
	if there {
		bytes -= old.rec.Size()
	}
	if bytes > q.set.QueueBytes {
		q.counts.LetGo++
		return false
	}
	if there {
		q.counts.Coalesced++
	}
	q.waiting[key], q.bytes = w, bytes
	return true
}

// Due is when the next batch may go; false if nothing waits or one is on its way.
func (q *Queue) Due() (Nanos, bool) { return q.ready, len(q.waiting) > 0 && q.flying == nil }

// Batch is records on their way to the disk.
type Batch struct {
	of  map[string]waits
	now Nanos
}

// Take is the next batch: all that waits. None may be on its way. It takes no time that grows with what waits.
func (q *Queue) Take(now Nanos) Batch {
	if q.flying == nil && len(q.waiting) > 0 {
		q.flying, q.waiting, q.bytes = q.waiting, map[string]waits{}, 0
	}
	return Batch{q.flying, now}
}

// Records are the batch's, with their ages as of when it was taken. Nobody else need be kept from the queue meanwhile.
func (b Batch) Records() []Record {
	out := make([]Record, 0, len(b.of))
	for _, w := range b.of {
		w.rec.Age = max(0, b.now-w.at)
		out = append(out, w.rec)
	}
	return out
}

// Wrote tells that the batch that was taken at a time is on disk, for which so many fsyncs were done.
func (q *Queue) Wrote(taken Nanos, fsyncs int) {
	q.flying, q.wait = nil, q.set.Retry
	q.counts.Batches++
	q.spent(taken, fsyncs)
}

// Failed tells that the batch that was taken at a time is not on disk. What nothing newer has come for waits again.
func (q *Queue) Failed(taken, now Nanos, fsyncs int) {
	for key, w := range q.flying {
		q.put(key, w, false)
	}
	q.flying = nil
	q.counts.Failed++
	q.spent(taken, fsyncs)
	q.ready = max(q.ready, now+q.wait)
	q.wait = min(2*q.wait, q.set.MostRetry)
}

// spent spaces batches so that over any time no more fsyncs are done than so many a second and those of one batch.
func (q *Queue) spent(taken Nanos, fsyncs int) {
	q.counts.Fsyncs += uint64(fsyncs)
	q.ready = max(q.ready, taken) + Nanos(float64(fsyncs)/q.set.Fsyncs*1e9)
}

// Bytes is what waits now, and with what is on its way.
func (q *Queue) Bytes() (waiting, all int) {
	all = q.bytes
	for _, w := range q.flying {
		all += w.rec.Size()
	}
	return q.bytes, all
}

// Counts are of its life so far.
func (q *Queue) Counts() Counts { return q.counts }
