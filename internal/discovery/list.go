// Package discovery follows the endpoint list, the list of data servers, at the router's discovery agent, and maps each
// host to its endpoint ID and address.
//
// A call is one HTTP request to the agent. It asks either for the complete list or for the changes after the version of
// the list that the router has. A call for changes is a watch if the agent may wait for a change before it answers. The
// agent of a router may have the list itself, or pass calls on to one service that all routers share.
package discovery

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lotushook/policy/balance"
)

// List is either the complete list of hosts or only the entries that changed.
type List struct {
	Version  int64  `json:"seq"`
	Complete bool   `json:"whole"`
	Hosts    []Host `json:"hosts"`

	// The watcher has seen a newer version at another agent, so this list must not reactivate removed or draining
	// hosts.
	MayBeOutdated bool `json:"-"`
}

// Host is one data server.
type Host struct {
	Name      string  `json:"host"`
	Address   string  `json:"dial"`
	Zone      string  `json:"site"`
	Class     string  `json:"class"`
	Group     int64   `json:"block"`
	State     string  `json:"health"`
	Weight    float64 `json:"share"`
	StartedMS int64   `json:"born_ms"`
	Role      string  `json:"rank"`
}

var states = map[string]balance.EndpointState{
	"SERVING": balance.Ready, "DRAINING": balance.Draining, "DELETED": balance.Removed}

const (
	// A start time in the future would keep the server in slow start until then. All machines share one time, but a
	// router's own clock may be wrong.
	maxClockAhead = time.Hour
	// A weight is a server's capacity relative to a typical one. A larger one is a mistake that would starve all others.
	maxWeight = 1e4
)

// Parse parses a list. A list that is malformed anywhere is rejected as a whole, so that the current one stays in
// force.
func Parse(raw []byte, now time.Time) (*List, error) {
	var document struct {
		Seq   *int64  `json:"seq"`
		Whole *bool   `json:"whole"`
		Hosts *[]Host `json:"hosts"`
	}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &document); err != nil {
		return nil, errors.New("list: " + strings.Join(strings.Fields(err.Error()), " ")) // it may contain line breaks of the list
	}
	if document.Seq == nil || document.Whole == nil || document.Hosts == nil {
		return nil, errors.New("list: seq, whole or hosts is missing")
	}
	if *document.Seq < 0 {
		return nil, fmt.Errorf("list: seq %d is negative", *document.Seq)
	}
	names := map[string]bool{}
	for i, host := range *document.Hosts {
		if host.Name == "" || names[host.Name] {
			return nil, fmt.Errorf("list: hosts[%d]: missing or duplicate name %q", i, host.Name)
		}
		names[host.Name] = true
		state, ok := states[host.State]
		if !ok {
			return nil, fmt.Errorf("list: host %q: unknown health %q", host.Name, host.State)
		}
		if _, err := netip.ParseAddrPort(host.Address); err != nil && state != balance.Removed {
			return nil, fmt.Errorf("list: host %q: bad address %q", host.Name, host.Address)
		}
		if host.StartedMS < 0 || host.StartedMS > now.Add(maxClockAhead).UnixMilli() {
			return nil, fmt.Errorf("list: host %q: born_ms %d is negative or in the future", host.Name, host.StartedMS)
		}
		if host.Weight < 0 || host.Weight > maxWeight {
			return nil, fmt.Errorf("list: host %q: share %v is not between 0 and %v", host.Name, host.Weight, float64(maxWeight))
		}
	}
	return &List{Version: *document.Seq, Complete: *document.Whole, Hosts: *document.Hosts}, nil
}
