// Package part decides which part of what all routers share is this router's: of a cold server's budget, of limits, of
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
)

// Nanos is a span or a point of this router's own clock, in nanoseconds.
type Nanos = int64

// longer is how much longer promises are kept than they are believed: clocks may run so far apart.
const longer = 1.05

// Settings are what one router goes by.
type Settings struct {
	Names []string // all routers of the installation, this one too; the same on all
	Self  string
	Term  Nanos   // of a promise
	Alone float64 // from 0 to 1: what a router keeps of an even part when it may have been left out. 1: parts are fixed
}

// Row is what a router promises in an answer.
type Row struct {
	List  uint64 // of the names that it goes by
	Grant bool   // who asked is not called gone for a term
	Gone  []byte // a bit for each name that is: it is granted nothing for a term
}

// Parts are one router's promises, and what was promised to it. They belong to one goroutine; what they hold follows from
// the number of names.
type Parts struct {
	set     Settings
	list    uint64
	index   map[string]int
	started Nanos
	granted []grant // by this router
	called  []Nanos // when it last called each gone; 0: never
	grants  []Nanos // to this router, by when it asked; 0: none
	rows    []row   // what each last said of the others
}

type grant struct {
	at      Nanos // 0: never
	boot    uint64
	address string
}

type row struct {
	at   Nanos
	gone []byte
}

// New returns the parts of a router that has just started. It has forgotten what it promised before: it promises
// nothing for a term.
func New(s Settings, now Nanos) (*Parts, error) {
	s.Names = slices.Clone(s.Names)
	slices.Sort(s.Names)
	p := &Parts{set: s, list: digest(s.Names), index: map[string]int{}, started: now}
	for i, name := range s.Names {
		p.index[name] = i
	}
	var errs []error
	if _, ok := p.index[s.Self]; !ok {
		errs = append(errs, fmt.Errorf("part: %q is not among the names", s.Self))
	}
	if len(p.index) != len(s.Names) {
		errs = append(errs, errors.New("part: a name is there twice"))
	}
	if s.Term <= 0 {
		errs = append(errs, errors.New("part: no term"))
	}
	if !(s.Alone >= 0 && s.Alone <= 1) {
		errs = append(errs, fmt.Errorf("part: alone: %v is not between 0 and 1", s.Alone))
	}
	n := len(s.Names)
	p.granted, p.called, p.grants, p.rows = make([]grant, n), make([]Nanos, n), make([]Nanos, n), make([]row, n)
	return p, errors.Join(errs...)
}

// digest tells whether two routers go by the same names.
func digest(names []string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		h.Write([]byte(name + "\n"))
	}
	return h.Sum64()
}

// within says whether a promise that this router made at a time still binds it.
func (p *Parts) within(at, now Nanos) bool {
	return at != 0 && float64(now-at) < longer*float64(p.set.Term)
}

// silent says whether promises that were made before this start may still bind.
func (p *Parts) silent(now Nanos) bool { return float64(now-p.started) < longer*float64(p.set.Term) }

// Answer is what to promise a router that asked. dead says whom this router believes to be dead or departed: it is free to
// be wrong.
func (p *Parts) Answer(now Nanos, name string, boot uint64, address string, dead func(name string) bool) Row {
	if p.silent(now) {
		return Row{}
	}
	r := Row{List: p.list, Gone: p.gone(now, dead)}
	i, ok := p.index[name]
	if !ok || p.within(p.called[i], now) {
		return r
	}
	if g := &p.granted[i]; p.within(g.at, now) && g.boot != boot && g.address != address {
		return r // another process of that name may still hold the part
	}
	p.granted[i], r.Grant = grant{now, boot, address}, true
	return r
}

// gone are those that this router calls gone from now on.
func (p *Parts) gone(now Nanos, dead func(string) bool) []byte {
	bits := make([]byte, (len(p.set.Names)+7)/8)
	for i, name := range p.set.Names {
		if name != p.set.Self && !p.within(p.granted[i].at, now) && dead(name) {
			p.called[i] = now
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// Heard takes in what a router promised in answer to a question asked at a time.
func (p *Parts) Heard(asked Nanos, from string, r Row) {
	i, ok := p.index[from]
	if !ok || r.List != p.list || from == p.set.Self || len(r.Gone) != (len(p.set.Names)+7)/8 || asked <= p.rows[i].at {
		return // a router with other names counts otherwise
	}
	p.rows[i] = row{asked, r.Gone}
	if r.Grant {
		p.grants[i] = asked
	}
}

// Force is what is in force.
type Force struct {
	Share  float64 // of the whole
	Until  Nanos   // when Share ends unless more is heard; then it is Least
	Least  float64 // what this router has whatever happens
	Holder bool    // this router is sure that nobody leaves it out
	Gone   int     // whose parts are divided
}

// Force says which part is this router's now.
func (p *Parts) Force(now Nanos, dead func(string) bool) Force {
	n := len(p.set.Names)
	f := Force{Least: p.set.Alone / float64(n), Until: now}
	f.Share = f.Least
	majority := n/2 + 1
	ends, ok := p.lasting(p.grants, n-majority, now) // this router grants itself one
	if !ok {
		return f
	}
	f.Holder, f.Until = true, ends
	var own []byte
	if !p.silent(now) {
		own = p.gone(now, dead)
	}
	said := make([]Nanos, 0, n)
	for i := range p.set.Names {
		said = said[:0]
		for j, r := range p.rows {
			if j != i && r.gone != nil && r.gone[i/8]&(1<<(i%8)) != 0 {
				said = append(said, r.at)
			}
		}
		need := majority
		if own != nil && own[i/8]&(1<<(i%8)) != 0 {
			need--
		}
		if ends, ok := p.lasting(said, need, now); ok {
			f.Gone++
			f.Until = min(f.Until, ends)
		}
	}
	f.Share += (1 - p.set.Alone) / float64(n-f.Gone)
	return f
}

// lasting says until when so many promises last, if they do now.
func (p *Parts) lasting(from []Nanos, need int, now Nanos) (Nanos, bool) {
	if need <= 0 {
		return now + p.set.Term, true
	}
	at := slices.DeleteFunc(slices.Clone(from), func(t Nanos) bool { return t == 0 || now-t >= p.set.Term })
	if len(at) < need {
		return 0, false
	}
	slices.Sort(at)
	return at[len(at)-need] + p.set.Term, true
}
