package contract

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Book holds what the teams have used, and decides. One goroutine owns it. It
// remembers a budget for each team and class, Settings.Shares of teams in groups,
// Settings.Keys keys, and a pressure for each group that it was told of.
type Book struct {
	set   Settings
	rng   *rand.Rand
	match *matcher
	teams []account
	share map[shareKey]*bucket
	press map[place]*pressure
	parts map[int64]*part
	all   part    // over all groups
	even  float64 // this router's share of the contracts; 0: one in Instances
	keys  map[string]Nanos
	order []string // of the keys, the oldest first
	lanes map[int]float64
	clock float64 // of the lanes

	waiting map[string]place
	atWork  []place // to be used again
}

type shareKey struct {
	team  int
	group int64
}

// account is one team's.
type account struct {
	classes []tally
	retry   bucket
	open    int
}

type tally struct {
	bucket bucket
	even   bucket // what the contract covers at the least: this router's even part
	Account
}

// Account is what a team has asked of a class and got.
type Account struct {
	Asked   uint64
	By      [Reasons]uint64 // grounds and refusals
	Served  uint64
	InAim   uint64
	Refused uint64 // by the router after it was taken
	Failed  uint64
	Worth   float64 // earned
}

// part is how much of the traffic this router sees.
type part struct{ mine, all float64 }

// New returns a book in which nothing has been used.
func New(s Settings, seed uint64) (*Book, error) {
	b := &Book{rng: rand.New(rand.NewPCG(seed, 0xc0)), share: map[shareKey]*bucket{}, press: map[place]*pressure{}, lanes: map[int]float64{}, waiting: map[string]place{}, parts: map[int64]*part{}, keys: map[string]Nanos{}}
	if err := b.Set(s); err != nil {
		return nil, err
	}
	return b, nil
}

// Set puts other contracts in force in one step. What a team of the same name has
// used stays used, and its open requests stay open under what they were taken
// under. It returns where each old team stands now, -1 for one that is gone.
func (b *Book) Set(s Settings) error {
	if err := s.Check(); err != nil {
		return fmt.Errorf("contracts: %w", err)
	}
	old, teams, share := b.teams, make([]account, len(s.Teams)), map[shareKey]*bucket{}
	was := map[string]int{}
	for i, t := range b.set.Teams {
		was[t.Name] = i
	}
	classes := map[string]int{}
	for i, c := range b.set.Classes {
		classes[c.Name] = i
	}
	now := map[int]int{}
	for i, t := range s.Teams {
		teams[i].classes = make([]tally, len(s.Classes))
		j, ok := was[t.Name]
		if !ok {
			continue
		}
		now[j] = i
		teams[i].retry, teams[i].open = old[j].retry, old[j].open
		for c := range s.Classes {
			if k, ok := classes[s.Classes[c].Name]; ok {
				teams[i].classes[c] = old[j].classes[k]
			}
		}
	}
	for k, v := range b.share {
		if i, ok := now[k.team]; ok {
			share[shareKey{i, k.group}] = v
		}
	}
	for _, p := range b.press { // turns begin anew; who waits goes on waiting
		clear(p.lanes)
		for i := range p.waits {
			if j, ok := now[p.waits[i].Team]; ok {
				p.waits[i].Team = j
			} else {
				p.waits[i].Team = -1
			}
		}
	}
	clear(b.lanes)
	b.set, b.teams, b.share, b.match = s, teams, share, newMatcher(s.Teams)
	return nil
}

// Team is the number of a team, -1 where there is none of the name.
func (b *Book) Team(name string) int {
	if list := b.match.names[name]; len(list) > 0 {
		return list[0]
	}
	return -1
}

// Name is a team's name.
func (b *Book) Name(team int) string {
	if team < 0 || team >= len(b.set.Teams) {
		return ""
	}
	return b.set.Teams[team].Name
}

// Divide puts another even share in force, as when other routers' parts have been divided: what this router takes itself to
// see of the load at the least. All routers' shares together must not exceed 1. One that sees much may have a small share
// while others divide its part: all together then admit 2 Skew Instances times a contract at the most, in place of Multiple.
func (b *Book) Divide(share float64) { b.even = share }

// Load takes in a report: of what a server of a group holds, so many are this
// router's. From it follows how much of the contracts is enforced here.
func (b *Book) Load(group int64, mine, all int) {
	if all <= 0 || mine < 0 {
		return
	}
	mine = min(mine, all)
	p := b.parts[group]
	if p == nil {
		if len(b.parts) >= b.set.Shares {
			clear(b.parts)
		}
		p = &part{}
		b.parts[group] = p
	}
	p.add(mine, all)
	b.all.add(mine, all)
}

