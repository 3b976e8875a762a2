package contract

import (
	"cmp"
	"math"
)

// SetMinLoadShare sets the share of the load that this router is assumed to see at least, in place of 1/Routers. It
// changes when the quotas of other routers are divided among the rest. The shares of all routers together must not
// exceed 1. A router that sees much of the load may have a small share while others divide its quota: all routers
// together then admit at most 2*Skew*Routers times a contract, instead of MaxOveradmission.
func (ledger *Ledger) SetMinLoadShare(share float64) { ledger.minLoadShare = share }

// AddLoadReport processes a load report of a server: of the total requests in flight there, own are this router's.
// The share of the contracts that this router admits follows from these reports.
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

// ContractShare returns the share of a contract that this router admits at a group. Routers don't coordinate.
// Normally each admits the largest share of a team's traffic that one router may see, which is Skew. A router that
// sees more of the load than its even share, for example because another router failed, admits proportionally more.
// All routers together thus admit at most MaxOveradmission times a contract, and never less than the contract as long
// as no router sees more of a team's traffic than the share that it admits.
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

// observedLoad is a decaying sum of load reports: requests of this router, and of all routers.
type observedLoad struct{ own, total float64 }

func (load *observedLoad) add(own, total int) {
	load.own, load.total = load.own*reportDecay+float64(own), load.total*reportDecay+float64(total)
}

const reportDecay = 0.9 // factor on the older reports with each new one

const minReportedRequests = 20 // the observed share counts only from this number of reported requests on

// MaxOveradmission returns an upper bound on what all routers together admit, as a multiple of a contract. The shares
// of the load that they see add up to at most 1, so only some routers can see enough of it to admit the whole
// contract; the others admit Skew of it.
func (settings *Settings) MaxOveradmission() float64 {
	routers, skew := float64(settings.Routers), settings.Skew
	fullRouters := math.Floor(skew*routers + 1e-9) // each of them sees 1/(skew*routers) of the load
	remainingLoad := 1 - fullRouters/(skew*routers)
	return min(routers, fullRouters+(routers-fullRouters)*skew+max(0, skew*routers*remainingLoad-skew))
}
