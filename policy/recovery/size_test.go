package recovery

import (
	"fmt"
	"testing"

	"lotushook/policy/clock"
)

// fleet is routers that come back, their clients, and data servers that answer within a tick.
type fleet struct {
	who     []*Recovery
	rate    float64 // requests of each router's clients a second
	back    [][]int // by tick from now: clients that come again, by router
	spent   [KindCount]int
	peaks   [KindCount]int // most in a second
	asked   []float64
	calls   []int // list calls under way: ticks left, by router; -1: it has one
	dials   []int
	full    clock.Nanos
	first   [KindCount]int // of sends; of all else the worst second
	perEach float64
}

const (
	tick    = 10 * ms
	servers = 9
)

// play starts so many of the routers at once; each sees all others after a while of its own, or nobody.
func play(t *testing.T, n, returning int, reach bool, budgets [KindCount]float64, rate float64) *fleet {
	t.Helper()
	f := &fleet{rate: rate, asked: make([]float64, n), calls: make([]int, n), dials: make([]int, n)}
	now, peers := 100*second, []Peer{}
	for i := range n {
		s := DefaultSettings(fmt.Sprintf("r%04d", i), 1e15, n)
		s.Budgets, s.CanCatchUp, s.SeesPeers = budgets, true, true
		if i < returning {
			s.Epoch += uint64(100*second) + uint64(i%10)*uint64(10*ms) // within a tenth of a second
			f.who = append(f.who, must(t, s, now))
		} else {
			r := must(t, s, 0)
			serve(r, 5*second)
			r.returning, r.yieldDeadline = 0, 0
			r.Tick(now)
			f.who = append(f.who, r)
		}
		peers = append(peers, Peer{Name: s.Name, Epoch: s.Epoch, Alive: true, HeardDirectly: true})
		f.back = append(f.back, make([]int, 400))
	}
	ready := make([]clock.Nanos, n) // of a list call
	dialled := make([][]clock.Nanos, n)
	steady, by := now, []float64{}
	for at := now; at < now+6*second; at += tick {
		step := int((at - now) / tick)
		served := 0.0
		for i, r := range f.who {
			hears := now + 100*ms + clock.Nanos(fraction(hash(r.settings.Name, "hears", 0))*float64(300*ms))
			if reach && at >= hears && at < hears+tick {
				r.UpdatePeers(at, peers)
				r.CaughtUp(at)
			}
			if i >= returning {
				f.survive(r, i, at)
			} else {
				served += f.work(r, i, at, step, ready, dialled)
			}
		}
		if step%100 == 99 {
			f.second(step == 99)
		}
		if by = append(by, served); step%50 == 49 { // whole: half seconds in which as much is served as is asked, to the end
			sum := 0.0
			for _, n := range by[step-49:] {
				sum += n
			}
			if sum < 0.95*f.rate*float64(returning)/2 {
				steady = at + tick
			}
		}
	}
	f.full = steady - now
	total := 0
	for _, k := range []Kind{Dial, Probe, ListCall, CatchUp} {
		total += f.spent[k]
	}
	f.perEach = float64(total) / float64(returning)
	return f
}

func (f *fleet) spend(k Kind) { f.spent[k]++; f.peaks[k]++ }

func (f *fleet) second(first bool) {
	for k, n := range f.peaks {
		if first || Kind(k) != Send { // sends of the first second; of all else those of the worst
			f.first[k] = max(f.first[k], n)
		}
	}
	f.peaks = [KindCount]int{}
}

// survive is a router that serves: it dials anew once a second and probes as often.
func (f *fleet) survive(r *Recovery, i int, at clock.Nanos) {
	if at%second == clock.Nanos(i%100)*tick {
		for _, k := range []Kind{Dial, Probe} {
			if _, why := r.Allow(at, k, second); why == Allowed {
				f.spend(k)
			}
		}
	}
}

