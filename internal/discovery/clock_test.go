package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lotushook/policy/balance"
)

// script is an agent, and what befalls it, on the test's clock from its start on. Its news is that s-2 is listed.
type script struct {
	news       time.Duration                                       // from when on it has seq 2, before that seq 1
	lists      func(t time.Duration, all bool) (seq int, l string) // what it has, instead
	cut        time.Duration                                       // connections opened before are silent from then on
	dark, back time.Duration                                       // between, nobody is answered, and never what was opened before back
	shut, open time.Duration                                       // between, connections are refused
	delay      time.Duration                                       // a call's turn
	half       bool                                                // the first answer with news stops in its middle
	drip       time.Duration                                       // so long between two of the first news' bytes
	busy       bool                                                // 503 until there is news
	busyFrom   time.Duration                                       // but not before
	refusals   int                                                 // so many connections are refused from cut on
	reset      time.Duration                                       // connections opened before end then
	pace       func() (time.Duration, bool)                        // the router's own, asked before a whole list
	form       func(list string) string                            // how lists are written

	mu     sync.Mutex    // connections that are given up may still be served
	until  time.Duration // the test's end
	calls  []string
	hung   int // answers that nobody waited for
	spoilt bool
}

func (s *script) list(t time.Duration, all bool) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lists != nil {
		return s.lists(t, all)
	}
	if t < s.news {
		return 1, `{"seq":1,"whole":true,"hosts":[` + one + `]}`
	}
	return 2, `{"seq":2,"whole":true,"hosts":[` + one + `,` + strings.Replace(one, "s-1", "s-2", 1) + `]}`
}

var errRefused = errors.New("connection refused")

const tenth = time.Second / 10 // so often an agent with lists of its own looks for news

// silent says whether what was opened at a time hears nothing now.
func (s *script) silent(opened, now time.Duration) bool {
	return opened < s.cut && now >= s.cut || opened < s.back && now >= s.dark
}

func (s *script) note(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

//nolint:gocognit,funlen // one history or table of cases, told in order
func (s *script) serve(conn net.Conn, began time.Time) {
	opened := time.Since(began)
	defer conn.Close()
	if opened < s.reset {
		defer time.AfterFunc(s.reset-opened, func() { conn.Close() }).Stop()
	}
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		for rest := line; err == nil && rest != "\r\n"; {
			rest, err = in.ReadString('\n')
		}
		if err != nil {
			return
		}
		s.note(func() { s.calls = append(s.calls, strings.Fields(line)[1]) })
		since, wait := 0, 0
		_, _ = fmt.Sscanf(line, "GET /v1/endpoints?since=%d&timeout_ms=%d", &since, &wait) // what follows shows it
		until := time.Now().Add(time.Duration(wait) * time.Millisecond)
		seq, list := s.list(time.Since(began), since == 0)
		for seq == since && time.Now().Before(until) && !s.silent(opened, time.Since(began)) {
			now, next := time.Since(began), until.Sub(began)
			for _, at := range []time.Duration{s.news, s.cut, s.dark, now.Truncate(tenth) + tenth} {
				if at > now && (at != now.Truncate(tenth)+tenth || s.lists != nil) {
					next = min(next, at)
				}
			}
			time.Sleep(next - now)
			seq, list = s.list(time.Since(began), since == 0)
		}
		time.Sleep(s.delay)
		if s.silent(opened, time.Since(began)) {
			_, _ = io.Copy(io.Discard, conn) // up to the other side's end
			return
		}
		if seq == since {
			list = fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, seq)
		}
		if s.form != nil {
			list = s.form(list)
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		if now := time.Since(began); s.busy && now >= s.busyFrom && now < s.news {
			answer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
		}
		first := false
		s.note(func() { first, s.spoilt = !s.spoilt, s.spoilt || seq == 2 })
		if seq == 2 && first && (s.half || s.drip > 0) {
			if s.half {
				_, _ = io.WriteString(conn, answer[:len(answer)/2]) // what follows shows it
				_, _ = io.Copy(io.Discard, conn)                    // what follows shows it
				return
			}
			for i := 0; i < len(answer) && err == nil; i++ {
				_, err = io.WriteString(conn, answer[i:i+1])
				time.Sleep(s.drip)
			}
			continue
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			if time.Since(began) < s.until {
				s.note(func() { s.hung++ })
			}
			return
		}
	}
}

