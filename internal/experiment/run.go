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

// Options are how an experiment is run.
type Options struct {
	Seed  uint64
	Dir   string // where results go
	Build string // the router's program
	Tell  func(arm string, done, whole time.Duration)
}

// Run plays the arms one after the other. What is wrong with a router is in the
// result; an error says that it could not be played.
func Run(ctx context.Context, e *Experiment, o Options) (*Result, error) {
	res := &Result{Experiment: e.Name, About: e.About, Seed: o.Seed, Arms: map[string]map[string]map[string]float64{}}
	for i := range e.Arms {
		arm := &e.Arms[i]
		dir := filepath.Join(o.Dir, arm.Name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, err
		}
		slog.Info("arm", "name", arm.Name)
		p := &play{e: e, arm: arm, o: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), parts: map[string]*part{}, readers: map[string]*followed{}}
		if err := p.run(ctx, dir); err != nil {
			return nil, fmt.Errorf("arm %s: %w", arm.Name, err)
		}
		res.add(arm.Name, p)
	}
	res.judge(e.Checks)
	return res, nil
}

// play is one arm while it runs.
type play struct {
	e               *Experiment
	arm             *Arm
	o               Options
	rng             *rand.Rand
	fleet           *emulator.Running
	front           *emulator.Front
	routers         []*process
	from            time.Time
	back, firstBack time.Time // the last and the first start of a router again; a server's burden counts for the last
	parts           map[string]*part
	cpu             time.Duration
	readers         map[string]*followed
	fellows         *memberCluster // of routers that know each other; nil: they don't
	mu              sync.Mutex
	asked           []sheddingRequest // of loads in lanes
}

//nolint:funlen // to be split (docs/ROADMAP.md, readable code)
func (p *play) run(ctx context.Context, dir string) error {
	var err error
	run := runs.Add(1)
	if p.fellows, err = newMemberCluster(p.e, p.arm, dir, p.o.Seed, run); err != nil {
		return err
	}
	if p.fellows != nil {
		defer p.fellows.net.Close()
	}
	fleet := p.e.fleet(p.o.Seed)
	fleet.Record = p.fellows.records()
	if p.fleet, err = fleet.Start(); err != nil {
		return err
	}
	defer p.fleet.Stop()
	p.front = emulator.NewFront(ms(p.e.Routers.NoticeMS))
	build := p.o.Build
	if p.arm.Build != "" {
		build = p.arm.Build
	}
	for n := range p.e.Routers.Count {
		p.fellows.note(n, up)
		r, err := newProcess(p.e, p.arm, build, dir, n, p.o.Seed, p.fleet.Agent.Addr(), p.fleet.Agent.List(), p.fellows, run)
		if r != nil {
			p.routers = append(p.routers, r)
		}
		if err != nil {
			p.end()
			return err
		}
		p.front.Up(r.addr)
	}
	settle, span := s(p.e.Settle), s(p.e.Seconds)
	p.from = time.Now().Add(settle)
	ctx, stop := context.WithDeadline(ctx, p.from.Add(span))
	defer stop()
	var parts sync.WaitGroup
	for _, l := range p.e.Loads {
		if len(p.arm.Loads) == 0 || slices.Contains(p.arm.Loads, l.Name) {
			part := newPart(p.from, span)
			p.parts[l.Name] = part
			parts.Go(func() { p.load(ctx, l, part) })
		}
	}
	for _, f := range p.e.Floods {
		if slices.Contains(p.arm.Floods, f.Name) {
			part := newPart(p.from, span)
			p.parts[f.Name] = part
			parts.Go(func() { p.flood(ctx, f, part) })
		}
	}
	for _, r := range p.e.Readers {
		if len(p.arm.Loads) == 0 || slices.Contains(p.arm.Loads, r.Name) {
			part, f := newPart(p.from, span), &followed{}
			p.parts[r.Name], p.readers[r.Name] = part, f
			parts.Go(func() { p.follow(ctx, r, part, f) })
		}
	}
	parts.Go(func() { p.events(ctx) })
	parts.Go(func() { p.watch(ctx) })
	parts.Wait()
	for _, f := range p.readers {
		f.keep(p.fleet)
	}
	p.fellows.requestViews(p.routers)
	p.end()
	if err := context.Cause(ctx); errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// watch notes CPU time and memory over the measured time, and tells how far it is.
func (p *play) watch(ctx context.Context) {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	used := func() (sum time.Duration) {
		for _, r := range p.routers {
			sum += r.used()
		}
		return sum
	}
	if sleep(ctx, time.Until(p.from)) != nil {
		return
	}
	before := used()
	for {
		p.cpu = used() - before
		for _, r := range p.routers {
			r.sample()
		}
		if p.o.Tell != nil {
			p.o.Tell(p.arm.Name, min(time.Since(p.from), s(p.e.Seconds)), s(p.e.Seconds))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// end stops the routers all at once.
func (p *play) end() {
	var all sync.WaitGroup
	for _, r := range p.routers {
		all.Go(func() {
			r.end()
			r.log.Close()
		})
	}
	all.Wait()
}

// sleep waits unless the context ends.
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