const reportKept = 0.9 // of the older reports, with each new one

func (p *part) add(mine, all int) {
	p.mine, p.all = p.mine*reportKept+float64(mine), p.all*reportKept+float64(all)
}

// Part is the share of a contract that this router lets through. Routers can't
// talk. In usual times each lets through the most that it may see of a team's
// traffic; one that sees a larger part of the load than its even share, as when
// another has died, lets through as much more. So all together admit at most
// Multiple times a contract, and never less than the contract where no router
// sees more of a team's traffic than its part.
func (b *Book) Part(group int64) float64 {
	p := b.parts[group]
	if p == nil {
		p = &part{}
	}
	return b.part(p)
}

const fewReports = 20 // requests in reports: less tells nothing

func (b *Book) part(p *part) float64 {
	n := float64(b.set.Instances)
	seen := cmp.Or(b.even, 1/n)
	if p.all >= fewReports {
		seen = max(seen, p.mine/p.all)
	}
	return min(1, b.set.Skew*n*seen)
}

// Multiple bounds what all routers together admit, as a multiple of a contract.
// What they see of the load adds up to no more than all of it, so only some can
// see so much that they let all through; the others let through Skew.
func (s *Settings) Multiple() float64 {
	n, skew := float64(s.Instances), s.Skew
	whole := math.Floor(skew*n + 1e-9) // each of them sees 1/(skew n) of the load
	rest := 1 - whole/(skew*n)
	return min(n, whole+(n-whole)*skew+max(0, skew*n*rest-skew))
}

// times is how much larger a team's contract is by the hours.
func (b *Book) times(t *Team, now Nanos) float64 {
	if len(t.Hours) == 0 {
		return 1
	}
	at := ((now/second+b.set.OffsetS-monday)%week + week) % week
	most := 1.0
	for _, h := range t.Hours {
		if at >= h.From && at < h.To || at+week < h.To {
			most = max(most, h.Times)
		}
	}
	return most
}

// Ask decides on a request that has just come. One that is taken is open until
// Ended.
func (b *Book) Ask(r Request, now Nanos) Verdict {
	if r.Team < 0 || r.Team >= len(b.teams) {
		return Verdict{Reason: Unknown}
	}
	t, a := &b.set.Teams[r.Team], &b.teams[r.Team]
	if r.Class < 0 || r.Class >= len(a.classes) {
		return Verdict{Reason: NoClass}
	}
	c := &a.classes[r.Class]
	c.Asked++
	v := b.judge(r, t, a, c, now)
	if v.After {
		b.queue(r, t, &v, now)
	}
	if c.By[v.Reason]++; v.Instead != nil {
		b.turned(v.Instead)
	}
	if v.Reason.Taken() {
		a.open++
	} else if v.Wait > 0 {
		v.Wait = b.later(v.Wait)
	}
	return v
}

const (
	retryBurst = 10 // repeats that a team may make at once
	comeBack   = second / 2
)

// judge finds the ground on which a request is taken, or why it is not. What is
// within is always taken.
func (b *Book) judge(r Request, t *Team, a *account, c *tally, now Nanos) Verdict {
	class, limit := &b.set.Classes[r.Class], t.Limits[r.Class]
	times, part := b.times(t, now), b.part(&b.all)
	rate, burst := limit.PerS*times*part, max(1, limit.Burst*times) // a burst may come to one router alone
	c.bucket.refill(now, rate)
	if at, ok := b.keys[r.Key]; ok && r.Key != "" && now-at < max(class.Window, second) { // its answer is owed
		c.bucket.take(1, burst)
		return Verdict{Reason: Repeat}
	}
	if limit.PerS <= 0 {
		return Verdict{Reason: NoClass}
	}
	if most := max(1, float64(t.Open)*times*part); t.Open > 0 && float64(a.open) >= most {
		return Verdict{Reason: OpenFull, Limit: float64(t.Open) * times, Wait: comeBack}
	}
	v := Verdict{Reason: Within}
	if r.Retry {
		if a.retry.has(1, retryBurst) {
			a.retry.take(1, retryBurst)
		} else {
			v = Verdict{Reason: RetryOver, Limit: t.Retry, Wait: comeBack}
		}
	} else {
		a.retry.spent = max(0, a.retry.spent-t.Retry)
	}
	if v.Reason == Within && !c.bucket.has(1, burst) {
		v = Verdict{Reason: RateOver, Limit: limit.PerS * times, Wait: c.bucket.wait(1, burst, rate)}
	}
	var share *bucket
	shareRate := t.PrimaryShare * b.set.PrimaryPerS * times * b.Part(r.Group)
	shareBurst := max(class.Cost, t.PrimaryShare*b.set.PrimaryPerS*times) // a second's
	if v.Reason == Within && class.Primary && t.PrimaryShare > 0 {
		share = b.shareOf(shareKey{r.Team, r.Group}, now)
		share.refill(now, shareRate)
		if !share.has(class.Cost, shareBurst) {
			v = Verdict{Reason: ShareOver, Limit: t.PrimaryShare, Wait: share.wait(class.Cost, shareBurst, shareRate)}
		}
	}
	if v.Reason == Within {
		c.bucket.take(1, burst)
		if share != nil {
			share.take(class.Cost, shareBurst)
		}
		slack := b.set.Skew * float64(b.set.Instances) // what the part has beyond the load that is seen
		c.even.refill(now, rate/slack)
		if v.After = !c.even.has(1, burst); !v.After {
			c.even.take(1, burst)
		}
		return v
	}
	v.After = true
	return v
}

