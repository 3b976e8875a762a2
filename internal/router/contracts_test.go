package router

import (
	"path/filepath"
	"sync"
	"testing"
	"time"

	"lotushook/internal/accounting"
	"lotushook/internal/admin"
	"lotushook/internal/siteconfig"
	"lotushook/policy/shedding"
)

// withContracts returns a configuration with the contracts of two teams: team counters may have maxOpen open requests,
// and team lending may only write.
func withContracts(t *testing.T, maxOpen string) *siteconfig.Config {
	t.Helper()
	socket := filepath.Join(t.TempDir(), "a.sock")
	config := admissionConfig(t, `{}, "accounts":{"every_s":1,"socket":"`+socket+`"}, "contracts":{"trust_comment":true,"teams":[
		{"name":"counters","worth":2,"users":["worker"],"classes":{"read":{"per_s":100,"burst":100}},"open":`+maxOpen+`},
		{"name":"lending","worth":1,"applications":["app"],"classes":{"write":{"per_s":100,"burst":100}}}]}`)
	config.Admission = nil
	return config
}

// A request that its team's contract does not cover is rejected with the reason and reaches no data server. Other
// requests are served, and the accounts count both.
func TestTerms(t *testing.T) {
	now := make(chan time.Time)
	close(now)
	config := withContracts(t, "1")
	stage, router, _, _ := startRouterWithConfig(t, config, now, noTimeouts)
	stage.Run(`
		send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"
		send c2 startup | Q "/* id=02,c=read,d=20000,cluster=1 */ A"
		expect c2 welcome | E 53300 # | Z
		send c2 Q "/* id=03,c=write,d=20000,k=a,cluster=1 */ A" | Q "/* id=04,c=read,d=20000,cluster=1,team=nobody */ A" | Q "/* id=05,c=read,d=20000,cluster=1,team=lending */ A"
		expect c2 E 53300 | Z | E 53300 | Z | E 53300 | Z
		send s1 T | D "v" | C | S rank=copy | Z
		expect c1 welcome | T | D "v" | C | Z
		send c1 Q "/* id=06,c=read,d=20000,cluster=1 */ A"
		expect s1 Q "/* id=06,c=read,d=#,cluster=1 */ A"`)
	if err := router.Reload(router.config, &siteconfig.Config{}); err == nil {
		t.Error("a reload disabled the contracts")
	}
	if err := router.Reload(router.config, withContracts(t, "5")); err != nil {
		t.Fatal(err)
	}
	stage.Run(`
		send c2 Q "/* id=07,c=read,d=20000,cluster=1 */ A"
		wait s1 as x
		expect x startup
		send x welcome
		expect x Q "/* id=07,c=read,d=#,cluster=1 */ A"
		send x T | D "w" | C | S rank=copy | Z
		expect c2 T | D "w" | C | Z
		send s1 T | D "v" | C | S rank=copy | Z
		expect c1 T | D "v" | C | Z`)
	var row accounting.Row
	for deadline := time.Now().Add(20 * time.Second); row.Served < 3; time.Sleep(time.Millisecond) {
		var rows []accounting.Row
		err := admin.Query(config.Accounts.Socket, "accounts", &rows)
		if err != nil || time.Now().After(deadline) {
			t.Fatalf("%+v, %v", rows, err)
		}
		for _, candidate := range rows {
			if candidate.Team == "counters" && candidate.Class == "read" {
				row = candidate
			}
		}
	}
	if row.Requested != 4 || row.Admitted["within"] != 3 || row.RejectedByContract["open"] != 1 || row.InObjective != 3 {
		t.Errorf("%+v", row)
	}
}

// A client that sends each request after the answer to the previous one never has two open requests, whichever events
// the event loop processes in one batch. An event loop that counts the ends of requests only after a whole batch
// rejects the next request of a team that may have one open request, if it arrives in the same batch as the end of the
// previous one.
func TestEndFreesAPlaceInItsBatch(t *testing.T) {
	now := make(chan time.Time)
	close(now)
	stage, router, _, _ := startRouterWithConfig(t, withContracts(t, "1"), now, noTimeouts)
	stage.Run(`
		send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"`)
	blocked, unblock := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(unblock) })
	defer release()
	go router.loop.do(t.Context(), func() { close(blocked); <-unblock })
	<-blocked
	stage.Run(`
		send s1 T | D "v" | C | S rank=copy | Z
		expect c1 welcome | T | D "v" | C | Z
		send c1 Q "/* id=02,c=read,d=20000,cluster=1 */ A"`)
	const events = 3 // the ends of the attempt and the request, and the arrival of the next request
	for len(router.loop.events) < events {
		time.Sleep(time.Millisecond)
	}
	release()
	stage.Run(`
		expect s1 Q "/* id=02,c=read,d=#,cluster=1 */ A"
		send s1 T | D "w" | C | S rank=copy | Z
		expect c1 T | D "w" | C | Z`)
}

