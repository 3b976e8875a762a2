// Package quotalease decides which share of what all routers divide is this router's: of slow-start budgets, of limits, of
// contracts. Each has an even share; when routers are excluded safely the others take over their shares. The
// shares never add up to more than 1, whatever is paused, lost, partitioned or restarted, and however wrong views are.
//
// It is a lease by votes. A router that answers another's probe grants it a lease: it will not exclude the router
// before the term is over. A router that excludes another has not granted it a lease within a term, and will not for another. A
// router counts itself among the holders while as many grants as make the rest less than a majority are younger than the
// term, and divides by a count without only those that a majority excludes. As the two sets always share a router, and that one
// does not say both within a term, no holder is excluded by any router: of N routers with E excluded at most
// N-E hold, each has a share of one in N-E at most, and the sum is 1 at most. Both sides measure on their own clocks, the
// prober from when it sent the probe and the voter, a twentieth longer, from when it answered: delays shorten the lease.
package quotalease

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"

	"lotushook/policy/clock"
)

// longer is how much longer votes bind than they are relied on: the drift of clocks is bounded by it.
const clockDrift = 1.05

// Settings are the settings of one router.
type Settings struct {
	RouterNames   []string // all routers of the installation, this one included; the same on all
	Self          string
	Term          clock.Nanos // of a vote
	IsolatedShare float64     // from 0 to 1: the part of an even share that a router uses when it may have been excluded. 1: shares are fixed
}

// Vote is what a router promises in an answer.
type Vote struct {
	NamesHash uint64 // of the names in its settings
	Granted   bool   // the prober is not excluded for a term
	Excluded  []byte // a bit for each name that is: it is granted nothing for a term
}

// Lease holds one router's votes, and those that it received. It is not safe for concurrent use; its size follows from
// the number of names.
type Lease struct {
	settings    Settings
	namesHash   uint64
	indexByName map[string]int
	startedAt   clock.Nanos
	grantedTo   []grantedLease // by this router
	excludedAt  []clock.Nanos  // when this router last excluded each; 0: never
	grantedBy   []clock.Nanos  // to this router, by when it sent the probe; 0: none
	votes       []receivedVote // each router's last exclusions
}

type grantedLease struct {
	at      clock.Nanos // 0: never
	epoch   uint64
	address string
}

type receivedVote struct {
	at       clock.Nanos
	excluded []byte
}

// New returns the lease of a router that has just started. It does not know its votes before: it grants
// nothing for a term.
func New(s Settings, now clock.Nanos) (*Lease, error) {
	s.RouterNames = slices.Clone(s.RouterNames)
	slices.Sort(s.RouterNames)
	p := &Lease{settings: s, namesHash: hashNames(s.RouterNames), indexByName: map[string]int{}, startedAt: now}
	for i, name := range s.RouterNames {
		p.indexByName[name] = i
	}
	var errs []error
	if _, ok := p.indexByName[s.Self]; !ok {
		errs = append(errs, fmt.Errorf("part: %q is not among the names", s.Self))
	}
	if len(p.indexByName) != len(s.RouterNames) {
		errs = append(errs, errors.New("part: a name is there twice"))
	}
	if s.Term <= 0 {
		errs = append(errs, errors.New("part: no term"))
	}
	if !(s.IsolatedShare >= 0 && s.IsolatedShare <= 1) {
		errs = append(errs, fmt.Errorf("part: alone: %v is not between 0 and 1", s.IsolatedShare))
	}
	n := len(s.RouterNames)
	p.grantedTo, p.excludedAt, p.grantedBy, p.votes = make([]grantedLease, n), make([]clock.Nanos, n), make([]clock.Nanos, n), make([]receivedVote, n)
	return p, errors.Join(errs...)
}

// hashNames shows whether two routers have the same names.
func hashNames(names []string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		h.Write([]byte(name + "\n"))
	}
	return h.Sum64()
}

// isBinding says whether a vote of this router from a given time still binds it.
func (p *Lease) isBinding(at, now clock.Nanos) bool {
	return at != 0 && float64(now-at) < clockDrift*float64(p.settings.Term)
}

