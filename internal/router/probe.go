package router

import (
	"log/slog"
	"time"

	"lotushook/internal/metrics"
	"lotushook/policy/balance"
	"lotushook/policy/recovery"
)

// findPosition tells the module the position of an endpoint: the one a peer has just replicated, or a probe's.
func (r *Router) findPosition(node balance.EndpointID) {
	if at := r.membership.position(node); at > 0 {
		r.loop.events <- loopEvent{Event: balance.Event{Kind: balance.ProbeEnded, Endpoint: node, Outcome: balance.NotSent, Position: at}, reportedActive: -1}
		return
	}
	r.probe(node)
}

// probe fetches an endpoint's report and passes it to the module.
func (r *Router) probe(node balance.EndpointID) {
	wait, ok := r.recovery.allow(recovery.Probe, time.Second)
	if !ok {
		r.loop.events <- loopEvent{Event: balance.Event{Kind: balance.ProbeEnded, Endpoint: node, Outcome: balance.NotSent}, reportedActive: -1}
		return
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	res, rep := r.pool.Probe(node, r.config.Settings.ConnectTimeout)
	e, held := balance.Event{Kind: balance.ProbeEnded, Endpoint: node, Outcome: res.Outcome}, -1
	if res.Outcome == balance.Succeeded {
		r.metrics.Add(metrics.ProbesAnswered)
		e.Position = rep.Position * 1e6
		if rep.HasRole {
			e.Role = balance.Replica
			if rep.Primary {
				e.Role = balance.Primary
			}
		}
		e.HasLoad, e.Waiting, e.Active = rep.HasLoad, rep.Waiting, rep.Active
		if rep.HasActive {
			held = rep.Active
		}
	} else {
		slog.Debug("probe", "node", node, "outcome", res.Outcome, "err", res.Err)
	}
	r.loop.events <- loopEvent{Event: e, reportedActive: held}
}
