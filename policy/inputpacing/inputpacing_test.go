package inputpacing

import (
	"errors"
	"math"
	"testing"

	"lotushook/policy/clock"
)

// flood lets clients send as fast as the pacer permits for a duration and returns the work that was done for them.
func flood(t *testing.T, pacer *Pacer, clients, messages, bytes int, duration clock.Nanos) (work clock.Nanos) {
	t.Helper()
	states := make([]Client, clients)
	nextAt := make([]clock.Nanos, clients)
	for now := clock.Nanos(0); now < duration; now += clock.Millisecond / 10 {
		for i := range states {
			if nextAt[i] > now {
				continue
			}
			wait := pacer.Charge(&states[i], messages, bytes, now)
			if wait != 0 && (wait < minWait || wait > maxWait) {
				t.Fatalf("a wait of %d ns", wait)
			}
			nextAt[i] = now + wait
			work += workOf(messages, bytes)
		}
	}
	return work
}

// However many clients send as fast as they can, and whatever they send, their input takes no more than the shared part
// of the processor time and their allowances.
func TestFloodsStayWithinTheSharedPart(t *testing.T) {
	const duration = 10 * clock.Second
	for _, test := range []struct {
		name                     string
		cores                    float64
		clients, messages, bytes int
	}{
		{"one client, small messages", 1, 1, 1, 5},
		{"one client on a quarter of a core", 0.25, 1, 1, 5},
		{"40 clients, large messages", 1, 40, 1, 1 << 20},
		{"200 clients, parts of messages", 1, 200, 0, 64 << 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			pacer, err := New(test.cores)
			if err != nil {
				t.Fatal(err)
			}
			work := flood(t, pacer, test.clients, test.messages, test.bytes, duration)
			allowed := sharedPart*test.cores*float64(duration) + float64(test.clients)*float64(allowance+allowancePerSecond*duration/clock.Second)
			// The messages of the last second are charged, but not all of their waits are over.
			lastMessages := float64(test.clients) * float64(workOf(test.messages, test.bytes))
			if float64(work) > allowed+lastMessages {
				t.Errorf("%.0f ms of work, %.0f allowed", float64(work)/1e6, (allowed+lastMessages)/1e6)
			}
			if float64(work) < sharedPart*test.cores*float64(duration)/2 {
				t.Errorf("only %.0f ms of work: the clients wait too long", float64(work)/1e6)
			}
		})
	}
}

// A client that sends what ordinary clients send never waits, even while others use up the shared part.
func TestOrdinaryClientsDoNotWait(t *testing.T) {
	pacer, err := New(0.25)
	if err != nil {
		t.Fatal(err)
	}
	var bad, small, large Client
	for now := clock.Nanos(0); now < 10*clock.Second; now += 25 * clock.Millisecond {
		pacer.Charge(&bad, 0, 1<<20, now)
		if wait := pacer.Charge(&small, 1, 200, now); wait != 0 { // 40 requests a second
			t.Fatalf("at %d ms: a request has to wait for %d ns", now/clock.Millisecond, wait)
		}
		if now%(100*clock.Millisecond) != 0 {
			continue
		}
		if wait := pacer.Charge(&large, 1, 128<<10, now); wait != 0 { // the longest write: a value of 64 KiB in hex
			t.Fatalf("a write has to wait for %d ns", wait)
		}
	}
}

func TestNewRejectsCores(t *testing.T) {
	for _, cores := range []float64{0, -1, math.NaN()} {
		if _, err := New(cores); !errors.Is(err, ErrCores) {
			t.Errorf("%v cores: %v", cores, err)
		}
	}
}
