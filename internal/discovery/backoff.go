package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"
)

// halfJitter draws a span from half to one and a half: routers that started together
// must not ask together.
func halfJitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// lowJitter draws a span from half to a tenth more: those whom one failure brought together ask apart from then on.
func lowJitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+d/jitterShare) }

// smallJitter draws a span from a tenth less to a tenth more.
func smallJitter(d time.Duration) time.Duration { return d - d/jitterShare + rand.N(2*d/jitterShare) }

// sleep waits for so long.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// isTimeout says whether an error is that nothing came in time.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// errorCause is an error without the ports of its connection.
func errorCause(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return err.Error()
}

// watchWait is how long a watch may be. After an error it is a call for what there is.
func (w *Watcher) watchWait() time.Duration {
	switch {
	case w.responseDelay == unknownDelay:
		return immediateWait
	case w.shared && w.responseDelay <= sharedMaxDelay:
		return min(w.watchTimeout, notifiedAfter-notifiedMargin-w.allowedSilence()-minBackoff*3/2-w.responseDelay).Truncate(time.Millisecond)
	}
	return w.watchTimeout
}

// allowedSilence is how long silence is borne beyond a call's wait, its dial included.
func (w *Watcher) allowedSilence() time.Duration {
	switch {
	case w.responseDelay == unknownDelay:
	case w.shared && w.responseDelay <= sharedMaxDelay:
		return max(w.quickSilence, w.responseDelay+sharedDelayGrowth)
	case w.responseDelay <= w.quickSilence/2:
		return w.quickSilence
	}
	return w.patientSilence
}

// awaitTurn waits for this router's turn, for as long as the list's clock allows.
func (w *Watcher) awaitTurn(ctx context.Context) {
	late := time.NewTimer(w.maxTurnWait)
	defer late.Stop()
	for ok := false; !ok && ctx.Err() == nil; {
		var wait time.Duration
		wait, ok = w.CallDelay()
		its := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-its.C:
		case <-late.C:
			ok = true
		}
		its.Stop()
	}
}