// queue lets a request go on that others are placed before, has it wait for its
// turn, or leaves it refused.
func (b *Book) queue(r Request, t *Team, v *Verdict, now Nanos) {
	p, aim := b.pressure(r, now), b.set.Classes[r.Class].Aim
	within := v.Reason == Within
	if len(p.waits) == 0 && p.room() {
		p.open()
		*v = Verdict{Reason: Borrowed, After: true}
		if within {
			v.Reason = Within
		}
		return
	}
	until := now + aim/2
	if r.Until > 0 {
		until = min(until, now+(r.Until-now)*2/5) // a refusal past the half is charged
	}
	gone := p.wait(waiter{Request: r, verdict: *v, until: until, within: within}, t.Worth, aim)
	b.waiting[r.ID] = place{r.Group, b.set.Classes[r.Class].Primary}
	if gone != nil && gone.ID == r.ID {
		delete(b.waiting, r.ID)
		v.After = false
		return
	}
	if gone != nil {
		delete(b.waiting, gone.ID)
		gone.verdict.After = false
		v.Instead = &Turn{gone.ID, gone.verdict}
		b.recount(gone.Request, gone.verdict.Reason)
	}
	*v = Verdict{Reason: Borrowed, After: true, Hold: true, Instead: v.Instead}
	if within {
		v.Reason = Within
	}
}

// recount moves one that was counted as borrowed to why it is refused.
func (b *Book) recount(r Request, to Reason) {
	if r.Team >= 0 && r.Team < len(b.teams) {
		c := &b.teams[r.Team].classes[r.Class]
		c.By[Borrowed]--
		c.By[to]++
	}
}

// turned gives a refusal its time to return.
func (b *Book) turned(t *Turn) {
	if t.Wait > 0 {
		t.Wait = b.later(t.Wait)
	}
}

// Due is what becomes of those that wait: they go on, or are refused because
// their time is over. It wants to be called after each end, and some times a
// second while any wait.
func (b *Book) Due(now Nanos) []Turn {
	if len(b.waiting) == 0 {
		return nil
	}
	var out []Turn
	done := func(w *waiter, v Verdict) {
		delete(b.waiting, w.ID)
		out = append(out, Turn{w.ID, v})
	}
	for _, k := range b.places() {
		p := b.press[k]
		p.move(now, b.set.High, b.set.Low)
		for w := p.next(); w != nil; w = p.next() {
			done(w, Verdict{Reason: Borrowed, After: true})
		}
		for w := p.expired(now); w != nil; w = p.expired(now) {
			if w.within {
				p.open()
				done(w, Verdict{Reason: Within, After: true})
				continue
			}
			w.verdict.After = false
			t := Turn{w.ID, w.verdict}
			b.turned(&t)
			b.recount(w.Request, t.Reason)
			done(w, t.Verdict)
		}
	}
	return out
}

// Waiting is how many wait for their turns.
func (b *Book) Waiting() int { return len(b.waiting) }

// Drop forgets one that waits, as its client has left. It says whether it waited.
func (b *Book) Drop(id string) bool {
	k, ok := b.waiting[id]
	if !ok {
		return false
	}
	delete(b.waiting, id)
	p := b.press[k]
	p.waits = slices.DeleteFunc(p.waits, func(w waiter) bool { return w.ID == id })
	return true
}

