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

// sharedService is one discovery service for many routers, on the test's clock. It answers their calls one after the
// other, each for as long as the lines of its answer take, and rejects those that would wait too long. From upAt on it
// lists one server more.
type sharedService struct {
	started            time.Time
	downAt, upAt       time.Duration // the outage lasts from downAt to upAt
	outage             string        // "silent", also on connections opened before; "refuses connections"; or "answers 503"
	callCost, lineCost time.Duration // the time that a call takes, and each line of a list
	hosts              []string      // JSON entries; each costs as much as hostCost lines
	maxWait            time.Duration // a call that would wait longer is answered 503 after this time

	mu       sync.Mutex
	queueEnd time.Time // when the last queued call is answered
	calls    []time.Duration
	lines    int
}

func (svc *sharedService) now() time.Duration { return time.Since(svc.started) }

func (svc *sharedService) inOutage() bool { return svc.now() >= svc.downAt && svc.now() < svc.upAt }

// waitTurn waits until the queue reaches a call and reports whether the wait was within maxWait.
func (svc *sharedService) waitTurn(lines int) bool {
	svc.mu.Lock()
	svc.calls = append(svc.calls, svc.now())
	start := svc.queueEnd
	if start.Before(time.Now()) {
		start = time.Now()
	}
	inTime := time.Until(start) <= svc.maxWait
	if inTime {
		svc.queueEnd = start.Add(svc.callCost + time.Duration(lines)*svc.lineCost)
		svc.lines += lines
		start = svc.queueEnd
	} else {
		start = time.Now().Add(svc.maxWait)
	}
	svc.mu.Unlock()
	time.Sleep(time.Until(start))
	return inTime
}

func (svc *sharedService) version() int {
	if svc.now() < svc.upAt {
		return 1
	}
	return 2
}

const hostCost = 10 // lines that each host costs; parsing lists of so many real hosts would dominate the test

// list returns the answer to a call and its cost in lines.
func (svc *sharedService) list(since int) (string, int) {
	var hosts []string
	version := svc.version()
	if since == 0 {
		hosts = slices.Clone(svc.hosts)
	}
	if version == 2 && since < 2 {
		hosts = append(hosts, strings.Replace(one, "s-1", "s-2", 1))
	}
	lines := len(hosts)
	if since == 0 {
		lines = hostCost * len(svc.hosts)
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, version, since == 0, strings.Join(hosts, ",")), lines
}

//nolint:gocognit // one scenario or table of cases that reads best in one piece
func (svc *sharedService) serve(conn net.Conn) {
	openedAt, lastAnswer := svc.now(), time.Duration(-1)
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		request, err := in.ReadString('\n')
		for rest := request; err == nil && rest != "\r\n"; {
			rest, err = in.ReadString('\n')
		}
		if err != nil {
			return
		}
		since, wait := 0, 0
		_, _ = fmt.Sscanf(request, "GET /v1/endpoints?since=%d&timeout_ms=%d", &since, &wait) // both stay 0 without parameters
		if svc.outage == "silent" && openedAt < svc.upAt && svc.now() >= svc.downAt {
			svc.mu.Lock()
			svc.calls = append(svc.calls, svc.now())
			svc.mu.Unlock()
			_, _ = io.Copy(io.Discard, conn) // until the client closes the connection
			return
		}
		status, continues := "200 OK", lastAnswer >= 0 && svc.now()-lastAnswer < 200*time.Millisecond
		if svc.outage == "answers 503" && svc.inOutage() {
			svc.mu.Lock()
			svc.calls = append(svc.calls, svc.now())
			svc.mu.Unlock()
			status = "503 Busy"
		} else {
			waitEnd := svc.now() + time.Duration(wait)*time.Millisecond
			if !continues { // only a new watch takes a turn in the queue
				_, lines := svc.list(since)
				if !svc.waitTurn(lines) {
					status = "503 Busy"
				}
			} else {
				svc.mu.Lock()
				svc.calls = append(svc.calls, svc.now())
				svc.mu.Unlock()
			}
			if since > 0 && status == "200 OK" {
				for svc.version() <= since && svc.now() < waitEnd {
					next := waitEnd
					if svc.upAt > svc.now() {
						next = min(next, svc.upAt)
					}
					if svc.downAt > svc.now() {
						next = min(next, svc.downAt)
					}
					time.Sleep(next - svc.now())
					if svc.outage == "silent" && openedAt < svc.upAt && svc.now() >= svc.downAt {
						_, _ = io.Copy(io.Discard, conn) // until the client closes the connection
						return
					}
				}
			}
		}
		text, _ := svc.list(since)
		if status != "200 OK" {
			text = ""
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text); err != nil {
			return
		}
		lastAnswer = svc.now()
	}
}

