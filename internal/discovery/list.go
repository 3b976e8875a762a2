// Package discovery follows the list of data servers at the router's agent and
// knows under which number the decisions name a host and where to dial it.
package discovery

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lotushook/policy/balance"
)

// List is a whole list, or the entries that changed.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`

	// An agent that had said more says so: what this would lift of a ban does not hold yet.
	Doubtful bool `json:"-"`
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

const (
	// A server that started in the future would stay cold until then. All machines
	// read one clock, but a router's own may be set wrong.
	mostAhead = time.Hour
	mostShare = 1e4 // a server's size against the usual one: beyond it a slip, and every other would get nothing
)

// Parse reads a list and refuses one that is malformed anywhere, so that the
// old one is kept.
func Parse(raw []byte, now time.Time) (*List, error) {
	var l struct {
		Seq   *int64  `json:"seq"`
		Whole *bool   `json:"whole"`
		Hosts *[]Host `json:"hosts"`
	}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &l); err != nil {
		return nil, errors.New("list: " + strings.Join(strings.Fields(err.Error()), " ")) // it quotes the list, line ends and all
	}
	if l.Seq == nil || l.Whole == nil || l.Hosts == nil {
		return nil, errors.New("list: seq, whole or hosts is missing")
	}
	if *l.Seq < 0 {
		return nil, fmt.Errorf("list: seq %d is negative", *l.Seq)
	}
	seen := map[string]bool{}
	for i, h := range *l.Hosts {
		if h.Host == "" || seen[h.Host] {
			return nil, fmt.Errorf("list: hosts[%d]: no name, or %q again", i, h.Host)
		}
		seen[h.Host] = true
		state, ok := states[h.Health]
		if !ok {
			return nil, fmt.Errorf("list: host %q: unknown health %q", h.Host, h.Health)
		}
		if _, err := netip.ParseAddrPort(h.Dial); err != nil && state != balance.Gone {
			return nil, fmt.Errorf("list: host %q: bad address %q", h.Host, h.Dial)
		}
		if h.BornMS < 0 || h.BornMS > now.Add(mostAhead).UnixMilli() {
			return nil, fmt.Errorf("list: host %q: born_ms %d is negative or in the future", h.Host, h.BornMS)
		}
		if h.Share < 0 || h.Share > mostShare {
			return nil, fmt.Errorf("list: host %q: share %v is not between 0 and %v", h.Host, h.Share, float64(mostShare))
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
	old   []uint32 // gone, the longest ago first
}

type place struct {
	host  string
	dial  string
	group int64
	born  int64 // the latest start that was told, Unix ms
	ready bool
	gone  bool
}

// mostGone is how many withdrawn hosts are remembered: connections to them may
// still be open, and one may come back under its number.
const mostGone = 64

// NewDirectory returns a directory without entries.
func NewDirectory() *Directory {
	return &Directory{nodes: map[uint32]place{}, ids: map[string]uint32{}}
}

// errEmpty is an agent that has lost its list: servers leave one after the other, and never all.
var errEmpty = errors.New("list: whole and empty, though hosts were listed: the old one is kept")

// mostListed is how many hosts may be listed at once: each costs memory here and in the decisions, and an agent that names
// ever new ones would take all there is.
const mostListed = 16 << 10

// crowdedError is a list that names more hosts than a router can hold.
type crowdedError struct{ hosts int }

func (e crowdedError) Error() string {
	return fmt.Sprintf("list: %d hosts would be listed, and at most %d may: the old list is kept", e.hosts, mostListed)
}

// Take is Apply of a list from discovery. One that would take away all that is listed, or list too many, changes nothing. One that is
// doubtful withdraws and drains, and adds what is new, but lifts nothing that was told of a server's present start.
func (d *Directory) Take(l *List) (balance.Event, error) {
	if l.Doubtful {
		l = d.cautious(l)
	}
	if l.Whole && len(l.Hosts) == 0 && d.listed() {
		return balance.Event{}, errEmpty
	}
	if n := d.wouldList(l); n > mostListed {
		return balance.Event{}, crowdedError{n}
	}
	return d.Apply(l), nil
}

// cautious is a list without what would have a server that drains or is gone get work again, or warm before its time.
func (d *Directory) cautious(l *List) *List {
	d.mu.RLock()
	defer d.mu.RUnlock()
	kept := &List{Seq: l.Seq, Whole: l.Whole}
	for _, h := range l.Hosts {
		id, met := d.ids[h.Host]
		if p := d.nodes[id]; met && h.BornMS <= p.born {
			if h.BornMS = p.born; !p.ready && states[h.Health] == balance.Ready {
				h.Health = "DRAINING"
			}
		}
		kept.Hosts = append(kept.Hosts, h)
	}
	return kept
}

// wouldList is how many hosts are listed once a list is taken, at most: of changes each host is counted that is not listed.
func (d *Directory) wouldList(l *List) int {
	if l.Whole {
		return len(l.Hosts)
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := len(d.nodes)
	for _, h := range l.Hosts {
		if _, met := d.ids[h.Host]; !met {
			n++
		}
	}
	return n
}

func (d *Directory) listed() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, p := range d.nodes {
		if !p.gone {
			return true
		}
	}
	return false
}

// Apply takes a list in and returns it as an event for the decisions.
func (d *Directory) Apply(l *List) balance.Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := balance.Event{Kind: balance.NodesChanged}
	if l.Whole {
		e.Kind = balance.NodesFull
		listed := map[string]bool{}
		for _, h := range l.Hosts {
			listed[h.Host] = true
		}
		for id, p := range d.nodes { // absent from the whole list: gone
			if !listed[p.host] {
				d.withdraw(id, p)
			}
		}
	}
	for _, h := range l.Hosts {
		id := d.id(h.Host)
		p := place{host: h.Host, dial: h.Dial, group: h.Block, born: h.BornMS, ready: states[h.Health] == balance.Ready, gone: d.nodes[id].gone}
		if p.dial == "" {
			p.dial = d.nodes[id].dial
		}
		if states[h.Health] == balance.Gone {
			p.born = max(p.born, d.nodes[id].born) // a withdrawal may leave it out
			d.withdraw(id, p)
		} else {
			p.gone = false
			d.nodes[id] = p
		}
		e.Nodes = append(e.Nodes, balance.NodeEntry{Node: id, Group: h.Block, Zone: h.Site,
			State: states[h.Health], Primary: h.Rank == "source", Weight: h.Share, Started: h.BornMS * 1e6})
	}
	return e
}

