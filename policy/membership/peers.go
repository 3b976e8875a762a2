package membership

import (
	"cmp"
	"slices"

	"lotushook/policy/clock"
)

type peer struct {
	Member
	suspectSince clock.Nanos // when it became a suspect
	accusers     []string    // distinct
	finalState   State       // what it becomes when the suspicion ends: Dead, or Left
	probeSoon    bool        // to be probed out of turn
	rivalSince   clock.Nanos // when a younger process of its name was first seen; 0: never
}

// add and remove keep both indexes of the members in step.
func (m *Detector) add(p *peer) {
	m.peers[p.Name] = p
	at, _ := slices.BinarySearchFunc(m.order, p.Name, func(q *peer, name string) int { return cmp.Compare(q.Name, name) })
	m.order = slices.Insert(m.order, at, p)
}

func (m *Detector) remove(p *peer) {
	delete(m.peers, p.Name)
	m.order = slices.DeleteFunc(m.order, func(q *peer) bool { return q == p })
}

// filterPeers returns the members that match, by name.
func (m *Detector) filterPeers(hold func(*peer) bool) []*peer {
	var list []*peer
	for _, p := range m.order {
		if hold(p) {
			list = append(list, p)
		}
	}
	return list
}

// randomPeers draws members that are alive, except the one of a name.
func (m *Detector) randomPeers(n int, but string) []*peer {
	list := m.filterPeers(func(p *peer) bool { return p.Name != but && p.State == Alive })
	shuffle(m, list)
	return list[:min(n, len(list))]
}

func shuffle[T any](m *Detector, list []T) {
	for i := len(list) - 1; i > 0; i-- {
		j := int(m.draw() * float64(i+1))
		list[i], list[j] = list[j], list[i]
	}
}

// aliveCount is how many others are neither dead nor departed.
func (m *Detector) aliveCount() int {
	n := 0
	for _, p := range m.order {
		if p.State < Dead {
			n++
		}
	}
	return n
}

func (m *Detector) presentCount() int {
	n := 1
	for _, p := range m.order {
		if p.State <= Suspect {
			n++
		}
	}
	return n
}
