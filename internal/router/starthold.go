package router

import (
	"context"
	"log/slog"
	"time"

	"lotushook/internal/platformconfig"
)

// A starting router waits for its discovery agent's endpoint list before it sends anything: the platform counts the
// list's changes as known to the router from its start on, and the configured list may be outdated. It waits for at
// most maxStartHold and 1/startHoldShare of the shortest deadline, because the platform charges requests that are still
// unsent after half of the time to their deadline.
const (
	maxStartHold   = 250 * time.Millisecond
	startHoldShare = 4
)

// startHold delays a starting router's attempts until its agent's first endpoint list is received.
type startHold struct {
	timeout time.Duration
	over    chan struct{} // closed once the list is received or the timeout has elapsed
}

func newStartHold(config *platformconfig.Config) startHold {
	return startHold{timeout: startHoldTimeout(config), over: make(chan struct{})}
}

// wait returns once the first list is received or the timeout has elapsed. Clients' requests that arrive in the
// meantime are read and wait in the event loop's queue.
func (hold *startHold) wait(ctx context.Context, listed <-chan struct{}) {
	defer close(hold.over)
	if hold.timeout <= 0 {
		return
	}
	timer := time.NewTimer(hold.timeout)
	defer timer.Stop()
	select {
	case <-listed:
	case <-ctx.Done():
	case <-timer.C:
		slog.Warn("discovery has not answered; using the configured endpoint list", "after", hold.timeout)
	}
}

// startHoldTimeout returns how long a starting router waits for its agent's endpoint list. It returns 0 if routers
// share one discovery service: the service may be too busy to answer many starting routers, and the platform counts
// changes of its list as known to the routers only later.
func startHoldTimeout(config *platformconfig.Config) time.Duration {
	if sharedDiscoveryRouters(config) > 0 {
		return 0
	}
	timeout := maxStartHold
	for _, class := range config.Settings.Balance.Classes {
		timeout = min(timeout, time.Duration(class.Deadline)/startHoldShare)
	}
	return timeout
}

// sharedDiscoveryRouters returns how many routers call the same discovery service, or 0 if lists are pushed to the
// routers.
func sharedDiscoveryRouters(config *platformconfig.Config) int {
	if config.Settings.Balance.WatchRequired {
		return config.Settings.Balance.Routers
	}
	return 0
}
