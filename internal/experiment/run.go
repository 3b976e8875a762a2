package experiment

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"lotushook/internal/emulator"
	"lotushook/internal/faultinject"
	"lotushook/internal/pgwire"
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
	fellows         *fellows // of routers that know each other; nil: they don't
	mu              sync.Mutex
	asked           []asked // of loads in lanes
}

func (p *play) run(ctx context.Context, dir string) error {
	var err error
	run := runs.Add(1)
	if p.fellows, err = newFellows(p.e, p.arm, dir, p.o.Seed, run); err != nil {
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
	p.fellows.ask(p.routers)
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

// events does what goes wrong, in order of time.
func (p *play) events(ctx context.Context) {
	list := slices.Clone(p.arm.Events)
	slices.SortStableFunc(list, func(a, b Event) int { return int(1e3 * (a.AtS - b.AtS)) })
	for _, v := range list {
		if sleep(ctx, time.Until(p.from.Add(s(v.AtS)))) != nil {
			return
		}
		if err := p.do(v); err != nil {
			slog.Error("event", "do", v.Do, "err", err)
		}
	}
}

func (p *play) do(v Event) error {
	slog.Info("event", "at_s", v.AtS, "do", v.Do, "router", v.Router, "server", v.Server)
	if v.Do == "link" {
		if p.fellows == nil {
			return errors.New("the routers have no links: they don't know each other")
		}
		p.fellows.net.Set(v.From, v.To, v.Link)
		return nil
	}
	if v.Server != "" {
		found := false
		for _, srv := range p.fleet.Servers() {
			if srv.Name != v.Server && v.Server != "*" {
				continue
			}
			found = true
			switch v.Do {
			case "kill":
				srv.Group().Lose(v.Lose)
				srv.Kill()
			case "clock":
				srv.Group().SetBack(s(v.BackS))
			case "restart":
				if err := srv.Restart(); err != nil {
					return err
				}
			case "burden":
				srv.Burden(v.Times)
				p.back = time.Now() // time to full service counts from the end of what went wrong
			case "drain":
				srv.Drain()
			case "promote":
				srv.Promote()
			case "slow":
				srv.Slow(v.Times)
			}
		}
		if found {
			return nil
		}
		return fmt.Errorf("no server %q", v.Server)
	}
	r := p.routers[v.Router]
	switch v.Do {
	case "kill":
		p.front.Died(r.addr, time.Now())
		p.fellows.note(v.Router, killed)
		r.kill()
	case "stop":
		p.front.Died(r.addr, time.Now())
		p.fellows.note(v.Router, stopped)
		r.end()
	case "pause":
		p.fellows.note(v.Router, paused)
		r.fault(faultinject.Pause(r.pid()))
	case "throttle":
		r.fault(faultinject.Throttle(r.pid(), v.Times))
	case "resume", "free":
		r.fault(nil)
		p.fellows.note(v.Router, up)
	case "start":
		p.fellows.note(v.Router, up)
		if p.back = time.Now(); p.firstBack.IsZero() {
			p.firstBack = p.back
		}
		if err := r.start(); err != nil {
			return err
		}
		p.front.Up(r.addr)
	case "reload":
		return r.reload(v.Own)
	}
	return nil
}

// load plays clients that behave.
func (p *play) load(ctx context.Context, l Load, part *part) {
	h := fnv.New64a()
	h.Write([]byte(l.Name))
	names := make([]string, 0, len(l.Mix))
	for c := range l.Mix {
		names = append(names, c)
	}
	slices.Sort(names)
	if sleep(ctx, time.Until(p.from.Add(s(l.FromS)))) != nil && l.FromS > 0 {
		return
	}
	if l.ToS > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, p.from.Add(s(l.ToS)))
		defer stop()
	}
	var all sync.WaitGroup
	defer all.Wait()
	one := func(n int) *caller {
		return &caller{play: p, load: &l, part: part, names: names, fresh: float64(n) < l.Fresh*float64(l.Clients),
			rng: rand.New(rand.NewPCG(p.o.Seed, h.Sum64()+uint64(n))), number: n}
	}
	if l.PerS == 0 {
		for n := range l.Clients {
			all.Go(func() {
				c := one(n)
				defer c.hangUp()
				for ctx.Err() == nil {
					if pause := max(c.once(ctx), ms(l.PauseMS)); pause > 0 {
						sleep(ctx, pause)
					}
				}
			})
		}
		return
	}
	// Requests come by themselves; a free client takes each.
	idle := make(chan *caller, l.Clients)
	for n := range l.Clients {
		idle <- one(n)
	}
	rng, next := rand.New(rand.NewPCG(p.o.Seed, h.Sum64()-1)), time.Now()
	unsent := rand.New(rand.NewPCG(p.o.Seed, h.Sum64()-2)) // apart from the arrivals, which are the same in all arms
	for ctx.Err() == nil {
		next = next.Add(s(rng.ExpFloat64() / l.PerS))
		if sleep(ctx, time.Until(next)) != nil {
			break
		}
		select {
		case c := <-idle:
			all.Go(func() {
				c.once(ctx)
				idle <- c
			})
		default: // the request can't even be sent; it is one of the mix like others, and counts as such
			class := l.class(names, unsent)
			part.done(class, p.e.Classes[class], time.Now(), waiting, "")
		}
	}
	all.Wait()
	for range l.Clients {
		(<-idle).hangUp()
	}
}

