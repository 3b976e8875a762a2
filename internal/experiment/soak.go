package experiment

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lotushook/internal/emulator"
)

const (
	soakSettle   = 500 * time.Millisecond // before the clients come
	soakCalm     = 8 * time.Second        // at most, for connections to end that nobody uses
	soakSockets  = 160                    // descriptors of a router: a crowd fills them
	soakHalfLife = 200 * time.Millisecond // a configuration stays broken for so long
)

// soakOwn switches the access log on: what the routers have read is one of the records.
const soakOwn = `{"log":{"totals_ms":1000,"trace":"all","trace_per_s":1000000}}`

// soakPlay is one play of a plan.
type soakPlay struct {
	e           *Experiment
	plan        *SoakPlan
	record      *soakRecord
	fleet       *emulator.Running
	routers     []*soakRouter
	connections atomic.Int64
	moved       string // another address of discovery
}

// soakRouter is one router over its processes.
type soakRouter struct {
	*process
	turn    sync.Mutex // held by the step that restarts or reloads it
	mu      sync.Mutex // guards what follows
	life    int
	current *soakLife
	done    chan struct{} // closed when the present process has ended
	until   time.Time     // the front sends new connections until then; zero: it does
	up      bool
	base    int // descriptors before the first clients came
}

// PlaySoak plays a plan and returns the record.
func playSoak(ctx context.Context, e *Experiment, plan *SoakPlan, build, dir string) (*soakRecord, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	for n := range plan.Routers { // of an earlier play: this one's audit reads them
		_ = os.Remove(filepath.Join(dir, routerName(n)+".log"))
	}
	profile := &e.Soak.Profiles[plan.Profile]
	one := *e
	one.Platform, one.Classes = profile.Platform, profile.Classes
	one.Routers.Own, one.Routers.Sockets = jsoniter.RawMessage(soakOwn), soakSockets
	p := &soakPlay{e: &one, plan: plan, record: &soakRecord{Plan: plan, Profile: profile, Limits: one.soakLimits()}}
	fleet := one.fleet(plan.Seed)
	fleet.Record = true
	var err error
	if p.fleet, err = fleet.Start(); err != nil {
		return nil, err
	}
	defer p.fleet.Stop()
	if p.moved, err = p.fleet.Agent.Move(); err != nil {
		return nil, err
	}
	defer p.stopAll()
	run := runs.Add(1)
	for n := range plan.Routers {
		files, err := prepareProcess(&one, &Arm{}, build, dir, n, plan.Seed, p.fleet.Agent.Addr(), p.fleet.Agent.List(), nil, run)
		if err != nil {
			return nil, err
		}
		r := &soakRouter{process: files}
		p.routers = append(p.routers, r)
		if err := p.launch(r, n, true); err != nil {
			return nil, err
		}
	}
	time.Sleep(soakSettle)
	for _, r := range p.routers {
		r.base = calmDescriptors(r.pid())
		r.current.BaseFDs = r.base
	}
	p.runFaults(ctx)
	p.awaitCalm()
	p.stopAll()
	return p.record, p.collect(dir)
}

// soakLimits reads the rules' figures from the settings.
func (e *Experiment) soakLimits() soakLimits {
	var platform struct {
		Classes []struct {
			Effect string
			Window time.Duration
		}
		Rules struct {
			ColdShare, FallMultiple           float64
			OverloadFor, RampTime, DrainGrace time.Duration
		}
	}
	_ = jsoniter.Unmarshal(e.Platform, &platform) // the routers refuse what can't be read
	l := soakLimits{DrainGrace: platform.Rules.DrainGrace, Window: platform.Rules.OverloadFor, Multiple: platform.Rules.FallMultiple,
		ColdShare: platform.Rules.ColdShare, Ramp: platform.Rules.RampTime, Cores: e.Fleet.Cores, MemoryMB: float64(e.Routers.MemoryMB)}
	for _, c := range platform.Classes {
		if c.Effect == "guarded" {
			l.KeyWindow = max(l.KeyWindow, c.Window)
		}
	}
	for _, c := range e.Classes {
		l.LongestDeadline = max(l.LongestDeadline, ms(c.WaitMS))
	}
	return l
}

// runFaults has the clients come, does the plan's steps, and waits until both have ended.
func (p *soakPlay) runFaults(ctx context.Context) {
	began := time.Now()
	ctx, stop := context.WithDeadline(ctx, began.Add(s(p.e.Soak.Seconds)))
	defer stop()
	quiet := make(chan struct{})
	var watcher, parts sync.WaitGroup
	watcher.Go(func() { p.record.watchLag(quiet) })
	classes := slices.Sorted(maps.Keys(p.e.Classes))
	clients := p.e.Soak.Clients * p.plan.Routers
	for n := range clients {
		c := &soakClient{play: p, number: n, classes: classes, rng: rand.New(rand.NewPCG(p.plan.Seed, 100+uint64(n)))}
		parts.Go(func() { c.run(ctx) })
	}
	if p.plan.Crowd {
		for n := range soakSockets * p.plan.Routers {
			c := &soakClient{play: p, rng: rand.New(rand.NewPCG(p.plan.Seed, 100_000+uint64(n)))}
			parts.Go(func() { c.idle(ctx) })
		}
	}
	busy := make([]sync.Mutex, len(p.fleet.Servers()))
	for _, step := range p.plan.Steps {
		parts.Go(func() {
			if sleep(ctx, time.Until(began.Add(ms(float64(step.AtMS))))) == nil {
				p.do(step, busy)
			}
		})
	}
	parts.Wait()
	close(quiet)
	watcher.Wait()
}

