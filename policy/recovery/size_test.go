package recovery

import (
	"fmt"
	"testing"

	"lotushook/policy/clock"
)

// simulation runs routers, of which some restart, with their clients and data servers that answer within a tick.
type simulation struct {
	routers          []*Recovery
	requestRate      float64 // requests per second of each router's clients
	returningClients [][]int // by router, then by tick modulo 400: number of rejected clients that return
	actions          [KindCount]int
	thisSecond       [KindCount]int
	unsentRequests   []float64 // by router
	listCalls        []int     // by router
	dials            []int     // by router
	fullServiceAfter clock.Nanos
	worstSecond      [KindCount]int // actions: sends of the first second; of other kinds, the most in any second
	actionsPerRouter float64
}

const (
	tickDuration = 10 * ms
	servers      = 9
)

// simulateRestart starts the given number of returning routers at once. Each sees all others after a delay of its own
// or, unless peersReachable, none.
func simulateRestart(t *testing.T, routerCount, returning int, peersReachable bool, budgets [KindCount]float64, requestRate float64) *simulation {
	t.Helper()
	sim := &simulation{requestRate: requestRate, unsentRequests: make([]float64, routerCount), listCalls: make([]int, routerCount), dials: make([]int, routerCount)}
	now, peers := 100*second, []Peer{}
	for i := range routerCount {
		settings := DefaultSettings(fmt.Sprintf("r%04d", i), 1e15, routerCount)
		settings.Budgets, settings.CanCatchUp, settings.SeesPeers = budgets, true, true
		if i < returning {
			settings.Epoch += uint64(100*second) + uint64(i%10)*uint64(10*ms) // all start within 100 ms
			sim.routers = append(sim.routers, newRecovery(t, settings, now))
		} else {
			router := newRecovery(t, settings, 0)
			tickUntil(router, 5*second)
			router.returning, router.yieldDeadline = 0, 0
			router.Tick(now)
			sim.routers = append(sim.routers, router)
		}
		peers = append(peers, Peer{Name: settings.Name, Epoch: settings.Epoch, Alive: true, HeardDirectly: true})
		sim.returningClients = append(sim.returningClients, make([]int, 400))
	}
	listReadyAt := make([]clock.Nanos, routerCount) // when the list call may be made
	dialTimes := make([][]clock.Nanos, routerCount)
	fullServiceAt, servedByTick := now, []float64{}
	for at := now; at < now+6*second; at += tickDuration {
		step := int((at - now) / tickDuration)
		served := 0.0
		for i, router := range sim.routers {
			seesPeersAt := now + 100*ms + clock.Nanos(fraction(hash(router.settings.Name, "hears", 0))*float64(300*ms))
			if peersReachable && at >= seesPeersAt && at < seesPeersAt+tickDuration {
				router.UpdatePeers(at, peers)
				router.CaughtUp(at)
			}
			if i >= returning {
				sim.runServing(router, i, at)
			} else {
				served += sim.runReturning(router, i, at, step, listReadyAt, dialTimes)
			}
		}
		if step%100 == 99 {
			sim.endSecond(step == 99)
		}
		// Full service starts when all later half seconds serve 95% of the requests.
		if servedByTick = append(servedByTick, served); step%50 == 49 {
			sum := 0.0
			for _, count := range servedByTick[step-49:] {
				sum += count
			}
			if sum < 0.95*sim.requestRate*float64(returning)/2 {
				fullServiceAt = at + tickDuration
			}
		}
	}
	sim.fullServiceAfter = fullServiceAt - now
	total := 0
	for _, kind := range []Kind{Dial, Probe, ListCall, CatchUp} {
		total += sim.actions[kind]
	}
	sim.actionsPerRouter = float64(total) / float64(returning)
	return sim
}

func (sim *simulation) record(kind Kind) { sim.actions[kind]++; sim.thisSecond[kind]++ }

func (sim *simulation) endSecond(isFirst bool) {
	for kind, count := range sim.thisSecond {
		if isFirst || Kind(kind) != Send { // sends count in the first second only
			sim.worstSecond[kind] = max(sim.worstSecond[kind], count)
		}
	}
	sim.thisSecond = [KindCount]int{}
}

// runServing makes a serving router dial and probe once a second.
func (sim *simulation) runServing(router *Recovery, index int, at clock.Nanos) {
	if at%second == clock.Nanos(index%100)*tickDuration {
		for _, kind := range []Kind{Dial, Probe} {
			if _, reason := router.Allow(at, kind, second); reason == Allowed {
				sim.record(kind)
			}
		}
	}
}

