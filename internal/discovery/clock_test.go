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

// script is an agent that changes its list and has faults at given times, counted from the start of the test. Unless
// listAt is set, the list changes once, from seq 1 to seq 2, which adds host s-2.
type script struct {
	change           time.Duration                                       // when the list changes
	listAt           func(t time.Duration, all bool) (seq int, l string) // the list at time t
	stall            time.Duration                                       // from then on, connections opened earlier get no answers
	outage, recovery time.Duration                                       // no answers between the two; later none on older connections
	refuse, open     time.Duration                                       // connections are refused between the two
	wait             time.Duration                                       // how long each call waits in the queue
	truncate         bool                                                // the first answer with the change stops halfway
	byteInterval     time.Duration                                       // between the bytes of the first answer with the change
	busy             bool                                                // the agent answers 503 from busyFrom until the change
	busyFrom         time.Duration
	refusals         int                          // how many connections are refused after the stall
	reset            time.Duration                // when connections opened earlier are reset
	callDelay        func() (time.Duration, bool) // the watcher's CallDelay
	format           func(list string) string     // changes the format of the lists

	mu         sync.Mutex    // abandoned connections may still be served
	testEnd    time.Duration // when the test ends
	calls      []string
	abandoned  int // answers to calls that the watcher had abandoned
	changeSent bool
}

func (agent *script) list(now time.Duration, complete bool) (int, string) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if agent.listAt != nil {
		return agent.listAt(now, complete)
	}
	if now < agent.change {
		return 1, `{"seq":1,"whole":true,"hosts":[` + one + `]}`
	}
	return 2, `{"seq":2,"whole":true,"hosts":[` + one + `,` + strings.Replace(one, "s-1", "s-2", 1) + `]}`
}

var errRefused = errors.New("connection refused")

const listInterval = time.Second / 10 // how often an agent with listAt checks for a new list

// silent reports whether a connection that was opened at openedAt gets no answers at the time now.
func (agent *script) silent(openedAt, now time.Duration) bool {
	return openedAt < agent.stall && now >= agent.stall || openedAt < agent.recovery && now >= agent.outage
}

// locked calls f with the mutex locked.
func (agent *script) locked(f func()) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	f()
}

//nolint:gocognit,funlen // one scenario or table of cases that reads best in one piece
func (agent *script) serve(conn net.Conn, started time.Time) {
	openedAt := time.Since(started)
	defer conn.Close()
	if openedAt < agent.reset {
		defer time.AfterFunc(agent.reset-openedAt, func() { conn.Close() }).Stop()
	}
	reader := bufio.NewReader(conn)
	for {
		request, err := reader.ReadString('\n')
		for rest := request; err == nil && rest != "\r\n"; {
			rest, err = reader.ReadString('\n')
		}
		if err != nil {
			return
		}
		agent.locked(func() { agent.calls = append(agent.calls, strings.Fields(request)[1]) })
		since, wait := 0, 0
		_, _ = fmt.Sscanf(request, "GET /v1/endpoints?since=%d&timeout_ms=%d", &since, &wait) // both stay 0 without parameters
		waitEnd := time.Now().Add(time.Duration(wait) * time.Millisecond)
		version, list := agent.list(time.Since(started), since == 0)
		for version == since && time.Now().Before(waitEnd) && !agent.silent(openedAt, time.Since(started)) {
			now, next := time.Since(started), waitEnd.Sub(started)
			for _, at := range []time.Duration{agent.change, agent.stall, agent.outage, now.Truncate(listInterval) + listInterval} {
				if at > now && (at != now.Truncate(listInterval)+listInterval || agent.listAt != nil) {
					next = min(next, at)
				}
			}
			time.Sleep(next - now)
			version, list = agent.list(time.Since(started), since == 0)
		}
		time.Sleep(agent.wait)
		if agent.silent(openedAt, time.Since(started)) {
			_, _ = io.Copy(io.Discard, conn) // until the client closes the connection
			return
		}
		if version == since {
			list = fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, version)
		}
		if agent.format != nil {
			list = agent.format(list)
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		if now := time.Since(started); agent.busy && now >= agent.busyFrom && now < agent.change {
			answer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
		}
		isFirst := false
		agent.locked(func() { isFirst, agent.changeSent = !agent.changeSent, agent.changeSent || version == 2 })
		if version == 2 && isFirst && (agent.truncate || agent.byteInterval > 0) {
			if agent.truncate {
				_, _ = io.WriteString(conn, answer[:len(answer)/2]) // a failure leaves the connection silent too
				_, _ = io.Copy(io.Discard, conn)                    // until the client closes the connection
				return
			}
			for i := 0; i < len(answer) && err == nil; i++ {
				_, err = io.WriteString(conn, answer[i:i+1])
				time.Sleep(agent.byteInterval)
			}
			continue
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			if time.Since(started) < agent.testEnd {
				agent.locked(func() { agent.abandoned++ })
			}
			return
		}
	}
}