// caller is one client over time: its connection, and what its session wrote.
type caller struct {
	*play
	load   *Load
	part   *part
	names  []string
	fresh  bool
	rng    *rand.Rand
	number int
	count  int
	conn   *client
	wrote  int64
	group  int64
	router int // that the connection goes to
}

func (c *caller) hangUp() {
	if c.conn != nil {
		c.conn.conn.Close()
		c.conn = nil
	}
}

// class draws one of the mix; names are its classes in order.
func (l *Load) class(names []string, rng *rand.Rand) string {
	sum := 0.0
	for _, n := range names {
		sum += l.Mix[n]
	}
	x := sum * rng.Float64()
	for _, n := range names {
		if x -= l.Mix[n]; x < 0 {
			return n
		}
	}
	return names[len(names)-1]
}

// draw is the next request.
func (c *caller) draw() *request {
	class := c.load.class(c.names, c.rng)
	c.count++
	k := c.e.Classes[class]
	r := &request{id: fmt.Sprintf("%s-%d-%d", c.load.Name, c.number, c.count), oid: fmt.Sprintf("%s-%d-%d", c.load.Name, c.number, c.count), class: class, wait: ms(k.WaitMS),
		group: 1 + c.rng.Int64N(int64(c.e.Fleet.Groups))}
	if c.load.Forget {
		r.oid = fmt.Sprintf("%s-%d", c.load.Name, c.number)
	}
	switch k.Read {
	case "write":
		r.key = r.id
		c.group = r.group
	case "session":
		if c.wrote > 0 {
			if r.group = c.group; !c.load.Forget {
				r.after = c.wrote
			}
		}
	}
	return r
}

// once makes one request and returns how long its client rests after it.
func (c *caller) once(ctx context.Context) time.Duration {
	r := c.draw()
	began := time.Now()
	until := began.Add(r.wait)
	a := c.try(r, until)
	c.note(r, began, a)
	for n := 0; n < c.load.Repeats && a.outcome == refused; n++ {
		r.id, r.retry = fmt.Sprintf("%s-r%d", r.id, n), true
		if c.load.Elsewhere {
			c.hangUp()
		}
		again := time.Now()
		a = c.try(r, until)
		c.note(r, again, a)
	}
	if a.outcome == served && r.key != "" {
		c.wrote = time.Now().UnixMilli()
	}
	c.part.done(r.class, c.e.Classes[r.class], began, a.outcome, a.text)
	if c.fresh || c.load.Elsewhere && a.outcome == refused || a.outcome == lost || a.outcome == late || a.fatal {
		c.hangUp()
	}
	switch {
	case a.outcome == nowhere:
		return 50 * time.Millisecond
	case a.back > 0:
		return min(a.back, time.Second)
	}
	return 0
}