// discardLogs keeps the log lines of hundreds of routers out of the test's output.
func discardLogs(t *testing.T) {
	t.Helper()
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(previous) })
}

// rate returns the mean number of calls per second in an interval, and the number in its busiest second.
func (svc *sharedService) rate(start, end time.Duration) (mean float64, busiest int) {
	var perSecond [600]int
	count := 0
	for _, at := range svc.calls {
		if at >= start && at < end {
			count++
			perSecond[at/time.Second]++
			busiest = max(busiest, perSecond[at/time.Second])
		}
	}
	return float64(count) / (end - start).Seconds(), busiest
}

// The worst case of the 6 s limit: a service that all routers share returns from a long outage with a changed list, and
// at that moment 7 of 10 routers restart. Each router must get the change within 6 s, and the call rate must not exceed
// the normal one, except right after the beginning and the end of the outage.
//
//nolint:gocognit,funlen // one scenario or table of cases that reads best in one piece
func TestFleetComesBack(t *testing.T) {
	discardLogs(t)
	const s, ms, routers = time.Second, time.Millisecond, 300
	const outageStart, outageEnd, testEnd = 14 * s, 54 * s, 62 * s
	for _, outage := range []string{"silent", "refuses connections", "answers 503", "answers 503, and the queue is long"} {
		t.Run(outage, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kind, _, longQueue := strings.Cut(outage, ",")
				agent := &sharedService{started: time.Now(), downAt: outageStart, upAt: outageEnd, outage: kind, callCost: ms, lineCost: ms / 10, maxWait: 2 * s}
				for i := range 120 / hostCost {
					agent.hosts = append(agent.hosts, strings.Replace(one, "s-1", fmt.Sprint("h-", i), 1))
				}
				if longQueue { // calls take four times as long, and the service rejects a call after 3 s
					agent.callCost, agent.maxWait = 4*ms, 3*s
				}
				ctx, stop := context.WithTimeout(context.Background(), testEnd)
				defer stop()
				var routersDone, serving sync.WaitGroup
				var mu sync.Mutex
				receivedAt := map[int]time.Duration{}
				startRouter := func(ctx context.Context, i int) {
					watcher := NewWatcher("", routers, 0)
					watcher.dial = func(context.Context, string, time.Duration) (net.Conn, error) {
						if kind == "refuses connections" && agent.inOutage() {
							agent.mu.Lock()
							agent.calls = append(agent.calls, agent.now())
							agent.mu.Unlock()
							return nil, errRefused
						}
						clientEnd, serverEnd := net.Pipe()
						serving.Go(func() { agent.serve(serverEnd) })
						if kind == "refuses connections" && agent.now() < outageStart {
							time.AfterFunc(outageStart-agent.now(), func() { serverEnd.Close() })
						}
						return clientEnd, nil
					}
					watcher.Run(ctx, func(list *List) error {
						mu.Lock()
						defer mu.Unlock()
						if _, ok := receivedAt[i]; !ok && list.Version == 2 {
							receivedAt[i] = agent.now()
						}
						return nil
					})
				}
				for i := range routers {
					routersDone.Go(func() {
						time.Sleep(time.Duration(i) * 4 * s / routers) // the routers start within 4 s
						if i%10 >= 7 {
							startRouter(ctx, i)
							return
						}
						beforeRestart, kill := context.WithDeadline(ctx, agent.started.Add(outageEnd))
						startRouter(beforeRestart, i)
						kill()
						startRouter(ctx, i)
					})
				}
				routersDone.Wait()
				stop()
				serving.Wait()
				worst := time.Duration(0)
				for i := range routers {
					if at, ok := receivedAt[i]; !ok {
						t.Errorf("router %d never received the change", i)
					} else {
						worst = max(worst, at-outageEnd)
					}
				}
				normal, normalBusiest := agent.rate(6*s, outageStart)
				start, startBusiest := agent.rate(outageStart, outageStart+10*s)
				during, duringBusiest := agent.rate(outageStart+10*s, outageEnd)
				after, afterBusiest := agent.rate(outageEnd, outageEnd+6*s)
				t.Logf("received by all after %v; calls per second (busiest): normal %.0f (%d), first 10 s of the outage %.0f (%d), rest of it %.0f (%d), afterwards %.0f (%d); %d lines",
					worst, normal, normalBusiest, start, startBusiest, during, duringBusiest, after, afterBusiest, agent.lines)
				if worst > 6*s-100*ms {
					t.Errorf("the last router received the change %v after the outage", worst)
				}
				if limit := float64(routers) / 4 * 1.05; normal > limit || during > limit {
					t.Errorf("%.0f calls per second in normal operation, %.0f during the outage: more than %.0f", normal, during, limit)
				}
				// Two extra calls by each router are allowed, in case the failure is only momentary.
				if limit := float64(routers)/4*1.05 + 2*routers/10; start > limit {
					t.Errorf("%.0f calls per second in the first 10 s of the outage: more than %.0f", start, limit)
				}
				if float64(duringBusiest) > 3*during {
					t.Errorf("%d calls in the busiest second, %.0f on average: the calls come in bursts", duringBusiest, during)
				}
			})
		})
	}
}

