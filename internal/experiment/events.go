package experiment

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"lotushook/internal/faultinject"
)

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

//nolint:funlen // to be split (docs/ROADMAP.md, readable code)
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
				srv.Group().SetClockBack(s(v.BackS))
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