// runReturning makes a returning router request a list, open its connections and send its clients' requests. It returns
// how many requests the router serves in this tick.
func (sim *simulation) runReturning(router *Recovery, index int, at clock.Nanos, step int, listReadyAt []clock.Nanos, dialTimes [][]clock.Nanos) (served float64) {
	isDue := func(dueAt clock.Nanos) bool { return dueAt > 0 && at >= dueAt }
	if listReadyAt[index] == 0 {
		if wait, reason := router.Allow(at, ListCall, second); reason == Allowed {
			listReadyAt[index] = at + wait + 1
		}
	} else if sim.listCalls[index] == 0 && isDue(listReadyAt[index]) {
		sim.record(ListCall)
		sim.listCalls[index] = 1
		router.ListReceived(at + tickDuration)
	}
	for sim.dials[index] < servers && sim.listCalls[index] == 1 {
		wait, reason := router.Allow(at, Dial, second)
		if reason != Allowed {
			break
		}
		sim.dials[index]++
		dialTimes[index] = append(dialTimes[index], at+wait)
	}
	connections := 0
	for connection, dialedAt := range dialTimes[index] {
		if dialedAt > at {
			continue
		}
		if connections++; dialedAt > at-tickDuration || connection >= sim.dials[index] {
			sim.record(Dial)
			sim.record(Probe) // each server is probed once it is connected
			router.Allow(at, Probe, second)
		}
	}
	sim.unsentRequests[index] += sim.requestRate * float64(tickDuration) / float64(second)
	arrivals := sim.returningClients[index][step%400]
	sim.returningClients[index][step%400] = 0
	for ; sim.unsentRequests[index] >= 1; sim.unsentRequests[index]-- {
		arrivals++
	}
	for arrival := range arrivals {
		attempt := Attempt{Server: uint32(arrival % servers), Deadline: at + second}
		if connections == 0 || router.AllowSend(at, attempt) != Allowed {
			wait := router.RetryAfter(at, "t", fmt.Sprint(step, arrival), 0)
			sim.returningClients[index][(step+max(1, int(wait/tickDuration)))%400]++
			continue
		}
		if router.stage < Serving {
			sim.record(Send)
		}
		router.AttemptEnded(at, attempt, true, 5*ms)
		served++
	}
	router.Tick(at)
	return served
}

// At any fleet size, the actions of all routers in the first second stay within 1.2 times each budget, the number of
// actions per router does not grow with the fleet and, if the budgets grow with the fleet, neither does the time to
// full service.
func TestBudgetsAtAnyFleetSize(t *testing.T) {
	for _, test := range []struct {
		name           string
		share          float64
		peersReachable bool
	}{{"all restart", 1, true}, {"70% restart", 0.7, true}, {"all restart and no peer can be reached", 1, false}} {
		var smallest *simulation
		for _, routerCount := range []int{10, 100, 1000} {
			budgets := [KindCount]float64{5, 5, 0.8, 1, 10} // per router, which would use 9, 9, 1, 0 and 25
			for kind := range budgets {
				budgets[kind] *= float64(routerCount)
			}
			sim := simulateRestart(t, routerCount, int(test.share*float64(routerCount)), test.peersReachable, budgets, 25)
			if unlimited := simulateRestart(t, routerCount, int(test.share*float64(routerCount)), test.peersReachable, [KindCount]float64{}, 25); float64(unlimited.worstSecond[Dial]) < 1.2*budgets[Dial] || float64(unlimited.worstSecond[Send]) < 1.2*budgets[Send] {
				t.Errorf("%s: %d routers stay within the budgets without being limited, %v: the check proves nothing", test.name, routerCount, unlimited.worstSecond)
			}
			if smallest == nil {
				smallest = sim
			}
			t.Logf("%s: %d routers: first second: dials %d of %.0f, probes %d of %.0f, list calls %d of %.0f, sends %d of %.0f; %.1f actions per router; full service after %d ms",
				test.name, routerCount, sim.worstSecond[Dial], budgets[Dial], sim.worstSecond[Probe], budgets[Probe], sim.worstSecond[ListCall], budgets[ListCall], sim.worstSecond[Send], budgets[Send], sim.actionsPerRouter, sim.fullServiceAfter/ms)
			for kind, count := range sim.worstSecond {
				if float64(count) > 1.2*budgets[kind] {
					t.Errorf("%s: %d of %s in the first second, budget %v", test.name, count, Kind(kind), budgets[kind])
				}
			}
			if sim.actions[Send] == 0 || sim.actions[ListCall] == 0 || sim.fullServiceAfter == 0 {
				t.Errorf("%s: actions %+v: the check proves nothing", test.name, sim.actions)
			}
			if sim.actionsPerRouter > 1.2*smallest.actionsPerRouter || sim.fullServiceAfter > 5*second || sim.fullServiceAfter > 2*smallest.fullServiceAfter {
				t.Errorf("%s: %d routers: %.1f actions per router, full service after %d ms; with ten routers: %.1f, %d ms", test.name, routerCount, sim.actionsPerRouter, sim.fullServiceAfter/ms, smallest.actionsPerRouter, smallest.fullServiceAfter/ms)
			}
		}
	}
}

// With budgets that don't grow with the fleet, the first second stays within them; only the time to full service grows.
func TestFixedBudgets(t *testing.T) {
	for _, routerCount := range []int{10, 100, 1000} {
		budgets := [KindCount]float64{2000, 1000, 200, 100, 5000}
		sim := simulateRestart(t, routerCount, routerCount, true, budgets, 10)
		t.Logf("%d routers: first second: dials %d, list calls %d, sends %d; full service after %d ms", routerCount, sim.worstSecond[Dial], sim.worstSecond[ListCall], sim.worstSecond[Send], sim.fullServiceAfter/ms)
		for kind, count := range sim.worstSecond {
			if float64(count) > 1.2*budgets[kind] {
				t.Errorf("%d of %s in the first second, budget %v", count, Kind(kind), budgets[kind])
			}
		}
	}
}