// While a service rejects all calls, no router repeats a call twice within the first second, and the routers do not
// call in bursts. In the long run routers call about as often as they renew watches in normal operation, or all
// together five times a second if they are few. The interval never grows so long that the 6 s limit is missed if an
// answer takes a second.
func TestSharedServiceIsSpared(t *testing.T) {
	discardLogs(t)
	for _, routers := range []int{1, 80, 300} {
		synctest.Test(t, func(t *testing.T) {
			agent := &sharedService{started: time.Now(), upAt: time.Hour, outage: "answers 503"}
			ctx, stop := context.WithTimeout(context.Background(), 80*time.Second)
			defer stop()
			var routersDone, serving sync.WaitGroup
			for range routers {
				watcher := NewWatcher("", routers, 0)
				watcher.dial = func(context.Context, string, time.Duration) (net.Conn, error) {
					clientEnd, serverEnd := net.Pipe()
					serving.Go(func() { agent.serve(serverEnd) })
					return clientEnd, nil
				}
				routersDone.Go(func() { watcher.Run(ctx, func(*List) error { return nil }) })
			}
			routersDone.Wait()
			serving.Wait()
			repeats := 0
			for _, at := range agent.calls {
				if at > 0 && at < time.Second {
					repeats++
				}
			}
			if repeats > routers {
				t.Errorf("%d routers: %d repeats in the first second", routers, repeats)
			}
			rate, busiest := agent.rate(40*time.Second, 80*time.Second)
			t.Logf("%d routers: %d repeats in the first second, then %.1f calls per second, %d in the busiest", routers, repeats, rate, busiest)
			mean := float64(routers) / 4
			if routers < 5 {
				mean = float64(routers)
			}
			if rate > mean*1.02+2./40 || rate < mean*0.9 { // two calls in 40 s may fall outside the interval on either side
				t.Errorf("%d routers: %.2f calls per second in the end, want %.2f", routers, rate, mean)
			}
			if routers > 1 && float64(busiest) > 3*rate {
				t.Errorf("%d routers: %d calls in the busiest second", routers, busiest)
			}
		})
	}
	for _, count := range []int{1, 5, 300, 100_000} {
		if watcher := NewWatcher("", count, 0); watcher.maxBackoff*(jitterDivisor+1)/jitterDivisor+watcher.maxCallDelay+time.Second > notifiedAfter-notifiedMargin || watcher.initialBackoff > watcher.maxBackoff {
			t.Errorf("%d routers: backoff from %v to %v", count, watcher.initialBackoff, watcher.maxBackoff)
		}
	}
}
