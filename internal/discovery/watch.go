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

// Timing of the watches, derived in docs/design/fleet.md: a change that discovery had and could have delivered must be
// applied within 6 s, even if a watch fell silent or calls failed. A change that the router's own agent has must be
// applied within the configured grace period of drains, by default a second.
const (
	endpointsPath         = "/v1/endpoints"
	dialTimeout           = time.Second
	minBackoff            = 50 * time.Millisecond
	backoffFactor         = 4                // growth of the backoff from one error to the next
	immediateWait         = time.Millisecond // for calls for changes that must be answered at once even if there are none
	maxImmediateResponses = 4                // in a row; after more the watcher pauses, so that an agent can't make it spin
	bodyTimeout           = 2 * time.Second  // from the first byte of a response to its last
	unknownDelay          = time.Duration(-1)
	// How long an agent with a smaller version may be behind the others; its list must not reactivate hosts in the
	// meantime. It is shorter than the 4 s after which the list of a new agent is accepted.
	outdatedPeriod = 3 * time.Second

	// The router's own agent answers at once, and calls to it cost nothing. A watch that fell silent is replaced after
	// watchTimeout + shortSilence + 1.5 minBackoff + maxCallDelay = 925 ms, and an agent that is reachable again is
	// called within longSilence + 1.5 minBackoff + maxCallDelay = 875 ms; both are within the default grace of a
	// second. For a shorter grace all but minBackoff shrink in proportion: for 500 ms to 500 and 475 ms, and 50 ms less
	// if CallDelay does not delay the call.
	defaultGrace = time.Second
	watchTimeout = 500 * time.Millisecond
	shortSilence = 250 * time.Millisecond
	longSilence  = 700 * time.Millisecond
	maxBackoff   = 100 * time.Millisecond
	maxCallDelay = 100 * time.Millisecond

	// Where one service of fixed capacity answers all routers, calls queue there, and a call that is abandoned early
	// wastes the work spent on it. A watch is as long as possible while leaving time, within the 6 s, to detect silence
	// and to get a second answer as late as the previous one; a service that answers later than that is given more
	// time. After errors, calls begin 4 s apart, as in normal operation, so that a service that recovers is called
	// early enough for its answer to arrive within the 6 s.
	notifiedAfter        = 6 * time.Second
	notifiedMargin       = 200 * time.Millisecond
	sharedWatchTimeout   = 4 * time.Second
	sharedShortSilence   = time.Second
	sharedDelayGrowth    = 600 * time.Millisecond // how much later than the previous answer the next may be
	sharedMaxDelay       = 2 * time.Second        // with a slower service, silence and a second answer take more than 6 s
	sharedLongSilence    = 4 * time.Second        // the next call would be due by then
	sharedMaxBackoff     = 4 * time.Second
	sharedInitialBackoff = 500 * time.Millisecond
	sharedMaxCallDelay   = 400 * time.Millisecond
	callSpacing          = 200 * time.Millisecond // minimum interval between the calls of all routers together after errors
	minSharedBackoff     = time.Second
	jitterDivisor        = 10 // intervals between calls vary by 1/jitterDivisor in either direction
)

// Watcher follows the endpoint list at one agent at a time.
type Watcher struct {
	// In this order: how long the agent may wait for a change in a watch; how late an answer may be if the previous one
	// was quick; how late it may be otherwise; the time limit of a response's body; the backoff after the first error;
	// the maximum backoff; how long CallDelay may delay a call; and how long a list with a smaller version counts as
	// possibly outdated.
	watchTimeout, shortSilence, longSilence, bodyTimeout, initialBackoff, maxBackoff, maxCallDelay, outdatedPeriod time.Duration
	shared                                                                                                         bool

	Metrics *metrics.Metrics // counts calls; may be nil
	// CallDelay is called before a call for the complete list. It returns how long to wait and whether the call may
	// then be made; if not, CallDelay is called again after the wait. A call is delayed by at most maxCallDelay. If
	// CallDelay is nil, calls are not delayed.
	CallDelay func() (wait time.Duration, ok bool)

	dial func(ctx context.Context, agent string, within time.Duration) (net.Conn, error)

	mu         sync.Mutex
	agent      string
	cancelCall context.CancelFunc // ends the current call

	version       int64
	hasSnapshot   bool          // a complete list was received from this agent
	responseDelay time.Duration // how late the last answer was; kept when the agent changes, as the service is the same
	maxVersion    int64         // the highest version received, from any agent
	outdatedUntil time.Time     // until when lists with a smaller version may be outdated; zero: no list may be
	conn          net.Conn
	input         *timedReader
	reader        *bufio.Reader
}

