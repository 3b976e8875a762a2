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

// The list's clock, derived in docs/design/fleet.md: what discovery had and could have told counts as told 6 s later, also
// where a watch fell silent or calls failed, and what the router's own agent has counts from the moment it has it, with the
// settings' grace of a second for drains.
const (
	endpointsPath       = "/v1/endpoints"
	dialTimeout         = time.Second
	minBackoff          = 50 * time.Millisecond
	backoffFactor       = 4                // so many times as long as the one before, up to the longest, is the pause after an error
	immediateWait       = time.Millisecond // the wait of a call that asks for changes and wants to hear also that there are none
	maxImmediateAnswers = 4                // answers that came at once; behind more in a row it rests, or an agent that waits for nothing had it spin
	bodyTimeout         = 2 * time.Second  // from its first byte on, an answer is whole by then, or given up
	unknownDelay        = time.Duration(-1)
	// So long an agent that says less than was had may be late with its news: what would lift a ban has to wait for that.
	// It is less than the 4 s after which a new agent's word holds.
	doubtPeriod = 3 * time.Second

	// An agent of the router's own answers at once and asking it costs nothing. A watch that fell silent is opened anew
	// after watchFor + quick + 1.5 leastPause + mostTurn = 925 ms, and one that has come back is asked within patient +
	// 1.5 leastPause + mostTurn = 875 ms: both are inside a drain's grace of a second. Where the settings tell a shorter
	// one, all but leastPause is shorter in proportion: 500 and 475 ms for 500 ms, less 50 ms where nothing paces calls.
	defaultGrace   = time.Second
	watchTimeout   = 500 * time.Millisecond
	quickSilence   = 250 * time.Millisecond
	patientSilence = 700 * time.Millisecond
	maxBackoff     = 100 * time.Millisecond
	maxTurnWait    = 100 * time.Millisecond

	// Where one service of fixed capacity answers all routers, calls wait there in turn, and who hangs up early has had it
	// work for nothing. A watch is the longest that leaves the 6 s room for what finds its silence and for a second answer
	// as late as the last; a service that is later than that is spared, and waited for. After errors calls begin 4 s apart,
	// as they do in calm, so that what comes back, or has time again, is asked within 6 s less the time of an answer.
	notifiedAfter        = 6 * time.Second
	notifiedMargin       = 200 * time.Millisecond
	sharedWatchTimeout   = 4 * time.Second
	sharedQuickSilence   = time.Second
	sharedDelayGrowth    = 600 * time.Millisecond // than the last answer the next may be
	sharedMaxDelay       = 2 * time.Second        // a later service can't be found silent and answer within the 6 s
	sharedPatientSilence = 4 * time.Second        // as long as the next call's time has not come
	sharedMaxBackoff     = 4 * time.Second
	sharedFirstBackoff   = 500 * time.Millisecond
	sharedMaxTurnWait    = 400 * time.Millisecond
	callSpacing          = 200 * time.Millisecond // few routers ask sooner: all together after errors once in this
	minSharedBackoff     = time.Second
	jitterShare          = 10 // of the span between two calls, such a part to either side
)

// Watcher follows the list at one agent at a time.
type Watcher struct {
	// How long a watch is; what silence is borne beyond it from an agent whose last answer was quick, and from another;
	// how long an answer may drip; the pause after an error; what the span from one call to the next grows to while they
	// fail; how long Pace may put a call off; how long less than was had is doubted.
	watchTimeout, quickSilence, patientSilence, bodyTimeout, firstBackoff, maxBackoff, maxTurnWait, doubtPeriod time.Duration
	shared                                                                                                      bool

	Metrics *metrics.Metrics // counts calls; nil: nobody does
	// Pace is asked before a call for the whole list: it may be made after wait, or Pace is to be asked again then. What it
	// puts off for longer than the list's clock allows is asked for all the same. nil: at once.
	CallDelay func() (wait time.Duration, ok bool)

	dial func(ctx context.Context, agent string, within time.Duration) (net.Conn, error)

	mu         sync.Mutex
	agent      string
	cancelCall context.CancelFunc // ends what is under way at the agent

	version       int64
	hasSnapshot   bool          // a whole list was had from this agent
	responseDelay time.Duration // the last answer, behind its wait; it holds for the service, so over a move to another agent of it
	maxVersion    int64         // the highest version taken, of any agent
	doubtUntil    time.Time     // until when one that says less is doubted; zero: none is
	conn          net.Conn
	input         *timedReader
	reader        *bufio.Reader
}