// pick is the router that the front sends the next connection to, and which of its lives that is; nil: none takes one.
func (p *soakPlay) pick(rng *rand.Rand) (*soakRouter, int) {
	first := rng.IntN(len(p.routers))
	for i := range p.routers {
		r := p.routers[(first+i)%len(p.routers)]
		r.mu.Lock()
		up, life := r.up && (r.until.IsZero() || time.Now().Before(r.until)), r.life
		r.mu.Unlock()
		if up {
			return r, life
		}
	}
	return nil, 0
}

func (p *soakPlay) connection() int { return int(p.connections.Add(1)) }

// launch starts a router's next process; where it is to be waited for, until it serves.
func (p *soakPlay) launch(r *soakRouter, n int, wait bool) error {
	life, l := p.record.life(n)
	done := make(chan struct{})
	ready, err := r.launch()
	if err != nil {
		return err
	}
	ended := r.ended
	go func() {
		err := <-ended
		p.record.change(func() {
			l.Ended = time.Now()
			if err != nil {
				l.Err = err.Error()
			}
		})
		close(done)
	}()
	r.mu.Lock()
	r.life, r.current, r.done, r.until, r.up = life, l, done, time.Time{}, false
	r.mu.Unlock()
	if !wait {
		return nil
	}
	select {
	case <-ready:
	case <-done:
		return fmt.Errorf("router %d did not start: %s", n, l.Err)
	case <-time.After(startFor):
		return fmt.Errorf("router %d does not serve", n)
	}
	if err := greet(r.addr); err != nil {
		return fmt.Errorf("router %d: %w", n, err)
	}
	p.record.change(func() { l.Ready, l.BaseFDs = time.Now(), r.base })
	r.mu.Lock()
	r.up = true
	r.mu.Unlock()
	return nil
}

// do carries out one step.
func (p *soakPlay) do(step SoakStep, busy []sync.Mutex) {
	span := ms(float64(step.ForMS))
	switch step.Do {
	case soakRestart, soakReload, soakAbort:
		r := p.routers[step.Router]
		r.turn.Lock()
		defer r.turn.Unlock()
		p.signal(r, step)
		if step.Do != soakReload {
			p.restart(r, step, span)
		}
		return
	case soakMute:
		p.silence(span, p.fleet.Agent.Mute)
		return
	case soakAway:
		p.silence(span, p.fleet.Agent.Away)
		return
	}
	server := p.fleet.Servers()[step.Server]
	switch step.Do {
	case soakHang:
		server.Hang(span)
	case soakReset:
		server.ResetConnections()
	case soakIdle:
		server.CloseIdle()
	case soakLate:
		server.DelayWelcome(span/2, span)
	case soakDrain:
		if busy[step.Server].TryLock() {
			p.drain(server, span)
			busy[step.Server].Unlock()
		}
	}
}

func (p *soakPlay) silence(span time.Duration, hold func(time.Duration)) {
	from := time.Now()
	hold(span)
	p.record.change(func() { p.record.Agent = append(p.record.Agent, soakSpan{from, from.Add(span)}) })
}

// drain has a replica drain, end, and come back cold.
func (p *soakPlay) drain(server *emulator.Server, span time.Duration) {
	if server.IsPrimary() {
		return
	}
	from := time.Now()
	server.Drain()
	time.Sleep(p.record.Limits.DrainGrace + span)
	to := time.Now()
	server.Kill()
	time.Sleep(200 * time.Millisecond)
	if err := server.Restart(); err != nil {
		return // its port was taken: it stays away
	}
	p.record.change(func() {
		p.record.Drained = append(p.record.Drained, soakDrained{server.Name, soakSpan{from, to}})
		p.record.Cold = append(p.record.Cold, soakCold{server.Name, server.StartedAt()})
	})
}