// follow runs a watcher of the first agent until testEnd. If switchAt is not 0, the watcher is switched to the second
// agent then. Each list is passed to apply with the time since the start.
func follow(t *testing.T, routers int, grace, testEnd, switchAt time.Duration, apply func(*List, time.Duration) error, agents ...*script) {
	t.Helper()
	synctest.Test(t, func(_ *testing.T) {
		started := time.Now()
		for _, agent := range agents {
			agent.testEnd = testEnd
		}
		ctx, stop := context.WithTimeout(context.Background(), testEnd)
		defer stop()
		var serving sync.WaitGroup
		watcher := NewWatcher("0", routers, grace)
		watcher.CallDelay = agents[0].callDelay
		watcher.dial = func(_ context.Context, address string, _ time.Duration) (net.Conn, error) {
			agent := agents[address[0]-'0']
			now := time.Since(started)
			if now >= agent.refuse && now < agent.open {
				return nil, errRefused
			}
			if now >= agent.stall && agent.refusals > 0 {
				agent.refusals--
				return nil, errRefused
			}
			clientEnd, serverEnd := net.Pipe()
			serving.Go(func() { agent.serve(serverEnd, started) })
			return clientEnd, nil
		}
		if switchAt > 0 {
			time.AfterFunc(switchAt, func() { watcher.SetAgent("1") })
		}
		watcher.Run(ctx, func(list *List) error { return apply(list, time.Since(started)) })
		serving.Wait()
	})
}

