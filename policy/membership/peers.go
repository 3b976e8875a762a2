package membership

import (
	"cmp"
	"slices"

	"lotushook/policy/clock"
)

// peerState is what this router knows about another member.
type peerState struct {
	Member
	suspectedAt     clock.Nanos // when the member became a suspect
	reporters       []string    // members that have reported the suspicion since then, without duplicates
	finalState      State       // state after the suspicion times out, Dead or Left
	probeNext       bool        // the member is to be probed before its turn in probeOrder
	duplicateSeenAt clock.Nanos // when a later process with the member's name was first seen; 0: never
}

// addPeer adds a member to peers and to sortedPeers, which always hold the same members.
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

// randomPeers returns up to count random members that are alive and not named except.
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

// otherCount returns the number of other members that are not dead and have not left.
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