// work is a router that returns: a list, its connections, then what its clients ask; how many it serves in this tick.
func (f *fleet) work(r *Recovery, i int, at clock.Nanos, step int, ready []clock.Nanos, dialled [][]clock.Nanos) (served float64) {
	due := func(when clock.Nanos) bool { return when > 0 && at >= when }
	if ready[i] == 0 {
		if wait, why := r.Allow(at, ListCall, second); why == Allowed {
			ready[i] = at + wait + 1
		}
	} else if f.calls[i] == 0 && due(ready[i]) {
		f.spend(ListCall)
		f.calls[i] = 1
		r.ListReceived(at + tick)
	}
	for f.dials[i] < servers && f.calls[i] == 1 {
		wait, why := r.Allow(at, Dial, second)
		if why != Allowed {
			break
		}
		f.dials[i]++
		dialled[i] = append(dialled[i], at+wait)
	}
	up := 0
	for k, when := range dialled[i] {
		if when > at {
			continue
		}
		if up++; when > at-tick || k >= f.dials[i] {
			f.spend(Dial)
			f.spend(Probe) // asked once it is up
			r.Allow(at, Probe, second)
		}
	}
	f.asked[i] += f.rate * float64(tick) / float64(second)
	come := f.back[i][step%400]
	f.back[i][step%400] = 0
	for ; f.asked[i] >= 1; f.asked[i]-- {
		come++
	}
	for k := range come {
		a := Attempt{Server: uint32(k % servers), Deadline: at + second}
		if up == 0 || r.AllowSend(at, a) != Allowed {
			wait := r.RetryAfter(at, "t", fmt.Sprint(step, k), 0)
			f.back[i][(step+max(1, int(wait/tick)))%400]++
			continue
		}
		if r.stage < Serving {
			f.spend(Send)
		}
		r.AttemptEnded(at, a, true, 5*ms)
		served++
	}
	r.Tick(at)
	return served
}

// All of the first second's work of all routers is within 1.2 of its budget at any size; what each spends does not grow
// with their number; and where budgets grow with the fleet, neither does the time until all is served.
func TestSizes(t *testing.T) {
	for _, c := range []struct {
		name  string
		share float64
		reach bool
	}{{"all restart", 1, true}, {"70% restart", 0.7, true}, {"nobody can be reached", 1, false}} {
		var small *fleet
		for _, n := range []int{10, 100, 1000} {
			budgets := [KindCount]float64{5, 5, 0.8, 1, 10} // for each router, of which it wants 9, 9, 1, 0 and 25 a second
			for k := range budgets {
				budgets[k] *= float64(n)
			}
			f := play(t, n, int(c.share*float64(n)), c.reach, budgets, 25)
			if free := play(t, n, int(c.share*float64(n)), c.reach, [KindCount]float64{}, 25); float64(free.first[Dial]) < 1.2*budgets[Dial] || float64(free.first[Send]) < 1.2*budgets[Send] {
				t.Errorf("%s: %d routers without budgets: %v: the check says nothing", c.name, n, free.first)
			}
			if small == nil {
				small = f
			}
			t.Logf("%s: %d routers: first second: dials %d of %.0f, probes %d of %.0f, list calls %d of %.0f, sends %d of %.0f; %.1f messages for each; whole after %d ms",
				c.name, n, f.first[Dial], budgets[Dial], f.first[Probe], budgets[Probe], f.first[ListCall], budgets[ListCall], f.first[Send], budgets[Send], f.perEach, f.full/ms)
			for k, n := range f.first {
				if float64(n) > 1.2*budgets[k] {
					t.Errorf("%s: %d of %s in the first second, %v is the budget", c.name, n, Kind(k), budgets[k])
				}
			}
			if f.spent[Send] == 0 || f.spent[ListCall] == 0 || f.full == 0 {
				t.Errorf("%s: %+v: the check says nothing", c.name, f.spent)
			}
			if f.perEach > 1.2*small.perEach || f.full > 5*second || f.full > 2*small.full {
				t.Errorf("%s: %d routers: %.1f messages each, whole after %d ms; ten: %.1f, %d ms", c.name, n, f.perEach, f.full/ms, small.perEach, small.full/ms)
			}
		}
	}
}

