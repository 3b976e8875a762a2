package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"
)

// halfJitter returns a random duration from 0.5 to 1.5 times d, so that routers that started together do not make their
// calls together.
func halfJitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// shorteningJitter returns a random duration from 0.5 to 1.1 times d, so that routers that call at the same time
// because of a common failure call at different times again.
func shorteningJitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+d/jitterDivisor) }

// jitter returns a random duration from 0.9 to 1.1 times d.
func jitter(d time.Duration) time.Duration { return d - d/jitterDivisor + rand.N(2*d/jitterDivisor) }

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// isTimeout reports whether the error is a network timeout.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// errorCause returns the text of an error without the addresses and ports of its connection, so that repeated errors
// compare equal.
func errorCause(err error) string {
	var opErr *net.OpError
	if errors.As(err, &opErr) {
		err = opErr.Err
	}
	return err.Error()
}

// watchWait returns how long the agent may wait for a change of the list before it answers the next call. The first
// call after an error asks for an immediate answer.
func (watcher *Watcher) watchWait() time.Duration {
	switch {
	case watcher.responseDelay == unknownDelay:
		return immediateWait
	case watcher.shared && watcher.responseDelay <= sharedMaxDelay:
		return min(watcher.watchTimeout, notifiedAfter-notifiedMargin-watcher.allowedSilence()-minBackoff*3/2-watcher.responseDelay).Truncate(time.Millisecond)
	}
	return watcher.watchTimeout
}

// allowedSilence returns how long after the end of a call's wait (see watchWait) the answer may arrive before the call
// fails. The time to connect to the agent counts too.
func (watcher *Watcher) allowedSilence() time.Duration {
	switch {
	case watcher.responseDelay == unknownDelay:
	case watcher.shared && watcher.responseDelay <= sharedMaxDelay:
		return max(watcher.shortSilence, watcher.responseDelay+sharedDelayGrowth)
	case watcher.responseDelay <= watcher.shortSilence/2:
		return watcher.shortSilence
	}
	return watcher.longSilence
}

// awaitCallDelay waits until CallDelay permits the call, at most maxCallDelay.
func (watcher *Watcher) awaitCallDelay(ctx context.Context) {
	limit := time.NewTimer(watcher.maxCallDelay)
	defer limit.Stop()
	for permitted := false; !permitted && ctx.Err() == nil; {
		var wait time.Duration
		wait, permitted = watcher.CallDelay()
		delay := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-delay.C:
		case <-limit.C:
			permitted = true
		}
		delay.Stop()
	}
}
