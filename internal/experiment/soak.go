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
	soakSettle           = 500 * time.Millisecond // before the clients start
	soakIdleTimeout      = 8 * time.Second        // maximum wait until unused connections have been closed
	soakSockets          = 160                    // descriptors of a router; idle clients can occupy all of them
	soakBrokenConfigTime = 200 * time.Millisecond // how long a broken configuration file stays in place
)

// soakOwn enables the access log, from which the audit learns which requests the routers have read.
const soakRouterSettings = `{"log":{"totals_ms":1000,"trace":"all","trace_per_s":1000000}}`

// soakRun is one run of a plan.
type soakRun struct {
	experiment   *Experiment
	plan         *SoakPlan
	record       *soakRecord
	fleet        *emulator.Running
	routers      []*soakRouter
	connections  atomic.Int64
	movedAddress string // the second address of the discovery agent
}

// soakRouter is one router over its successive processes.
type soakRouter struct {
	*process
	stepMu          sync.Mutex // held by the step that is restarting or reloading it
	mu              sync.Mutex // guards the fields below
	processIndex    int
	current         *soakProcess
	done            chan struct{} // closed when the current process has ended
	acceptsUntil    time.Time     // new connections are made to it until then; zero: no limit
	up              bool
	baseDescriptors int // descriptors in use before the first clients connected
}

// executeSoak runs a plan and returns the record.
func executeSoak(ctx context.Context, experiment *Experiment, plan *SoakPlan, build, dir string) (*soakRecord, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	for number := range plan.Routers { // remove logs of an earlier run, or the audit would read them
		_ = os.Remove(filepath.Join(dir, routerName(number)+".log"))
	}
	profile := &experiment.Soak.Profiles[plan.Profile]
	profiled := *experiment
	profiled.Platform, profiled.Classes = profile.Platform, profile.Classes
	profiled.Routers.RouterSettings, profiled.Routers.Sockets = jsoniter.RawMessage(soakRouterSettings), soakSockets
	run := &soakRun{experiment: &profiled, plan: plan, record: &soakRecord{Plan: plan, Profile: profile, Limits: profiled.soakLimits()}}
	fleet := profiled.fleet(plan.Seed)
	fleet.Record = true
	var err error
	if run.fleet, err = fleet.Start(); err != nil {
		return nil, err
	}
	defer run.fleet.Stop()
	if run.movedAddress, err = run.fleet.Agent.AddAddress(); err != nil {
		return nil, err
	}
	defer run.stopAll()
	runNumber := runNumbers.Add(1)
	for number := range plan.Routers {
		process, err := prepareProcess(&profiled, &Arm{}, build, dir, number, plan.Seed, run.fleet.Agent.Addr(), run.fleet.Agent.List(), nil, runNumber)
		if err != nil {
			return nil, err
		}
		router := &soakRouter{process: process}
		run.routers = append(run.routers, router)
		if err := run.launch(router, number, true); err != nil {
			return nil, err
		}
	}
	time.Sleep(soakSettle)
	for _, router := range run.routers {
		router.baseDescriptors = minDescriptors(router.pid())
		router.current.BaseFDs = router.baseDescriptors
	}
	run.runFaults(ctx)
	run.awaitIdle()
	run.stopAll()
	return run.record, run.collect(dir)
}

// soakLimits reads the limits that the audit needs from the settings.
func (experiment *Experiment) soakLimits() soakLimits {
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
	_ = jsoniter.Unmarshal(experiment.Platform, &platform) // the routers reject settings that can't be decoded
	limits := soakLimits{DrainGrace: platform.Rules.DrainGrace, Window: platform.Rules.OverloadFor, Multiple: platform.Rules.FallMultiple,
		ColdShare: platform.Rules.ColdShare, Ramp: platform.Rules.RampTime, Cores: experiment.Fleet.Cores, MemoryMB: float64(experiment.Routers.MemoryMB)}
	for _, class := range platform.Classes {
		if class.Effect == "guarded" {
			limits.KeyWindow = max(limits.KeyWindow, class.Window)
		}
	}
	for _, class := range experiment.Classes {
		limits.LongestDeadline = max(limits.LongestDeadline, milliseconds(class.TimeoutMS))
	}
	return limits
}