// NewWatcher returns a watcher of the agent at an address. If routers is not 0, that many routers share one discovery
// service behind their agents, and each call is a load on it. Otherwise a change must be applied within the grace
// period (0: the default) after the agent has it.
func NewWatcher(agent string, routers int, grace time.Duration) *Watcher {
	watcher := &Watcher{agent: agent, watchTimeout: watchTimeout, shortSilence: shortSilence, longSilence: longSilence, bodyTimeout: bodyTimeout, initialBackoff: minBackoff, maxBackoff: maxBackoff,
		maxCallDelay: maxCallDelay, outdatedPeriod: outdatedPeriod, responseDelay: unknownDelay, dial: dial}
	if grace > 0 && grace < defaultGrace {
		for _, span := range []*time.Duration{&watcher.watchTimeout, &watcher.shortSilence, &watcher.longSilence, &watcher.maxBackoff, &watcher.maxCallDelay} {
			*span = *span * grace / defaultGrace
		}
	}
	if watcher.shared = routers > 0; watcher.shared {
		watcher.watchTimeout, watcher.shortSilence, watcher.longSilence, watcher.maxCallDelay = sharedWatchTimeout, sharedShortSilence, sharedLongSilence, sharedMaxCallDelay
		watcher.initialBackoff, watcher.maxBackoff = sharedInitialBackoff, min(max(minSharedBackoff, time.Duration(routers)*callSpacing), sharedMaxBackoff)
	}
	return watcher
}

// SetAgent switches the watcher to the agent at another address: the current call ends, and the new agent is called at
// once for the complete list.
func (watcher *Watcher) SetAgent(agent string) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	if agent == watcher.agent {
		return
	}
	if watcher.agent = agent; watcher.cancelCall != nil {
		watcher.cancelCall()
	}
}

// Run passes each list to apply until the context ends. A list for which apply returns an error counts as malformed.
func (watcher *Watcher) Run(ctx context.Context, apply func(*List) error) {
	for ctx.Err() == nil {
		watcher.mu.Lock()
		agentCtx, cancel := context.WithCancel(ctx)
		agent := watcher.agent
		watcher.cancelCall = cancel
		watcher.mu.Unlock()
		watcher.follow(agentCtx, agent, apply)
		cancel()
	}
}

// follow passes each list of one agent to apply until the context ends. After an error, such as a malformed list, the
// agent is called again after a backoff. The call asks for the complete list if the known list may no longer be the one
// to which the agent's changes apply.
func (watcher *Watcher) follow(ctx context.Context, agent string, apply func(*List) error) {
	defer func() { watcher.closeConnection() }()
	watcher.hasSnapshot = false
	backoff, failures, lastCause, immediateResponses := watcher.initialBackoff, 0, "", 0
	for ctx.Err() == nil {
		if watcher.CallDelay != nil && !watcher.hasSnapshot {
			watcher.awaitCallDelay(ctx)
		}
		started := time.Now()
		list, err := watcher.fetchList(ctx, agent)
		if ctx.Err() != nil {
			return
		}
		if err == nil && (list.Complete || len(list.Hosts) > 0) {
			err = apply(list)
		}
		if err == nil {
			watcher.applied(list)
			watcher.Metrics.Add(metrics.ListCalls)
			backoff, failures = watcher.initialBackoff, 0
			if immediateResponses++; time.Since(started) > minBackoff {
				immediateResponses = 0
			}
			if immediateResponses > maxImmediateResponses {
				sleep(ctx, halfJitter(minBackoff))
			}
			continue
		}
		watcher.hasSnapshot = watcher.hasSnapshot && watcher.snapshotSurvives(err)
		watcher.closeConnection()
		watcher.Metrics.Add(metrics.ListCallsFailed)
		if cause := errorCause(err); cause != lastCause {
			failures, lastCause = 0, cause
		}
		if failures++; failures&(failures-1) == 0 { // only the 1st, 2nd, 4th, 8th ... failure in a row is logged
			slog.Warn("call for the endpoint list failed", "agent", agent, "err", err, "in_a_row", failures)
		}
		delay := halfJitter(minBackoff)
		switch {
		case watcher.responseDelay != unknownDelay && isTimeout(err):
			// An agent that had answered before and timed out now probably has a broken connection. It is called
			// again after minBackoff, but only once, in place of the next watch.
		case backoff == watcher.initialBackoff:
			delay, backoff = halfJitter(backoff), min(backoffFactor*backoff, watcher.maxBackoff)
		case backoff < watcher.maxBackoff: // measured from the start of one call to the next
			delay, backoff = max(delay, shorteningJitter(backoff)-time.Since(started)), min(backoffFactor*backoff, watcher.maxBackoff)
		default:
			delay = max(delay, jitter(backoff)-time.Since(started))
		}
		watcher.responseDelay = unknownDelay
		sleep(ctx, delay)
	}
}

