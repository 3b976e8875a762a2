// Package quotalease decides this router's share of what all routers divide among themselves: slow-start budgets,
// limits and contracts. Each router has an even share. When other routers are dead or departed, a majority of the
// routers may exclude them, and the remaining routers take over their shares. The shares of all routers never sum up to
// more than 1, whichever routers are paused, partitioned or restarted, whichever messages are lost, and however wrong
// the routers' beliefs about each other are.
//
// A router uses more than its minimum share only while it is a holder, which means that enough routers have granted it
// a lease. Routers probe each other, and the answer to a probe is a vote. The voter, which is the router that answers,
// either grants the prober a lease, and then will not exclude it until the term is over, or it does not grant one. The
// vote also lists the routers that the voter excludes: it has not granted these a lease within the last term, and will
// not grant them one for another term.
//
// Enough routers are so many, the holder itself included, that all others together are no majority; each must have
// granted the lease within the term. A holder's share is at most one divided by the number of routers, not counting
// those that a majority excludes. The sum of the shares is at most 1 for the following reason. Any majority includes a
// router that has granted a given holder its lease, and no router both grants a lease to a router and excludes it
// within a term. So no majority excludes a holder. If E of N routers are excluded, at most N-E are holders, each with a
// share of at most 1/(N-E).
//
// Both sides measure the term on their own clocks: the prober from when it sent the probe, and the voter from when it
// answered, and for a twentieth longer. Delays therefore only shorten the lease.
package quotalease

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"

	"lotushook/policy/clock"
)

// clockDrift is the factor by which a vote binds the voter for longer than the prober relies on it. No clock may run
// faster than another one by this factor or more.
const clockDrift = 1.05

// Settings are the settings of one router.
type Settings struct {
	RouterNames   []string // all routers of the installation, including this one; the same on all routers
	Self          string
	Term          clock.Nanos // how long a vote is valid
	IsolatedShare float64     // part of its even share that a router uses while it is no holder, 0 to 1; 1: fixed shares
}

// Vote is the answer to a probe: a promise of the voter, its sender, to the prober.
type Vote struct {
	NamesHash uint64 // of the sender's Settings.RouterNames
	Granted   bool   // the sender will not exclude the prober for a term
	Excluded  []byte // bitmap, by index in RouterNames, of the routers to which the sender grants no lease for a term
}

// Lease stores the votes that one router has cast and received. It is not safe for concurrent use; its size depends
// only on the number of routers.
type Lease struct {
	settings    Settings
	namesHash   uint64
	indexByName map[string]int
	startedAt   clock.Nanos

	// By index in RouterNames:
	grantedTo  []grantedLease // latest lease that this router granted to each router
	excludedAt []clock.Nanos  // when this router last excluded each router; 0: never
	grantedBy  []clock.Nanos  // when this router sent the latest probe for which each router granted it a lease; 0: none
	votes      []receivedVote // latest exclusions by each router
}

type grantedLease struct {
	at      clock.Nanos // when it was granted; 0: never
	epoch   uint64
	address string
}

type receivedVote struct {
	sentAt   clock.Nanos // when the probe was sent that the vote answers
	excluded []byte
}

// New returns the Lease of a router that has just started. The votes that the router cast before its start are unknown,
// so it neither grants leases nor excludes routers for a term.
func New(settings Settings, now clock.Nanos) (*Lease, error) {
	settings.RouterNames = slices.Clone(settings.RouterNames)
	slices.Sort(settings.RouterNames)
	lease := &Lease{settings: settings, namesHash: hashNames(settings.RouterNames), indexByName: map[string]int{}, startedAt: now}
	for i, name := range settings.RouterNames {
		lease.indexByName[name] = i
	}
	var errs []error
	if _, ok := lease.indexByName[settings.Self]; !ok {
		errs = append(errs, fmt.Errorf("quotalease: this router's name %q is not among the router names", settings.Self))
	}
	if len(lease.indexByName) != len(settings.RouterNames) {
		errs = append(errs, errors.New("quotalease: duplicate router name"))
	}
	if settings.Term <= 0 {
		errs = append(errs, errors.New("quotalease: the term must be above 0"))
	}
	if !(settings.IsolatedShare >= 0 && settings.IsolatedShare <= 1) {
		errs = append(errs, fmt.Errorf("quotalease: alone: %v is not between 0 and 1", settings.IsolatedShare))
	}
	routerCount := len(settings.RouterNames)
	lease.grantedTo, lease.excludedAt, lease.grantedBy, lease.votes = make([]grantedLease, routerCount), make([]clock.Nanos, routerCount), make([]clock.Nanos, routerCount), make([]receivedVote, routerCount)
	return lease, errors.Join(errs...)
}

// hashNames returns a hash by which two routers detect different lists of names.
func hashNames(names []string) uint64 {
	hash := fnv.New64a()
	for _, name := range names {
		hash.Write([]byte(name + "\n"))
	}
	return hash.Sum64()
}