// withdraw marks a host as gone, and forgets the ones that went long ago: with
// servers replaced all day they would pile up.
func (d *Directory) withdraw(id uint32, p place) {
	if p.ready = false; !p.gone {
		p.gone = true
		d.old = append(d.old, id)
	}
	d.nodes[id] = p
	for len(d.old) > mostGone {
		id := d.old[0]
		d.old = d.old[1:]
		if p := d.nodes[id]; p.gone {
			delete(d.nodes, id)
			delete(d.ids, p.host)
		}
	}
}

// Serves says whether a group has a listed host. Before there is any list, every
// group may have one.
func (d *Directory) Serves(group int64) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, p := range d.nodes {
		if p.group == group && !p.gone {
			return true
		}
	}
	return len(d.nodes) == 0
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

// Host is the name of a node; none of one that was never listed, or is long gone.
func (d *Directory) Host(node uint32) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.nodes[node].host
}

// Start is the name of a node and when it started, as the list tells it.
func (d *Directory) Start(node uint32) (host string, born int64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.nodes[node].host, d.nodes[node].born * 1e6
}

// Address is where to dial a node, and whether it may get anything new: it is
// listed, and neither draining nor gone.
func (d *Directory) Address(node uint32) (dial string, ready bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	p := d.nodes[node]
	return p.dial, p.ready
}
