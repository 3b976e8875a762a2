package contract

import (
	"cmp"
	"math"
)

// SetMinLoadShare sets the minimum share of the load that this router is assumed to receive, in place of 1/Routers. The
// caller changes it when the quotas of excluded routers are divided among the other routers. The minimum shares of all
// routers must add up to at most 1. If a router that receives much of the load has a small minimum share, because the
// other routers divide its quota, all routers together admit at most 2*Skew*Routers times a contract, instead of
// MaxOveradmission.
func (ledger *Ledger) SetMinLoadShare(share float64) { ledger.minLoadShare = share }

// AddLoadReport processes a load report of a server of the group: total requests are in flight there, and this router
// sent own of them. These reports determine which share of the contracts this router admits.
func (ledger *Ledger) AddLoadReport(group int64, own, total int) {
	if total <= 0 || own < 0 {
		return
	}
	own = min(own, total)
	load := ledger.loads[group]
	if load == nil {
		if len(ledger.loads) >= ledger.settings.MaxGroupEntries {
			clear(ledger.loads)
		}
		load = &observedLoad{}
		ledger.loads[group] = load
	}
	load.add(own, total)
	ledger.totalLoad.add(own, total)
}

// ContractShare returns the share of a contract that this router admits at a group. The routers don't coordinate.
// Normally each admits the share Skew, the largest part of a team's traffic that one router is expected to receive. A
// router that receives more of the load than its even share, for example because another router failed, admits
// proportionally more. All routers together thus admit at most MaxOveradmission times a contract. They admit the whole
// contract as long as no router receives a larger part of the team's traffic than the share that it admits.
func (ledger *Ledger) ContractShare(group int64) float64 {
	load := ledger.loads[group]
	if load == nil {
		load = &observedLoad{}
	}
	return ledger.contractShareFor(load)
}

func (ledger *Ledger) contractShareFor(load *observedLoad) float64 {
	routers := float64(ledger.settings.Routers)
	loadShare := cmp.Or(ledger.minLoadShare, 1/routers)
	if load.total >= minReportedRequests {
		loadShare = max(loadShare, load.own/load.total)
	}
	return min(1, ledger.settings.Skew*routers*loadShare)
}

// observedLoad sums up load reports with decaying weights: the requests of this router, and those of all routers.
type observedLoad struct{ own, total float64 }

func (load *observedLoad) add(own, total int) {
	load.own, load.total = load.own*reportDecay+float64(own), load.total*reportDecay+float64(total)
}

const reportDecay = 0.9 // factor on the weight of older reports at each new one

const minReportedRequests = 20 // number of reported requests from which on the observed share counts

// MaxOveradmission returns an upper bound on what all routers together admit, as a multiple of a contract. The shares
// of the load that the routers receive add up to at most 1, so only some routers can receive enough load to admit the
// whole contract; the others admit the share Skew of it.
func (settings *Settings) MaxOveradmission() float64 {
	routers, skew := float64(settings.Routers), settings.Skew
	fullRouters := math.Floor(skew*routers + 1e-9) // routers that admit all, each at 1/(skew*routers) of the load
	remainingLoad := 1 - fullRouters/(skew*routers)
	return min(routers, fullRouters+(routers-fullRouters)*skew+max(0, skew*routers*remainingLoad-skew))
}