// simulateOverload runs a group that serves its queue in order of arrival. An attempt that times out is retried until
// the client's deadline, and stays in the queue. The results are the requests served per second before the trigger,
// during it and after it.
//
//nolint:gocognit,funlen // one simulation with its phases in order
func simulateOverload(recovery *Recovery, withRecovery bool) (before, during, after float64) {
	const attemptTimeout, clientTimeout, capacity, load, queueCapacity = 250 * ms, second, 1000.0, 850.0, 400
	type job struct {
		clientDeadline, attemptAt clock.Nanos // when the client gives up, and when the attempt was sent
		isFirst                   bool
	}
	var queue []job
	type openAttempt struct{ job }
	var inFlight []openAttempt
	workCredit, requestCredit := 0.0, 0.0
	served := [3]float64{}
	server := uint32(1)
	for now := 5 * second; now < 65*second; now += tickDuration {
		phase := 0
		serviceRate := capacity
		switch {
		case now >= 25*second:
			phase = 2
		case now >= 15*second && now < 20*second: // the trigger: capacity drops to a third for five seconds
			serviceRate, phase = capacity/3, 1
		case now >= 15*second:
			phase = 1
		}
		send := func(queued job) {
			isRetry := !queued.isFirst
			if withRecovery && recovery.AllowSend(now, Attempt{Server: server, IsRetry: isRetry, Deadline: min(queued.clientDeadline, now+attemptTimeout)}) != Allowed {
				return
			}
			if queued.attemptAt = now; len(queue) < queueCapacity { // a full queue drops the attempt without an answer
				queue = append(queue, queued)
			}
			inFlight = append(inFlight, openAttempt{queued})
		}
		for requestCredit += load * float64(tickDuration) / float64(second); requestCredit >= 1; requestCredit-- {
			send(job{clientDeadline: now + clientTimeout, isFirst: true})
		}
		// Attempts that timed out are retried until the client's deadline.
		remaining := inFlight[:0]
		var retries []job
		for _, attempt := range inFlight {
			switch {
			case now-attempt.attemptAt < attemptTimeout:
				remaining = append(remaining, attempt)
			default:
				if withRecovery {
					recovery.AttemptEnded(now, Attempt{Server: server}, false, 0)
				}
				if queued := attempt.job; now < queued.clientDeadline {
					queued.isFirst = false
					retries = append(retries, queued)
				}
			}
		}
		inFlight = remaining
		for _, queued := range retries {
			send(queued)
		}
		for workCredit += serviceRate * float64(tickDuration) / float64(second); workCredit >= 1 && len(queue) > 0; workCredit-- {
			queued := queue[0]
			queue = queue[1:]
			if elapsed := now - queued.attemptAt; elapsed < attemptTimeout {
				served[phase]++
				if withRecovery {
					recovery.AttemptEnded(now, Attempt{Server: server}, true, max(ms, elapsed))
				}
				for index := range inFlight { // this request's attempt is answered
					if inFlight[index].attemptAt == queued.attemptAt && inFlight[index].clientDeadline == queued.clientDeadline {
						inFlight = append(inFlight[:index], inFlight[index+1:]...)
						break
					}
				}
			}
		}
		if len(queue) == 0 {
			workCredit = 0
		}
	}
	return served[0] / 10, served[1] / 10, served[2] / 40
}

// A metastable failure: after an overload of five seconds, the trigger, retries alone keep the queue full of attempts
// that timed out. Service recovers by itself only if the retry budget applies and attempts that would be too late are
// not sent; otherwise it never recovers.
func TestMetastableFailure(t *testing.T) {
	recovery := newRecovery(t, DefaultSettings("a", 1, 1), 0)
	tickUntil(recovery, 5*second)
	before, _, afterWithout := simulateOverload(nil, false)
	_, during, after := simulateOverload(recovery, true)
	t.Logf("served per second: %.0f before the trigger; after it %.0f without recovery, %.0f with; %.0f during it", before, afterWithout, after, during)
	if afterWithout > 0.5*before {
		t.Errorf("without recovery %v of %v per second: the model is not metastable, the check proves nothing", afterWithout, before)
	}
	if after < 0.95*before {
		t.Errorf("with recovery %v of %v per second", after, before)
	}
}

func BenchmarkSend(b *testing.B) {
	recovery := newRecovery(b, DefaultSettings("a", 1, 7), 0)
	now := tickUntil(recovery, 5*second)
	b.ReportAllocs()
	for b.Loop() {
		now += 1000
		attempt := Attempt{Server: uint32(now % 9), IsRetry: now%7000 == 0, Deadline: now + second}
		if recovery.AllowSend(now, attempt) == Allowed {
			recovery.AttemptEnded(now, attempt, true, ms)
		}
	}
}
