package membership

import (
	"cmp"
	"slices"

	"lotushook/policy/clock"
)

// peerState is what this router knows of another member.
type peerState struct {
	Member
	suspectedAt     clock.Nanos // when it became a suspect
	reporters       []string    // distinct members that reported it since then
	finalState      State       // state after the suspicion times out, Dead or Left
	probeNext       bool        // probe it out of turn
	duplicateSeenAt clock.Nanos // when a younger process with its name was first seen; 0: never
}

// addPeer and removePeer keep both indexes of the members consistent.
func (d *Detector) addPeer(peer *peerState) {
	d.peers[peer.Name] = peer
	index, _ := slices.BinarySearchFunc(d.sortedPeers, peer.Name, func(other *peerState, name string) int { return cmp.Compare(other.Name, name) })
	d.sortedPeers = slices.Insert(d.sortedPeers, index, peer)
}

func (d *Detector) removePeer(peer *peerState) {
	delete(d.peers, peer.Name)
	d.sortedPeers = slices.DeleteFunc(d.sortedPeers, func(other *peerState) bool { return other == peer })
}

// matchingPeers returns the members that match, ordered by name.
func (d *Detector) matchingPeers(matches func(*peerState) bool) []*peerState {
	var peers []*peerState
	for _, peer := range d.sortedPeers {
		if matches(peer) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// randomPeers returns up to count random members that are alive, without the one named except.
func (d *Detector) randomPeers(count int, except string) []*peerState {
	candidates := d.matchingPeers(func(peer *peerState) bool { return peer.Name != except && peer.State == Alive })
	shuffle(d, candidates)
	return candidates[:min(count, len(candidates))]
}

func shuffle[T any](d *Detector, list []T) {
	for i := len(list) - 1; i > 0; i-- {
		other := int(d.random() * float64(i+1))
		list[i], list[other] = list[other], list[i]
	}
}

// otherCount returns the number of other members that are neither dead nor departed.
func (d *Detector) otherCount() int {
	count := 0
	for _, peer := range d.sortedPeers {
		if peer.State < Dead {
			count++
		}
	}
	return count
}

// presentCount returns the number of members that are alive or suspect, including this router.
func (d *Detector) presentCount() int {
	count := 1
	for _, peer := range d.sortedPeers {
		if peer.State <= Suspect {
			count++
		}
	}
	return count
}