// snapshotSurvives reports whether the known list is still valid after an error, so that the next call can ask for the
// changes since then, which cost a service less than the complete list. That is so if the agent was too busy to answer.
// An agent that refuses or breaks connections may have restarted. A timeout of a shared service only means that it is
// busy. After a timeout of the router's own agent the complete list is requested, as that costs nothing.
func (watcher *Watcher) snapshotSurvives(err error) bool {
	var status statusError
	return errors.As(err, &status) && status.status >= 500 || watcher.shared && isTimeout(err)
}

// applied records a list that has been applied.
func (watcher *Watcher) applied(list *List) {
	if !watcher.outdatedUntil.IsZero() && !list.MayBeOutdated {
		// After the outdated period, the agent's complete list is needed.
		watcher.hasSnapshot = watcher.hasSnapshot && list.Complete
		watcher.outdatedUntil = time.Time{}
		watcher.maxVersion = list.Version
	}
	watcher.maxVersion = max(watcher.maxVersion, list.Version)
}

// fetchList calls for the complete list, or watches for changes if the list is known.
func (watcher *Watcher) fetchList(ctx context.Context, agent string) (*List, error) {
	// After the outdated period the agent's list is accepted, so the complete one is needed.
	if !watcher.outdatedUntil.IsZero() && !time.Now().Before(watcher.outdatedUntil) {
		watcher.hasSnapshot = false
	}
	target, wait, silence := endpointsPath, time.Duration(0), watcher.allowedSilence()
	if watcher.hasSnapshot {
		wait = watcher.watchWait()
		target = fmt.Sprintf("%s?since=%d&timeout_ms=%d", endpointsPath, watcher.version, wait.Milliseconds())
	}
	started := time.Now()
	body, err := watcher.get(ctx, agent, target, wait, silence)
	if err != nil {
		return nil, err
	}
	list, err := Parse(body, time.Now())
	if err != nil {
		return nil, err
	}
	if late := time.Since(started) - wait; late >= 0 || wait <= immediateWait { // otherwise a change ended the wait early
		watcher.responseDelay = max(late, 0)
	}
	if !list.Complete {
		if !watcher.hasSnapshot {
			return nil, fmt.Errorf("list: requested the complete list, got changes")
		}
		if list.Version < watcher.version {
			// The agent's version is smaller than the one that the watcher has, so the agent can't list the changes
			// since then, and the next call asks for the complete list. As that call may fail, the removals and drains
			// in this answer are applied now.
			watcher.hasSnapshot, list.MayBeOutdated = false, true
			if watcher.outdatedUntil.IsZero() {
				watcher.outdatedUntil = time.Now().Add(watcher.outdatedPeriod)
			}
			return list, nil
		}
	}
	watcher.version, watcher.hasSnapshot = list.Version, true
	if list.Version < watcher.maxVersion {
		if watcher.outdatedUntil.IsZero() {
			watcher.outdatedUntil = time.Now().Add(watcher.outdatedPeriod)
		}
		list.MayBeOutdated = time.Now().Before(watcher.outdatedUntil)
	}
	return list, nil
}