// follow has a watcher follow scripted agents, a later one from a SIGHUP on, until a time. It says when seq 2 was had.
func follow(t *testing.T, routers int, grace, until, move time.Duration, told func(*List, time.Duration) error, agents ...*script) {
	t.Helper()
	synctest.Test(t, func(_ *testing.T) {
		began := time.Now()
		for _, s := range agents {
			s.until = until
		}
		ctx, stop := context.WithTimeout(context.Background(), until)
		defer stop()
		var serving sync.WaitGroup
		w := NewWatcher("0", routers, grace)
		w.CallDelay = agents[0].pace
		w.dial = func(_ context.Context, agent string, _ time.Duration) (net.Conn, error) {
			s := agents[agent[0]-'0']
			now := time.Since(began)
			if now >= s.shut && now < s.open {
				return nil, errRefused
			}
			if now >= s.cut && s.refusals > 0 {
				s.refusals--
				return nil, errRefused
			}
			here, there := net.Pipe()
			serving.Go(func() { s.serve(there, began) })
			return here, nil
		}
		if move > 0 {
			time.AfterFunc(move, func() { w.SetAgent("1") })
		}
		w.Run(ctx, func(l *List) error { return told(l, time.Since(began)) })
		serving.Wait()
	})
}

// The table of docs/design/fleet.md: when a change counts as told, and that this router has it before, whatever the
// moment of the trouble within a watch. What a pushed list's agent has counts at once, even where the way to it is broken: a
// drain's grace of a second is what is left to find that out.
//
//nolint:funlen // one history or table of cases, told in order
func TestClock(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	const never = time.Hour
	indented := func(list string) string {
		var out bytes.Buffer
		if err := json.Indent(&out, []byte(list), "\r\n", "\t  "); err != nil {
			t.Fatal(err)
		}
		return "\n " + out.String() + "\n\n"
	}
	type at = time.Duration
	early := func(_ time.Duration, all bool) (int, string) { // the change comes when all has been told
		if all {
			return 1, `{"seq":1,"whole":true,"hosts":[` + one + `]}`
		}
		return 2, `{"seq":2,"whole":false,"hosts":[` + strings.Replace(one, "s-1", "s-2", 1) + `]}`
	}
	for _, c := range []struct {
		name    string
		routers int
		move    at
		agents  func(x at) []*script // the trouble is at x
		told    func(x at) at        // by the terms
		within  at                   // of x: this router's own bound
	}{
		{"pushed, watch open", 0, 0, func(x at) []*script { return []*script{{news: x}} },
			func(x at) at { return x + 50*ms }, 2 * ms},
		{"pushed, connection silent", 0, 0, func(x at) []*script { return []*script{{news: x, cut: x}} },
			func(x at) at { return x + s }, 830 * ms},
		{"pushed, agent silent, and back with news", 0, 0, func(x at) []*script { return []*script{{news: x + 9*s, dark: x, back: x + 9*s}} },
			func(x at) at { return x + 10*s }, 9*s + 855*ms},
		{"pushed, connection silent, half a second of grace", 0, 0, func(x at) []*script { return []*script{{news: x, cut: x}} },
			func(x at) at { return x + s/2 }, 455 * ms},
		{"pushed, agent silent, and back with news, half a second of grace", 0, 0,
			func(x at) []*script { return []*script{{news: x + 9*s, dark: x, back: x + 9*s}} },
			func(x at) at { return x + 9*s + s/2 }, 9*s + 430*ms},
		{"pushed, silent in mid-answer", 0, 0, func(x at) []*script { return []*script{{news: x, half: true}} },
			func(x at) at { return x + s }, 330 * ms},
		{"pushed, an answer that drips and comes", 0, 0, func(x at) []*script { return []*script{{news: x, drip: 5 * ms}} },
			func(x at) at { return x + 6*s }, 2 * s},
		{"pushed, an answer that drips for long", 0, 0, func(x at) []*script { return []*script{{news: x, drip: 50 * ms}} },
			func(x at) at { return x + 6*s }, 2080 * ms},
		{"pushed, refused", 0, 0, func(x at) []*script { return []*script{{news: x, cut: x, shut: x, open: x + 9*s}} },
			func(x at) at { return x + 10*s }, 9*s + 151*ms},
		{"pushed, moved", 0, 10 * s, func(_ at) []*script { return []*script{{news: never}, {}} },
			func(at) at { return 14 * s }, 2 * ms},
		{"pushed, moved, the new agent refuses for 3 s", 0, 10 * s, func(_ at) []*script { return []*script{{news: never}, {open: 13 * s}} },
			func(at) at { return 14 * s }, 3*s + 151*ms},
		{"pushed, moved, the first connection is silent", 0, 10 * s, func(_ at) []*script { return []*script{{news: never}, {back: 10*s + ms}} },
			func(at) at { return 14 * s }, 330 * ms},
		{"pushed, process just started", 0, 0, func(at) []*script { return []*script{{}} },
			func(at) at { return 50 * ms }, 2 * ms},
		{"pushed, agent silent, and back with news, and calls for all have no turn", 0, 0,
			func(x at) []*script {
				return []*script{{news: x + 9*s, dark: x, back: x + 9*s, pace: func() (time.Duration, bool) { return 10 * s, false }}}
			},
			func(x at) at { return x + 10*s }, 9*s + 880*ms},
		{"pushed, moved in mid-answer", 0, 10 * s, func(x at) []*script { return []*script{{news: x - 20*ms, drip: 5 * ms}, {}} },
			func(at) at { return 14 * s }, 2 * ms},
		{"pushed, changed before the first watch of a process just started", 0, 0, func(at) []*script { return []*script{{lists: early}} },
			func(at) at { return 50 * ms }, 2 * ms},
		{"polled, changed before the first watch of a process just started", 300, 0, func(at) []*script { return []*script{{lists: early}} },
			func(at) at { return 50 * ms }, 2 * ms},
		{"polled, moved in mid-answer", 300, 10 * s, func(x at) []*script { return []*script{{news: x - 20*ms, drip: 5 * ms}, {delay: 400 * ms}} },
			func(at) at { return 14 * s }, 402 * ms},
		{"pushed, indented", 0, 0, func(x at) []*script { return []*script{{news: x, form: indented}} },
			func(x at) at { return x + 50*ms }, 2 * ms},

		{"polled, watch open", 300, 0, func(x at) []*script { return []*script{{news: x}} },
			func(x at) at { return x + 50*ms }, 2 * ms},
		{"polled, connection silent, a service that takes 0.4 s", 300, 0, func(x at) []*script { return []*script{{news: x, cut: x, delay: 400 * ms}} },
			func(x at) at { return x + 6*s }, 5*s + 480*ms},
		{"polled, silent in mid-answer", 300, 0, func(x at) []*script { return []*script{{news: x, half: true, delay: 400 * ms}} },
			func(x at) at { return x + 6*s }, 2280 * ms},
		{"polled, an answer that drips for long", 300, 0, func(x at) []*script { return []*script{{news: x, drip: 50 * ms}} },
			func(x at) at { return x + 6*s }, 2080 * ms},
		{"polled, connection silent, a service that takes 1 s", 300, 0, func(x at) []*script { return []*script{{news: x, cut: x, delay: s}} },
			func(x at) at { return x + 6*s }, 5*s + 805*ms},
		{"polled, connection silent, a service that takes 1.9 s", 300, 0, func(x at) []*script { return []*script{{news: x, cut: x, delay: 1900 * ms}} },
			func(x at) at { return x + 6*s }, 5*s + 805*ms},
		{"polled, connection silent, and the repeat is refused", 300, 0, func(x at) []*script { return []*script{{news: x, cut: x, refusals: 1}} },
			func(x at) at { return x + 6*s }, 5*s + 830*ms},
		{"polled, watches reset, and the repeat is refused", 300, 0, func(x at) []*script { return []*script{{news: x, cut: x, reset: x, refusals: 1}} },
			func(x at) at { return x + 6*s }, 2*s + 950*ms},
		{"polled, service dark for 9 s: none can know before", 300, 0,
			func(x at) []*script { return []*script{{news: x + 9*s, dark: x, back: x + 9*s}} },
			func(x at) at { return x + 9*s + 6*s }, 9*s + 4405*ms},
		{"polled, service dark for 9 s, and takes 1 s", 300, 0,
			func(x at) []*script { return []*script{{news: x + 9*s, dark: x, back: x + 9*s, delay: s}} },
			func(x at) at { return x + 9*s + 6*s }, 9*s + 5405*ms},
		{"polled, refused for 9 s", 300, 0,
			func(x at) []*script { return []*script{{news: x + 9*s, reset: x, shut: x, open: x + 9*s, delay: s}} },
			func(x at) at { return x + 9*s + 6*s }, 9*s + 5405*ms},
		{"polled, refused for 40 s, and calls for all have no turn", 300, 0,
			func(x at) []*script {
				return []*script{{news: x + 40*s, reset: x, shut: x, open: x + 40*s, delay: s,
					pace: func() (time.Duration, bool) { return 10 * s, false }}}
			},
			func(x at) at { return x + 40*s + 6*s }, 40*s + 5805*ms},
		{"polled, turned away for 40 s", 300, 0,
			func(x at) []*script { return []*script{{news: x + 40*s, busy: true, busyFrom: x, delay: 200 * ms}} },
			func(x at) at { return x + 40*s + 6*s }, 40*s + 4605*ms},
		{"polled, turned away from the first call on", 300, 0,
			func(x at) []*script { return []*script{{news: x, busy: true}} },
			func(x at) at { return x + 6*s }, 4405 * ms},
		{"polled, dark from the first call on", 300, 0,
			func(x at) []*script { return []*script{{news: x, back: x}} },
			func(x at) at { return x + 6*s }, 4405 * ms},
		{"polled, refused for 1 s", 300, 0, func(x at) []*script { return []*script{{news: x, cut: x, shut: x, open: x + s}} },
			func(x at) at { return x + 6*s }, 5950 * ms},
		{"polled, moved", 300, 10 * s, func(_ at) []*script { return []*script{{news: never}, {delay: 400 * ms}} },
			func(at) at { return 14 * s }, 402 * ms},
		{"polled, moved, the first connection is silent", 300, 10 * s,
			func(_ at) []*script { return []*script{{news: never}, {back: 10*s + ms, delay: 400 * ms}} },
			func(at) at { return 14 * s }, 1480 * ms},
		{"polled, moved, the new agent refuses for 1 s", 300, 10 * s, func(_ at) []*script { return []*script{{news: never}, {open: 11 * s}} },
			func(at) at { return 14 * s }, 3600 * ms},
		{"polled, indented", 300, 0, func(x at) []*script { return []*script{{news: x, form: indented}} },
			func(x at) at { return x + 50*ms }, 2 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			worst, margin := at(0), never
			grace := s
			if strings.HasSuffix(c.name, "half a second of grace") {
				grace = s / 2
			}
			once := c.move > 0 || strings.HasSuffix(c.name, "started")
			for x := 10 * s; x < 14*s; x += 193 * ms {
				has, from := never, x
				if strings.HasSuffix(c.name, "started") {
					from = 0
				}
				follow(t, c.routers, grace, x+60*s, c.move, func(l *List, now at) error {
					if l.Version == 2 {
						has = min(has, now)
					}
					return nil
				}, c.agents(x)...)
				worst, margin = max(worst, has-from), min(margin, c.told(x)-has)
				if once {
					break
				}
			}
			t.Logf("has it within %v, margin %v", worst, margin)
			if worst > c.within || margin < 0 {
				t.Errorf("has it only after %v, not %v; %v before it counts as told", worst, c.within, margin)
			}
		})
	}
}

