package contract

import "lotushook/policy/clock"

// Account counts what a team has requested of a class, and what it got.
type Account struct {
	Requested   uint64
	ByReason    [ReasonCount]uint64 // admissions and rejections
	Served      uint64
	InObjective uint64
	Refused     uint64 // by the router after it was admitted
	Failed      uint64
	Weight      float64 // earned
}

// Accounts calls each with every team and class that was ever requested.
func (b *Ledger) Accounts(each func(team, class string, a Account)) {
	for i := range b.teams {
		for c := range b.teams[i].classes {
			if a := b.teams[i].classes[c].Account; a.Requested > 0 {
				each(b.settings.Teams[i].Name, b.settings.Classes[c].Name, a)
			}
		}
	}
}

// teamUsage is what one team uses.
type teamUsage struct {
	classes []classUsage
	retry   bucket
	open    int
}

type classUsage struct {
	bucket     bucket
	guaranteed bucket // what the contract guarantees: this router's even share
	Account
}

// Ended processes the end of an admitted request; after is its verdict's. Requests
// that others are not placed before measure the group's latency; a keyed write
// that may have run is remembered.
func (b *Ledger) Ended(r Request, after bool, e End, now clock.Nanos) {
	if r.Class < 0 || r.Class >= len(b.settings.Classes) {
		return
	}
	class := &b.settings.Classes[r.Class]
	if after {
		if p := b.pressures[place{r.Group, class.Primary}]; p != nil {
			p.open = max(0, p.open-1)
		}
	}
	if r.Team >= 0 && r.Team < len(b.teams) {
		a := &b.teams[r.Team]
		a.open = max(0, a.open-1)
		c := &a.classes[r.Class]
		switch {
		case e.Served:
			c.Served++
			if e.Elapsed <= class.LatencyObjective {
				c.InObjective++
				c.Weight += class.PriorityWeight
			}
		case e.MayRun:
			c.Failed++
		case !e.Abandoned:
			c.Refused++
		}
	}
	if r.Key != "" && !e.Served && e.MayRun {
		b.remember(r.Key, now)
	} else if e.Served {
		delete(b.recentKeys, r.Key)
	}
	if after || e.Abandoned || class.LatencyObjective <= 0 {
		return
	}
	felt := failureShare
	if e.Served {
		felt = min(failureShare, float64(e.Elapsed)/float64(class.LatencyObjective))
	}
	b.pressure(r, now).addSample(felt)
}

// remember stores a key; the oldest is dropped where there are too many.
func (b *Ledger) remember(key string, now clock.Nanos) {
	if _, ok := b.recentKeys[key]; !ok {
		b.keyOrder = append(b.keyOrder, key)
	}
	b.recentKeys[key] = now
	for len(b.keyOrder) > b.settings.MaxKeys {
		delete(b.recentKeys, b.keyOrder[0])
		b.keyOrder = b.keyOrder[1:]
	}
}
