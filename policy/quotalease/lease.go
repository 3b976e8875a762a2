// Package quotalease decides which part of what all routers share is this router's: of a cold server's budget, of limits, of
// contracts. Each has an even part; when routers are gone beyond doubt those that are left take over what was theirs. The
// parts of all never add up to more than the whole, whatever is paused, lost, cut or restarted, and however wrong views are.
//
// It rests on promises with a term. Whoever answers a router's question grants it a term: it will not call the router gone
// before the term is over. Whoever calls a router gone has not granted it anything for a term, and will not for another. A
// router counts itself among the holders while as many grants as make the rest less than a majority are younger than the
// term, and leaves out of its count only those that a majority calls gone. As the two always share a router, and that one
// does not say both within a term, nobody is left out by anybody while it is a holder: of N routers with E left out at most
// N-E hold, each has one part in N-E at the most, and the sum is 1 at the most. Both sides measure on their own clocks, the
// asker from when it asked and the promiser, a twentieth longer, from when it answered: delays shorten what is held.
package quotalease

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"

	"lotushook/policy/clock"
)

// longer is how much longer promises are kept than they are believed: clocks may run so far apart.
const clockDrift = 1.05

// Settings are what one router goes by.
type Settings struct {
	Names         []string // all routers of the installation, this one too; the same on all
	Self          string
	Term          clock.Nanos // of a promise
	IsolatedShare float64     // from 0 to 1: what a router keeps of an even part when it may have been left out. 1: parts are fixed
}

// Vote is what a router promises in an answer.
type Vote struct {
	NamesHash uint64 // of the names that it goes by
	Granted   bool   // who asked is not called gone for a term
	Excluded  []byte // a bit for each name that is: it is granted nothing for a term
}

// Lease are one router's promises, and what was promised to it. They belong to one goroutine; what they hold follows from
// the number of names.
type Lease struct {
	settings    Settings
	namesHash   uint64
	indexByName map[string]int
	startedAt   clock.Nanos
	grantedTo   []grantedLease // by this router
	excludedAt  []clock.Nanos  // when it last called each gone; 0: never
	grantedBy   []clock.Nanos  // to this router, by when it asked; 0: none
	votes       []receivedVote // what each last said of the others
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

// New returns the parts of a router that has just started. It has forgotten what it promised before: it promises
// nothing for a term.
func New(s Settings, now clock.Nanos) (*Lease, error) {
	s.Names = slices.Clone(s.Names)
	slices.Sort(s.Names)
	p := &Lease{settings: s, namesHash: hashNames(s.Names), indexByName: map[string]int{}, startedAt: now}
	for i, name := range s.Names {
		p.indexByName[name] = i
	}
	var errs []error
	if _, ok := p.indexByName[s.Self]; !ok {
		errs = append(errs, fmt.Errorf("part: %q is not among the names", s.Self))
	}
	if len(p.indexByName) != len(s.Names) {
		errs = append(errs, errors.New("part: a name is there twice"))
	}
	if s.Term <= 0 {
		errs = append(errs, errors.New("part: no term"))
	}
	if !(s.IsolatedShare >= 0 && s.IsolatedShare <= 1) {
		errs = append(errs, fmt.Errorf("part: alone: %v is not between 0 and 1", s.IsolatedShare))
	}
	n := len(s.Names)
	p.grantedTo, p.excludedAt, p.grantedBy, p.votes = make([]grantedLease, n), make([]clock.Nanos, n), make([]clock.Nanos, n), make([]receivedVote, n)
	return p, errors.Join(errs...)
}

// hashNames tells whether two routers go by the same names.
func hashNames(names []string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		h.Write([]byte(name + "\n"))
	}
	return h.Sum64()
}

// isBinding says whether a promise that this router made at a time still binds it.
func (p *Lease) isBinding(at, now clock.Nanos) bool {
	return at != 0 && float64(now-at) < clockDrift*float64(p.settings.Term)
}

// isQuarantined says whether promises that were made before this start may still bind.
func (p *Lease) isQuarantined(now clock.Nanos) bool {
	return float64(now-p.startedAt) < clockDrift*float64(p.settings.Term)
}

// Vote is what to promise a router that asked. dead says whom this router believes to be dead or departed: it is free to
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
		return r // another process of that name may still hold the part
	}
	p.grantedTo[i], r.Granted = grantedLease{now, boot, address}, true
	return r
}

// excluded are those that this router calls gone from now on.
func (p *Lease) excluded(now clock.Nanos, dead func(string) bool) []byte {
	bits := make([]byte, (len(p.settings.Names)+7)/8)
	for i, name := range p.settings.Names {
		if name != p.settings.Self && !p.isBinding(p.grantedTo[i].at, now) && dead(name) {
			p.excludedAt[i] = now
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// AddVote takes in what a router promised in answer to a question asked at a time.
func (p *Lease) AddVote(asked clock.Nanos, from string, r Vote) {
	i, ok := p.indexByName[from]
	if !ok || r.NamesHash != p.namesHash || from == p.settings.Self || len(r.Excluded) != (len(p.settings.Names)+7)/8 || asked <= p.votes[i].at {
		return // a router with other names counts otherwise
	}
	p.votes[i] = receivedVote{asked, r.Excluded}
	if r.Granted {
		p.grantedBy[i] = asked
	}
}

// Quota is what is in force.
type Quota struct {
	Share    float64     // of the whole
	Until    clock.Nanos // when Share ends unless more is heard; then it is Least
	Min      float64     // what this router has whatever happens
	IsHolder bool        // this router is sure that nobody leaves it out
	Excluded int         // whose parts are divided
}

// Quota says which part is this router's now.
func (p *Lease) Quota(now clock.Nanos, dead func(string) bool) Quota {
	n := len(p.settings.Names)
	f := Quota{Min: p.settings.IsolatedShare / float64(n), Until: now}
	f.Share = f.Min
	majority := n/2 + 1
	ends, ok := p.validUntil(p.grantedBy, n-majority, now) // this router grants itself one
	if !ok {
		return f
	}
	f.IsHolder, f.Until = true, ends
	var own []byte
	if !p.isQuarantined(now) {
		own = p.excluded(now, dead)
	}
	said := make([]clock.Nanos, 0, n)
	for i := range p.settings.Names {
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
			f.Until = min(f.Until, ends)
		}
	}
	f.Share += (1 - p.settings.IsolatedShare) / float64(n-f.Excluded)
	return f
}

// validUntil says until when so many promises last, if they do now.
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
