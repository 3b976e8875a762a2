package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"lotushook/internal/metrics"
)

// Timing of the list, derived in docs/design/fleet.md: a change that discovery had and could have delivered must be applied 6 s
// later, also where a watch fell silent or calls failed; a change that the router's own agent has must be applied within the
// configured grace period, a second for drains.
const (
	endpointsPath       = "/v1/endpoints"
	dialTimeout         = time.Second
	minBackoff          = 50 * time.Millisecond
	backoffFactor       = 4                // each pause after an error is so many times as long as the one before, up to the maximum
	immediateWait       = time.Millisecond // the wait of a call that asks for changes and expects an answer also if there are none
	maxImmediateAnswers = 4                // answers that came at once; after more in a row the watcher pauses, or an agent that never waits would make it spin
	bodyTimeout         = 2 * time.Second  // an answer must be complete this long after its first byte
	unknownDelay        = time.Duration(-1)
	// So long an agent with a smaller version may be behind the others: its list must not lift a withdrawal meanwhile.
	// It is less than the 4 s after which a new agent's list is accepted.
	doubtPeriod = 3 * time.Second

	// The router's own agent answers at once and a call to it costs nothing. A watch that fell silent is reopened
	// after watchTimeout + quickSilence + 1.5 minBackoff + maxTurnWait = 925 ms, and an agent that has come back is called within
	// patientSilence + 1.5 minBackoff + maxTurnWait = 875 ms: both are within a drain's grace of a second. For a shorter
	// grace all but minBackoff shrink in proportion: 500 and 475 ms for 500 ms, less 50 ms where nothing delays calls.
	defaultGrace   = time.Second
	watchTimeout   = 500 * time.Millisecond
	quickSilence   = 250 * time.Millisecond
	patientSilence = 700 * time.Millisecond
	maxBackoff     = 100 * time.Millisecond
	maxTurnWait    = 100 * time.Millisecond

	// Where one service of fixed capacity answers all routers, calls queue there, and a call that is abandoned early has cost
	// its work for nothing. A watch is the longest that leaves within the 6 s the time to detect silence and for a second answer
	// as late as the last; a service that is later than that is given more time. After errors calls begin 4 s apart,
	// as in normal operation, so that a service that recovers is called within 6 s less the time of an answer.
	notifiedAfter        = 6 * time.Second
	notifiedMargin       = 200 * time.Millisecond
	sharedWatchTimeout   = 4 * time.Second
	sharedQuickSilence   = time.Second
	sharedDelayGrowth    = 600 * time.Millisecond // so much longer than the last answer the next may take
	sharedMaxDelay       = 2 * time.Second        // a slower service can't be found silent and answer within the 6 s
	sharedPatientSilence = 4 * time.Second        // until the next call is due
	sharedMaxBackoff     = 4 * time.Second
	sharedFirstBackoff   = 500 * time.Millisecond
	sharedMaxTurnWait    = 400 * time.Millisecond
	callSpacing          = 200 * time.Millisecond // all routers together call no more often after errors
	minSharedBackoff     = time.Second
	jitterShare          = 10 // the interval between two calls varies by one part in so many either way
)

// Watcher follows the list at one agent at a time.
type Watcher struct {
	// The length of a watch; how much longer it may stay silent at an agent whose last answer was quick, and at others;
	// the time limit of an answer's body; the first pause after an error; its maximum; how long CallDelay may delay a call;
	// how long a smaller version is doubted.
	watchTimeout, quickSilence, patientSilence, bodyTimeout, firstBackoff, maxBackoff, maxTurnWait, doubtPeriod time.Duration
	shared                                                                                                      bool

	Metrics *metrics.Metrics // counts calls; nil: not counted
	// CallDelay is called before a call for the complete list, which may be made after wait; !ok: CallDelay is to be called
	// again after it. A call is delayed by maxTurnWait at most. nil: at once.
	CallDelay func() (wait time.Duration, ok bool)

	dial func(ctx context.Context, agent string, within time.Duration) (net.Conn, error)

	mu         sync.Mutex
	agent      string
	cancelCall context.CancelFunc // ends the call under way

	version       int64
	hasSnapshot   bool          // a complete list was received from this agent
	responseDelay time.Duration // how late the last answer was, after its wait; it is kept over a move to another agent of the service
	maxVersion    int64         // the highest version received, from any agent
	doubtUntil    time.Time     // until when a smaller version is doubted; zero: none is
	conn          net.Conn
	input         *timedReader
	reader        *bufio.Reader
}