// runFaults runs the clients and the steps of the plan, and waits until both have ended.
func (run *soakRun) runFaults(ctx context.Context) {
	startedAt := time.Now()
	ctx, stop := context.WithDeadline(ctx, startedAt.Add(seconds(run.experiment.Soak.Seconds)))
	defer stop()
	done := make(chan struct{})
	var watcher, group sync.WaitGroup
	watcher.Go(func() { run.record.watchLag(done) })
	classes := slices.Sorted(maps.Keys(run.experiment.Classes))
	clients := run.experiment.Soak.Clients * run.plan.Routers
	for number := range clients {
		client := &soakClient{soak: run, number: number, classes: classes, rng: rand.New(rand.NewPCG(run.plan.Seed, 100+uint64(number)))}
		group.Go(func() { client.run(ctx) })
	}
	if run.plan.IdleCrowd {
		for number := range soakSockets * run.plan.Routers {
			client := &soakClient{soak: run, rng: rand.New(rand.NewPCG(run.plan.Seed, 100_000+uint64(number)))}
			group.Go(func() { client.idle(ctx) })
		}
	}
	draining := make([]sync.Mutex, len(run.fleet.Servers()))
	for _, step := range run.plan.Steps {
		group.Go(func() {
			if sleep(ctx, time.Until(startedAt.Add(milliseconds(float64(step.AtMS))))) == nil {
				run.do(step, draining)
			}
		})
	}
	group.Wait()
	close(done)
	watcher.Wait()
}

// pick returns the router for the next connection and the index of its current process, or nil if no router accepts
// connections.
func (run *soakRun) pick(rng *rand.Rand) (*soakRouter, int) {
	first := rng.IntN(len(run.routers))
	for offset := range run.routers {
		router := run.routers[(first+offset)%len(run.routers)]
		router.mu.Lock()
		up, process := router.up && (router.acceptsUntil.IsZero() || time.Now().Before(router.acceptsUntil)), router.processIndex
		router.mu.Unlock()
		if up {
			return router, process
		}
	}
	return nil, 0
}

// connection returns the number of a new connection.
func (run *soakRun) connection() int { return int(run.connections.Add(1)) }

// launch starts the next process of a router. With wait, it returns once the process serves.
func (run *soakRun) launch(router *soakRouter, number int, wait bool) error {
	index, record := run.record.addProcess(number)
	done := make(chan struct{})
	ready, err := router.launch()
	if err != nil {
		return err
	}
	ended := router.ended
	go func() {
		err := <-ended
		run.record.change(func() {
			record.Ended = time.Now()
			if err != nil {
				record.Err = err.Error()
			}
		})
		close(done)
	}()
	router.mu.Lock()
	router.processIndex, router.current, router.done, router.acceptsUntil, router.up = index, record, done, time.Time{}, false
	router.mu.Unlock()
	if !wait {
		return nil
	}
	select {
	case <-ready:
	case <-done:
		return fmt.Errorf("router %d did not start: %s", number, record.Err)
	case <-time.After(startTimeout):
		return fmt.Errorf("router %d: timed out waiting until it serves", number)
	}
	if err := sendEmptyQuery(router.addr); err != nil {
		return fmt.Errorf("router %d: %w", number, err)
	}
	run.record.change(func() { record.Ready, record.BaseFDs = time.Now(), router.baseDescriptors })
	router.mu.Lock()
	router.up = true
	router.mu.Unlock()
	return nil
}