// Checks the table of docs/design/fleet.md: the time when a change counts as notified, and that the watcher applies it
// before then, at whatever point within a watch the fault begins. With an agent of its own ("own agent"), a change
// counts as notified as soon as the agent has it, even if the connection to the agent is broken; the grace period of a
// drain, a second, is left to detect that.
//
//nolint:funlen // one scenario or table of cases that reads best in one piece
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
	changedAtOnce := func(_ time.Duration, complete bool) (int, string) { // the change comes right after the complete list
		if complete {
			return 1, `{"seq":1,"whole":true,"hosts":[` + one + `]}`
		}
		return 2, `{"seq":2,"whole":false,"hosts":[` + strings.Replace(one, "s-1", "s-2", 1) + `]}`
	}
	for _, tc := range []struct {
		name     string
		routers  int
		switchAt at
		agents   func(x at) []*script // x is when the fault begins
		notified func(x at) at        // when the change counts as notified
		within   at                   // the expected maximum time from x until the change is applied
	}{
		{"own agent, watch open", 0, 0, func(x at) []*script { return []*script{{change: x}} },
			func(x at) at { return x + 50*ms }, 2 * ms},
		{"own agent, connection silent", 0, 0, func(x at) []*script { return []*script{{change: x, stall: x}} },
			func(x at) at { return x + s }, 830 * ms},
		{"own agent, agent silent, then back with a change", 0, 0, func(x at) []*script { return []*script{{change: x + 9*s, outage: x, recovery: x + 9*s}} },
			func(x at) at { return x + 10*s }, 9*s + 855*ms},
		{"own agent, connection silent, half a second of grace", 0, 0, func(x at) []*script { return []*script{{change: x, stall: x}} },
			func(x at) at { return x + s/2 }, 455 * ms},
		{"own agent, agent silent, then back with a change, half a second of grace", 0, 0,
			func(x at) []*script { return []*script{{change: x + 9*s, outage: x, recovery: x + 9*s}} },
			func(x at) at { return x + 9*s + s/2 }, 9*s + 430*ms},
		{"own agent, silent in the middle of an answer", 0, 0, func(x at) []*script { return []*script{{change: x, truncate: true}} },
			func(x at) at { return x + s }, 330 * ms},
		{"own agent, an answer that arrives slowly", 0, 0, func(x at) []*script { return []*script{{change: x, byteInterval: 5 * ms}} },
			func(x at) at { return x + 6*s }, 2 * s},
		{"own agent, an answer that arrives too slowly", 0, 0, func(x at) []*script { return []*script{{change: x, byteInterval: 50 * ms}} },
			func(x at) at { return x + 6*s }, 2080 * ms},
		{"own agent, refused", 0, 0, func(x at) []*script { return []*script{{change: x, stall: x, refuse: x, open: x + 9*s}} },
			func(x at) at { return x + 10*s }, 9*s + 151*ms},
		{"own agent, switched", 0, 10 * s, func(_ at) []*script { return []*script{{change: never}, {}} },
			func(at) at { return 14 * s }, 2 * ms},
		{"own agent, switched, the new agent refuses for 3 s", 0, 10 * s, func(_ at) []*script { return []*script{{change: never}, {open: 13 * s}} },
			func(at) at { return 14 * s }, 3*s + 151*ms},
		{"own agent, switched, the first connection is silent", 0, 10 * s, func(_ at) []*script { return []*script{{change: never}, {recovery: 10*s + ms}} },
			func(at) at { return 14 * s }, 330 * ms},
		{"own agent, process that has just started", 0, 0, func(at) []*script { return []*script{{}} },
			func(at) at { return 50 * ms }, 2 * ms},
		{"own agent, agent silent, then back with a change, and CallDelay never permits calls", 0, 0,
			func(x at) []*script {
				return []*script{{change: x + 9*s, outage: x, recovery: x + 9*s, callDelay: func() (time.Duration, bool) { return 10 * s, false }}}
			},
			func(x at) at { return x + 10*s }, 9*s + 880*ms},
		{"own agent, switched in the middle of an answer", 0, 10 * s, func(x at) []*script { return []*script{{change: x - 20*ms, byteInterval: 5 * ms}, {}} },
			func(at) at { return 14 * s }, 2 * ms},
		{"own agent, changed before the first watch of a process that has just started", 0, 0, func(at) []*script { return []*script{{listAt: changedAtOnce}} },
			func(at) at { return 50 * ms }, 2 * ms},
		{"shared service, changed before the first watch of a process that has just started", 300, 0, func(at) []*script { return []*script{{listAt: changedAtOnce}} },
			func(at) at { return 50 * ms }, 2 * ms},
		{"shared service, switched in the middle of an answer", 300, 10 * s, func(x at) []*script { return []*script{{change: x - 20*ms, byteInterval: 5 * ms}, {wait: 400 * ms}} },
			func(at) at { return 14 * s }, 402 * ms},
		{"own agent, indented", 0, 0, func(x at) []*script { return []*script{{change: x, format: indented}} },
			func(x at) at { return x + 50*ms }, 2 * ms},

		{"shared service, watch open", 300, 0, func(x at) []*script { return []*script{{change: x}} },
			func(x at) at { return x + 50*ms }, 2 * ms},
		{"shared service, connection silent, answers take 0.4 s", 300, 0, func(x at) []*script { return []*script{{change: x, stall: x, wait: 400 * ms}} },
			func(x at) at { return x + 6*s }, 5*s + 480*ms},
		{"shared service, silent in the middle of an answer", 300, 0, func(x at) []*script { return []*script{{change: x, truncate: true, wait: 400 * ms}} },
			func(x at) at { return x + 6*s }, 2280 * ms},
		{"shared service, an answer that arrives too slowly", 300, 0, func(x at) []*script { return []*script{{change: x, byteInterval: 50 * ms}} },
			func(x at) at { return x + 6*s }, 2080 * ms},
		{"shared service, connection silent, answers take 1 s", 300, 0, func(x at) []*script { return []*script{{change: x, stall: x, wait: s}} },
			func(x at) at { return x + 6*s }, 5*s + 805*ms},
		{"shared service, connection silent, answers take 1.9 s", 300, 0, func(x at) []*script { return []*script{{change: x, stall: x, wait: 1900 * ms}} },
			func(x at) at { return x + 6*s }, 5*s + 805*ms},
		{"shared service, connection silent, and the next connection is refused", 300, 0, func(x at) []*script { return []*script{{change: x, stall: x, refusals: 1}} },
			func(x at) at { return x + 6*s }, 5*s + 830*ms},
		{"shared service, watches reset, and the next connection is refused", 300, 0, func(x at) []*script { return []*script{{change: x, stall: x, reset: x, refusals: 1}} },
			func(x at) at { return x + 6*s }, 2*s + 950*ms},
		{"shared service, silent for 9 s", 300, 0,
			func(x at) []*script { return []*script{{change: x + 9*s, outage: x, recovery: x + 9*s}} },
			func(x at) at { return x + 9*s + 6*s }, 9*s + 4405*ms},
		{"shared service, silent for 9 s, and answers take 1 s", 300, 0,
			func(x at) []*script { return []*script{{change: x + 9*s, outage: x, recovery: x + 9*s, wait: s}} },
			func(x at) at { return x + 9*s + 6*s }, 9*s + 5405*ms},
		{"shared service, refused for 9 s", 300, 0,
			func(x at) []*script { return []*script{{change: x + 9*s, reset: x, refuse: x, open: x + 9*s, wait: s}} },
			func(x at) at { return x + 9*s + 6*s }, 9*s + 5405*ms},
		{"shared service, refused for 40 s, and CallDelay never permits calls", 300, 0,
			func(x at) []*script {
				return []*script{{change: x + 40*s, reset: x, refuse: x, open: x + 40*s, wait: s,
					callDelay: func() (time.Duration, bool) { return 10 * s, false }}}
			},
			func(x at) at { return x + 40*s + 6*s }, 40*s + 5805*ms},
		{"shared service, answers 503 for 40 s", 300, 0,
			func(x at) []*script { return []*script{{change: x + 40*s, busy: true, busyFrom: x, wait: 200 * ms}} },
			func(x at) at { return x + 40*s + 6*s }, 40*s + 4605*ms},
		{"shared service, answers 503 from the first call on", 300, 0,
			func(x at) []*script { return []*script{{change: x, busy: true}} },
			func(x at) at { return x + 6*s }, 4405 * ms},
		{"shared service, silent from the first call on", 300, 0,
			func(x at) []*script { return []*script{{change: x, recovery: x}} },
			func(x at) at { return x + 6*s }, 4405 * ms},
		{"shared service, refused for 1 s", 300, 0, func(x at) []*script { return []*script{{change: x, stall: x, refuse: x, open: x + s}} },
			func(x at) at { return x + 6*s }, 5950 * ms},
		{"shared service, switched", 300, 10 * s, func(_ at) []*script { return []*script{{change: never}, {wait: 400 * ms}} },
			func(at) at { return 14 * s }, 402 * ms},
		{"shared service, switched, the first connection is silent", 300, 10 * s,
			func(_ at) []*script { return []*script{{change: never}, {recovery: 10*s + ms, wait: 400 * ms}} },
			func(at) at { return 14 * s }, 1480 * ms},
		{"shared service, switched, the new agent refuses for 1 s", 300, 10 * s, func(_ at) []*script { return []*script{{change: never}, {open: 11 * s}} },
			func(at) at { return 14 * s }, 3600 * ms},
		{"shared service, indented", 300, 0, func(x at) []*script { return []*script{{change: x, format: indented}} },
			func(x at) at { return x + 50*ms }, 2 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			worst, margin := at(0), never
			grace := s
			if strings.HasSuffix(tc.name, "half a second of grace") {
				grace = s / 2
			}
			single := tc.switchAt > 0 || strings.HasSuffix(tc.name, "started")
			for x := 10 * s; x < 14*s; x += 193 * ms {
				appliedAt, start := never, x
				if strings.HasSuffix(tc.name, "started") {
					start = 0
				}
				follow(t, tc.routers, grace, x+60*s, tc.switchAt, func(list *List, now at) error {
					if list.Version == 2 {
						appliedAt = min(appliedAt, now)
					}
					return nil
				}, tc.agents(x)...)
				worst, margin = max(worst, appliedAt-start), min(margin, tc.notified(x)-appliedAt)
				if single {
					break
				}
			}
			t.Logf("applied within %v, margin %v", worst, margin)
			if worst > tc.within || margin < 0 {
				t.Errorf("applied after %v, want at most %v; %v before it counts as notified", worst, tc.within, margin)
			}
		})
	}
}