// isQuarantined says whether votes made before this start may still bind.
func (p *Lease) isQuarantined(now clock.Nanos) bool {
	return float64(now-p.startedAt) < clockDrift*float64(p.settings.Term)
}

// Vote returns the vote for a router that probed this one. dead says which routers this one believes to be dead or departed: it may
// be wrong.
func (p *Lease) Vote(now clock.Nanos, name string, boot uint64, address string, dead func(name string) bool) Vote {
	if p.isQuarantined(now) {
		return Vote{}
	}
	r := Vote{NamesHash: p.namesHash, Excluded: p.excluded(now, dead)}
	i, ok := p.indexByName[name]
	if !ok || p.isBinding(p.excludedAt[i], now) {
		return r
	}
	if g := &p.grantedTo[i]; p.isBinding(g.at, now) && g.epoch != boot && g.address != address {
		return r // another process of that name may still hold the share
	}
	p.grantedTo[i], r.Granted = grantedLease{now, boot, address}, true
	return r
}

// excluded returns the routers that this one excludes from now on.
func (p *Lease) excluded(now clock.Nanos, dead func(string) bool) []byte {
	bits := make([]byte, (len(p.settings.RouterNames)+7)/8)
	for i, name := range p.settings.RouterNames {
		if name != p.settings.Self && !p.isBinding(p.grantedTo[i].at, now) && dead(name) {
			p.excludedAt[i] = now
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// AddVote processes a router's vote in answer to a probe sent at a given time.
func (p *Lease) AddVote(asked clock.Nanos, from string, r Vote) {
	i, ok := p.indexByName[from]
	if !ok || r.NamesHash != p.namesHash || from == p.settings.Self || len(r.Excluded) != (len(p.settings.RouterNames)+7)/8 || asked <= p.votes[i].at {
		return // a router with other names counts differently
	}
	p.votes[i] = receivedVote{asked, r.Excluded}
	if r.Granted {
		p.grantedBy[i] = asked
	}
}

// Quota is the share in force.
type Quota struct {
	Share      float64     // of the total
	ValidUntil clock.Nanos // when Share ends without further votes; then it is Min
	MinShare   float64     // this router's share in any case
	IsHolder   bool        // this router is certainly not excluded
	Excluded   int         // the routers whose shares are divided
}

// Quota returns this router's share now.
func (p *Lease) Quota(now clock.Nanos, dead func(string) bool) Quota {
	n := len(p.settings.RouterNames)
	f := Quota{MinShare: p.settings.IsolatedShare / float64(n), ValidUntil: now}
	f.Share = f.MinShare
	majority := n/2 + 1
	ends, ok := p.validUntil(p.grantedBy, n-majority, now) // this router grants itself one
	if !ok {
		return f
	}
	f.IsHolder, f.ValidUntil = true, ends
	var own []byte
	if !p.isQuarantined(now) {
		own = p.excluded(now, dead)
	}
	said := make([]clock.Nanos, 0, n)
	for i := range p.settings.RouterNames {
		said = said[:0]
		for j, r := range p.votes {
			if j != i && r.excluded != nil && r.excluded[i/8]&(1<<(i%8)) != 0 {
				said = append(said, r.at)
			}
		}
		need := majority
		if own != nil && own[i/8]&(1<<(i%8)) != 0 {
			need--
		}
		if ends, ok := p.validUntil(said, need, now); ok {
			f.Excluded++
			f.ValidUntil = min(f.ValidUntil, ends)
		}
	}
	f.Share += (1 - p.settings.IsolatedShare) / float64(n-f.Excluded)
	return f
}

// validUntil says until when so many votes last, if they do now.
func (p *Lease) validUntil(from []clock.Nanos, need int, now clock.Nanos) (clock.Nanos, bool) {
	if need <= 0 {
		return now + p.settings.Term, true
	}
	at := slices.DeleteFunc(slices.Clone(from), func(t clock.Nanos) bool { return t == 0 || now-t >= p.settings.Term })
	if len(at) < need {
		return 0, false
	}
	slices.Sort(at)
	return at[len(at)-need] + p.settings.Term, true
}