// NewWatcher returns a watcher of the agent at an address. If routers is not
// 0, so many share one service behind their agents, which each call loads;
// otherwise changes must be applied within a grace period from when the agent has them (0: the default).
func NewWatcher(agent string, routers int, grace time.Duration) *Watcher {
	w := &Watcher{agent: agent, watchTimeout: watchTimeout, quickSilence: quickSilence, patientSilence: patientSilence, bodyTimeout: bodyTimeout, firstBackoff: minBackoff, maxBackoff: maxBackoff,
		maxTurnWait: maxTurnWait, doubtPeriod: doubtPeriod, responseDelay: unknownDelay, dial: dial}
	if grace > 0 && grace < defaultGrace {
		for _, span := range []*time.Duration{&w.watchTimeout, &w.quickSilence, &w.patientSilence, &w.maxBackoff, &w.maxTurnWait} {
			*span = *span * grace / defaultGrace
		}
	}
	if w.shared = routers > 0; w.shared {
		w.watchTimeout, w.quickSilence, w.patientSilence, w.maxTurnWait = sharedWatchTimeout, sharedQuickSilence, sharedPatientSilence, sharedMaxTurnWait
		w.firstBackoff, w.maxBackoff = sharedFirstBackoff, min(max(minSharedBackoff, time.Duration(routers)*callSpacing), sharedMaxBackoff)
	}
	return w
}

// Move turns the watcher to the agent at another address: the call under way at
// the old one ends, and the new one is called for the complete list at once.
func (w *Watcher) Move(agent string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if agent == w.agent {
		return
	}
	if w.agent = agent; w.cancelCall != nil {
		w.cancelCall()
	}
}

// Run passes each list to apply until the context ends, at one agent after another.
// A list for which apply returns an error counts as malformed.
func (w *Watcher) Run(ctx context.Context, apply func(*List) error) {
	for ctx.Err() == nil {
		w.mu.Lock()
		here, cut := context.WithCancel(ctx)
		agent := w.agent
		w.cancelCall = cut
		w.mu.Unlock()
		w.follow(here, agent, apply)
		cut()
	}
}

