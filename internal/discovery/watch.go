package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"lotushook/internal/metrics"
	"lotushook/internal/ringbuffer"
)

// The list's clock, derived in docs/design/fleet.md: what discovery had and could have told counts as told 6 s later, also
// where a watch fell silent or calls failed, and what the router's own agent has counts from the moment it has it, with the
// settings' grace of a second for drains.
const (
	path        = "/v1/endpoints"
	dialFor     = time.Second
	leastPause  = 50 * time.Millisecond
	growth      = 4                // so many times as long as the one before, up to the longest, is the pause after an error
	atOnce      = time.Millisecond // the wait of a call that asks for changes and wants to hear also that there are none
	mostHasty   = 4                // answers that came at once; behind more in a row it rests, or an agent that waits for nothing had it spin
	drip        = 2 * time.Second  // from its first byte on, an answer is whole by then, or given up
	unknownLate = time.Duration(-1)
	// So long an agent that says less than was had may be late with its news: what would lift a ban has to wait for that.
	// It is less than the 4 s after which a new agent's word holds.
	doubtFor = 3 * time.Second

	// An agent of the router's own answers at once and asking it costs nothing. A watch that fell silent is opened anew
	// after watchFor + quick + 1.5 leastPause + mostTurn = 925 ms, and one that has come back is asked within patient +
	// 1.5 leastPause + mostTurn = 875 ms: both are inside a drain's grace of a second. Where the settings tell a shorter
	// one, all but leastPause is shorter in proportion: 500 and 475 ms for 500 ms, less 50 ms where nothing paces calls.
	usualGrace = time.Second
	watchFor   = 500 * time.Millisecond
	quick      = 250 * time.Millisecond
	patient    = 700 * time.Millisecond
	mostPause  = 100 * time.Millisecond
	mostTurn   = 100 * time.Millisecond

	// Where one service of fixed capacity answers all routers, calls wait there in turn, and who hangs up early has had it
	// work for nothing. A watch is the longest that leaves the 6 s room for what finds its silence and for a second answer
	// as late as the last; a service that is later than that is spared, and waited for. After errors calls begin 4 s apart,
	// as they do in calm, so that what comes back, or has time again, is asked within 6 s less the time of an answer.
	toldAfter      = 6 * time.Second
	toldMargin     = 200 * time.Millisecond
	sharedWatch    = 4 * time.Second
	sharedQuick    = time.Second
	sharedLater    = 600 * time.Millisecond // than the last answer the next may be
	sharedLatest   = 2 * time.Second        // a later service can't be found silent and answer within the 6 s
	sharedTurn     = 4 * time.Second        // as long as the next call's time has not come
	sharedEvery    = 4 * time.Second
	sharedFirst    = 500 * time.Millisecond
	sharedMostTurn = 400 * time.Millisecond
	eachCall       = 200 * time.Millisecond // few routers ask sooner: all together after errors once in this
	leastEvery     = time.Second
	jitter         = 10 // of the span between two calls, such a part to either side
)

// statusError is an answer that came whole and is no list.
type statusError struct {
	status int
	target string
}

func (e statusError) Error() string { return fmt.Sprintf("status %d for %s", e.status, e.target) }

// Watcher follows the list at one agent at a time.
type Watcher struct {
	// How long a watch is; what silence is borne beyond it from an agent whose last answer was quick, and from another;
	// how long an answer may drip; the pause after an error; what the span from one call to the next grows to while they
	// fail; how long Pace may put a call off; how long less than was had is doubted.
	watchFor, quick, patient, drip, first, every, mostTurn, doubtFor time.Duration
	shared                                                           bool

	Tally *metrics.Tally // counts calls; nil: nobody does
	// Pace is asked before a call for the whole list: it may be made after wait, or Pace is to be asked again then. What it
	// puts off for longer than the list's clock allows is asked for all the same. nil: at once.
	Pace func() (wait time.Duration, ok bool)

	dial func(ctx context.Context, agent string, within time.Duration) (net.Conn, error)

	mu    sync.Mutex
	agent string
	cut   context.CancelFunc // ends what is under way at the agent

	seq   int64
	known bool          // a whole list was had from this agent
	late  time.Duration // the last answer, behind its wait; it holds for the service, so over a move to another agent of it
	had   int64         // the highest version taken, of any agent
	doubt time.Time     // until when one that says less is doubted; zero: none is
	conn  net.Conn
	in    *filler
	read  *bufio.Reader
}

