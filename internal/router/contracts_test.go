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

// teams is a setup with contracts, as they are written: counters may have one
// request open, and nobody may use what is not in a contract.
func teams(t *testing.T, open string) *siteconfig.Config {
	t.Helper()
	socket := filepath.Join(t.TempDir(), "a.sock")
	own := admissionConfig(t, `{}, "accounts":{"every_s":1,"socket":"`+socket+`"}, "contracts":{"trust_comment":true,"teams":[
		{"name":"counters","worth":2,"users":["worker"],"classes":{"read":{"per_s":100,"burst":100}},"open":`+open+`},
		{"name":"lending","worth":1,"applications":["app"],"classes":{"write":{"per_s":100,"burst":100}}}]}`)
	own.Admission = nil
	return own
}

// What a contract does not cover is refused with the reason before any data
// server hears of it; the rest goes its way, and the accounts tell both.
func TestTerms(t *testing.T) {
	now := make(chan time.Time)
	close(now)
	own := teams(t, "1")
	s, r, _, _ := startRouterWithConfig(t, own, now, noTimeouts)
	s.Run(`
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
	if err := r.Reload(r.config, &siteconfig.Config{}); err == nil {
		t.Error("contracts were switched off in service")
	}
	if err := r.Reload(r.config, teams(t, "5")); err != nil {
		t.Fatal(err)
	}
	s.Run(`
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
	for end := time.Now().Add(20 * time.Second); row.Served < 3; time.Sleep(time.Millisecond) {
		var rows []accounting.Row
		err := admin.Query(own.Accounts.Socket, "accounts", &rows)
		if err != nil || time.Now().After(end) {
			t.Fatalf("%+v, %v", rows, err)
		}
		for _, r := range rows {
			if r.Team == "counters" && r.Class == "read" {
				row = r
			}
		}
	}
	if row.Requested != 4 || row.Admitted["within"] != 3 || row.RejectedByContract["open"] != 1 || row.InObjective != 3 {
		t.Errorf("%+v", row)
	}
}

// A client that sends one request after another never has two open, however the event loop's batches fall.
//
// What happened: a team that may have one request open was refused its next one, "team counters has its 1 requests open", when
// the end of the one before and the arrival of the next came to the event loop in one batch: it counted ends after the whole
// batch. TestTerms failed so on busy machines, with an EOF at the data server that waited for the query. What showed the cause: the
// accounts had {within:1, open:2} for three requests of which only one had met another.
func TestEndFreesAPlaceInItsBatch(t *testing.T) {
	now := make(chan time.Time)
	close(now)
	s, r, _, _ := startRouterWithConfig(t, teams(t, "1"), now, noTimeouts)
	s.Run(`
		send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"`)
	held, over := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(over) })
	defer release()
	go r.loop.do(t.Context(), func() { close(held); <-over })
	<-held
	s.Run(`
		send s1 T | D "v" | C | S rank=copy | Z
		expect c1 welcome | T | D "v" | C | Z
		send c1 Q "/* id=02,c=read,d=20000,cluster=1 */ A"`)
	const events = 3 // the attempt's end, the request's, and the next one's arrival
	for len(r.loop.events) < events {
		time.Sleep(time.Millisecond)
	}
	release()
	s.Run(`
		expect s1 Q "/* id=02,c=read,d=#,cluster=1 */ A"
		send s1 T | D "w" | C | S rank=copy | Z
		expect c1 T | D "w" | C | Z`)
}

// A request whose account stands below the level is refused at once, with lane, cluster and a time to return, before any data
// server or the contract's book hears of it; better lanes go on. The level rose by itself: what was taken was not served.
func TestLanes(t *testing.T) {
	now := make(chan time.Time)
	close(now)
	own := admissionConfig(t, `{}, "accounts":{"every_s":0,"socket":"`+filepath.Join(t.TempDir(), "a.sock")+`"}, "contracts":{"trust_comment":true,
		"lanes":{"lanes":[{"name":"premium"},{"name":"background"}],"look_ms":3600000,"fresh_ms":7200000,"alone_ms":7200000,"epoch_ms":604800000,"least":0},
		"teams":[{"name":"desk","worth":1,"users":["worker"],"lane":"premium","classes":{"read":{"per_s":1000,"burst":1000}}},
		{"name":"rest","worth":1,"classes":{"read":{"per_s":1000,"burst":1000}}}]}`)
	own.Admission = nil
	s, r, _, _ := startRouterWithConfig(t, own, now, noTimeouts)
	level := func(set func(l *sheddingService)) {
		t.Helper()
		if !r.loop.do(t.Context(), func() { set(r.loop.contracts.shedding) }) {
			t.Fatal("the owner does not answer")
		}
	}
	level(func(l *sheddingService) { // background asks for what nobody serves, and its lane is shed as far as it goes
		at := r.clock.now()
		for i := 0; i < 100_000 && (i == 0 || l.shedder.States()[0].Threshold < 64); i++ { // then it stays for an hour
			at += 600e9
			if v := l.shedder.Admit(shedding.Request{Team: 1, Account: uint64(i), Group: 1, Share: 1}, at); v.Reason != shedding.Shed {
				l.shedder.RequestStarted(1, at, 1e6)
				l.shedder.RequestEnded(1, v.PriorityClass, "", shedding.Outcome{ArrivedAt: at, Elapsed: 1e6, LatencyObjective: 1e6}, at)
			}
			l.shedder.Tick(at, shedding.Connectivity{}, nil)
		}
	})
	s.Run(`
		send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1,team=rest */ A"
		expect c1 welcome | E 53300 # | Z
		send c1 Q "/* id=02,c=read,d=20000,cluster=1 */ A"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=02,c=read,d=#,cluster=1 */ A"
		send s1 T | D "v" | C | S rank=copy | Z
		expect c1 T | D "v" | C | Z`)
	var got SheddingReport
	if err := admin.Query(own.Accounts.Socket, "lanes", &got); err != nil || len(got.Groups) != 1 || got.Groups[0].Threshold != 64 || !got.Groups[0].Isolated || got.Lanes[1].Counts["shed"] < 1 || got.Lanes[0].Counts["above"] != 1 {
		t.Errorf("%+v, %v", got, err)
	}
	var rows []accounting.Row
	if err := admin.Query(own.Accounts.Socket, "accounts", &rows); err != nil || len(rows) != 1 || rows[0].Team != "desk" {
		t.Errorf("the book heard of what was shed: %+v, %v", rows, err)
	}
	if err := r.Reload(r.config, teams(t, "5")); err == nil {
		t.Error("lanes were switched off in service")
	}
	own.Contracts.Shedding.PriorityClasses[1].Name = "rest"
	if err := r.Reload(r.config, own); err != nil {
		t.Error(err)
	}
	level(func(l *sheddingService) {
		if l.shedder.Name(1) != "rest" {
			t.Error("the lanes were not reloaded")
		}
	})
}
