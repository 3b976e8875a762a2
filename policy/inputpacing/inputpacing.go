// Package inputpacing limits how much processor time the input of clients may take, so that clients that send as fast
// as they can don't delay the answers to others.
//
// The work of a client's input is estimated from its messages and bytes. Each client has a small allowance, which covers
// what ordinary clients send. Work beyond it comes out of a part of the router's processor time that all clients share:
// each has to wait until the work that was charged before it would be done with that part.
package inputpacing

import (
	"errors"

	"lotushook/policy/clock"
)

const (
	// The estimated processor time of receiving and parsing input.
	workPerMessage = clock.Millisecond / 40
	workPerByte    = clock.Nanos(2)

	sharedPart = 0.25 // of the router's processor time, for work beyond the allowances

	// A client's allowance: the work that it may cause at once, and how much of it is restored in a second.
	allowance          = clock.Millisecond / 2
	allowancePerSecond = 4 * clock.Millisecond

	// Waits are between these. The time that a message may take to arrive runs on meanwhile.
	minWait = clock.Millisecond
	maxWait = clock.Second / 4
)

// ErrCores reports a number of cores that is not positive.
var ErrCores = errors.New("input pacing: the number of cores must be positive")

// Pacer paces the input of all clients. It is not safe for concurrent use.
type Pacer struct {
	share  float64     // of one core
	doneAt clock.Nanos // when all shared work that was charged is done
}

// Client is the state of one client. The zero value is that of a new client.
type Client struct {
	used      clock.Nanos // of the allowance, at updatedAt
	updatedAt clock.Nanos
}

// New returns a pacer for a router that may use a number of cores.
func New(cores float64) (*Pacer, error) {
	if !(cores > 0) {
		return nil, ErrCores
	}
	return &Pacer{share: sharedPart * min(cores, 1)}, nil
}

// Charge charges input that a client has sent, and returns how long the client's further input must wait; 0: it need
// not wait.
func (pacer *Pacer) Charge(client *Client, messages, bytes int, now clock.Nanos) (wait clock.Nanos) {
	excess := client.use(workOf(messages, bytes), now)
	if excess == 0 {
		return 0
	}
	pacer.doneAt = max(pacer.doneAt, now) + clock.Nanos(float64(excess)/pacer.share)
	pacer.doneAt = min(pacer.doneAt, now+maxWait)
	if wait = pacer.doneAt - now; wait < minWait {
		return 0
	}
	return wait
}

func workOf(messages, bytes int) clock.Nanos {
	return clock.Nanos(messages)*workPerMessage + clock.Nanos(bytes)*workPerByte
}

// use takes work out of the client's allowance and returns the part that exceeds it.
func (client *Client) use(work, now clock.Nanos) (excess clock.Nanos) {
	restored := float64(now-client.updatedAt) / float64(clock.Second) * float64(allowancePerSecond)
	client.used -= min(client.used, clock.Nanos(min(restored, float64(allowance))))
	client.updatedAt = now
	client.used += work
	excess = max(0, client.used-allowance)
	client.used -= excess
	return excess
}