// do runs one step.
func (run *soakRun) do(step SoakStep, draining []sync.Mutex) {
	duration := milliseconds(float64(step.ForMS))
	switch step.Do {
	case soakRestart, soakReload, soakAbort:
		router := run.routers[step.Router]
		router.stepMu.Lock()
		defer router.stepMu.Unlock()
		run.signal(router, step)
		if step.Do != soakReload {
			run.restart(router, step, duration)
		}
		return
	case soakMuteWatches:
		run.silenceDiscovery(duration, run.fleet.Agent.HangWatches)
		return
	case soakDiscoveryAway:
		run.silenceDiscovery(duration, run.fleet.Agent.HangRequests)
		return
	}
	server := run.fleet.Servers()[step.Server]
	switch step.Do {
	case soakHang:
		server.Hang(duration)
	case soakReset:
		server.ResetConnections()
	case soakCloseIdle:
		server.CloseIdle()
	case soakDelayConnections:
		server.DelayStartup(duration/2, duration)
	case soakDrain:
		if draining[step.Server].TryLock() {
			run.drain(server, duration)
			draining[step.Server].Unlock()
		}
	}
}

// silenceDiscovery makes the discovery agent silent for a time span and records the span.
func (run *soakRun) silenceDiscovery(duration time.Duration, silence func(time.Duration)) {
	from := time.Now()
	silence(duration)
	run.record.change(func() { run.record.Agent = append(run.record.Agent, soakSpan{from, from.Add(duration)}) })
}

// drain drains a replica, kills it and restarts it cold.
func (run *soakRun) drain(server *emulator.Server, duration time.Duration) {
	if server.IsPrimary() {
		return
	}
	from := time.Now()
	server.Drain()
	time.Sleep(run.record.Limits.DrainGrace + duration)
	to := time.Now()
	server.Kill()
	time.Sleep(200 * time.Millisecond)
	if err := server.Restart(); err != nil {
		return // its port is in use by now: the server stays stopped
	}
	run.record.change(func() {
		run.record.Drained = append(run.record.Drained, soakDrained{server.Name, soakSpan{from, to}})
		run.record.Cold = append(run.record.Cold, soakCold{server.Name, server.StartedAt()})
	})
}

