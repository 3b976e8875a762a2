package router

import (
	"sync/atomic"
	"time"
)

// writeProgress counts a client's writes, so that a write that does not end can be noticed.
type writeProgress struct{ begun, ended atomic.Uint64 }

// blockedWrite is what endShutdown knows of a client's unfinished write. Only endShutdown uses it.
type blockedWrite struct {
	number uint64        // of the write
	since  time.Duration // the time in endShutdown at which it was first seen
}

// blockedSince returns since when, in endShutdown's time, one write to the client has not ended; false if none is going
// on.
func (client *client) blockedSince(elapsed time.Duration) (since time.Duration, blocked bool) {
	number := client.writes.begun.Load()
	if number == client.writes.ended.Load() {
		client.blocked = blockedWrite{}
		return 0, false
	}
	if client.blocked.number != number {
		client.blocked = blockedWrite{number: number, since: elapsed}
	}
	return client.blocked.since, true
}

// closeAnswered closes the connection at the end of a shutdown, some time after the open requests were ended. From
// finalAnswers on nothing more is read, and the reader closes the connection once each query that was read is answered,
// however long that takes. A client that does not take an answer for finalAnswers is not awaited, and neither is one
// that does not close its side for as long after its last answer. At maxFinalAnswers each connection is closed.
func (client *client) closeAnswered(elapsed time.Duration) {
	timeouts := &client.router.timeouts
	since, blocked := client.blockedSince(elapsed)
	if elapsed < timeouts.finalAnswers {
		return
	}
	client.endReading()
	if blocked && elapsed-since >= timeouts.finalAnswers || elapsed >= timeouts.maxFinalAnswers {
		closeQuietly(client.conn)
	}
	if _, lingering := client.lingeringState(); lingering && elapsed >= 2*timeouts.finalAnswers {
		client.endLingering()
	}
}

// endReading makes the reader read nothing more and close the connection once all queries that were read are answered.
func (client *client) endReading() {
	client.mu.Lock()
	defer client.mu.Unlock()
	if !client.readingEnded.Swap(true) && !client.lingering {
		client.wakeReader()
	}
}

// awaitLastAnswer returns the regular end of a connection whose reading has ended, once each query that was read is
// answered.
func (client *client) awaitLastAnswer() error {
	if err := client.pause(client.router.timeouts.maxFinalAnswers, client.lastAnswered); err != nil {
		return err
	}
	if client.input.Len() > 0 {
		return errDraining
	}
	if !client.pipelines { // otherwise lingeringClose closes it
		closeQuietly(client.conn)
	}
	return errDone
}
