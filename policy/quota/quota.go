// Package quota decides which requests exceed a tenant's quota. A quota is a rate over all routers; each router
// enforces its part of it with a token bucket. How requests over quota are treated is not decided here.
package quota

import "lotushook/policy/clock"

const (
	second   = 1e9
	minBurst = 4.0 // requests: the burst is one second's quota, but no less than this where a router's part is small
)

type bucket struct {
	remaining float64 // requests
	updatedAt clock.Nanos
}

// Quotas holds the tenants' token buckets at one router. It is not safe for concurrent use.
type Quotas struct {
	rates   []float64
	buckets []bucket
}

// New returns the token buckets for each tenant's rate in requests per second over all routers; 0: the tenant has no
// quota.
func New(rates []float64) *Quotas {
	return &Quotas{rates: rates, buckets: make([]bucket, len(rates))}
}

// Exceeds counts one request of a tenant and reports whether it exceeds the quota, of which this router's part is
// 1/routers. An unknown tenant has no quota. Requests over quota consume no tokens.
func (q *Quotas) Exceeds(now clock.Nanos, tenant int, routers float64) bool {
	if tenant < 0 || tenant >= len(q.buckets) || q.rates[tenant] <= 0 {
		return false
	}
	tokens, rate := &q.buckets[tenant], q.rates[tenant]/routers
	tokens.remaining = min(max(rate, minBurst), tokens.remaining+rate*float64(now-tokens.updatedAt)/second)
	tokens.updatedAt = now
	if tokens.remaining < 1 {
		return true
	}
	tokens.remaining--
	return false
}
