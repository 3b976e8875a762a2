// Package quotalease decides this router's share of what all routers divide among themselves: slow-start budgets,
// limits and contracts. Each router has an even share; when other routers are safely excluded, the rest take over their
// shares. The shares never sum up to more than 1, whatever is paused, lost, partitioned or restarted, and however wrong
// the membership views are.
//
// The share is a lease granted by votes. A router that answers another router's probe grants it a lease: it will not
// exclude the prober until the term is over. A router that excludes another has not granted it a lease within a term,
// and will not grant one for another term. A router is a holder while so many routers, itself included, have granted it
// a lease within the term that the rest are less than a majority. A holder divides by the number of routers, leaving
// out only those that a majority excludes. The routers that grant a holder its lease and any majority share at least
// one router, which never both grants to and excludes the same router within a term; so no majority, and therefore no
// router, leaves out a holder. If E of N routers are left out, at most N-E are holders with a share of at most 1/(N-E)
// each, so the sum is at most 1. Both sides measure the term on their own clocks: the prober from when it sent the
// probe, and the voter from when it answered, for a twentieth longer. Delays therefore only shorten the lease.
package quotalease

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"

	"lotushook/policy/clock"
)

// clockDrift is the factor by which a voter is bound longer than others rely on its vote; the relative drift of two
// clocks must stay below it.
const clockDrift = 1.05

// Settings are the settings of one router.
type Settings struct {
	RouterNames   []string // all routers of the installation, including this one; the same on all routers
	Self          string
	Term          clock.Nanos // how long a vote is valid
	IsolatedShare float64     // 0 to 1: part of its even share that a possibly excluded router uses; 1: fixed shares
}

// Vote is a router's promise to the router whose probe it answers.
type Vote struct {
	NamesHash uint64 // of the sender's Settings.RouterNames
	Granted   bool   // the sender will not exclude the prober for a term
	Excluded  []byte // bitmap by name index: the routers that the sender excludes, and grants no lease for a term
}

// Lease holds the votes that one router cast and received. It is not safe for concurrent use; its size depends only on
// the number of names.
type Lease struct {
	settings    Settings
	namesHash   uint64
	indexByName map[string]int
	startedAt   clock.Nanos
	grantedTo   []grantedLease // by this router
	excludedAt  []clock.Nanos  // when this router last excluded each router; 0: never
	grantedBy   []clock.Nanos  // when this router sent the probe that each router granted a lease for; 0: none
	votes       []receivedVote // the latest exclusions of each router
}

type grantedLease struct {
	at      clock.Nanos // 0: never
	epoch   uint64
	address string
}

type receivedVote struct {
	sentAt   clock.Nanos // when the probe was sent
	excluded []byte
}

// New returns the lease of a router that has just started. Its votes from before the start are unknown, so it grants
// nothing for a term.
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
	n := len(settings.RouterNames)
	lease.grantedTo, lease.excludedAt, lease.grantedBy, lease.votes = make([]grantedLease, n), make([]clock.Nanos, n), make([]clock.Nanos, n), make([]receivedVote, n)
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

// isBinding reports whether a vote that this router cast at a given time still binds it.
func (l *Lease) isBinding(votedAt, now clock.Nanos) bool {
	return votedAt != 0 && float64(now-votedAt) < clockDrift*float64(l.settings.Term)
}

// isQuarantined reports whether votes that this router cast before its restart may still bind it.
func (l *Lease) isQuarantined(now clock.Nanos) bool {
	return float64(now-l.startedAt) < clockDrift*float64(l.settings.Term)
}

