// Package quota says which requests of a tenant are beyond its share. A share is a rate over all routers; each router
// has its own part of it, as a token bucket that fills evenly. How requests beyond it are treated is not decided here.
package quota

import "lotushook/policy/clock"

const (
	second   = 1e9
	minBurst = 4.0 // requests: a second's quota may be used at once, or so many where a router's part is less
)

type bucket struct {
	remaining float64 // requests
	updatedAt clock.Nanos
}

// Quotas are the tenants' buckets at one router. They are not safe for concurrent use.
type Quotas struct {
	rates   []float64
	buckets []bucket
}

// New takes each tenant's requests a second over all routers; 0: it has no quota.
func New(rates []float64) *Quotas {
	return &Quotas{rates: rates, buckets: make([]bucket, len(rates))}
}

// Exceeds counts one request of a tenant and says whether it is beyond the quota, of which this router's part is one in so
// many. An unknown tenant has none. Requests beyond the quota use nothing up.
func (q *Quotas) Exceeds(now clock.Nanos, tenant int, routers float64) bool {
	if tenant < 0 || tenant >= len(q.buckets) || q.rates[tenant] <= 0 {
		return false
	}
	b, rate := &q.buckets[tenant], q.rates[tenant]/routers
	b.remaining = min(max(rate, minBurst), b.remaining+rate*float64(now-b.updatedAt)/second)
	b.updatedAt = now
	if b.remaining < 1 {
		return true
	}
	b.remaining--
	return false
}