// What is asked of a service that is shared: no more than a call in 4 s while all is well, one more when a watch fell
// silent, none that is given up in its turn, and no more than a call in 4 s while all fail, but for those that find out
// whether it was only a moment.
func TestSharedLoad(t *testing.T) {
	const s = time.Second
	seq := 0
	rash := func(_ time.Duration, all bool) (int, string) { // always newer than what was asked for
		seq++
		return seq, fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, all, one)
	}
	for _, c := range []struct {
		name       string
		agent      *script
		most, hung int
	}{
		{"quick", &script{news: time.Hour}, 26, 0},
		{"a watch falls silent", &script{news: time.Hour, cut: 50 * s}, 27, 0},
		{"answers take 2.5 s in turn", &script{news: time.Hour, delay: 5 * s / 2}, 17, 0},
		{"answers without waiting", &script{lists: rash}, 99 * 40, 0},
		{"turned away", &script{news: time.Hour, busy: true}, 28, 0},
		{"dark", &script{news: time.Hour, dark: 50 * s, back: time.Hour}, 27, 0},
	} {
		follow(t, 300, 0, 99*s, 0, func(*List, time.Duration) error { return nil }, c.agent)
		if n := len(c.agent.calls); n > c.most || n < 5 || c.agent.hung > c.hung {
			t.Errorf("%s: %d calls, %d given up: %.500q", c.name, n, c.agent.hung, c.agent.calls)
		}
	}
}