// The watcher limits the load on a shared service: at most one call in 4 s in normal operation, one more after a watch
// fell silent, no call that is abandoned while it is queued, and at most one call in 4 s while all calls fail, except
// for the first ones, in case the failure is only momentary.
func TestSharedLoad(t *testing.T) {
	const s = time.Second
	version := 0
	alwaysNewer := func(_ time.Duration, complete bool) (int, string) { // always newer than the requested version
		version++
		return version, fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, version, complete, one)
	}
	for _, tc := range []struct {
		name                   string
		agent                  *script
		maxCalls, maxAbandoned int
	}{
		{"quick", &script{change: time.Hour}, 26, 0},
		{"a watch falls silent", &script{change: time.Hour, stall: 50 * s}, 27, 0},
		{"answers take 2.5 s in turn", &script{change: time.Hour, wait: 5 * s / 2}, 17, 0},
		{"answers without waiting", &script{listAt: alwaysNewer}, 99 * 40, 0},
		{"answers 503", &script{change: time.Hour, busy: true}, 28, 0},
		{"silent", &script{change: time.Hour, outage: 50 * s, recovery: time.Hour}, 27, 0},
	} {
		follow(t, 300, 0, 99*s, 0, func(*List, time.Duration) error { return nil }, tc.agent)
		if calls := len(tc.agent.calls); calls > tc.maxCalls || calls < 5 || tc.agent.abandoned > tc.maxAbandoned {
			t.Errorf("%s: %d calls, %d abandoned: %.500q", tc.name, calls, tc.agent.abandoned, tc.agent.calls)
		}
	}
}

