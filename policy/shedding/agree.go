package shedding

import (
	"cmp"
	"slices"
)

// mostLoad and mostEpoch bound what a report may say.
const (
	mostLoad  = 1 << 24
	mostEpoch = 1 << 62
	enough    = 12 // fresh reports that stand for any number of routers
	sample    = 16 // the most of which the mean is taken: as many others as internal/peer pushes to at a time
)

// Joined is what reports of one group say together.
type Joined struct {
	Level int    // the mean of the wishes, weighted by load
	Epoch uint64 // the greatest
	Heard int    // routers with a fresh report that count
	Any   bool   // some wish is above 0
}

// Join is one answer for the same reports whatever their order, and whether some came twice: of each router the latest word of
// its latest start, if it is fresh; the older age of two copies of it holds, as ages tell too little of the way. Of many
// routers the freshest tell the mean: all of them would tell what it was half a Fresh ago.
func Join(reports []Report, fresh Nanos, most int) Joined {
	var j Joined
	latest := make(map[string]*Report, len(reports))
	for i := range reports {
		r := &reports[i]
		if r.Epoch < mostEpoch { // also of an old word: epochs only rise
			j.Epoch = max(j.Epoch, r.Epoch)
		}
		if old := latest[r.Name]; old == nil || old.compare(r) < 0 {
			latest[r.Name] = r
		}
	}
	list := make([]*Report, 0, len(latest))
	for _, r := range latest {
		if r.Age >= 0 && r.Age <= fresh && !r.Out {
			list = append(list, r)
		}
	}
	if j.Heard = len(list); j.Heard > sample {
		slices.SortFunc(list, func(x, y *Report) int { return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Name, y.Name)) })
		list = list[:sample]
	}
	sum, all := int64(0), int64(0)
	for _, r := range list {
		load, wish := max(0, min(mostLoad, r.Load))+1, max(0, min(most, r.Wish))
		sum, all = sum+load*int64(wish), all+load
		j.Any = j.Any || wish > 0
	}
	if all > 0 {
		j.Level = int((2*sum + all) / (2 * all)) // half is up
	}
	return j
}

// compare orders two words of one router.
func (r *Report) compare(s *Report) int {
	out := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(r.Boot, s.Boot), cmp.Compare(r.Seq, s.Seq), cmp.Compare(r.Age, s.Age), cmp.Compare(r.Wish, s.Wish), cmp.Compare(r.Load, s.Load),
		cmp.Compare(out(r.Out), out(s.Out)))
}

// Tick goes on to now with what the others report, each group's level first and then, where it is time, this router's wish.
// It returns what is to be told to the others. It wants to be called some times a Look.
func (l *Lanes) Tick(now Nanos, sight Sight, reports []Report) []Report {
	paused := now-l.ticked > l.set.Fresh || now < l.ticked
	if l.ticked = now; paused {
		l.woke = now
	}
	l.turn(now)
	byGroup := map[int64][]Report{}
	for _, r := range reports {
		if r.Name != l.set.Router {
			byGroup[r.Group] = append(byGroup[r.Group], r)
			l.group(r.Group, now) // others feel its pressure before any request of it came here
		}
	}
	var out []Report
	for _, number := range l.numbers() {
		g := l.groups[number]
		if paused {
			g.rest(now)
		}
		j := l.hear(number, g, byGroup[number], sight, now)
		if now-g.looked < l.set.Look {
			continue
		}
		g.look(&l.set, &l.order, now)
		if l.alone(g, now) {
			g.level = g.wish
		} else if g.wish > g.level && !g.whole {
			g.level = g.wish // it may rise on its own
		}
		if g.mute++; j.Any || g.level > 0 || g.wish > 0 {
			g.mute = 0
		}
		if g.spoke = l.set.Agreed && g.mute <= lastWords; g.spoke {
			g.seq++
			out = append(out, Report{Group: number, Name: l.set.Router, Boot: l.set.Boot, Seq: g.seq, Load: int64(g.rate), Wish: g.wish, Epoch: l.epoch})
		}
	}
	return out
}

const lastWords = 3 // a router says so often that there is nothing to shed any more

// rest forgets what was felt before this router was stopped: it tells nothing of now.
func (g *group) rest(now Nanos) {
	g.change(now)
	g.wholeAt = now // and nobody could be heard meanwhile
	g.pressure, g.calm, g.looked, g.spoke, g.now = 0, 0, now, false, 0
}

// numbers are the groups in order.
func (l *Lanes) numbers() []int64 {
	out := make([]int64, 0, len(l.groups))
	for n := range l.groups {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// hear takes the others' reports of a group in, and moves its level. Only whole evidence makes it fall: this router is on
// the larger side, hears and is heard, and knows what enough of the routers want now. Short of that it may rise.
func (l *Lanes) hear(number int64, g *group, reports []Report, sight Sight, now Nanos) Joined {
	if g.spoke {
		reports = append(reports, Report{Group: number, Name: l.set.Router, Boot: l.set.Boot, Seq: g.seq, Age: max(0, now-g.looked), Load: int64(g.rate), Wish: g.wish})
	}
	j := Join(reports, l.set.Fresh, l.order.most)
	if j.Epoch > l.epoch {
		l.epoch, l.turned = j.Epoch, now
	}
	g.heard = j.Heard
	need := min(l.set.Routers/2+1, enough)
	g.whole = l.set.Agreed && j.Heard >= need && sight.Majority && !sight.CutOff &&
		now-l.woke >= l.set.Fresh // what waited in its sockets while it was stopped looks fresh
	if g.whole || g.level == 0 && g.wish == 0 {
		g.wholeAt = now
	}
	switch {
	case g.whole:
		g.level = j.Level
	case l.alone(g, now):
	default: // of those that say nothing it is not known that they would have more shed: they count for none
		g.level = max(g.level, j.Level*min(j.Heard, need)/need)
	}
	return j
}

// alone says whether this router goes by its own pressure.
func (l *Lanes) alone(g *group, now Nanos) bool {
	g.alone = !l.set.Agreed || now-g.wholeAt >= l.set.Alone
	return g.alone
}

// turn begins another epoch when the present one is over by this router's clock. Whoever is first tells the others with its
// next report, and their own spans begin anew: no clock is compared with another, and the fastest one leads.
func (l *Lanes) turn(now Nanos) {
	switch {
	case l.turned == 0 || now < l.turned:
		l.turned = now
	case now-l.turned >= l.set.Epoch && l.epoch < mostEpoch-1:
		l.epoch, l.turned = l.epoch+1, now
	}
}

// Epoch is the number of the present salt.
func (l *Lanes) Epoch() uint64 { return l.epoch }