// follow passes each list of one agent to apply until the context ends. After an
// error the agent is called again, with short pauses: for the complete list where
// changes may not fit the known one; a malformed list counts as an error.
func (w *Watcher) follow(ctx context.Context, agent string, apply func(*List) error) {
	defer func() { w.closeConnection() }()
	w.hasSnapshot = false
	pause, row, last, hasty := w.firstBackoff, 0, "", 0
	for ctx.Err() == nil {
		if w.CallDelay != nil && !w.hasSnapshot {
			w.awaitTurn(ctx)
		}
		began := time.Now()
		l, err := w.nextList(ctx, agent)
		if ctx.Err() != nil {
			return
		}
		if err == nil && (l.Complete || len(l.Hosts) > 0) {
			err = apply(l)
		}
		if err == nil {
			w.applied(l)
			w.Metrics.Add(metrics.ListCalls)
			pause, row = w.firstBackoff, 0
			if hasty++; time.Since(began) > minBackoff {
				hasty = 0
			}
			if hasty > maxImmediateAnswers {
				sleep(ctx, halfJitter(minBackoff))
			}
			continue
		}
		w.hasSnapshot = w.hasSnapshot && w.keepsSnapshot(err)
		w.closeConnection()
		w.Metrics.Add(metrics.ListCallsFailed)
		if why := errorCause(err); why != last {
			row, last = 0, why
		}
		if row++; row&(row-1) == 0 { // the first, second, fourth ... in a row: an agent may be away for long
			slog.Warn("discovery", "agent", agent, "err", err, "in_a_row", row)
		}
		next := halfJitter(minBackoff)
		switch {
		case w.responseDelay != unknownDelay && isTimeout(err):
			// A shared service that answered only in part has a broken connection: it is called again at
			// once, and only once, in place of the next watch.
		case pause == w.firstBackoff:
			next, pause = halfJitter(pause), min(backoffFactor*pause, w.maxBackoff)
		case pause < w.maxBackoff: // counted from call to call: one that was waited for has had its pause
			next, pause = max(next, lowJitter(pause)-time.Since(began)), min(backoffFactor*pause, w.maxBackoff)
		default:
			next = max(next, smallJitter(pause)-time.Since(began))
		}
		w.responseDelay = unknownDelay
		sleep(ctx, next)
	}
}

// keepsSnapshot says whether the known list is still valid after an error, so that the changes since then, which are
// less work for a service than the complete list, are enough: it was too busy to answer. One that refuses or breaks
// connections may have restarted. A shared service's silence means no more than that; the router's own agent lists all at no cost.
func (w *Watcher) keepsSnapshot(err error) bool {
	var busy statusError
	return errors.As(err, &busy) && busy.status >= 500 || w.shared && isTimeout(err)
}

// applied records the list in force.
func (w *Watcher) applied(l *List) {
	if !w.doubtUntil.IsZero() && !l.Doubtful {
		w.hasSnapshot = w.hasSnapshot && l.Complete // a doubt ends with the agent's complete list
		w.doubtUntil = time.Time{}
		w.maxVersion = l.Version
	}
	w.maxVersion = max(w.maxVersion, l.Version)
}

// nextList calls for the complete list, or watches for changes.
func (w *Watcher) nextList(ctx context.Context, agent string) (*List, error) {
	if !w.doubtUntil.IsZero() && !time.Now().Before(w.doubtUntil) { // its list is accepted from now on, so the complete one is needed
		w.hasSnapshot = false
	}
	target, wait, quiet := endpointsPath, time.Duration(0), w.allowedSilence()
	if w.hasSnapshot {
		wait = w.watchWait()
		target = fmt.Sprintf("%s?since=%d&timeout_ms=%d", endpointsPath, w.version, wait.Milliseconds())
	}
	began := time.Now()
	body, err := w.get(ctx, agent, target, wait, quiet)
	if err != nil {
		return nil, err
	}
	l, err := Parse(body, time.Now())
	if err != nil {
		return nil, err
	}
	if late := time.Since(began) - wait; late >= 0 || wait <= immediateWait { // otherwise a change cut the wait short
		w.responseDelay = max(late, 0)
	}
	if !l.Complete {
		if !w.hasSnapshot {
			return nil, fmt.Errorf("list: asked for all, got changes")
		}
		if l.Version < w.version {
			// The agent's version went back, and ours means nothing to it: the complete list is called for next. That call may
			// fail; so the withdrawals and drains of this answer are applied now.
			w.hasSnapshot, l.Doubtful = false, true
			if w.doubtUntil.IsZero() {
				w.doubtUntil = time.Now().Add(w.doubtPeriod)
			}
			return l, nil
		}
	}
	w.version, w.hasSnapshot = l.Version, true
	if l.Version < w.maxVersion {
		if w.doubtUntil.IsZero() {
			w.doubtUntil = time.Now().Add(w.doubtPeriod)
		}
		l.Doubtful = time.Now().Before(w.doubtUntil)
	}
	return l, nil
}