// If an agent's version is smaller than one that was received before, its removals and drains apply at once. Its
// reactivations apply only once its version has caught up, or after three seconds, when its list is accepted as it is.
//
//nolint:gocognit,funlen // one scenario or table of cases that reads best in one piece
func TestSaysLess(t *testing.T) {
	const sec = time.Second
	host := func(name, health string, startedAt int) string {
		return fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:1","site":"a","class":"m","block":3,"health":%q,"share":1,"born_ms":%d}`, name, health, startedAt)
	}
	list := func(seq int, whole bool, hosts ...string) string {
		return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
	}
	initial := list(50, true, host("drains", "DRAINING", 5), host("stays", "SERVING", 5), host("anew", "SERVING", 9), host("gone", "DELETED", 5))
	older := []string{host("drains", "SERVING", 5), host("stays", "DRAINING", 5), host("anew", "SERVING", 2), host("gone", "SERVING", 5)}
	for _, tc := range []struct {
		name      string
		listAfter func(t time.Duration, complete bool) (int, string) // from 10 s on
		want      [3]string                                          // the ready hosts at 11, 12.5 and 20 s
	}{
		{"behind the other agents", func(t time.Duration, _ bool) (int, string) {
			if t < 12*sec {
				return 48, list(48, true, older...)
			}
			return 51, list(51, false, host("drains", "DRAINING", 5), host("stays", "SERVING", 5), host("gone", "DELETED", 5))
		}, [3]string{"anew", "anew stays", "anew stays"}},
		{"versions restarted", func(time.Duration, bool) (int, string) { return 3, list(3, true, older...) }, [3]string{"anew", "anew", "anew drains gone"}},
		{"versions and servers restarted", func(time.Duration, bool) (int, string) {
			return 3, list(3, true, host("drains", "SERVING", 7), host("gone", "SERVING", 7))
		}, [3]string{"drains gone", "drains gone", "drains gone"}},
		{"versions restarted, with changes only", func(time.Duration, bool) (int, string) { return 3, list(3, false, older...) },
			[3]string{"anew stays", "anew stays", "anew stays"}}, // it never returns the complete list, so the current one stays
		{"versions restarted during an open watch", func(_ time.Duration, complete bool) (int, string) {
			if complete {
				return 4, list(4, true, older[0], older[2], older[3])
			}
			return 4, list(4, false, older[0]) // these changes do not fit the known list
		}, [3]string{"anew", "anew", "anew drains gone"}},
		{"removals during an open watch", func(time.Duration, bool) (int, string) { return 4, list(4, false, older[1], older[0]) },
			[3]string{"anew", "anew", "anew"}}, // no complete list follows, but the drain stays in force
		{"empty list", func(time.Duration, bool) (int, string) { return 3, list(3, true) }, [3]string{"anew stays", "anew stays", "anew stays"}},
	} {
		for _, routers := range []int{0, 300} {
			t.Run(fmt.Sprint(tc.name, routers), func(t *testing.T) {
				directory, startedAt := NewDirectory(), int64(0)
				var got [3]string
				agent := &script{listAt: func(t time.Duration, complete bool) (int, string) {
					if t < 10*sec {
						return 50, initial
					}
					return tc.listAfter(t, complete)
				}}
				if !strings.HasSuffix(tc.name, "open watch") {
					agent.stall = 10 * sec
				}
				readyHosts := func() string {
					directory.mu.RLock()
					defer directory.mu.RUnlock()
					var ready []string
					for _, host := range []string{"anew", "drains", "gone", "stays"} {
						if directory.entries[directory.ids[host]].ready {
							ready = append(ready, host)
						}
					}
					return strings.Join(ready, " ")
				}
				checkTimes, testEnd := [3]time.Duration{11 * sec, 25 * sec / 2, 20 * sec}, 20*sec+time.Millisecond
				if routers > 0 { // detected at the end of a watch, and outdated up to the end of the next one
					checkTimes, testEnd = [3]time.Duration{10*sec + 5*sec, 0, 30 * sec}, 30*sec+time.Millisecond
				}
				follow(t, routers, 0, testEnd, 0, func(list *List, now time.Duration) error {
					if now < time.Millisecond {
						for i, at := range checkTimes {
							if at > 0 {
								time.AfterFunc(at, func() { got[i] = readyHosts() }) // the times differ
							}
						}
					}
					event, err := directory.Update(list)
					for _, endpoint := range event.Endpoints {
						if endpoint.ID == directory.ids["anew"] && endpoint.State != balance.Removed && list.MayBeOutdated {
							startedAt = endpoint.StartedAt
						}
					}
					return err
				}, agent)
				want := tc.want
				if routers > 0 {
					want[0], want[1] = got[0], ""
					// The changes are requested after the silence, and their removals and drains apply.
					if tc.name == "versions restarted, with changes only" {
						want[2] = "anew"
					}
				}
				if got != want {
					t.Errorf("ready: %q, want %q", got, want)
				}
				if startedAt != 0 && startedAt != 9e6 {
					t.Errorf("the later start time was lost: %d", startedAt)
				}
			})
		}
	}
}
