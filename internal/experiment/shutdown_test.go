package experiment

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"lotushook/internal/faultinject"
)

// TestAnswersAtTheEndOfAShutdownOutlastAHoldUp guards against connections that are closed without an answer at the end
// of a shutdown, because the process was held up just then: primaries hang, the router gets SIGTERM, and as it writes
// the first of the answers that its end brings, it is stopped for 0.14 s. Every request must be answered, and the router
// must end before it would be killed.
func TestAnswersAtTheEndOfAShutdownOutlastAHoldUp(t *testing.T) {
	const (
		clients   = 120
		hang      = 8 * time.Second
		holdUp    = 140 * time.Millisecond  // a router may be held up for 150 ms
		endOfWork = 3300 * time.Millisecond // from SIGTERM; later answers are those that the router's end brings
		killAfter = 3700 * time.Millisecond // from SIGTERM
	)
	running, router := startWithMemoryLimit(t, 64, 0)
	warmUpWrites(t, router, len(running.Groups))
	for _, server := range running.Servers() {
		if server.IsPrimary() {
			server.Hang(hang)
		}
	}
	firstAnswer := make(chan struct{})
	var asking sync.WaitGroup
	var terminatedAt time.Time
	closeFirstAnswer := sync.OnceFunc(func() { close(firstAnswer) })
	terminated := make(chan struct{})
	for client := range clients {
		conn := dialRouter(t, router, 20*time.Second)
		req := &request{id: fmt.Sprintf("w%d", client), class: "ausleihe", key: fmt.Sprintf("k%d", client), objectID: "a", group: int64(1 + client%len(running.Groups)), timeout: 5 * time.Second}
		if _, err := conn.conn.Write(req.query()); err != nil {
			t.Fatal(err)
		}
		asking.Go(func() {
			result, err := conn.readAnswer()
			if err != nil {
				t.Errorf("client %d got no answer: %v", client, err)
			}
			<-terminated
			if result.outcome != lost && time.Since(terminatedAt) > endOfWork {
				closeFirstAnswer()
			}
		})
	}
	terminatedAt = time.Now()
	if err := syscall.Kill(router.pid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	close(terminated)
	select {
	case <-firstAnswer:
		resume := faultinject.Pause(router.pid())
		time.Sleep(holdUp)
		resume()
	case <-time.After(killAfter):
		t.Error("no request was open at the end of the shutdown")
	}
	asking.Wait()
	select {
	case <-router.ended: //nolint:errcheck // follow records how it ended
	case <-time.After(time.Until(terminatedAt.Add(killAfter))):
		t.Errorf("the router has not ended %v after SIGTERM", killAfter)
	}
}

// warmUpWrites has clients write to each group, so that the router knows its primary and how many writes it can process
// at once.
func warmUpWrites(t *testing.T, router *process, groups int) {
	t.Helper()
	const clients, writes = 40, 20
	var asking sync.WaitGroup
	for client := range clients {
		conn := dialRouter(t, router, 20*time.Second)
		asking.Go(func() {
			for write := range writes {
				req := &request{id: fmt.Sprintf("u%d-%d", client, write), objectID: "a", class: "ausleihe", group: int64(1 + client%groups), timeout: 5 * time.Second}
				req.key = req.id
				if _, err := conn.query(req.query(), time.Now().Add(10*time.Second)); err != nil {
					t.Errorf("client %d: %v", client, err)
					return
				}
			}
			conn.conn.Close()
		})
	}
	asking.Wait()
}
