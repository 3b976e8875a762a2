// Package discovery follows the list of data servers at the router's agent and
// knows under which number the decisions name a host and where to dial it.
package discovery

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"sync"

	jsoniter "github.com/json-iterator/go"

	"lotushook/balance"
)

// List is a whole list, or the entries that changed.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Host is one data server.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int64   `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
	Rank   string  `json:"rank"`
}

var states = map[string]balance.Lifecycle{
	"SERVING": balance.Ready, "DRAINING": balance.Draining, "DELETED": balance.Gone}

// Parse reads a list and refuses one that is malformed anywhere, so that the
// old one is kept.
func Parse(raw []byte) (*List, error) {
	var l struct {
		Seq   *int64  `json:"seq"`
		Whole *bool   `json:"whole"`
		Hosts *[]Host `json:"hosts"`
	}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &l); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if l.Seq == nil || l.Whole == nil || l.Hosts == nil {
		return nil, errors.New("list: seq, whole or hosts is missing")
	}
	seen := map[string]bool{}
	for i, h := range *l.Hosts {
		if h.Host == "" || seen[h.Host] {
			return nil, fmt.Errorf("list: hosts[%d]: no name, or %q again", i, h.Host)
		}
		seen[h.Host] = true
		state, ok := states[h.Health]
		if !ok {
			return nil, fmt.Errorf("list: host %s: unknown health %q", h.Host, h.Health)
		}
		if _, err := netip.ParseAddrPort(h.Dial); err != nil && state != balance.Gone {
			return nil, fmt.Errorf("list: host %s: bad address %q", h.Host, h.Dial)
		}
		if h.BornMS < 0 || h.Share < 0 {
			return nil, fmt.Errorf("list: host %s: negative born_ms or share", h.Host)
		}
	}
	return &List{Seq: *l.Seq, Whole: *l.Whole, Hosts: *l.Hosts}, nil
}

// Directory maps hosts to the numbers that the decisions use, and numbers to
// addresses and states. It is safe for concurrent use.
type Directory struct {
	mu    sync.RWMutex
	nodes map[uint32]place
	ids   map[string]uint32
}

type place struct {
	dial  string
	ready bool
}

// NewDirectory returns a directory without entries.
func NewDirectory() *Directory {
	return &Directory{nodes: map[uint32]place{}, ids: map[string]uint32{}}
}

// Apply takes a list in and returns it as an event for the decisions.
func (d *Directory) Apply(l *List) balance.Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := balance.Event{Kind: balance.NodesChanged}
	if l.Whole {
		e.Kind = balance.NodesFull
		for id, p := range d.nodes { // absent from the whole list: gone
			p.ready = false
			d.nodes[id] = p
		}
	}
	for _, h := range l.Hosts {
		id := d.id(h.Host)
		p := place{dial: h.Dial, ready: states[h.Health] == balance.Ready}
		if p.dial == "" {
			p.dial = d.nodes[id].dial
		}
		d.nodes[id] = p
		e.Nodes = append(e.Nodes, balance.NodeEntry{Node: id, Group: h.Block, Zone: h.Site,
			State: states[h.Health], Primary: h.Rank == "source", Weight: h.Share, Started: h.BornMS * 1e6})
	}
	return e
}

// id gives a host the same number at every router, but where two names share a hash.
func (d *Directory) id(host string) uint32 {
	if id, ok := d.ids[host]; ok {
		return id
	}
	h := fnv.New32a()
	h.Write([]byte(host))
	id := h.Sum32()
	for {
		if _, taken := d.nodes[id]; !taken {
			break
		}
		id++
	}
	d.ids[host], d.nodes[id] = id, place{}
	return id
}

// Address is where to dial a node, and whether it may get anything new: it is
// listed, and neither draining nor gone.
func (d *Directory) Address(node uint32) (dial string, ready bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	p := d.nodes[node]
	return p.dial, p.ready
}
