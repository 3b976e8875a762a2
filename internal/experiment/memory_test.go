package experiment

import (
	"testing"
	"time"

	"lotushook/internal/emulator"
)

// TestMemoryOfAnswersThatNobodyTakes checks that the router stays within its memory limit when 200 clients don't read
// their answers.
//
// An answer stays in memory twice, as it was received and in its client's buffer, until the client has read it or five
// seconds have elapsed. If no quota counts these copies, the
// router's maximum resident size exceeds the limit.
func TestMemoryOfAnswersThatNobodyTakes(t *testing.T) {
	const (
		clients    = 200
		valueBytes = 1<<20 - 4<<10 // the longest value that the router accepts, less the framing
		memoryMB   = 32            // the minimum memory of a router on the platform
	)
	experiment := soakExperiment(t)
	profile := &experiment.Soak.Profiles[0]
	experiment.Platform, experiment.Classes = profile.Platform, profile.Classes
	experiment.Routers.MemoryMB, experiment.Routers.Sockets = memoryMB, 512
	fleet := experiment.fleet(1)
	fleet.Classes["katalog-lesen"] = emulator.Class{Bound: time.Second, Value: valueBytes}
	running, err := fleet.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer running.Stop()
	router, err := newProcess(experiment, &Arm{}, buildShipped(t), t.TempDir(), 0, 1, running.Agent.Addr(), running.Agent.List(), nil, runNumbers.Add(1))
	if err != nil {
		t.Fatal(err)
	}
	defer router.terminate()
	for index := range clients {
		conn, err := dial(router.addr, "", "worker", time.Now().Add(startTimeout))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.conn.Close()
		req := &request{id: "r" + string(rune('a'+index%26)) + string(rune('a'+index/26)), class: "katalog-lesen", objectID: "a", group: int64(1 + index%experiment.Fleet.Groups), timeout: time.Second}
		if _, err := conn.conn.Write(req.query()); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(3 * time.Second) // the answers have arrived by then, and their clients may still read them until five seconds have elapsed
	if _, peak := memory(router.pid()); peak > memoryMB {
		t.Errorf("maximum resident memory %.1f MB, limit %d MB", peak, memoryMB)
	}
	if count := running.Audit().Requests; count < clients/2 {
		t.Errorf("only %d requests reached data servers", count)
	}
}