// places are those at which any wait, in order.
func (b *Book) places() []place {
	b.atWork = b.atWork[:0]
	for k, p := range b.press {
		if len(p.waits) > 0 {
			b.atWork = append(b.atWork, k)
		}
	}
	slices.SortFunc(b.atWork, func(x, y place) int {
		if x.group != y.group {
			return cmp.Compare(x.group, y.group)
		}
		if x.primary == y.primary {
			return 0
		}
		if x.primary {
			return -1
		}
		return 1
	})
	return b.atWork
}

// shareOf is a team's budget at a group's primary. Where too many are remembered
// those that are full are forgotten, and failing that all: each starts full.
func (b *Book) shareOf(k shareKey, now Nanos) *bucket {
	s := b.share[k]
	if s == nil {
		if len(b.share) >= b.set.Shares {
			for k, v := range b.share {
				if v.spent == 0 || now-v.at > second {
					delete(b.share, k)
				}
			}
			if len(b.share) >= b.set.Shares {
				clear(b.share)
			}
		}
		s = &bucket{at: now}
		b.share[k] = s
	}
	return s
}

func (b *Book) pressure(r Request, now Nanos) *pressure {
	k := place{r.Group, b.set.Classes[r.Class].Primary}
	p := b.press[k]
	if p == nil {
		if len(b.press) >= b.set.Shares { // groups come and go
			for k, p := range b.press {
				if p.out == 0 && len(p.waits) == 0 {
					delete(b.press, k)
				}
			}
		}
		p = newPressure(now)
		b.press[k] = p
	}
	p.move(now, b.set.High, b.set.Low)
	return p
}

// Ended takes in how a taken request ended; after is its verdict's. From those
// that others are not placed before it is felt how the group does; a keyed write
// that may have run is remembered.
func (b *Book) Ended(r Request, after bool, e End, now Nanos) {
	if r.Class < 0 || r.Class >= len(b.set.Classes) {
		return
	}
	class := &b.set.Classes[r.Class]
	if after {
		if p := b.press[place{r.Group, class.Primary}]; p != nil {
			p.out = max(0, p.out-1)
		}
	}
	if r.Team >= 0 && r.Team < len(b.teams) {
		a := &b.teams[r.Team]
		a.open = max(0, a.open-1)
		c := &a.classes[r.Class]
		switch {
		case e.Served:
			c.Served++
			if e.Took <= class.Aim {
				c.InAim++
				c.Worth += class.Worth
			}
		case e.MayRun:
			c.Failed++
		case !e.Gone:
			c.Refused++
		}
	}
	if r.Key != "" && !e.Served && e.MayRun {
		b.remember(r.Key, now)
	} else if e.Served {
		delete(b.keys, r.Key)
	}
	if after || e.Gone || class.Aim <= 0 {
		return
	}
	felt := trouble
	if e.Served {
		felt = min(trouble, float64(e.Took)/float64(class.Aim))
	}
	b.pressure(r, now).feel(felt)
}

// remember keeps a key; the oldest goes where there are too many.
func (b *Book) remember(key string, now Nanos) {
	if _, ok := b.keys[key]; !ok {
		b.order = append(b.order, key)
	}
	b.keys[key] = now
	for len(b.order) > b.set.Keys {
		delete(b.keys, b.order[0])
		b.order = b.order[1:]
	}
}

// later spreads a time to return, so that a team's clients don't return together.
func (b *Book) later(t Nanos) Nanos {
	t += Nanos(b.rng.Float64() * float64(comeBack))
	if b.set.LongBack > 0 {
		t = min(t, b.set.LongBack-Nanos(b.rng.Float64()*float64(b.set.LongBack)/4))
	}
	return t
}

// Window is how many requests beyond contracts may be open at a group's primary,
// or at its replicas, through this router.
func (b *Book) Window(group int64, primary bool) float64 {
	if p := b.press[place{group, primary}]; p != nil {
		return p.window
	}
	return unbound
}

// Size is how many budgets, keys and groups are remembered.
func (b *Book) Size() (shares, keys, places int) { return len(b.share), len(b.keys), len(b.press) }

// Accounts calls each with each team and class that was ever asked for.
func (b *Book) Accounts(each func(team, class string, a Account)) {
	for i := range b.teams {
		for c := range b.teams[i].classes {
			if a := b.teams[i].classes[c].Account; a.Asked > 0 {
				each(b.set.Teams[i].Name, b.set.Classes[c].Name, a)
			}
		}
	}
}
