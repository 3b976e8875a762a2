// Package discovery follows the list of data servers at the router's agent and
// maps each host to its endpoint ID and address.
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

// List is a complete list, or the entries that changed.
type List struct {
	Version  int64  `json:"seq"`
	Complete bool   `json:"whole"`
	Hosts    []Host `json:"hosts"`

	// A newer version was seen at another agent: this list must not lift a withdrawal yet.
	Doubtful bool `json:"-"`
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
	// A server that started in the future would stay in slow start until then. All machines
	// share one time, but a router's own clock may be wrong.
	maxClockAhead = time.Hour
	maxWeight     = 1e4 // a server's capacity against the usual one: a larger one is a mistake, and all others would get nothing
)

// Parse parses a list and rejects one that is malformed anywhere, so that the
// old one is kept.
func Parse(raw []byte, now time.Time) (*List, error) {
	var l struct {
		Seq   *int64  `json:"seq"`
		Whole *bool   `json:"whole"`
		Hosts *[]Host `json:"hosts"`
	}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &l); err != nil {
		return nil, errors.New("list: " + strings.Join(strings.Fields(err.Error()), " ")) // the message quotes the list, line breaks included
	}
	if l.Seq == nil || l.Whole == nil || l.Hosts == nil {
		return nil, errors.New("list: seq, whole or hosts is missing")
	}
	if *l.Seq < 0 {
		return nil, fmt.Errorf("list: seq %d is negative", *l.Seq)
	}
	seen := map[string]bool{}
	for i, h := range *l.Hosts {
		if h.Name == "" || seen[h.Name] {
			return nil, fmt.Errorf("list: hosts[%d]: no name, or %q again", i, h.Name)
		}
		seen[h.Name] = true
		state, ok := states[h.State]
		if !ok {
			return nil, fmt.Errorf("list: host %q: unknown health %q", h.Name, h.State)
		}
		if _, err := netip.ParseAddrPort(h.Address); err != nil && state != balance.Removed {
			return nil, fmt.Errorf("list: host %q: bad address %q", h.Name, h.Address)
		}
		if h.StartedMS < 0 || h.StartedMS > now.Add(maxClockAhead).UnixMilli() {
			return nil, fmt.Errorf("list: host %q: born_ms %d is negative or in the future", h.Name, h.StartedMS)
		}
		if h.Weight < 0 || h.Weight > maxWeight {
			return nil, fmt.Errorf("list: host %q: share %v is not between 0 and %v", h.Name, h.Weight, float64(maxWeight))
		}
	}
	return &List{Version: *l.Seq, Complete: *l.Whole, Hosts: *l.Hosts}, nil
}