// With budgets that stay as the fleet grows, time to full service grows, and the first second stays within them.
func TestFixedBudgets(t *testing.T) {
	for _, n := range []int{10, 100, 1000} {
		budgets := [KindCount]float64{2000, 1000, 200, 100, 5000}
		f := play(t, n, n, true, budgets, 10)
		t.Logf("%d routers: first second: dials %d, list calls %d, sends %d; whole after %d ms", n, f.first[Dial], f.first[ListCall], f.first[Send], f.full/ms)
		for k, n := range f.first {
			if float64(n) > 1.2*budgets[k] {
				t.Errorf("%d of %s in the first second, %v is the budget", n, Kind(k), budgets[k])
			}
		}
	}
}

// jam is a queue of a group that works in order of arrival, in front of which requests wait so long and are then tried
// again while their clients wait; work that was given up stays in the queue.
//
//nolint:gocognit,funlen // one history or table of cases, told in order
func jam(r *Recovery, on bool) (calm, during, after float64) {
	const wait, patience, capacity, load, room = 250 * ms, second, 1000.0, 850.0, 400
	type job struct {
		left, tried clock.Nanos // when its client leaves; when this attempt began
		first       bool
	}
	var queue []job
	type open struct{ job }
	var out []open
	work, ask := 0.0, 0.0
	count := [3]float64{}
	server := uint32(1)
	for now := 5 * second; now < 65*second; now += tick {
		phase := 0
		rate := capacity
		switch {
		case now >= 25*second:
			phase = 2
		case now >= 15*second && now < 20*second: // the trigger: a third of what it can do is left, for five seconds
			rate, phase = capacity/3, 1
		case now >= 15*second:
			phase = 1
		}
		send := func(j job) {
			again := !j.first
			if on && r.AllowSend(now, Attempt{Server: server, IsRetry: again, Deadline: min(j.left, now+wait)}) != Allowed {
				return
			}
			if j.tried = now; len(queue) < room { // beyond it nothing is heard
				queue = append(queue, j)
			}
			out = append(out, open{j})
		}
		for ask += load * float64(tick) / float64(second); ask >= 1; ask-- {
			send(job{left: now + patience, first: true})
		}
		// What waited too long is given up and tried again; its client asks anew when its time is over.
		keep := out[:0]
		var again []job
		for _, o := range out {
			switch {
			case now-o.tried < wait:
				keep = append(keep, o)
			default:
				if on {
					r.AttemptEnded(now, Attempt{Server: server}, false, 0)
				}
				if j := o.job; now < j.left {
					j.first = false
					again = append(again, j)
				}
			}
		}
		out = keep
		for _, j := range again {
			send(j)
		}
		for work += rate * float64(tick) / float64(second); work >= 1 && len(queue) > 0; work-- {
			j := queue[0]
			queue = queue[1:]
			if took := now - j.tried; took < wait {
				count[phase]++
				if on {
					r.AttemptEnded(now, Attempt{Server: server}, true, max(ms, took))
				}
				for i := range out { // answered
					if out[i].tried == j.tried && out[i].left == j.left {
						out = append(out[:i], out[i+1:]...)
						break
					}
				}
			}
		}
		if len(queue) == 0 {
			work = 0
		}
	}
	return count[0] / 10, count[1] / 10, count[2] / 40
}

// A metastable failure: a trigger of five seconds, after which retries alone keep a queue full of work for nobody. With
// the budget of retries, and work that can't be in time left out, service is back by itself; without, it never is.
func TestMetastable(t *testing.T) {
	r := must(t, DefaultSettings("a", 1, 1), 0)
	serve(r, 5*second)
	calm, _, stuck := jam(nil, false)
	_, during, after := jam(r, true)
	t.Logf("served a second: %.0f in calm; after the trigger %.0f without, %.0f with; %.0f during it", calm, stuck, after, during)
	if stuck > 0.5*calm {
		t.Errorf("without, %v of %v: the model is not metastable, the check says nothing", stuck, calm)
	}
	if after < 0.95*calm {
		t.Errorf("with, %v of %v", after, calm)
	}
}

func BenchmarkSend(b *testing.B) {
	r := must(b, DefaultSettings("a", 1, 7), 0)
	now := serve(r, 5*second)
	b.ReportAllocs()
	for b.Loop() {
		now += 1000
		a := Attempt{Server: uint32(now % 9), IsRetry: now%7000 == 0, Deadline: now + second}
		if r.AllowSend(now, a) == Allowed {
			r.AttemptEnded(now, a, true, ms)
		}
	}
}
