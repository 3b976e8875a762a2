package router

import (
	"context"
	"log/slog"
	"time"

	"lotushook/internal/platformconfig"
)

// A router that starts asks its own agent before it sends anything: what the agent has counts as notified from the first
// moment, and the configured list may be old. An agent that is silent is waited for at most maxStartHold, and for one
// part in startHoldShare of the shortest deadline: unsent requests are charged from half of their time on.
const (
	maxStartHold   = 250 * time.Millisecond
	startHoldShare = 4
)

// startHold is the wait of a starting router for its agent's first list.
type startHold struct {
	timeout time.Duration
	over    chan struct{} // closed once the list has come, or the timeout has passed
}

func newStartHold(config *platformconfig.Config) startHold {
	return startHold{timeout: startHoldTimeout(config), over: make(chan struct{})}
}

// wait returns once the first list has come. What clients ask meanwhile is read, and waits in the event loop's queue.
func (h *startHold) wait(ctx context.Context, listed <-chan struct{}) {
	defer close(h.over)
	if h.timeout <= 0 {
		return
	}
	late := time.NewTimer(h.timeout)
	defer late.Stop()
	select {
	case <-listed:
	case <-ctx.Done():
	case <-late.C:
		slog.Warn("discovery has not answered; the configured list is used", "after", h.timeout)
	}
}

// startHoldTimeout is how long a router that starts may wait for its agent's list. Where a shared service is asked, which
// may have no time for many, nothing is waited for: its changes count as notified later.
func startHoldTimeout(config *platformconfig.Config) time.Duration {
	if sharedDiscoveryRouters(config) > 0 {
		return 0
	}
	hold := maxStartHold
	for _, class := range config.Settings.Balance.Classes {
		hold = min(hold, time.Duration(class.Deadline)/startHoldShare)
	}
	return hold
}

// sharedDiscoveryRouters is how many routers burden one discovery service with their calls: none where lists are pushed.
func sharedDiscoveryRouters(config *platformconfig.Config) int {
	if config.Settings.Balance.WatchRequired {
		return config.Settings.Balance.Routers
	}
	return 0
}
