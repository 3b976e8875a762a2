package experiment

import (
	"context"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-jsonnet"

	"lotushook/internal/emulator"
	"lotushook/internal/faultinject"
)

// shipped builds the router as the deploy file does.
func shipped(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "router")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "lotushook/cmd/router").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// soakExperiment is deploy/lab/restart-soak.jsonnet.
func soakExperiment(t *testing.T) *Experiment {
	t.Helper()
	text, err := jsonnet.MakeVM().EvaluateFile("../../deploy/lab/restart-soak.jsonnet")
	if err != nil {
		t.Fatal(err)
	}
	e, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// soakSeeds are played in CI; by hand there are more: routerctl lab run --seeds 50 deploy/lab/restart-soak.jsonnet.
var soakSeeds = []uint64{1, 2, 4, 7, 9}

// Routers restart over and over while clients go on, and all rules are kept. It prints schedule and traces where one is broken; the
// same seed plays the same faults: routerctl lab run --seed N deploy/lab/restart-soak.jsonnet.
func TestSoakOfRestarts(t *testing.T) {
	e, build := soakExperiment(t), shipped(t)
	for _, seed := range soakSeeds {
		dir := t.TempDir()
		res, err := RunSoak(context.Background(), e, Options{Seed: seed, Dir: dir, Build: build})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		t.Log(res.Row())
		if !res.Passed() {
			var text strings.Builder
			res.Explain(&text, dir)
			t.Errorf("%s", text.String())
		}
		if res.Answered < res.Requests/2 || res.Attempts == 0 {
			t.Errorf("seed %d: %d of %d answered: not worth an audit", seed, res.Answered, res.Requests)
		}
	}
}

// One plan follows from one seed, and seeds differ.
func TestSoakPlanFollowsFromItsSeed(t *testing.T) {
	k := &Soak{Seconds: 9, Clients: 1, Profiles: make([]SoakProfile, 3)}
	text := func(seed uint64) (all string) {
		p := drawSoak(k, 12, seed)
		for _, s := range p.Steps {
			all += s.String() + "\n"
		}
		return all
	}
	if first, again := text(3), text(3); first != again || first == text(4) {
		t.Error("a plan does not follow from its seed")
	}
	kinds := map[SoakAction]bool{}
	for seed := range uint64(20) {
		for _, s := range drawSoak(k, 12, seed).Steps {
			kinds[s.Do] = true
		}
	}
	if len(kinds) != 10 {
		t.Errorf("drawn: %v", kinds)
	}
}

// soundRecord is a record of a play in which all rules were kept; each case of the audit's test breaks one of them.
func soundRecord() *soakRecord {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	ms := func(n int) time.Time { return at.Add(time.Duration(n) * time.Millisecond) }
	r := &soakRecord{
		Plan:    &SoakPlan{},
		Profile: &SoakProfile{Classes: map[string]Class{"read": {Read: "session", WorkMS: []float64{10, 10}}, "write": {Read: "write", WorkMS: []float64{10, 10}}}},
		Limits: soakLimits{LongestDeadline: 3 * time.Second, KeyWindow: 500 * time.Millisecond, DrainGrace: time.Second, Window: 1500 * time.Millisecond, Multiple: 3, ColdShare: 0.17,
			Ramp: 6 * time.Second, Cores: 1, MemoryMB: 48},
		Lives: []*soakLife{{Started: ms(0), Ready: ms(50), Term: ms(9000), Ended: ms(9600), BaseFDs: 10, CalmFDs: 11, MaxMemoryMB: 20}},
		Requests: []*soakRequest{
			{ID: "w", Key: "w", Class: "write", Place: 0, Sent: ms(100), Wait: time.Second, Outcome: served, At: ms(150)},
			{ID: "r", Class: "read", Place: 1, Sent: ms(200), Wait: time.Second, Outcome: served, At: ms(250)},
			{ID: "gone", Class: "read", Place: 2, Sent: ms(300), Wait: time.Second, Outcome: waiting, Gone: ms(320), At: ms(330), Ended: true},
			{ID: "unread", Class: "read", Place: 3, Sent: ms(400), Wait: time.Second, Outcome: waiting, At: ms(410), Ended: true},
			{ID: "last", Class: "read", Place: 4, Sent: ms(1000), Wait: time.Second, Outcome: served, At: ms(1100)},
		},
		Attempts: []emulator.Attempt{
			{ID: "w", Class: "write", Server: "s", At: ms(110), Left: 980 * time.Millisecond},
			{ID: "r", Class: "read", Server: "s", At: ms(210), Left: 980 * time.Millisecond},
			{ID: "gone", Class: "read", Server: "s", At: ms(310), Left: 980 * time.Millisecond},
			{ID: "last", Class: "read", Server: "s", At: ms(1010), Left: 980 * time.Millisecond},
		},
		Ran:     []emulator.Ran{{ID: "w", Session: "a", Server: "s", Write: true, Pos: 500}, {ID: "r", Session: "a", Server: "s", Pos: 500}},
		Read:    map[string]string{"w": "served", "r": "served", "gone": "gone", "last": "served"},
		Drained: []soakDrained{{"t", soakSpan{ms(0), ms(3000)}}},
		Cold:    []soakCold{{"u", ms(0)}},
	}
	return r
}

// The audit finds nothing in a sound record, and each rule's break in one that was doctored for it.
func TestSoakAuditFindsEachRule(t *testing.T) {
	if found := soundRecord().audit(); len(found) > 0 {
		t.Fatalf("in a sound record: %v", found)
	}
	sent := soundRecord().Requests[0].Sent
	burst := func(server string, from time.Time, n int) (list []emulator.Attempt) {
		for range n {
			list = append(list, emulator.Attempt{ID: "x", Class: "read", Server: server, At: from})
		}
		return list
	}
	for _, c := range []struct {
		name   string
		rule   soakRule
		doctor func(*soakRecord)
	}{
		{"forwarded and closed", ruleAnswer, func(r *soakRecord) {
			r.Attempts[3].ID, r.Attempts[3].At = "unread", r.Requests[3].Sent.Add(time.Millisecond)
		}},
		{"read and closed", ruleAnswer, func(r *soakRecord) { r.Read["unread"] = "served" }},
		{"neither answered nor closed", ruleAnswer, func(r *soakRecord) { r.Requests[3].Ended = false }},
		{"closed on a new connection", ruleAnswer, func(r *soakRecord) { r.Requests[3].Place = 0 }},
		{"late", ruleTime, func(r *soakRecord) {
			r.Requests[4].At = r.Requests[4].Sent.Add(time.Second + answerGrace + timeSlack + time.Millisecond)
		}},
		{"another's value", ruleOwn, func(r *soakRecord) { r.Requests[1].Wrong = true }},
		{"an attempt for one that has gone", ruleGone, func(r *soakRecord) { r.Attempts[2].At = r.Requests[2].Gone.Add(goneGrace + time.Millisecond) }},
		{"too long a deadline", ruleDeadline, func(r *soakRecord) { r.Attempts[1].Left = 990*time.Millisecond + deadlineSlack + time.Millisecond }},
		{"a key beyond its window", ruleKey, func(r *soakRecord) {
			r.Requests[0].Wait = 5 * time.Second
			r.Attempts = append(r.Attempts, emulator.Attempt{ID: "w", Class: "write", Server: "s", At: r.Attempts[0].At.Add(500*time.Millisecond + timeSlack + time.Millisecond)})
		}},
		{"two attempts at a time", ruleOpen, func(r *soakRecord) { r.ServerAudit.Doubled = 1 }},
		{"an attempt at a draining server", ruleDrain, func(r *soakRecord) {
			r.Attempts[3].Server = "t"
			r.Attempts[3].At = r.Drained[0].From.Add(time.Second + timeSlack + time.Millisecond)
			r.Attempts[3].Left = 0
		}},
		{"a stale read", ruleStale, func(r *soakRecord) { r.Ran[1].Pos = 499 }},
		{"too much for a cold server", ruleCold, func(r *soakRecord) { r.Attempts = append(r.Attempts, burst("u", sent, 150)...) }},
		{"an exit with 1", ruleExit, func(r *soakRecord) { r.Lives[0].Err = "exit status 1" }},
		{"killed at the limit", ruleExit, func(r *soakRecord) { r.Lives[0].Killed = true }},
		{"never ready", ruleReady, func(r *soakRecord) { r.Lives[0].Ready = time.Time{} }},
		{"a crash", ruleCrash, func(r *soakRecord) { r.Lives[0].Term = time.Time{} }},
		{"too much memory", ruleMemory, func(r *soakRecord) { r.Lives[0].MaxMemoryMB = 49 }},
		{"descriptors that stay", ruleLeak, func(r *soakRecord) { r.Lives[0].CalmFDs = 13 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := soundRecord()
			c.doctor(r)
			if found := rulesOf(r.audit()); !slices.Equal(found, []soakRule{c.rule}) {
				t.Errorf("found %v, doctored against %q", found, c.rule)
			}
		})
	}
}

// What is allowed is not found: each of these was met in a play, and its trace showed why.
func TestSoakAuditAllows(t *testing.T) {
	for _, c := range []struct {
		name   string
		doctor func(*soakRecord)
	}{
		{"a read that does not see a write whose client was never answered", func(r *soakRecord) {
			r.Ran[1].Pos, r.Requests[0].Outcome, r.Requests[0].Gone = 499, waiting, r.Requests[0].At
		}},
		{"a new connection that a crowd has shut unread", func(r *soakRecord) { r.Requests[3].Place, r.Plan.Crowd = 0, true }},
		{"an answer behind another that took long", func(r *soakRecord) {
			r.Requests[4].Turn, r.Requests[4].At = r.Requests[4].Sent.Add(2*time.Second), r.Requests[4].Sent.Add(3*time.Second)
		}},
		{"a drain that discovery could not tell", func(r *soakRecord) {
			r.Agent = []soakSpan{{r.Drained[0].From, r.Drained[0].From.Add(time.Second)}}
			r.Attempts[3].ID, r.Attempts[3].Server, r.Attempts[3].At = "another", "t", r.Drained[0].From.Add(2900*time.Millisecond)
		}},
		{"a key again within its window, though it may run twice", func(r *soakRecord) {
			r.Attempts = append(r.Attempts, emulator.Attempt{ID: "w", Class: "write", Server: "s", At: r.Attempts[0].At.Add(500 * time.Millisecond)})
		}},
		{"SIGTERM before the program could see to it", func(r *soakRecord) { r.Lives[0].Early, r.Lives[0].Err = true, "signal: terminated" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := soundRecord()
			c.doctor(r)
			if found := r.audit(); len(found) > 0 {
				t.Errorf("%v", found)
			}
		})
	}
}

// A router that was held up tells data servers no more than its clients have left: nothing of it runs meanwhile, so only the kernel knows
// when the bytes came. Before, a request that came while the process was stopped for a second was told a second too much.
func TestDeadlineOfStoppedProcess(t *testing.T) {
	e := soakExperiment(t)
	profile := &e.Soak.Profiles[0]
	e.Platform, e.Classes = profile.Platform, profile.Classes
	fleet := e.fleet(1)
	fleet.Record = true
	running, err := fleet.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer running.Stop()
	router, err := newProcess(e, &Arm{}, program, t.TempDir(), 0, 1, running.Agent.Addr(), running.Agent.List(), nil, runs.Add(1))
	if err != nil {
		t.Fatal(err)
	}
	defer router.end()
	conn, err := dial(router.addr, "", "worker", time.Now().Add(startFor))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.conn.Close()
	for i, stopped := range []time.Duration{150 * time.Millisecond, time.Second} {
		time.Sleep(300 * time.Millisecond) // it runs in between
		r := &request{id: []string{"first", "second"}[i], class: "ausleihe", oid: "a", group: 1, wait: 3 * time.Second}
		r.key = r.id
		resume := faultinject.Pause(router.pid())
		sent := time.Now()
		if _, err := conn.conn.Write(r.query()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(stopped)
		resume()
		conn.conn.SetReadDeadline(time.Now().Add(startFor))
		if a, err := conn.readAnswer(); err != nil || a.outcome != served {
			t.Fatalf("%+v, %v", a, err)
		}
		for _, a := range running.Attempts() {
			if left := r.wait - a.At.Sub(sent); a.ID == r.id && a.Left > left+deadlineSlack {
				t.Errorf("stopped for %v: %s was told %v with %v left", stopped, a.Server, a.Left, left)
			}
		}
	}
}
