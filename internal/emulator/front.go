package emulator

import (
	"errors"
	"sync"
	"time"
)

// LoadBalancer is a load balancer that distributes connections to routers in turn. It still chooses a dead router until
// it has detected the failure.
type LoadBalancer struct {
	DetectionDelay time.Duration // time from a router's failure to its detection

	mu      sync.Mutex
	routers []string
	dead    map[string]time.Time // by address: when the failure is detected
	turn    int
}

// NewLoadBalancer returns a load balancer without routers.
func NewLoadBalancer(detectionDelay time.Duration) *LoadBalancer {
	return &LoadBalancer{DetectionDelay: detectionDelay, dead: map[string]time.Time{}}
}

// PickByShare chooses a router by shares, one for each router in the order of their addition; random is between 0
// and 1. The connections of a dead router, and those beyond the sum of the shares, are distributed in turn.
func (balancer *LoadBalancer) PickByShare(shares []float64, random float64, now time.Time) (string, error) {
	balancer.mu.Lock()
	for index, share := range shares {
		if random -= share; random < 0 && index < len(balancer.routers) {
			if detectedAt, dead := balancer.dead[balancer.routers[index]]; !dead || now.Before(detectedAt) {
				defer balancer.mu.Unlock()
				return balancer.routers[index], nil
			}
			break
		}
	}
	balancer.mu.Unlock()
	return balancer.Pick(now)
}

// Add adds a router, or marks it as running again.
func (balancer *LoadBalancer) Add(addr string) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	delete(balancer.dead, addr)
	for _, existing := range balancer.routers {
		if existing == addr {
			return
		}
	}
	balancer.routers = append(balancer.routers, addr)
}

// MarkDead records the failure of a router, which is detected later.
func (balancer *LoadBalancer) MarkDead(addr string, now time.Time) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	balancer.dead[addr] = now.Add(balancer.DetectionDelay)
}

// Pick chooses the router for the next connection.
func (balancer *LoadBalancer) Pick(now time.Time) (string, error) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	for range balancer.routers {
		balancer.turn++
		addr := balancer.routers[balancer.turn%len(balancer.routers)]
		if detectedAt, dead := balancer.dead[addr]; !dead || now.Before(detectedAt) {
			return addr, nil
		}
	}
	return "", errors.New("load balancer: no router is up")
}