// Vote returns the vote for a router that probed this one. isRemoved reports which routers this one believes to be dead
// or departed; it may be wrong.
func (l *Lease) Vote(now clock.Nanos, name string, epoch uint64, address string, isRemoved func(name string) bool) Vote {
	if l.isQuarantined(now) {
		return Vote{}
	}
	vote := Vote{NamesHash: l.namesHash, Excluded: l.excluded(now, isRemoved)}
	i, ok := l.indexByName[name]
	if !ok || l.isBinding(l.excludedAt[i], now) {
		return vote
	}
	if granted := &l.grantedTo[i]; l.isBinding(granted.at, now) && granted.epoch != epoch && granted.address != address {
		return vote // another process of that name may still hold the share
	}
	l.grantedTo[i], vote.Granted = grantedLease{now, epoch, address}, true
	return vote
}

// excluded returns the bitmap of the routers that this one excludes from now on.
func (l *Lease) excluded(now clock.Nanos, isRemoved func(string) bool) []byte {
	bits := make([]byte, (len(l.settings.RouterNames)+7)/8)
	for i, name := range l.settings.RouterNames {
		if name != l.settings.Self && !l.isBinding(l.grantedTo[i].at, now) && isRemoved(name) {
			l.excludedAt[i] = now
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// AddVote processes a router's vote, received in answer to a probe sent at a given time.
func (l *Lease) AddVote(sentAt clock.Nanos, from string, vote Vote) {
	i, ok := l.indexByName[from]
	if !ok || vote.NamesHash != l.namesHash || from == l.settings.Self || len(vote.Excluded) != (len(l.settings.RouterNames)+7)/8 || sentAt <= l.votes[i].sentAt {
		return // unknown or outdated, or from a router with other names, whose bitmap and majority differ
	}
	l.votes[i] = receivedVote{sentAt, vote.Excluded}
	if vote.Granted {
		l.grantedBy[i] = sentAt
	}
}

// Quota is the share in force.
type Quota struct {
	Share      float64     // of the total
	ValidUntil clock.Nanos // when Share expires without further votes; MinShare applies from then on
	MinShare   float64     // this router's share in any case
	IsHolder   bool        // certainly no majority excludes this router
	Excluded   int         // number of routers whose shares are divided among the rest
}

// Quota returns this router's present share.
func (l *Lease) Quota(now clock.Nanos, isRemoved func(string) bool) Quota {
	n := len(l.settings.RouterNames)
	quota := Quota{MinShare: l.settings.IsolatedShare / float64(n), ValidUntil: now}
	quota.Share = quota.MinShare
	majority := n/2 + 1
	validUntil, ok := l.validUntil(l.grantedBy, n-majority, now) // with its own vote, that leaves less than a majority
	if !ok {
		return quota
	}
	quota.IsHolder, quota.ValidUntil = true, validUntil
	var own []byte
	if !l.isQuarantined(now) {
		own = l.excluded(now, isRemoved)
	}
	exclusions := make([]clock.Nanos, 0, n) // send times of the probes whose votes exclude router i
	for i := range l.settings.RouterNames {
		exclusions = exclusions[:0]
		for j, vote := range l.votes {
			if j != i && vote.excluded != nil && vote.excluded[i/8]&(1<<(i%8)) != 0 {
				exclusions = append(exclusions, vote.sentAt)
			}
		}
		needed := majority
		if own != nil && own[i/8]&(1<<(i%8)) != 0 {
			needed--
		}
		if validUntil, ok := l.validUntil(exclusions, needed, now); ok {
			quota.Excluded++
			quota.ValidUntil = min(quota.ValidUntil, validUntil)
		}
	}
	quota.Share += (1 - l.settings.IsolatedShare) / float64(n-quota.Excluded)
	return quota
}

// validUntil returns when the number of valid votes will fall below the needed one, given the send times of their
// probes; false if it already has.
func (l *Lease) validUntil(sentAt []clock.Nanos, needed int, now clock.Nanos) (clock.Nanos, bool) {
	if needed <= 0 {
		return now + l.settings.Term, true
	}
	valid := slices.DeleteFunc(slices.Clone(sentAt), func(at clock.Nanos) bool { return at == 0 || now-at >= l.settings.Term })
	if len(valid) < needed {
		return 0, false
	}
	slices.Sort(valid)
	return valid[len(valid)-needed] + l.settings.Term, true
}