// signal sends a step's signals.
func (p *soakPlay) signal(r *soakRouter, step SoakStep) {
	began := time.Now()
	good, err := os.ReadFile(r.config)
	if err != nil {
		return
	}
	defer func() { _ = os.WriteFile(r.config, good, 0o644) }()
	broken := false
	for _, sig := range step.Signals {
		time.Sleep(time.Until(began.Add(ms(float64(sig.AfterMS)))))
		r.mu.Lock()
		l, done, cmd := r.current, r.done, r.cmd
		r.mu.Unlock()
		select {
		case <-done:
			return
		default:
		}
		if !sig.Term {
			_ = os.WriteFile(r.config, p.configAs(good, sig.File), 0o644)
			broken = broken || sig.File == soakBroken
			p.record.change(func() { p.record.Reloads = append(p.record.Reloads, time.Now()) })
			_ = cmd.Process.Signal(syscall.SIGHUP)
			continue
		}
		now := time.Now()
		p.record.change(func() {
			if l.Term.IsZero() {
				l.Term = now
				_, l.MaxMemoryMB = memory(cmd.Process.Pid)
			}
		})
		r.mu.Lock()
		if r.until.IsZero() {
			r.until = now.Add(acceptsFor/2 + time.Duration(step.AtMS%200)*time.Millisecond)
		}
		r.mu.Unlock()
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	if broken {
		time.Sleep(soakHalfLife) // the process reads it when it comes to it
	}
}

// configAs is a router's configuration file in one of its states.
func (p *soakPlay) configAs(good []byte, file SoakFile) []byte {
	switch file {
	case soakBroken:
		return good[:len(good)/2]
	case soakMoved:
		var all map[string]jsoniter.RawMessage
		if jsoniter.Unmarshal(good, &all) == nil {
			all["discovery"] = jsoniter.RawMessage(`"` + p.moved + `"`)
			if moved, err := jsoniter.Marshal(all); err == nil {
				return moved
			}
		}
	}
	return good
}

// restart waits for the end of a router that was told to, and starts the next process.
func (p *soakPlay) restart(r *soakRouter, step SoakStep, span time.Duration) {
	p.awaitEnd(r)
	if step.Do == soakRestart {
		time.Sleep(span)
		_ = p.launch(r, step.Router, true) // one that is not ready is in the record
		return
	}
	if p.launch(r, step.Router, false) != nil {
		return
	}
	time.Sleep(span)
	now := time.Now()
	p.record.change(func() { r.current.Term, r.current.Early = now, true })
	_ = r.cmd.Process.Signal(syscall.SIGTERM)
	p.awaitEnd(r)
	_ = p.launch(r, step.Router, true)
}

// awaitEnd waits for a process that was told to end, and kills it at the earliest that the pages allow.
func (p *soakPlay) awaitEnd(r *soakRouter) {
	limit := max(p.record.Limits.LongestDeadline, leastDeadline) + killAfter
	timer := time.NewTimer(time.Until(r.current.Term.Add(limit)))
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
		if !p.endsLate(r) {
			p.record.change(func() { r.current.Killed = true })
			r.kill()
			<-r.done
		}
	}
	r.mu.Lock()
	r.up = false
	r.mu.Unlock()
}

// endsLate waits for a process for as long as this program itself was held up since SIGTERM, as on a machine with more to do than it can:
// the process was no better off. It says whether the process has ended by then.
func (p *soakPlay) endsLate(r *soakRouter) bool {
	var lag time.Duration
	p.record.change(func() { lag = p.record.lag(r.current.Term, time.Now()) })
	select {
	case <-r.done:
		return true
	case <-time.After(lag):
		return false
	}
}

// awaitCalm waits until nobody holds more descriptors than before the clients came, up to a wide limit, and notes what is held.
func (p *soakPlay) awaitCalm() {
	limit := time.Now().Add(soakCalm)
	for _, r := range p.routers {
		select {
		case <-r.done:
			continue
		default:
		}
		held := calmDescriptors(r.pid())
		for held > r.base+transientConns && time.Now().Before(limit) {
			time.Sleep(100 * time.Millisecond)
			held = calmDescriptors(r.pid())
		}
		p.record.change(func() {
			r.current.CalmFDs = held
			_, r.current.MaxMemoryMB = memory(r.pid())
		})
	}
}

// calmDescriptors is the least of several counts: a probe may be under way in any of them.
func calmDescriptors(pid int) int {
	const counts, apart = 5, 20 * time.Millisecond
	least := 0
	for i := range counts {
		list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if n := len(list); err == nil && (i == 0 || n < least) {
			least = n
		}
		time.Sleep(apart)
	}
	return least
}

// stopAll ends the routers, all at once.
func (p *soakPlay) stopAll() {
	var all sync.WaitGroup
	for _, r := range p.routers {
		all.Go(func() {
			select {
			case <-r.done:
				return
			default:
			}
			p.record.change(func() {
				if r.current.Term.IsZero() {
					r.current.Term = time.Now()
				}
			})
			_ = r.cmd.Process.Signal(syscall.SIGTERM)
			p.awaitEnd(r)
		})
	}
	all.Wait()
}

var readLine = regexp.MustCompile(`msg=request id=(\S+) .* end=(\S+) `)

// collect adds what the data servers and the routers' logs say.
func (p *soakPlay) collect(dir string) error {
	r := p.record
	r.Attempts, r.Ran, r.ServerAudit, r.Read = p.fleet.Attempts(), p.fleet.Ran(), p.fleet.Audit(), map[string]string{}
	for n := range p.routers {
		file, err := os.Open(filepath.Join(dir, routerName(n)+".log"))
		if err != nil {
			return err
		}
		for lines := bufio.NewScanner(file); lines.Scan(); {
			if m := readLine.FindStringSubmatch(lines.Text()); m != nil {
				r.Read[m[1]] = m[2]
			}
		}
		file.Close()
	}
	return nil
}
