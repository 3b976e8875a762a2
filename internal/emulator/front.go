package emulator

import (
	"errors"
	"sync"
	"time"
)

// Front deals out connections to routers by turns. It goes on sending to a dead
// router until it has noticed.
type Front struct {
	Notice time.Duration // so long after a router's death

	mu      sync.Mutex
	routers []string
	dead    map[string]time.Time // noticed from then on
	turn    int
}

// NewFront returns a front that knows no router.
func NewFront(notice time.Duration) *Front {
	return &Front{Notice: notice, dead: map[string]time.Time{}}
}

// Skew has a part of the connections, drawn by x from 0 to 1, go by shares: a share for each router from the first on. A dead
// one's go by turns.
func (f *Front) Skew(shares []float64, x float64, now time.Time) (string, error) {
	f.mu.Lock()
	for i, share := range shares {
		if x -= share; x < 0 && i < len(f.routers) {
			if from, dead := f.dead[f.routers[i]]; !dead || now.Before(from) {
				defer f.mu.Unlock()
				return f.routers[i], nil
			}
			break
		}
	}
	f.mu.Unlock()
	return f.Pick(now)
}

// Up takes a router in.
func (f *Front) Up(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.dead, addr)
	for _, a := range f.routers {
		if a == addr {
			return
		}
	}
	f.routers = append(f.routers, addr)
}

// Died tells the front what it will notice.
func (f *Front) Died(addr string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead[addr] = now.Add(f.Notice)
}

// Pick is where the next connection goes.
func (f *Front) Pick(now time.Time) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.routers {
		f.turn++
		addr := f.routers[f.turn%len(f.routers)]
		if from, dead := f.dead[addr]; !dead || now.Before(from) {
			return addr, nil
		}
	}
	return "", errors.New("front: no router is up")
}
