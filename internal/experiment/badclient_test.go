package experiment

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"lotushook/internal/emulator"
	"lotushook/internal/pgwire"
)

// startAsShipped starts data servers, and a router with a memory limit, a number of descriptors and the settings of the
// deploy file.
func startAsShipped(t *testing.T, memoryMB int64, descriptors int) (*emulator.Running, *process) {
	t.Helper()
	settings, err := os.ReadFile("../../deploy/router.json")
	if err != nil {
		t.Fatal(err)
	}
	experiment := soakExperiment(t)
	profile := &experiment.Soak.Profiles[0]
	experiment.Platform, experiment.Classes = profile.Platform, profile.Classes
	experiment.Routers.MemoryMB, experiment.Routers.Sockets = memoryMB, descriptors
	experiment.Routers.RouterSettings = settings
	running, err := experiment.fleet(1).Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Stop)
	router, err := newProcess(experiment, &Arm{}, buildShipped(t), t.TempDir(), 0, 1, running.Agent.Addr(), running.Agent.List(), nil, runNumbers.Add(1))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { router.terminate() })
	return running, router
}

// usualClients are clients that ask one request at a time, each on a connection of its own.
type usualClients struct {
	router  *process
	groups  int
	asking  sync.WaitGroup
	stopped chan struct{}

	mu       sync.Mutex
	answered int
	failures []string // requests that were not served in time
}

const (
	usualClientCount = 10
	usualPause       = 100 * time.Millisecond // between a client's requests
	usualTimeout     = 2 * time.Second
)

func startUsualClients(running *emulator.Running, router *process) *usualClients {
	usual := &usualClients{router: router, groups: len(running.Groups), stopped: make(chan struct{})}
	for number := range usualClientCount {
		usual.asking.Go(func() { usual.ask(number) })
	}
	return usual
}

// ask sends one client's requests until the clients are stopped.
func (usual *usualClients) ask(client int) {
	var conn *clientConn
	for number := 0; ; number++ {
		select {
		case <-usual.stopped:
			return
		case <-time.After(usualPause):
		}
		deadline := time.Now().Add(usualTimeout)
		var err error
		if conn == nil {
			conn, err = dial(usual.router.addr, "", "worker", deadline)
		}
		req := &request{id: fmt.Sprintf("usual%d-%d", client, number), class: "katalog-lesen", objectID: fmt.Sprintf("u%d", client), group: int64(1 + client%usual.groups), timeout: usualTimeout}
		var result answer
		if err == nil {
			result, err = conn.query(req.query(), deadline)
		}
		usual.mu.Lock()
		usual.answered++
		if err != nil || result.outcome != served {
			usual.failures = append(usual.failures, fmt.Sprintf("%s: %s %s %v", req.id, outcomeNames[result.outcome], result.text, err))
			conn = nil
		}
		usual.mu.Unlock()
	}
}

// stop ends the clients and reports the requests that were not served in time.
func (usual *usualClients) stop(t *testing.T) {
	t.Helper()
	close(usual.stopped)
	usual.asking.Wait()
	if usual.answered < usualClientCount {
		t.Errorf("only %d usual requests", usual.answered)
	}
	if len(usual.failures) > 0 {
		t.Errorf("%d of %d usual requests were not served in time, the first: %s", len(usual.failures), usual.answered, usual.failures[0])
	}
}

// sendRepeatedly sends the same bytes as fast as the router takes them, on a new connection whenever one ends, and reads
// whatever comes. With reconnect it ends each connection after its first answer.
func sendRepeatedly(router *process, piece []byte, reconnect bool, until time.Time) {
	for time.Now().Before(until) {
		conn, err := dial(router.addr, "", "worker", until)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if reconnect {
			_, _ = conn.query(piece, until)
		} else {
			var reading sync.WaitGroup
			reading.Go(func() { _, _ = io.Copy(io.Discard, conn.conn) })
			for err == nil {
				_, err = conn.conn.Write(piece)
			}
			conn.conn.Close()
			reading.Wait()
		}
		conn.conn.Close()
	}
}

// TestBadClientsDoNotDelayOthers guards against clients that send without a pause and so take the router's processor
// time from others, whose answers then come late or never (review/6, where 40 clients send long unreadable queries).
func TestBadClientsDoNotDelayOthers(t *testing.T) {
	const duration = 3 * time.Second
	message := func(kind byte, body string) []byte { return pgwire.Append(nil, kind, []byte(body)) }
	for _, test := range []struct {
		name        string
		clients     int
		piece       []byte
		reconnect   bool
		maxCPUShare float64 // of the router: the rest of the core is left for others
	}{
		{"long unreadable queries", 40, pgwire.AppendQuery(nil, strings.Repeat("x", 1<<20-100)), true, 1},
		{"ignored messages", 1, message(pgwire.Flush, ""), false, 0.5},
		{"unsupported messages", 1, message(pgwire.Parse, "\x00SELECT 1\x00\x00\x00"), false, 0.5},
		{"empty queries", 1, pgwire.AppendQuery(nil, ""), false, 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			running, router := startAsShipped(t, 192, 512)
			usual := startUsualClients(running, router)
			piece := test.piece
			for !test.reconnect && len(piece) < 4<<10 {
				piece = append(piece, test.piece...)
			}
			startedAt, cpuBefore := time.Now(), router.cpuTime()
			var sending sync.WaitGroup
			for range test.clients {
				sending.Go(func() { sendRepeatedly(router, piece, test.reconnect, startedAt.Add(duration)) })
			}
			sending.Wait()
			share := (router.cpuTime() - cpuBefore).Seconds() / time.Since(startedAt).Seconds()
			usual.stop(t)
			t.Logf("the router took %.2f of a core", share)
			if share > test.maxCPUShare {
				t.Errorf("the router took %.2f of a core, at most %.2f allowed", share, test.maxCPUShare)
			}
		})
	}
}

// TestBriefRequestsDoNotEjectEndpoints guards against a client whose requests have too little time: their attempts fail
// for lack of it, and the router must not conclude that the data servers are down and reject the requests of others
// (operators' picture (b)).
func TestBriefRequestsDoNotEjectEndpoints(t *testing.T) {
	const duration = 3 * time.Second
	for _, timeout := range []int{0, 1, 10, 25} { // ms; data servers need some 10 ms
		t.Run(fmt.Sprintf("%d ms", timeout), func(t *testing.T) {
			running, router := startAsShipped(t, 64, 512)
			usual := startUsualClients(running, router)
			time.Sleep(usualTimeout / 4)
			conn := dialRouter(t, router, duration)
			go func() { _, _ = io.Copy(io.Discard, conn.conn) }()
			for number := 0; ; number++ {
				query := fmt.Sprintf("/* id=brief%d,c=katalog-lesen,d=%d,cluster=%d */ SELECT body FROM objects WHERE oid = 'b'", number, timeout, 1+number%len(running.Groups))
				if _, err := conn.conn.Write(pgwire.AppendQuery(nil, query)); err != nil {
					break
				}
			}
			usual.stop(t)
			log, err := os.ReadFile(router.log.Name())
			if err != nil {
				t.Fatal(err)
			}
			if count := strings.Count(string(log), "ejected"); count > 0 {
				t.Errorf("%d endpoints were ejected:\n%s", count, log)
			}
		})
	}
}