// A request below its group's shedding threshold is rejected immediately with its priority class, cluster and a
// Retry-After time, and reaches neither a data server nor the contracts' ledger. Requests of higher classes are served.
// The threshold has risen because admitted requests were not served.
func TestLoadShedding(t *testing.T) {
	now := make(chan time.Time)
	close(now)
	config := admissionConfig(t, `{}, "accounts":{"every_s":0,"socket":"`+filepath.Join(t.TempDir(), "a.sock")+`"}, "contracts":{"trust_comment":true,
		"lanes":{"lanes":[{"name":"premium"},{"name":"background"}],"look_ms":3600000,"fresh_ms":7200000,"alone_ms":7200000,"epoch_ms":604800000,"least":0},
		"teams":[{"name":"desk","worth":1,"users":["worker"],"lane":"premium","classes":{"read":{"per_s":1000,"burst":1000}}},
		{"name":"rest","worth":1,"classes":{"read":{"per_s":1000,"burst":1000}}}]}`)
	config.Admission = nil
	stage, router, _, _ := startRouterWithConfig(t, config, now, noTimeouts)
	onEventLoop := func(call func(service *sheddingService)) {
		t.Helper()
		if !router.loop.do(t.Context(), func() { call(router.loop.contracts.shedding) }) {
			t.Fatal("the event loop does not answer")
		}
	}
	// Requests of class background are admitted but not served, until the class is shed completely. The threshold then
	// stays for an hour.
	onEventLoop(func(service *sheddingService) {
		at := router.clock.now()
		for i := 0; i < 100_000 && (i == 0 || service.shedder.States()[0].Threshold < 64); i++ {
			at += 600e9
			if verdict := service.shedder.Admit(shedding.Request{Team: 1, Account: uint64(i), Group: 1, Share: 1}, at); verdict.Reason != shedding.Shed {
				service.shedder.RequestStarted(1, at, 1e6)
				service.shedder.RequestEnded(1, verdict.PriorityClass, "", shedding.Outcome{ArrivedAt: at, Elapsed: 1e6, LatencyObjective: 1e6}, at)
			}
			service.shedder.Tick(at, shedding.Connectivity{}, nil)
		}
	})
	stage.Run(`
		send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1,team=rest */ A"
		expect c1 welcome | E 53300 # | Z
		send c1 Q "/* id=02,c=read,d=20000,cluster=1 */ A"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=02,c=read,d=#,cluster=1 */ A"
		send s1 T | D "v" | C | S rank=copy | Z
		expect c1 T | D "v" | C | Z`)
	var report SheddingReport
	if err := admin.Query(config.Accounts.Socket, "lanes", &report); err != nil || len(report.Groups) != 1 || report.Groups[0].Threshold != 64 || !report.Groups[0].Isolated || report.PriorityClasses[1].Counts["shed"] < 1 || report.PriorityClasses[0].Counts["above"] != 1 {
		t.Errorf("%+v, %v", report, err)
	}
	var rows []accounting.Row
	if err := admin.Query(config.Accounts.Socket, "accounts", &rows); err != nil || len(rows) != 1 || rows[0].Team != "desk" {
		t.Errorf("the accounts include shed requests: %+v, %v", rows, err)
	}
	if err := router.Reload(router.config, withContracts(t, "5")); err == nil {
		t.Error("a reload disabled load shedding")
	}
	config.Contracts.Shedding.PriorityClasses[1].Name = "rest"
	if err := router.Reload(router.config, config); err != nil {
		t.Error(err)
	}
	onEventLoop(func(service *sheddingService) {
		if service.shedder.Name(1) != "rest" {
			t.Error("the priority classes were not reloaded")
		}
	})
}
