package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// service is one discovery for many routers, on the test's clock: it takes their calls one after the other, each for as
// long as its lines ask, and turns away whom it can't serve in time. From back on it lists one server more.
type service struct {
	began      time.Time
	from, back time.Duration // between, it is in trouble
	trouble    string        // "dark": silent, also on what was opened before; "refuses"; "turns away": 503
	call, line time.Duration // what a call costs, and a line of a list
	names      []string      // hosts, as lists have them; each stands for tenfold in what a list costs
	longest    time.Duration // who would wait longer than this is turned away then

	mu    sync.Mutex
	free  time.Time // its queue's end
	calls []time.Duration
	lines int
}

func (s *service) now() time.Duration { return time.Since(s.began) }

func (s *service) troubled() bool { return s.now() >= s.from && s.now() < s.back }

// turn waits for a call's turn and says whether it came in time.
func (s *service) turn(lines int) bool {
	s.mu.Lock()
	s.calls = append(s.calls, s.now())
	start := s.free
	if start.Before(time.Now()) {
		start = time.Now()
	}
	ok := time.Until(start) <= s.longest
	if ok {
		s.free = start.Add(s.call + time.Duration(lines)*s.line)
		s.lines += lines
		start = s.free
	} else {
		start = time.Now().Add(s.longest)
	}
	s.mu.Unlock()
	time.Sleep(time.Until(start))
	return ok
}

func (s *service) seq() int {
	if s.now() < s.back {
		return 1
	}
	return 2
}

const tenfold = 10 // reading so many whole lists would be most of the test

// list is what a call is answered with, and how many lines that has.
func (s *service) list(since int) (string, int) {
	var hosts []string
	seq := s.seq()
	if since == 0 {
		hosts = slices.Clone(s.names)
	}
	if seq == 2 && since < 2 {
		hosts = append(hosts, strings.Replace(one, "s-1", "s-2", 1))
	}
	cost := len(hosts)
	if since == 0 {
		cost = tenfold * len(s.names)
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, since == 0, strings.Join(hosts, ",")), cost
}

//nolint:gocognit // one history or table of cases, told in order
func (s *service) serve(conn net.Conn) {
	opened, last := s.now(), time.Duration(-1)
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		for rest := line; err == nil && rest != "\r\n"; {
			rest, err = in.ReadString('\n')
		}
		if err != nil {
			return
		}
		since, wait := 0, 0
		_, _ = fmt.Sscanf(line, "GET /v1/endpoints?since=%d&timeout_ms=%d", &since, &wait) // what follows shows it
		if s.trouble == "dark" && opened < s.back && s.now() >= s.from {
			s.mu.Lock()
			s.calls = append(s.calls, s.now())
			s.mu.Unlock()
			_, _ = io.Copy(io.Discard, conn) // what follows shows it
			return
		}
		status, goesOn := "200 OK", last >= 0 && s.now()-last < 200*time.Millisecond
		if s.trouble == "turns away" && s.troubled() {
			s.mu.Lock()
			s.calls = append(s.calls, s.now())
			s.mu.Unlock()
			status = "503 Busy"
		} else {
			until := s.now() + time.Duration(wait)*time.Millisecond
			if !goesOn { // a new watch is a call
				_, lines := s.list(since)
				if !s.turn(lines) {
					status = "503 Busy"
				}
			} else {
				s.mu.Lock()
				s.calls = append(s.calls, s.now())
				s.mu.Unlock()
			}
			if since > 0 && status == "200 OK" {
				for s.seq() <= since && s.now() < until {
					next := until
					if s.back > s.now() {
						next = min(next, s.back)
					}
					if s.from > s.now() {
						next = min(next, s.from)
					}
					time.Sleep(next - s.now())
					if s.trouble == "dark" && opened < s.back && s.now() >= s.from {
						_, _ = io.Copy(io.Discard, conn) // what follows shows it
						return
					}
				}
			}
		}
		text, _ := s.list(since)
		if status != "200 OK" {
			text = ""
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text); err != nil {
			return
		}
		last = s.now()
	}
}

// quietly keeps hundreds of routers' lines out of the test's output.
func quietly(t *testing.T) {
	t.Helper()
	was := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(was) })
}

// rate is how many calls came in a span, a second, and in the busiest second.
func (s *service) rate(from, to time.Duration) (mean float64, most int) {
	var bins [600]int
	n := 0
	for _, at := range s.calls {
		if at >= from && at < to {
			n++
			bins[at/time.Second]++
			most = max(most, bins[at/time.Second])
		}
	}
	return float64(n) / (to - from).Seconds(), most
}

