package experiment

import (
	"testing"
	"time"

	"lotushook/internal/emulator"
)

// Clients that take no answer don't take the router's memory: it stays within the platform's limit.
//
// What happens: each answer is held in memory, once as it came and once more in its client's buffer, until its client has taken it or five
// seconds are over, and no quota counts either. What shows it: the router's greatest resident size, with 200 clients that read nothing.
func TestMemoryOfAnswersThatNobodyTakes(t *testing.T) {
	const (
		clients    = 200
		valueBytes = 1<<20 - 4<<10 // the longest value that the router takes, less what stands round it
		memoryMB   = 32            // the least that the platform gives a router
	)
	e := soakExperiment(t)
	profile := &e.Soak.Profiles[0]
	e.Platform, e.Classes = profile.Platform, profile.Classes
	e.Routers.MemoryMB, e.Routers.Sockets = memoryMB, 512
	fleet := e.fleet(1)
	fleet.Classes["katalog-lesen"] = emulator.Class{Bound: time.Second, Value: valueBytes}
	running, err := fleet.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer running.Stop()
	router, err := newProcess(e, &Arm{}, shipped(t), t.TempDir(), 0, 1, running.Agent.Addr(), running.Agent.List(), nil, runs.Add(1))
	if err != nil {
		t.Fatal(err)
	}
	defer router.end()
	for i := range clients {
		conn, err := dial(router.addr, "", "worker", time.Now().Add(startFor))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.conn.Close()
		r := &request{id: "r" + string(rune('a'+i%26)) + string(rune('a'+i/26)), class: "katalog-lesen", oid: "a", group: int64(1 + i%e.Fleet.Groups), wait: time.Second}
		if _, err := conn.conn.Write(r.query()); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(3 * time.Second) // the answers have come by then; until five are over their clients may take them
	if _, most := memory(router.pid()); most > memoryMB {
		t.Errorf("%.1f MB resident at the most, %d MB are the limit", most, memoryMB)
	}
	if n := running.Audit().Requests; n < clients/2 {
		t.Errorf("only %d requests came to data servers", n)
	}
}