// NewWatcher returns a watcher of the agent at an address. Where routers is not
// 0, so many share one service behind their agents, which each call burdens;
// elsewhere news has to be had within a grace from when the agent has it (0: the usual).
func NewWatcher(agent string, routers int, grace time.Duration) *Watcher {
	w := &Watcher{agent: agent, watchFor: watchFor, quick: quick, patient: patient, drip: drip, first: leastPause, every: mostPause,
		mostTurn: mostTurn, doubtFor: doubtFor, late: unknownLate, dial: dial}
	if grace > 0 && grace < usualGrace {
		for _, span := range []*time.Duration{&w.watchFor, &w.quick, &w.patient, &w.every, &w.mostTurn} {
			*span = *span * grace / usualGrace
		}
	}
	if w.shared = routers > 0; w.shared {
		w.watchFor, w.quick, w.patient, w.mostTurn = sharedWatch, sharedQuick, sharedTurn, sharedMostTurn
		w.first, w.every = sharedFirst, min(max(leastEvery, time.Duration(routers)*eachCall), sharedEvery)
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
	if w.agent = agent; w.cut != nil {
		w.cut()
	}
}

// Run hands each list to told until the context ends, at one agent after another.
// A list that told does not take counts as malformed.
func (w *Watcher) Run(ctx context.Context, told func(*List) error) {
	for ctx.Err() == nil {
		w.mu.Lock()
		here, cut := context.WithCancel(ctx)
		agent := w.agent
		w.cut = cut
		w.mu.Unlock()
		w.follow(here, agent, told)
		cut()
	}
}

// follow hands each list of one agent to told until the context ends. After an
// error the agent is asked anew, with short pauses: for the whole list where what
// it said may not go on from what is known; a malformed list counts as an error.
func (w *Watcher) follow(ctx context.Context, agent string, told func(*List) error) {
	defer func() { w.hangUp() }()
	w.known = false
	pause, row, last, hasty := w.first, 0, "", 0
	for ctx.Err() == nil {
		if w.Pace != nil && !w.known {
			w.turn(ctx)
		}
		began := time.Now()
		l, err := w.next(ctx, agent)
		if ctx.Err() != nil {
			return
		}
		if err == nil && (l.Whole || len(l.Hosts) > 0) {
			err = told(l)
		}
		if err == nil {
			w.taken(l)
			w.Tally.Add(metrics.Lists)
			pause, row = w.first, 0
			if hasty++; time.Since(began) > leastPause {
				hasty = 0
			}
			if hasty > mostHasty {
				rest(ctx, spread(leastPause))
			}
			continue
		}
		w.known = w.known && w.goesOn(err)
		w.hangUp()
		w.Tally.Add(metrics.NoList)
		if why := cause(err); why != last {
			row, last = 0, why
		}
		if row++; row&(row-1) == 0 { // the first, second, fourth ... of the same in a row: an agent may be away for long
			slog.Warn("discovery", "agent", agent, "err", err, "in_a_row", row)
		}
		next := spread(leastPause)
		switch {
		case w.late != unknownLate && silent(err):
			// What a service does not answer of which something was heard is a broken connection: it is asked anew at
			// once, and only once, in place of the watch that would have come next.
		case pause == w.first:
			next, pause = spread(pause), min(growth*pause, w.every)
		case pause < w.every: // from call to call: one that was waited for has had its pause
			next, pause = max(next, scatter(pause)-time.Since(began)), min(growth*pause, w.every)
		default:
			next = max(next, vary(pause)-time.Since(began))
		}
		w.late = unknownLate
		rest(ctx, next)
	}
}

// goesOn says whether the list that is known still stands behind an error, so that the changes since then, which are
// less work for a service than all, are enough: it was too busy to answer. One that refuses or breaks connections may have
// started anew. To a shared service silence says no more than that; an agent of the router's own answers all at no cost.
func (w *Watcher) goesOn(err error) bool {
	var busy statusError
	return errors.As(err, &busy) && busy.status >= 500 || w.shared && silent(err)
}

// turn waits for this router's turn, for as long as the list's clock allows.
func (w *Watcher) turn(ctx context.Context) {
	late := time.NewTimer(w.mostTurn)
	defer late.Stop()
	for ok := false; !ok && ctx.Err() == nil; {
		var wait time.Duration
		wait, ok = w.Pace()
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

// rest waits for so long.
func rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// taken notes what the list in force is.
func (w *Watcher) taken(l *List) {
	if !w.doubt.IsZero() && !l.Doubtful {
		w.known = w.known && l.Whole // a doubt ends with all that the agent says
		w.doubt = time.Time{}
		w.had = l.Seq
	}
	w.had = max(w.had, l.Seq)
}

// silent says whether an error is that nothing came in time.
func silent(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// cause is an error without the ports of its connection.
func cause(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return err.Error()
}

// next asks for the whole list, or watches for what comes after it.
func (w *Watcher) next(ctx context.Context, agent string) (*List, error) {
	if !w.doubt.IsZero() && !time.Now().Before(w.doubt) { // its word holds from now on, so all of it is asked for
		w.known = false
	}
	target, wait, quiet := path, time.Duration(0), w.quiet()
	if w.known {
		wait = w.wait()
		target = fmt.Sprintf("%s?since=%d&timeout_ms=%d", path, w.seq, wait.Milliseconds())
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
	if late := time.Since(began) - wait; late >= 0 || wait <= atOnce { // else news cut the wait short
		w.late = max(late, 0)
	}
	if !l.Whole {
		if !w.known {
			return nil, fmt.Errorf("list: asked for all, got changes")
		}
		if l.Seq < w.seq {
			// It counts anew, and our version says nothing to it: all is asked for next. That call may fail; so what this
			// answer withdraws and drains holds by now.
			w.known, l.Doubtful = false, true
			if w.doubt.IsZero() {
				w.doubt = time.Now().Add(w.doubtFor)
			}
			return l, nil
		}
	}
	w.seq, w.known = l.Seq, true
	if l.Seq < w.had {
		if w.doubt.IsZero() {
			w.doubt = time.Now().Add(w.doubtFor)
		}
		l.Doubtful = time.Now().Before(w.doubt)
	}
	return l, nil
}

// wait is how long a watch may be. After an error it is a call for what there is.
func (w *Watcher) wait() time.Duration {
	switch {
	case w.late == unknownLate:
		return atOnce
	case w.shared && w.late <= sharedLatest:
		return min(w.watchFor, toldAfter-toldMargin-w.quiet()-leastPause*3/2-w.late).Truncate(time.Millisecond)
	}
	return w.watchFor
}

// quiet is how long silence is borne beyond a call's wait, its dial included.
func (w *Watcher) quiet() time.Duration {
	switch {
	case w.late == unknownLate:
	case w.shared && w.late <= sharedLatest:
		return max(w.quick, w.late+sharedLater)
	case w.late <= w.quick/2:
		return w.quick
	}
	return w.patient
}

func (w *Watcher) get(ctx context.Context, agent, target string, wait, quiet time.Duration) ([]byte, error) {
	until := time.Now().Add(wait + quiet) // dialing is part of it
	if w.conn != nil && (w.read.Buffered() > 0 || w.in.in.Len() > 0) {
		w.hangUp() // nobody asked for what stands there: it is no answer to this call
	}
	if w.conn == nil {
		conn, err := w.dial(ctx, agent, min(dialFor, wait+quiet))
		if err != nil {
			return nil, err
		}
		w.conn, w.in = conn, &filler{conn: conn, in: ringbuffer.New(1 << 16)}
		w.read = bufio.NewReader(w.in)
	}
	conn := w.conn // the end of the context can come when w has hung up
	w.in.expect(ctx, quiet, w.drip)
	if err := conn.SetDeadline(until); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	req := "GET " + target + " HTTP/1.1\r\nHost: " + agent + "\r\nAccept: application/json\r\n\r\n"
	if _, err := conn.Write([]byte(req)); err != nil {
		return nil, err
	}
	status, body, keep, err := readResponse(w.read)
	if err != nil {
		return nil, err
	}
	if !keep {
		w.hangUp()
	}
	if status != 200 {
		return nil, statusError{status, target}
	}
	return body, nil
}

func dial(ctx context.Context, agent string, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within}
	return d.DialContext(ctx, "tcp", agent)
}

// spread draws a span from half to one and a half: routers that started together
// must not ask together.
func spread(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// scatter draws a span from half to a tenth more: those whom one failure brought together ask apart from then on.
func scatter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+d/jitter) }

// vary draws a span from a tenth less to a tenth more.
func vary(d time.Duration) time.Duration { return d - d/jitter + rand.N(2*d/jitter) }

func (w *Watcher) hangUp() {
	if w.conn != nil {
		w.conn.Close()
	}
	w.conn = nil
}

// filler reads from a connection through its ring buffer. Once an answer has
// begun, silence shows sooner than the end of the wait, and one that drips is
// waited for, within bounds.
type filler struct {
	conn net.Conn
	in   *ringbuffer.Buffer

	ctx         context.Context
	quiet, drip time.Duration
	end         time.Time // of the answer that has begun; zero: none has
}

// expect is called before an answer is asked for.
func (f *filler) expect(ctx context.Context, quiet, drip time.Duration) {
	f.ctx, f.quiet, f.drip, f.end = ctx, quiet, drip, time.Time{}
}

func (f *filler) Read(p []byte) (int, error) {
	if f.in.Len() == 0 {
		f.in.Idle()
		if err := f.in.Fill(f.conn); err != nil {
			return 0, err
		}
		now := time.Now()
		if f.end.IsZero() {
			f.end = now.Add(f.drip)
		}
		next := now.Add(f.quiet)
		if f.end.Before(next) {
			next = f.end
		}
		if err := f.conn.SetDeadline(next); err != nil {
			return 0, err
		}
		if err := f.ctx.Err(); err != nil { // or the deadline that its end set would be undone
			return 0, err
		}
	}
	return f.in.Read(p)
}