// The clock of 6 s at its worst: a service that all routers share was away for long and is back with news, and in that
// moment seven in ten routers start anew, all at once. Each has the news within 6 s, and what they ask is no more than in
// calm, but for the moment after the trouble begins and that of the return.
//
//nolint:gocognit,funlen // one history or table of cases, told in order
func TestFleetComesBack(t *testing.T) {
	quietly(t)
	const s, ms, routers = time.Second, time.Millisecond, 300
	const from, back, until = 14 * s, 54 * s, 62 * s
	for _, trouble := range []string{"dark", "refuses", "turns away", "turns away, and the queue is long"} {
		t.Run(trouble, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kind, _, long := strings.Cut(trouble, ",")
				agent := &service{began: time.Now(), from: from, back: back, trouble: kind, call: ms, line: ms / 10, longest: 2 * s}
				for i := range 120 / tenfold {
					agent.names = append(agent.names, strings.Replace(one, "s-1", fmt.Sprint("h-", i), 1))
				}
				if long { // calls take four times as long, and who waits for 3 s is turned away
					agent.call, agent.longest = 4*ms, 3*s
				}
				ctx, stop := context.WithTimeout(context.Background(), until)
				defer stop()
				var all, serving sync.WaitGroup
				var mu sync.Mutex
				has := map[int]time.Duration{}
				start := func(ctx context.Context, i int) {
					w := NewWatcher("", routers, 0)
					w.dial = func(context.Context, string, time.Duration) (net.Conn, error) {
						if kind == "refuses" && agent.troubled() {
							agent.mu.Lock()
							agent.calls = append(agent.calls, agent.now())
							agent.mu.Unlock()
							return nil, errRefused
						}
						here, there := net.Pipe()
						serving.Go(func() { agent.serve(there) })
						if kind == "refuses" && agent.now() < from {
							time.AfterFunc(from-agent.now(), func() { there.Close() })
						}
						return here, nil
					}
					w.Run(ctx, func(l *List) error {
						mu.Lock()
						defer mu.Unlock()
						if _, ok := has[i]; !ok && l.Version == 2 {
							has[i] = agent.now()
						}
						return nil
					})
				}
				for i := range routers {
					all.Go(func() {
						time.Sleep(time.Duration(i) * 4 * s / routers) // started over 4 s
						if i%10 >= 7 {
							start(ctx, i)
							return
						}
						before, kill := context.WithDeadline(ctx, agent.began.Add(back))
						start(before, i)
						kill()
						start(ctx, i)
					})
				}
				all.Wait()
				stop()
				serving.Wait()
				worst := time.Duration(0)
				for i := range routers {
					if at, ok := has[i]; !ok {
						t.Errorf("router %d never had it", i)
					} else {
						worst = max(worst, at-back)
					}
				}
				calm, calmMost := agent.rate(6*s, from)
				broke, brokeMost := agent.rate(from, from+10*s)
				away, awayMost := agent.rate(from+10*s, back)
				after, afterMost := agent.rate(back, back+6*s)
				t.Logf("had by all after %v; calls a second (busiest): calm %.0f (%d), its first 10 s away %.0f (%d), then %.0f (%d), back %.0f (%d); %d lines",
					worst, calm, calmMost, broke, brokeMost, away, awayMost, after, afterMost, agent.lines)
				if worst > 6*s-100*ms {
					t.Errorf("the last router has the news %v after the return", worst)
				}
				if limit := float64(routers) / 4 * 1.05; calm > limit || away > limit {
					t.Errorf("%.0f calls a second in calm, %.0f while it is away: more than %.0f", calm, away, limit)
				}
				if limit := float64(routers)/4*1.05 + 2*routers/10; broke > limit { // two each to find out whether it is only a moment
					t.Errorf("%.0f calls a second in the first 10 s: more than %.0f", broke, limit)
				}
				if float64(awayMost) > 3*away {
					t.Errorf("%d calls in a second, of %.0f in the mean: they come together", awayMost, away)
				}
			})
		})
	}
}

// A service that turns all away: none comes back twice within a second, whatever their number, nor together; and from call
// to call it takes them about as long as a watch in calm, or, where they are few, as all of them at five a second, but
// never so long that with an answer that takes a second the 6 s were over.
func TestSharedServiceIsSpared(t *testing.T) {
	quietly(t)
	for _, routers := range []int{1, 80, 300} {
		synctest.Test(t, func(t *testing.T) {
			agent := &service{began: time.Now(), back: time.Hour, trouble: "turns away"}
			ctx, stop := context.WithTimeout(context.Background(), 80*time.Second)
			defer stop()
			var all, serving sync.WaitGroup
			for range routers {
				w := NewWatcher("", routers, 0)
				w.dial = func(context.Context, string, time.Duration) (net.Conn, error) {
					here, there := net.Pipe()
					serving.Go(func() { agent.serve(there) })
					return here, nil
				}
				all.Go(func() { w.Run(ctx, func(*List) error { return nil }) })
			}
			all.Wait()
			serving.Wait()
			first := 0
			for _, at := range agent.calls {
				if at > 0 && at < time.Second {
					first++
				}
			}
			if first > routers {
				t.Errorf("%d routers: %d repeats in the first second", routers, first)
			}
			late, most := agent.rate(40*time.Second, 80*time.Second)
			t.Logf("%d routers: %d repeats in the first second, then %.1f calls a second, %d in the busiest", routers, first, late, most)
			mean := float64(routers) / 4
			if routers < 5 {
				mean = float64(routers)
			}
			if late > mean*1.02+2./40 || late < mean*0.9 { // two calls of 40 s may fall to either side of the span
				t.Errorf("%d routers: %.2f calls a second in the end, not %.2f", routers, late, mean)
			}
			if routers > 1 && float64(most) > 3*late {
				t.Errorf("%d routers: %d calls in a second", routers, most)
			}
		})
	}
	for _, many := range []int{1, 5, 300, 100_000} {
		if w := NewWatcher("", many, 0); w.maxBackoff*(jitterDivisor+1)/jitterDivisor+w.maxCallDelay+time.Second > notifiedAfter-notifiedMargin || w.initialBackoff > w.maxBackoff {
			t.Errorf("%d routers: pauses of %v to %v", many, w.initialBackoff, w.maxBackoff)
		}
	}
}
