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

// triggerEvents triggers the events of the arm at their times.
func (run *armRun) triggerEvents(ctx context.Context) {
	scheduled := slices.Clone(run.arm.Events)
	slices.SortStableFunc(scheduled, func(x, y Event) int { return int(1e3 * (x.AtS - y.AtS)) })
	for _, event := range scheduled {
		if sleep(ctx, time.Until(run.from.Add(seconds(event.AtS)))) != nil {
			return
		}
		if err := run.triggerEvent(event); err != nil {
			slog.Error("event", "do", event.Do, "err", err)
		}
	}
}

// triggerEvent triggers one event.
//
//nolint:funlen // to be split (docs/ROADMAP.md, readable code)
func (run *armRun) triggerEvent(event Event) error {
	slog.Info("event", "at_s", event.AtS, "do", event.Do, "router", event.Router, "server", event.Server)
	if event.Do == "link" {
		if run.cluster == nil {
			return errors.New("the routers form no cluster, so there are no links to change")
		}
		run.cluster.net.Set(event.From, event.To, event.Link)
		return nil
	}
	if event.Server != "" {
		found := false
		for _, server := range run.fleet.Servers() {
			if server.Name != event.Server && event.Server != "*" {
				continue
			}
			found = true
			switch event.Do {
			case "kill":
				server.Group().LoseOnFailover(event.LoseEvents)
				server.Kill()
			case "clock":
				server.Group().SetClockBack(seconds(event.ClockBackS))
			case "restart":
				if err := server.Restart(); err != nil {
					return err
				}
			case "burden":
				server.SetWorkFactor(event.Factor)
				run.faultsOver = time.Now() // the recovery time is measured from the last change of the burden
			case "drain":
				server.Drain()
			case "promote":
				server.Promote()
			case "slow":
				server.SetApplyFactor(event.Factor)
			}
		}
		if found {
			return nil
		}
		return fmt.Errorf("unknown server %q", event.Server)
	}
	router := run.routers[event.Router]
	switch event.Do {
	case "kill":
		run.loadBalancer.MarkDead(router.addr, time.Now())
		run.cluster.recordCondition(event.Router, killed)
		router.kill()
	case "stop":
		run.loadBalancer.MarkDead(router.addr, time.Now())
		run.cluster.recordCondition(event.Router, stopped)
		router.terminate()
	case "pause":
		run.cluster.recordCondition(event.Router, paused)
		router.setFault(faultinject.Pause(router.pid()))
	case "throttle":
		router.setFault(faultinject.Throttle(router.pid(), event.Factor))
	case "resume", "free":
		router.setFault(nil)
		run.cluster.recordCondition(event.Router, up)
	case "start":
		run.cluster.recordCondition(event.Router, up)
		if run.faultsOver = time.Now(); run.firstRestart.IsZero() {
			run.firstRestart = run.faultsOver
		}
		if err := router.start(); err != nil {
			return err
		}
		run.loadBalancer.Add(router.addr)
	case "reload":
		return router.reload(event.RouterSettings)
	}
	return nil
}