// An agent that is back with less: what it withdraws or drains holds at once, what it would lift waits for its news, and
// after three seconds its word holds as it stands.
//
//nolint:gocognit,funlen // one history or table of cases, told in order
func TestSaysLess(t *testing.T) {
	const s = time.Second
	host := func(name, health string, born int) string {
		return fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:1","site":"a","class":"m","block":3,"health":%q,"share":1,"born_ms":%d}`, name, health, born)
	}
	list := func(seq int, whole bool, hosts ...string) string {
		return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
	}
	full := list(50, true, host("drains", "DRAINING", 5), host("stays", "SERVING", 5), host("anew", "SERVING", 9), host("gone", "DELETED", 5))
	less := []string{host("drains", "SERVING", 5), host("stays", "DRAINING", 5), host("anew", "SERVING", 2), host("gone", "SERVING", 5)}
	for _, c := range []struct {
		name string
		then func(t time.Duration, all bool) (int, string) // from 10 s on
		want [3]string                                     // who may get work at 11, 12.5 and 20 s
	}{
		{"late with its news", func(t time.Duration, _ bool) (int, string) {
			if t < 12*s {
				return 48, list(48, true, less...)
			}
			return 51, list(51, false, host("drains", "DRAINING", 5), host("stays", "SERVING", 5), host("gone", "DELETED", 5))
		}, [3]string{"anew", "anew stays", "anew stays"}},
		{"counts anew", func(time.Duration, bool) (int, string) { return 3, list(3, true, less...) }, [3]string{"anew", "anew", "anew drains gone"}},
		{"counts anew, with another start", func(time.Duration, bool) (int, string) {
			return 3, list(3, true, host("drains", "SERVING", 7), host("gone", "SERVING", 7))
		}, [3]string{"drains gone", "drains gone", "drains gone"}},
		{"counts anew, with changes only", func(time.Duration, bool) (int, string) { return 3, list(3, false, less...) },
			[3]string{"anew stays", "anew stays", "anew stays"}}, // asked for all, it never tells it: the old list stays
		{"counts anew behind an open watch", func(_ time.Duration, all bool) (int, string) { // its changes say nothing to what we have
			if all {
				return 4, list(4, true, less[0], less[2], less[3])
			}
			return 4, list(4, false, less[0])
		}, [3]string{"anew", "anew", "anew drains gone"}},
		{"bans behind an open watch", func(time.Duration, bool) (int, string) { return 4, list(4, false, less[1], less[0]) },
			[3]string{"anew", "anew", "anew"}}, // what is asked for all never comes, and what it drained holds all the same
		{"has nothing", func(time.Duration, bool) (int, string) { return 3, list(3, true) }, [3]string{"anew stays", "anew stays", "anew stays"}},
	} {
		for _, routers := range []int{0, 300} {
			t.Run(fmt.Sprint(c.name, routers), func(t *testing.T) {
				d, born := NewDirectory(), int64(0)
				var got [3]string
				agent := &script{lists: func(t time.Duration, all bool) (int, string) {
					if t < 10*s {
						return 50, full
					}
					return c.then(t, all)
				}}
				if !strings.HasSuffix(c.name, "open watch") {
					agent.cut = 10 * s
				}
				look := func() string {
					d.mu.RLock()
					defer d.mu.RUnlock()
					var ready []string
					for _, h := range []string{"anew", "drains", "gone", "stays"} {
						if d.entries[d.ids[h]].ready {
							ready = append(ready, h)
						}
					}
					return strings.Join(ready, " ")
				}
				when, until := [3]time.Duration{11 * s, 25 * s / 2, 20 * s}, 20*s+time.Millisecond
				if routers > 0 { // found out when the watch is over, and doubted up to the end of another
					when, until = [3]time.Duration{10*s + 5*s, 0, 30 * s}, 30*s+time.Millisecond
				}
				follow(t, routers, 0, until, 0, func(l *List, now time.Duration) error {
					if now < time.Millisecond {
						for i, w := range when {
							if w > 0 {
								time.AfterFunc(w, func() { got[i] = look() }) // no two at once
							}
						}
					}
					e, err := d.Update(l)
					for _, n := range e.Endpoints {
						if n.ID == d.ids["anew"] && n.State != balance.Removed && l.MayBeOutdated {
							born = n.StartedAt
						}
					}
					return err
				}, agent)
				want := c.want
				if routers > 0 {
					want[0], want[1] = got[0], ""
					if c.name == "counts anew, with changes only" { // here the changes are asked for behind the silence, and what they ban holds
						want[2] = "anew"
					}
				}
				if got != want {
					t.Errorf("may get work: %q, want %q", got, want)
				}
				if born != 0 && born != 9e6 {
					t.Errorf("the later start was forgotten: %d", born)
				}
			})
		}
	}
}
