package membership

import (
	"math"
	"slices"

	"lotushook/policy/clock"
)

// checkProbe advances the probe in flight: it sends indirect checks after AckTimeout, and suspects the member after
// ProbeInterval.
func (d *Detector) checkProbe() {
	probe := d.probe
	if probe == nil {
		return
	}
	peer := d.peers[probe.name]
	if peer == nil || peer.State >= Dead {
		d.probe = nil
		return
	}
	if !probe.indirectSent && d.now-probe.sentAt >= d.extendTimeout(d.settings.AckTimeout) {
		probe.indirectSent = true
		for _, helper := range d.randomPeers(d.settings.IndirectChecks, probe.name) {
			probe.helperCount++
			d.send(Message{Kind: IndirectPing, To: helper.Address, Seq: probe.seq, Target: probe.name, TargetAddress: peer.Address})
		}
	}
	if d.now-probe.sentAt < d.extendTimeout(d.settings.ProbeInterval) {
		return
	}
	d.probe = nil
	if d.settings.Lifeguard {
		// The health score counts only missing answers of helpers: a dead target says nothing about this router.
		d.healthScore = min(d.healthScore+probe.helperCount-probe.helperAnswers, maxHealthScore)
		if probe.helperAnswers == 0 {
			if d.unansweredProbes++; d.lastUnansweredName != probe.name {
				d.lastUnansweredName = probe.name
				d.isolated = d.isolated || d.unansweredProbes >= min(isolatedAfterProbes, 2*max(d.otherCount(), 1))
			}
		}
		// If no helper answered either, this router's own connection may be at fault.
		if d.isolated || probe.helperAnswers == 0 && probe.helperCount > 0 {
			return
		}
		if peer.State == Isolated { // an isolated member can't answer; expire suspects it if it sends nothing any more
			return
		}
	}
	d.suspectPeer(peer, d.settings.Name, Dead)
}

// startProbe probes the next member. Every contactPeriods it also contacts a dead member or an unknown seed.
func (d *Detector) startProbe() {
	d.nextProbeAt = max(d.nextProbeAt+d.settings.ProbeInterval, d.now)
	if d.probePeriods++; d.probePeriods%contactPeriods == 0 || d.otherCount() == 0 {
		d.contactUnreachable()
	}
	d.requestSync()
	peer := d.nextToProbe()
	if peer == nil {
		return
	}
	d.lastSeq++
	d.probe = &pendingProbe{name: peer.Name, seq: d.lastSeq, sentAt: d.now}
	d.send(Message{Kind: Ping, To: peer.Address, Seq: d.lastSeq, Target: peer.Name})
}

// nextToProbe returns the next member to probe: round-robin in a new random order for each round and, in every second
// period, one of the suspects, so that each suspect is probed several times before its suspicion times out.
func (d *Detector) nextToProbe() *peerState {
	if d.probePeriods%2 == 0 && d.settings.Lifeguard {
		suspects := d.matchingPeers(func(peer *peerState) bool { return peer.State < Dead && (peer.probeNext || peer.State == Suspect) })
		if len(suspects) > 0 {
			peer := suspects[int(d.random()*float64(len(suspects)))]
			peer.probeNext = false
			return peer
		}
	}
	for range 2 {
		for len(d.probeOrder) > 0 {
			peer := d.peers[d.probeOrder[0]]
			d.probeOrder = d.probeOrder[1:]
			if peer != nil && peer.State < Dead {
				return peer
			}
		}
		for _, peer := range d.sortedPeers {
			d.probeOrder = append(d.probeOrder, peer.Name)
		}
		shuffle(d, d.probeOrder)
	}
	return nil
}

// contactUnreachable requests the full state from a dead member or an unknown seed, so that the sides of a healed
// partition, and a router that started alone, find the others.
func (d *Detector) contactUnreachable() {
	var addresses []string
	present := map[string]bool{d.settings.Address: true}
	for _, peer := range d.sortedPeers {
		if peer.State < Dead {
			present[peer.Address] = true
		} else if peer.State == Dead {
			addresses = append(addresses, peer.Address)
		}
	}
	addresses = append(addresses, d.settings.Seeds...)
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return present[address] })
	if len(addresses) > 0 {
		d.send(Message{Kind: StateRequest, To: addresses[int(d.random()*float64(len(addresses)))]})
	}
}

// requestSync requests a random member's full state when the next request is due. The time between two requests is
// contactPeriods probe intervals while the replies contain unknown members. Otherwise it doubles with each request, up
// to one probe interval per member, so that the bytes per second do not grow with the cluster.
func (d *Detector) requestSync() {
	if d.now < d.nextSyncAt {
		return
	}
	for _, peer := range d.randomPeers(1, "") {
		if d.syncInterval *= 2; d.lastSyncAddedMember {
			d.syncInterval = 0
		}
		d.syncInterval = max(contactPeriods*d.settings.ProbeInterval, min(d.syncInterval, clock.Nanos(len(d.sortedPeers))*d.settings.ProbeInterval))
		d.nextSyncAt, d.lastSyncAddedMember = d.now+d.syncInterval, false
		d.send(Message{Kind: StateRequest, To: peer.Address})
	}
}

// suspicionTimeout returns how long a suspicion lasts: the more reporters, the shorter (Lifeguard). A router that
// misses answers itself, as on a slow machine or a lossy link, waits longer.
func (d *Detector) suspicionTimeout(peer *peerState) clock.Nanos {
	if !d.settings.Lifeguard {
		return d.settings.MaxSuspicion
	}
	return d.baseSuspicionTimeout(peer) * clock.Nanos(2+d.healthScore) / 2
}

func (d *Detector) baseSuspicionTimeout(peer *peerState) clock.Nanos {
	confirmations := min(len(peer.reporters)-1, d.settings.Confirmations)
	progress := math.Log(float64(confirmations)+1) / math.Log(float64(d.settings.Confirmations)+1)
	if d.settings.Confirmations == 0 {
		progress = 1
	}
	return max(d.settings.MinSuspicion, d.settings.MaxSuspicion-clock.Nanos(progress*float64(d.settings.MaxSuspicion-d.settings.MinSuspicion)))
}

// extendTimeout lengthens a timeout by the local health score.
func (d *Detector) extendTimeout(timeout clock.Nanos) clock.Nanos {
	if !d.settings.Lifeguard || d.isolated { // an isolated router suspects no member, and should reconnect soon
		return timeout
	}
	return timeout * clock.Nanos(1+d.healthScore)
}