// signal sends the signals of a step to a router.
func (run *soakRun) signal(router *soakRouter, step SoakStep) {
	startedAt := time.Now()
	config, err := os.ReadFile(router.config)
	if err != nil {
		return
	}
	defer func() { _ = os.WriteFile(router.config, config, 0o644) }()
	broken := false
	for _, signal := range step.Signals {
		time.Sleep(time.Until(startedAt.Add(milliseconds(float64(signal.AfterMS)))))
		router.mu.Lock()
		process, done, cmd := router.current, router.done, router.cmd
		router.mu.Unlock()
		select {
		case <-done:
			return
		default:
		}
		if !signal.Term {
			_ = os.WriteFile(router.config, run.configAs(config, signal.File), 0o644)
			broken = broken || signal.File == soakBroken
			run.record.change(func() { run.record.Reloads = append(run.record.Reloads, time.Now()) })
			_ = cmd.Process.Signal(syscall.SIGHUP)
			continue
		}
		now := time.Now()
		run.record.change(func() {
			if process.Term.IsZero() {
				process.Term = now
				_, process.MaxMemoryMB = memory(cmd.Process.Pid)
			}
		})
		router.mu.Lock()
		if router.acceptsUntil.IsZero() {
			router.acceptsUntil = now.Add(acceptsFor/2 + time.Duration(step.AtMS%200)*time.Millisecond)
		}
		router.mu.Unlock()
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	if broken {
		time.Sleep(soakBrokenConfigTime) // gives the process time to read the broken file
	}
}

// configAs returns the content of a router's configuration file in one of its states.
func (run *soakRun) configAs(config []byte, file SoakFile) []byte {
	switch file {
	case soakBroken:
		return config[:len(config)/2]
	case soakMoved:
		var fields map[string]jsoniter.RawMessage
		if jsoniter.Unmarshal(config, &fields) == nil {
			fields["discovery"] = jsoniter.RawMessage(`"` + run.movedAddress + `"`)
			if moved, err := jsoniter.Marshal(fields); err == nil {
				return moved
			}
		}
	}
	return config
}

// restart waits until a router that got SIGTERM has ended, and starts its next process.
func (run *soakRun) restart(router *soakRouter, step SoakStep, duration time.Duration) {
	run.awaitEnd(router)
	if step.Do == soakRestart {
		time.Sleep(duration)
		_ = run.launch(router, step.Router, true) // a failed start shows in the record
		return
	}
	if run.launch(router, step.Router, false) != nil {
		return
	}
	time.Sleep(duration)
	now := time.Now()
	run.record.change(func() { router.current.Term, router.current.TermWhileStarting = now, true })
	_ = router.cmd.Process.Signal(syscall.SIGTERM)
	run.awaitEnd(router)
	_ = run.launch(router, step.Router, true)
}

// awaitEnd waits until a process that got SIGTERM has ended. It sends SIGKILL at the earliest time that the
// documentation allows.
func (run *soakRun) awaitEnd(router *soakRouter) {
	limit := max(run.record.Limits.LongestDeadline, minDeadline) + killAfter
	timer := time.NewTimer(time.Until(router.current.Term.Add(limit)))
	defer timer.Stop()
	select {
	case <-router.done:
	case <-timer.C:
		if !run.endsLate(router) {
			run.record.change(func() { router.current.Killed = true })
			router.kill()
			<-router.done
		}
	}
	router.mu.Lock()
	router.up = false
	router.mu.Unlock()
}

// endsLate waits as much longer for the end of a process as this program was itself delayed since SIGTERM: on an
// overloaded machine the process was delayed too. It reports whether the process has ended by then.
func (run *soakRun) endsLate(router *soakRouter) bool {
	var lag time.Duration
	run.record.change(func() { lag = run.record.lag(router.current.Term, time.Now()) })
	select {
	case <-router.done:
		return true
	case <-time.After(lag):
		return false
	}
}

// awaitIdle waits, for a limited time, until no router has more descriptors in use than before the clients connected.
// It records the number in use.
func (run *soakRun) awaitIdle() {
	deadline := time.Now().Add(soakIdleTimeout)
	for _, router := range run.routers {
		select {
		case <-router.done:
			continue
		default:
		}
		descriptors := minDescriptors(router.pid())
		for descriptors > router.baseDescriptors+transientConns && time.Now().Before(deadline) {
			time.Sleep(100 * time.Millisecond)
			descriptors = minDescriptors(router.pid())
		}
		run.record.change(func() {
			router.current.IdleFDs = descriptors
			_, router.current.MaxMemoryMB = memory(router.pid())
		})
	}
}

// minDescriptors returns the minimum of several counts of open descriptors, as a probe may be in flight during any of
// them.
func minDescriptors(pid int) int {
	const counts, interval = 5, 20 * time.Millisecond
	fewest := 0
	for attempt := range counts {
		descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if count := len(descriptors); err == nil && (attempt == 0 || count < fewest) {
			fewest = count
		}
		time.Sleep(interval)
	}
	return fewest
}

// stopAll stops all routers in parallel.
func (run *soakRun) stopAll() {
	var group sync.WaitGroup
	for _, router := range run.routers {
		group.Go(func() {
			select {
			case <-router.done:
				return
			default:
			}
			run.record.change(func() {
				if router.current.Term.IsZero() {
					router.current.Term = time.Now()
				}
			})
			_ = router.cmd.Process.Signal(syscall.SIGTERM)
			run.awaitEnd(router)
		})
	}
	group.Wait()
}

var readLine = regexp.MustCompile(`msg=request id=(\S+) .* end=(\S+) `)

// collect adds the records of the data servers and of the routers' logs.
func (run *soakRun) collect(dir string) error {
	record := run.record
	record.Attempts, record.Runs, record.ServerAudit, record.Read = run.fleet.Attempts(), run.fleet.Runs(), run.fleet.Audit(), map[string]string{}
	for number := range run.routers {
		file, err := os.Open(filepath.Join(dir, routerName(number)+".log"))
		if err != nil {
			return err
		}
		for lines := bufio.NewScanner(file); lines.Scan(); {
			if match := readLine.FindStringSubmatch(lines.Text()); match != nil {
				record.Read[match[1]] = match[2]
			}
		}
		file.Close()
	}
	return nil
}
