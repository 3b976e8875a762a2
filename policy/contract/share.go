package contract

import (
	"cmp"
	"math"
)

// SetShare sets another even share, as when the quotas of other routers have been divided: the share of the load that this router is
// assumed to see at least. All routers' shares together must not exceed 1. One that sees much may have a small share
// while others divide its quota: all together then admit 2 Skew Routers times a contract at most, instead of Multiple.
func (b *Ledger) SetShare(share float64) { b.evenShare = share }

// AddLoadReport processes a report: of the requests that a server of a group holds, so many are this
// router's. The share of the contracts that is enforced here follows from it.
func (b *Ledger) AddLoadReport(group int64, mine, all int) {
	if all <= 0 || mine < 0 {
		return
	}
	mine = min(mine, all)
	p := b.loads[group]
	if p == nil {
		if len(b.loads) >= b.settings.MaxShares {
			clear(b.loads)
		}
		p = &observedLoad{}
		b.loads[group] = p
	}
	p.add(mine, all)
	b.totalLoad.add(mine, all)
}

// Share is the share of a contract that this router admits. Routers don't
// coordinate. Normally each admits the most that it may see of a team's
// traffic; one that sees a larger part of the load than its even share, as when
// another has failed, admits as much more. So all together admit at most
// Multiple times a contract, and never less than the contract where no router
// sees more of a team's traffic than its share.
func (b *Ledger) Share(group int64) float64 {
	p := b.loads[group]
	if p == nil {
		p = &observedLoad{}
	}
	return b.shareOf(p)
}

func (b *Ledger) shareOf(p *observedLoad) float64 {
	n := float64(b.settings.Routers)
	seen := cmp.Or(b.evenShare, 1/n)
	if p.all >= minReports {
		seen = max(seen, p.mine/p.all)
	}
	return min(1, b.settings.Skew*n*seen)
}

// observedLoad is how much of the traffic this router sees.
type observedLoad struct{ mine, all float64 }

func (p *observedLoad) add(mine, all int) {
	p.mine, p.all = p.mine*reportDecay+float64(mine), p.all*reportDecay+float64(all)
}

const reportDecay = 0.9 // of the older reports, with each new one

const minReports = 20 // requests in reports: fewer prove nothing

// Multiple bounds what all routers together admit, as a multiple of a contract.
// The parts of the load that they see add up to no more than all of it, so only some can
// see enough to admit all; the others admit Skew.
func (s *Settings) Multiple() float64 {
	n, skew := float64(s.Routers), s.Skew
	whole := math.Floor(skew*n + 1e-9) // each of them sees 1/(skew n) of the load
	rest := 1 - whole/(skew*n)
	return min(n, whole+(n-whole)*skew+max(0, skew*n*rest-skew))
}
