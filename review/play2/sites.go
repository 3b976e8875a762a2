//go:build review

package main

import "time"

const msec = time.Millisecond

// oberland is like the small deployment of kit/sites.
func oberland() *site {
	return &site{name: "oberland", checks: "bounce", marks: "brought", grace: time.Second, routers: 1, memoryMB: 192, sockets: 1024,
		idle: 30 * time.Second, report: "probe", cold: 0.17, ramp: 18 * time.Second, fallFor: 1500 * msec, multiple: 3,
		classes: []class{
			{name: "katalog-lesen", read: "lag_bound", effect: "free", scope: "all", objective: 500 * msec, deadline: 2 * time.Second, window: 5 * time.Second, bounds: 300 * msec, gain: 3, work: 20 * msec},
			{name: "eigene-lesen", read: "causal", effect: "free", scope: "all", objective: 500 * msec, deadline: 2 * time.Second, window: 5 * time.Second, gain: 1, work: 20 * msec},
			{name: "ausleihe", read: "mutate", effect: "guarded", scope: "cell", objective: 1200 * msec, deadline: 5 * time.Second, window: 5 * time.Second, gain: 6, late: 0.7, work: 25 * msec},
		}}
}
