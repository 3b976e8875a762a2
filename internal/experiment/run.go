package experiment

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"lotushook/internal/emulator"
)

// Options says how to run an experiment.
type Options struct {
	Seed     uint64
	Dir      string                                      // directory of the results
	Build    string                                      // path of the router program
	Progress func(arm string, done, total time.Duration) // reports progress; may be nil
}

// Run runs the arms one after the other. Failures of routers are in the result; an error means that the experiment
// itself could not be run.
func Run(ctx context.Context, experiment *Experiment, options Options) (*Result, error) {
	result := &Result{Experiment: experiment.Name, About: experiment.About, Seed: options.Seed, Arms: map[string]map[string]map[string]float64{}}
	for i := range experiment.Arms {
		arm := &experiment.Arms[i]
		dir := filepath.Join(options.Dir, arm.Name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, err
		}
		slog.Info("arm", "name", arm.Name)
		run := &armRun{experiment: experiment, arm: arm, options: options, rng: rand.New(rand.NewPCG(options.Seed, 1)), parts: map[string]*partStats{}, readers: map[string]*feedRecord{}}
		if err := run.execute(ctx, dir); err != nil {
			return nil, fmt.Errorf("arm %s: %w", arm.Name, err)
		}
		result.addArm(arm.Name, run)
	}
	result.evaluate(experiment.Checks)
	return result, nil
}

// armRun is one run of an arm.
type armRun struct {
	experiment               *Experiment
	arm                      *Arm
	options                  Options
	rng                      *rand.Rand
	fleet                    *emulator.Running
	loadBalancer             *emulator.LoadBalancer
	routers                  []*process
	from                     time.Time
	faultsOver, firstRestart time.Time // the last restart of a router or last change of a burden, and the first restart; zero: none
	parts                    map[string]*partStats
	cpu                      time.Duration
	readers                  map[string]*feedRecord
	cluster                  *memberCluster // nil: the routers form no cluster
	mu                       sync.Mutex
	sheddingRequests         []sheddingRequest // of loads that belong to a priority class
}

// execute starts the data servers and routers, runs the loads, floods, subscribers and events, and stops everything.
//
//nolint:funlen // to be split (docs/ROADMAP.md, readable code)
func (run *armRun) execute(ctx context.Context, dir string) error {
	var err error
	runNumber := runNumbers.Add(1)
	if run.cluster, err = newMemberCluster(run.experiment, run.arm, dir, run.options.Seed, runNumber); err != nil {
		return err
	}
	if run.cluster != nil {
		defer run.cluster.net.Close()
	}
	fleet := run.experiment.fleet(run.options.Seed)
	fleet.Record = run.cluster.records()
	if run.fleet, err = fleet.Start(); err != nil {
		return err
	}
	defer run.fleet.Stop()
	run.loadBalancer = emulator.NewLoadBalancer(milliseconds(run.experiment.Routers.DetectionMS))
	build := run.options.Build
	if run.arm.Build != "" {
		build = run.arm.Build
	}
	for number := range run.experiment.Routers.Count {
		run.cluster.recordCondition(number, up)
		router, err := newProcess(run.experiment, run.arm, build, dir, number, run.options.Seed, run.fleet.Agent.Addr(), run.fleet.Agent.List(), run.cluster, runNumber)
		if router != nil {
			run.routers = append(run.routers, router)
		}
		if err != nil {
			run.stopRouters()
			return err
		}
		run.loadBalancer.Add(router.addr)
	}
	settle, span := seconds(run.experiment.Settle), seconds(run.experiment.Seconds)
	run.from = time.Now().Add(settle)
	ctx, stop := context.WithDeadline(ctx, run.from.Add(span))
	defer stop()
	var clients sync.WaitGroup
	for _, load := range run.experiment.Loads {
		if len(run.arm.Loads) == 0 || slices.Contains(run.arm.Loads, load.Name) {
			stats := newPartStats(run.from, span)
			run.parts[load.Name] = stats
			clients.Go(func() { run.load(ctx, load, stats) })
		}
	}
	for _, flood := range run.experiment.Floods {
		if slices.Contains(run.arm.Floods, flood.Name) {
			stats := newPartStats(run.from, span)
			run.parts[flood.Name] = stats
			clients.Go(func() { run.flood(ctx, flood, stats) })
		}
	}
	for _, readers := range run.experiment.Readers {
		if len(run.arm.Loads) == 0 || slices.Contains(run.arm.Loads, readers.Name) {
			stats, feed := newPartStats(run.from, span), &feedRecord{}
			run.parts[readers.Name], run.readers[readers.Name] = stats, feed
			clients.Go(func() { run.follow(ctx, readers, stats, feed) })
		}
	}
	clients.Go(func() { run.triggerEvents(ctx) })
	clients.Go(func() { run.watch(ctx) })
	clients.Wait()
	for _, feed := range run.readers {
		feed.saveLogs(run.fleet)
	}
	run.cluster.queryReports(run.routers)
	run.stopRouters()
	if err := context.Cause(ctx); errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// watch measures CPU time and memory during the measured time, and reports progress.
func (run *armRun) watch(ctx context.Context) {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	cpuTime := func() (total time.Duration) {
		for _, router := range run.routers {
			total += router.cpuTime()
		}
		return total
	}
	if sleep(ctx, time.Until(run.from)) != nil {
		return
	}
	before := cpuTime()
	for {
		run.cpu = cpuTime() - before
		for _, router := range run.routers {
			router.sampleMemory()
		}
		if run.options.Progress != nil {
			run.options.Progress(run.arm.Name, min(time.Since(run.from), seconds(run.experiment.Seconds)), seconds(run.experiment.Seconds))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// stopRouters stops all routers in parallel.
func (run *armRun) stopRouters() {
	var group sync.WaitGroup
	for _, router := range run.routers {
		group.Go(func() {
			router.terminate()
			router.log.Close()
		})
	}
	group.Wait()
}

// sleep waits for a duration, or until the context ends, whose error it then returns.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
