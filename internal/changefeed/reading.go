package changefeed

import (
	"context"
	"errors"
	"time"

	"lotushook/policy/contract"
	"lotushook/policy/cursor"
)

// reading is one read in progress; all that need it wait for done.
type reading struct {
	after  cursor.Position
	done   chan struct{}
	answer *cursor.Response // nil: there is none
	member cursor.EndpointState
	err    error
	wait   int64
}

// serves says whether a finished catch-up read is what a start needs.
func (r *reading) serves(start cursor.Position) bool {
	return r != nil && r.answer != nil && r.member != cursor.EndpointForked && r.after == start && r.answer.From <= start.At
}

// read starts a read; the log's lock is held.
func (p *Feeds) read(l *log, after cursor.Position, end bool, who contract.Identity) *reading {
	r := &reading{after: after, done: make(chan struct{})}
	if end {
		l.end = r
	} else {
		l.far[after] = r
	}
	p.count.Lock()
	if end {
		p.count.EndReads++
	} else {
		p.count.FarReads++
	}
	p.count.Unlock()
	most := l.set.BatchEvents
	if end {
		most = max(most, l.set.RingEvents/4)
	}
	ask := ReadRequest{Class: l.class, Group: l.group, After: after, MaxEvents: most, Until: p.opt.Now() + int64(p.opt.ReadFor), Who: who}
	p.readings.Go(func() {
		got := p.opt.Read(ask)
		r.err, r.wait = got.Err, got.Wait
		if r.err == nil {
			r.answer, r.err = ParseAnswer(got.Value)
		}
		l.mu.Lock()
		if r.err == nil {
			r.member = l.feed.Apply(p.opt.Now(), r.answer, end)
		}
		if end {
			l.end = nil
		} else {
			delete(l.far, after)
		}
		l.mu.Unlock()
		close(r.done)
	})
	return r
}

// await waits for a read as long as the request may.
func (p *Feeds) await(l *log, r *reading, q *Request) error {
	if p.waiting.Add(1) > int64(p.opt.Waiting) {
		p.waiting.Add(-1)
		return &cursor.OverloadedError{Reason: cursor.ReasonWaiting, Feed: l.text, Subscriber: q.Subscriber, RetryAfter: l.set.PollInterval}
	}
	defer p.waiting.Add(-1)
	late := time.NewTimer(time.Duration(q.Until - p.opt.Now()))
	defer late.Stop()
	select {
	case <-r.done:
		return nil
	case <-late.C:
		return &cursor.UnreadableError{Feed: l.text, RetryAfter: l.set.PollInterval, Cause: context.DeadlineExceeded}
	case <-q.Left:
		return &cursor.UnreadableError{Feed: l.text, Cause: errors.New("the client has left")}
	}
}
