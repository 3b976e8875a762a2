package changefeed

import (
	"context"
	"errors"
	"time"

	"lotushook/policy/contract"
	"lotushook/policy/cursor"
)

// read is a read from an endpoint. All requests that need its result wait until done is closed.
type read struct {
	after         cursor.Position
	done          chan struct{}
	response      *cursor.Response // nil if the read failed
	endpointState cursor.EndpointState
	err           error
	retryAfter    int64
}

// covers reports whether a finished catch-up read returned the events after a start position. It is false for a nil
// read.
func (finished *read) covers(start cursor.Position) bool {
	return finished != nil && finished.response != nil && finished.endpointState != cursor.EndpointForked &&
		finished.after == start && finished.response.From <= start.At
}

// startRead starts a read. The caller holds the log's lock.
func (feeds *Feeds) startRead(log *feedLog, after cursor.Position, atHead bool, identity contract.Identity) *read {
	started := &read{after: after, done: make(chan struct{})}
	if atHead {
		log.headRead = started
	} else {
		log.catchUpReads[after] = started
	}
	feeds.counts.Lock()
	if atHead {
		feeds.counts.HeadReads++
	} else {
		feeds.counts.CatchUpReads++
	}
	feeds.counts.Unlock()
	maxEvents := log.settings.BatchEvents
	if atHead {
		maxEvents = max(maxEvents, log.settings.RingEvents/4)
	}
	readRequest := ReadRequest{Class: log.class, Group: log.group, After: after, MaxEvents: maxEvents,
		Deadline: feeds.options.Now() + int64(feeds.options.ReadTimeout), Identity: identity}
	feeds.reads.Go(func() {
		result := feeds.options.Read(readRequest)
		started.err, started.retryAfter = result.Err, result.RetryAfter
		if started.err == nil {
			started.response, started.err = ParseResponse(result.Value)
		}
		log.mu.Lock()
		if started.err == nil {
			started.endpointState = log.feed.Apply(feeds.options.Now(), started.response, atHead)
		}
		if atHead {
			log.headRead = nil
		} else {
			delete(log.catchUpReads, after)
		}
		log.mu.Unlock()
		close(started.done)
	})
	return started
}

// awaitRead waits for a read until the request's deadline, unless too many requests are waiting already.
func (feeds *Feeds) awaitRead(log *feedLog, pending *read, request *Request) error {
	if feeds.waiting.Add(1) > int64(feeds.options.MaxWaiting) {
		feeds.waiting.Add(-1)
		return &cursor.OverloadedError{Reason: cursor.ReasonWaiting, Feed: log.label, Subscriber: request.Subscriber,
			RetryAfter: log.settings.PollInterval}
	}
	defer feeds.waiting.Add(-1)
	timer := time.NewTimer(time.Duration(request.Deadline - feeds.options.Now()))
	defer timer.Stop()
	select {
	case <-pending.done:
		return nil
	case <-timer.C:
		return &cursor.UnreadableError{Feed: log.label, RetryAfter: log.settings.PollInterval, Cause: context.DeadlineExceeded}
	case <-request.ClientLeft:
		return &cursor.UnreadableError{Feed: log.label, Cause: errors.New("the client has left")}
	}
}