// try sends a request. One that crosses the closing of a connection which idled
// is sent once more on a new one.
func (c *caller) try(r *request, until time.Time) answer {
	for dials := 0; ; {
		kept := c.conn != nil
		if !kept {
			conn, err := c.dial(r, until)
			var t *turned
			switch {
			case errors.As(err, &t):
				return t.answer
			case err != nil && dials == 0: // the front may deal out another router
				dials++
				continue
			case err != nil:
				return answer{outcome: nowhere}
			}
			c.conn = conn
		}
		a, err := c.conn.ask(r.query(), until)
		switch {
		case err != nil && kept && !errors.Is(err, os.ErrDeadlineExceeded) && a.outcome == lost:
			c.hangUp()
			continue
		case err != nil:
			return answer{outcome: ended(err)}
		case a.outcome == served && !r.theirs(a.value):
			return answer{outcome: lost}
		}
		return a
	}
}

// pick is the router that the next connection goes to.
func (c *caller) pick() (string, error) {
	skew := c.load.Skew
	if s, ok := c.arm.Skew[c.load.Name]; ok {
		skew = s
	}
	addr, err := "", error(nil)
	if len(skew) > 0 {
		addr, err = c.front.Skew(skew, c.rng.Float64(), time.Now())
	} else {
		addr, err = c.front.Pick(time.Now())
	}
	c.router = slices.IndexFunc(c.routers, func(p *process) bool { return p.addr == addr })
	return addr, err
}

func (c *caller) dial(r *request, until time.Time) (*client, error) {
	addr, err := "", error(nil)
	if c.load.Direct {
		addr = c.fleet.Groups[r.group-1].Any(r.key != "", c.number)
	} else if addr, err = c.pick(); err != nil {
		return nil, err
	}
	user := c.load.User
	if user == "" {
		user = "worker"
	}
	return dial(addr, c.load.Address, user, until)
}

// flood plays connections that do not behave.
func (p *play) flood(ctx context.Context, f Flood, part *part) {
	if sleep(ctx, time.Until(p.from.Add(s(f.FromS)))) != nil && f.FromS > 0 {
		return
	}
	if f.ToS > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, p.from.Add(s(f.ToS)))
		defer stop()
	}
	end, _ := ctx.Deadline()
	startup := pgwire.AppendStartup(nil, "worker", "catalog")
	says := map[string][]byte{"half": startup[:len(startup)/2], "startup": startup}[f.Says]
	var all sync.WaitGroup
	for n := range f.Connections {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(p.o.Seed, uint64(n)))
			b := make([]byte, 512)
			for ctx.Err() == nil {
				addr, err := p.front.Pick(time.Now())
				if err != nil {
					return
				}
				began := time.Now()
				d := net.Dialer{Deadline: end, LocalAddr: &net.TCPAddr{IP: net.ParseIP(f.Address)}}
				conn, err := d.DialContext(ctx, "tcp", addr)
				if err == nil {
					conn.SetDeadline(end)
					conn.Write(says)
					told := false
					for err == nil {
						var n int
						n, err = conn.Read(b)
						told = told || n > 0 && b[0] == pgwire.ErrorResponse
					}
					if !errors.Is(err, os.ErrDeadlineExceeded) {
						part.ended(began, told)
					}
					conn.Close()
				}
				sleep(ctx, max(ms(f.PauseMS*(0.5+rng.Float64())), time.Millisecond))
			}
		})
	}
	all.Wait()
}
