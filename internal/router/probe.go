package router

import (
	"log/slog"
	"time"

	"lotushook/internal/metrics"
	"lotushook/policy/balance"
	"lotushook/policy/recovery"
)

// findPosition reports the position of an endpoint to the module: the position that a peer has recently replicated, if
// any, otherwise the result of a probe.
func (router *Router) findPosition(endpoint balance.EndpointID) {
	if position := router.membership.position(endpoint); position > 0 {
		router.loop.events <- loopEvent{Event: balance.Event{Kind: balance.ProbeEnded, Endpoint: endpoint, Outcome: balance.NotSent, Position: position}, reportedActive: -1}
		return
	}
	router.probe(endpoint)
}

// probe requests an endpoint's status report and passes it to the module.
func (router *Router) probe(endpoint balance.EndpointID) {
	wait, ok := router.recovery.allow(recovery.Probe, time.Second)
	if !ok {
		router.loop.events <- loopEvent{Event: balance.Event{Kind: balance.ProbeEnded, Endpoint: endpoint, Outcome: balance.NotSent}, reportedActive: -1}
		return
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	result, report := router.pool.Probe(endpoint, router.config.Settings.ConnectTimeout)
	event, reportedActive := balance.Event{Kind: balance.ProbeEnded, Endpoint: endpoint, Outcome: result.Outcome}, -1
	if result.Outcome == balance.Succeeded {
		router.metrics.Add(metrics.ProbesAnswered)
		event.Position = report.Position * 1e6
		if report.HasRole {
			event.Role = balance.Replica
			if report.Primary {
				event.Role = balance.Primary
			}
		}
		event.HasLoad, event.Waiting, event.Active = report.HasLoad, report.Waiting, report.Active
		if report.HasActive {
			reportedActive = report.Active
		}
	} else {
		slog.Debug("probe", "node", endpoint, "outcome", result.Outcome, "err", result.Err)
	}
	router.loop.events <- loopEvent{Event: event, reportedActive: reportedActive}
}
