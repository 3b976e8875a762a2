package shedding

const (
	trouble  = 1.5 // what a request counts as that was taken and not served, in aims
	few      = 3   // ends that tell something; fewer wait for more
	weight   = 4.0 // of what was felt before, against each end
	faded    = 0.8 // of the arrivals by standing is left, a look
	severe   = 2.0 // times High: then one look is enough to begin
	settle   = 2   // looks until a level shows in what ends
	mostCut  = 0.4 // of what is taken, in one look
	leastCut = 0.02
	give     = 0.04 // more than is taken, in one look: stepwise, or all that were shed return together
	giveMore = 0.01 // for each such step in a row
	mostGive = 0.15 // where all that would be taken is well below what was served when it was too much
	roomy    = 0.9  // of that
	calm     = 2    // looks under Low before anything is given
	mostStep = Steps / 4
)

// group is the pressure and the level of one group of data servers.
type group struct {
	level int // in force
	wish  int // this router's own
	spoke bool
	seq   uint64
	mute  int // looks since anybody had a level above 0

	hist  []float64 // arrivals by standing, fading
	now   float64   // arrivals since the last look
	rate  float64   // of them, a second
	sum   float64   // of ends since then: of their times as shares of their aims
	n     float64
	since Nanos // what came before it tells nothing of the present level

	open    int     // that came since
	per     float64 // sums over these: of 1/aim, and of arrival/aim with arrivals counted from base
	from    float64
	base    Nanos
	looked  Nanos
	looks   int // since the last change
	calm    int
	hot     int     // looks above High in a row, from level 0
	good    float64 // what was served, fading as hist does
	able    float64 // what was served, by good, when too much was taken lately: what the servers can do. 0: it has not been since all was released
	began   Nanos
	wholeAt Nanos // evidence was last whole

	pressure     float64
	heard        int
	whole, alone bool
}

func newGroup(now Nanos, standings int) *group {
	return &group{hist: make([]float64, standings), base: now, since: now, looked: now, began: now, wholeAt: now, mute: lastWords + 1}
}

// came counts an arrival; a repeat that its client marks asks for nothing that was not asked for.
func (g *group) came(standing int, again bool) {
	if !again {
		g.hist[standing]++
		g.now++
	}
}

func (g *group) begin(came, aim Nanos) {
	if came < g.since { // its level was another one by the time that the owner took it
		return
	}
	g.open++
	g.per += 1 / float64(aim)
	g.from += float64(came-g.base) / float64(aim)
}

// change forgets what came under another level: it would go on telling of that one for as long as clients wait.
func (g *group) change(now Nanos) {
	g.since, g.looks = now, 0
	g.open, g.per, g.from = 0, 0, 0
	g.sum, g.n = 0, 0
}

func (g *group) end(e End) {
	if e.Served {
		g.good++
	}
	if e.Came < g.since {
		return
	}
	if g.open--; g.open <= 0 {
		g.open, g.per, g.from = 0, 0, 0
	} else {
		g.per -= 1 / float64(e.Aim)
		g.from -= float64(e.Came-g.base) / float64(e.Aim)
	}
	share := trouble
	switch {
	case e.Gone && e.Took < e.Aim: // it left before it could be told anything
		return
	case e.Served:
		share = min(trouble, float64(e.Took)/float64(e.Aim))
	}
	g.sum += share
	g.n++
}

// age is the mean age of what is open, as a share of the aims.
func (g *group) age(now Nanos) float64 {
	if g.open == 0 || g.per <= 0 {
		return 0
	}
	return max(0, min(trouble, (float64(now-g.base)*g.per-g.from)/float64(g.open)))
}

// feel brings the pressure up to now, and says whether it tells of the present level.
func (g *group) feel(now Nanos) bool {
	g.looks++
	old := g.age(now)
	switch {
	case g.n >= few || g.n > 0 && g.looks > settle:
		g.pressure += g.n / (g.n + weight) * (max(g.sum/g.n, old) - g.pressure) // what ends soon does not hide a queue that stands
	case g.looks > settle: // nothing ended for long: what is open tells, and nothing open is calm
		g.pressure += 0.5 * (old - g.pressure)
	default:
		return false
	}
	g.sum, g.n = 0, 0
	return true
}

// look moves this router's wish one step from the level in force: up by a share of what is taken, the larger the worse it
// is; down by a smaller one, and only after calm looks.
func (g *group) look(set *Settings, o *order, now Nanos) {
	g.rate += 0.4 * (g.now/(float64(now-g.looked)/1e9) - g.rate)
	g.now = 0
	if g.wish = g.level; g.level == 0 {
		g.able = 0
	}
	if g.feel(now) {
		step := 0
		switch {
		case g.pressure > set.High && g.looks < settle: // what was queued under the last level is still felt
			g.calm = 0
		case g.pressure > set.High && g.level == 0 && g.hot == 0 && g.pressure < severe*set.High: // one look may be chance
			g.hot, g.calm = 1, 0
		case g.pressure > set.High:
			g.calm = 0
			if g.able == 0 {
				g.able = g.good
			} else {
				g.able += 0.5 * (g.good - g.able)
			}
			if taken := g.taken(g.level); taken > 0 { // what is not served of what is taken is too much
				step = g.up(min(mostCut, max(leastCut, 1-g.good/taken)), o.most)
			}
		case g.pressure >= set.Low:
			g.calm, g.hot = 0, 0
		case g.level == 0:
			g.hot = 0
		default:
			if g.calm++; g.calm >= calm {
				step = g.down(mostGive)
				if g.taken(g.level-step) > roomy*g.able {
					step = g.down(min(mostGive, give+giveMore*float64(g.calm-calm)))
				}
				step = -step
			}
		}
		if step != 0 {
			g.wish = g.level + step
			g.change(now)
		}
	}
	for i := range g.hist {
		g.hist[i] *= faded
	}
	g.good *= faded
	g.looked = now
}

// taken is what would be taken at a level, of what came lately.
func (g *group) taken(level int) (sum float64) {
	for _, n := range g.hist[level:] {
		sum += n
	}
	return sum
}

// up is how many standings hold a share of what is taken, from the level on.
func (g *group) up(share float64, most int) int {
	taken, sum := g.taken(g.level), 0.0
	if taken == 0 { // there is nobody to shed
		return 0
	}
	for i := g.level; i < most; i++ {
		if sum += g.hist[i]; sum >= share*taken || i-g.level+1 >= Steps {
			return i - g.level + 1
		}
	}
	return max(0, most-g.level)
}

// down is how many standings below the level hold no more than a share of what is taken: one at the least.
func (g *group) down(share float64) int {
	taken, sum := g.taken(g.level), 0.0
	for i := g.level - 1; i >= 0; i-- {
		if sum += g.hist[i]; i < g.level-1 && sum > share*taken || g.level-i > mostStep {
			return g.level - 1 - i
		}
	}
	return g.level
}