// isBinding reports whether a lease or an exclusion in a vote that this router cast at a given time still binds it.
func (lease *Lease) isBinding(votedAt, now clock.Nanos) bool {
	return votedAt != 0 && float64(now-votedAt) < clockDrift*float64(lease.settings.Term)
}

// isQuarantined reports whether votes that this router cast before its restart may still bind it.
func (lease *Lease) isQuarantined(now clock.Nanos) bool {
	return float64(now-lease.startedAt) < clockDrift*float64(lease.settings.Term)
}

// Vote returns this router's answer to a probe from the router with a name, which also sent its epoch and address.
// isRemoved reports which routers this one believes to be dead or departed; it may be wrong.
func (lease *Lease) Vote(now clock.Nanos, name string, epoch uint64, address string, isRemoved func(name string) bool) Vote {
	if lease.isQuarantined(now) {
		return Vote{}
	}
	vote := Vote{NamesHash: lease.namesHash, Excluded: lease.excluded(now, isRemoved)}
	i, ok := lease.indexByName[name]
	if !ok || lease.isBinding(lease.excludedAt[i], now) {
		return vote
	}
	if granted := &lease.grantedTo[i]; lease.isBinding(granted.at, now) && granted.epoch != epoch && granted.address != address {
		return vote // another process of that name may still use the share
	}
	lease.grantedTo[i], vote.Granted = grantedLease{now, epoch, address}, true
	return vote
}

// excluded returns the bitmap of the routers that this one excludes from now on: those that it believes to be removed
// and to which no lease binds it.
func (lease *Lease) excluded(now clock.Nanos, isRemoved func(string) bool) []byte {
	bits := make([]byte, (len(lease.settings.RouterNames)+7)/8)
	for i, name := range lease.settings.RouterNames {
		if name != lease.settings.Self && !lease.isBinding(lease.grantedTo[i].at, now) && isRemoved(name) {
			lease.excludedAt[i] = now
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// AddVote processes a router's vote, received in answer to a probe sent at a given time.
func (lease *Lease) AddVote(sentAt clock.Nanos, from string, vote Vote) {
	i, ok := lease.indexByName[from]
	if !ok || vote.NamesHash != lease.namesHash || from == lease.settings.Self || len(vote.Excluded) != (len(lease.settings.RouterNames)+7)/8 || sentAt <= lease.votes[i].sentAt {
		return // unknown sender, outdated vote, or other router names, with which bitmap and majority differ
	}
	lease.votes[i] = receivedVote{sentAt, vote.Excluded}
	if vote.Granted {
		lease.grantedBy[i] = sentAt
	}
}

// Quota is the share that a router may use at present.
type Quota struct {
	Share      float64     // of the total
	ValidUntil clock.Nanos // when Share expires unless further votes arrive; from then on MinShare applies
	MinShare   float64     // share that this router may use even while it is no holder
	IsHolder   bool        // so many routers have granted this one a lease that no majority excludes it
	Excluded   int         // number of routers whose shares are divided among the others
}

// Quota returns this router's present share.
func (lease *Lease) Quota(now clock.Nanos, isRemoved func(string) bool) Quota {
	routerCount := len(lease.settings.RouterNames)
	quota := Quota{MinShare: lease.settings.IsolatedShare / float64(routerCount), ValidUntil: now}
	quota.Share = quota.MinShare
	majority := routerCount/2 + 1
	validUntil, ok := lease.validUntil(lease.grantedBy, routerCount-majority, now) // and its own vote
	if !ok {
		return quota
	}
	quota.IsHolder, quota.ValidUntil = true, validUntil
	var own []byte
	if !lease.isQuarantined(now) {
		own = lease.excluded(now, isRemoved)
	}
	exclusions := make([]clock.Nanos, 0, routerCount) // send times of the probes whose votes exclude router i
	for i := range lease.settings.RouterNames {
		exclusions = exclusions[:0]
		for j, vote := range lease.votes {
			if j != i && vote.excluded != nil && vote.excluded[i/8]&(1<<(i%8)) != 0 {
				exclusions = append(exclusions, vote.sentAt)
			}
		}
		needed := majority
		if own != nil && own[i/8]&(1<<(i%8)) != 0 {
			needed--
		}
		if validUntil, ok := lease.validUntil(exclusions, needed, now); ok {
			quota.Excluded++
			quota.ValidUntil = min(quota.ValidUntil, validUntil)
		}
	}
	quota.Share += (1 - lease.settings.IsolatedShare) / float64(routerCount-quota.Excluded)
	return quota
}

// validUntil returns when the number of valid votes will fall below the needed number, given the send times of the
// probes that the votes answer. It returns false if fewer are valid already.
func (lease *Lease) validUntil(sentAt []clock.Nanos, needed int, now clock.Nanos) (clock.Nanos, bool) {
	if needed <= 0 {
		return now + lease.settings.Term, true
	}
	valid := slices.DeleteFunc(slices.Clone(sentAt), func(at clock.Nanos) bool { return at == 0 || now-at >= lease.settings.Term })
	if len(valid) < needed {
		return 0, false
	}
	slices.Sort(valid)
	return valid[len(valid)-needed] + lease.settings.Term, true
}