// NewWatcher returns a watcher of the agent at an address. Where routers is not
// 0, so many share one service behind their agents, which each call burdens;
// elsewhere news has to be had within a grace from when the agent has it (0: the usual).
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

// Move turns the watcher to the agent at another address: what is under way at
// the old one ends, and the new one is asked for the whole list at once.
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

// Run hands each list to told until the context ends, at one agent after another.
// A list that told does not take counts as malformed.
func (w *Watcher) Run(ctx context.Context, told func(*List) error) {
	for ctx.Err() == nil {
		w.mu.Lock()
		here, cut := context.WithCancel(ctx)
		agent := w.agent
		w.cancelCall = cut
		w.mu.Unlock()
		w.follow(here, agent, told)
		cut()
	}
}

// follow hands each list of one agent to told until the context ends. After an
// error the agent is asked anew, with short pauses: for the whole list where what
// it said may not go on from what is known; a malformed list counts as an error.
func (w *Watcher) follow(ctx context.Context, agent string, told func(*List) error) {
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
			err = told(l)
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
		if row++; row&(row-1) == 0 { // the first, second, fourth ... of the same in a row: an agent may be away for long
			slog.Warn("discovery", "agent", agent, "err", err, "in_a_row", row)
		}
		next := halfJitter(minBackoff)
		switch {
		case w.responseDelay != unknownDelay && isTimeout(err):
			// What a service does not answer of which something was heard is a broken connection: it is asked anew at
			// once, and only once, in place of the watch that would have come next.
		case pause == w.firstBackoff:
			next, pause = halfJitter(pause), min(backoffFactor*pause, w.maxBackoff)
		case pause < w.maxBackoff: // from call to call: one that was waited for has had its pause
			next, pause = max(next, lowJitter(pause)-time.Since(began)), min(backoffFactor*pause, w.maxBackoff)
		default:
			next = max(next, smallJitter(pause)-time.Since(began))
		}
		w.responseDelay = unknownDelay
		sleep(ctx, next)
	}
}

// keepsSnapshot says whether the list that is known still stands behind an error, so that the changes since then, which are
// less work for a service than all, are enough: it was too busy to answer. One that refuses or breaks connections may have
// started anew. To a shared service silence says no more than that; an agent of the router's own answers all at no cost.
func (w *Watcher) keepsSnapshot(err error) bool {
	var busy statusError
	return errors.As(err, &busy) && busy.status >= 500 || w.shared && isTimeout(err)
}

// applied notes what the list in force is.
func (w *Watcher) applied(l *List) {
	if !w.doubtUntil.IsZero() && !l.Doubtful {
		w.hasSnapshot = w.hasSnapshot && l.Complete // a doubt ends with all that the agent says
		w.doubtUntil = time.Time{}
		w.maxVersion = l.Version
	}
	w.maxVersion = max(w.maxVersion, l.Version)
}

// nextList asks for the whole list, or watches for what comes after it.
func (w *Watcher) nextList(ctx context.Context, agent string) (*List, error) {
	if !w.doubtUntil.IsZero() && !time.Now().Before(w.doubtUntil) { // its word holds from now on, so all of it is asked for
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
	if late := time.Since(began) - wait; late >= 0 || wait <= immediateWait { // else news cut the wait short
		w.responseDelay = max(late, 0)
	}
	if !l.Complete {
		if !w.hasSnapshot {
			return nil, fmt.Errorf("list: asked for all, got changes")
		}
		if l.Version < w.version {
			// It counts anew, and our version says nothing to it: all is asked for next. That call may fail; so what this
			// answer withdraws and drains holds by now.
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
