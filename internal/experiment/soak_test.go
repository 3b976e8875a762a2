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

// buildShipped builds the router with the flags of the deploy file and returns its path.
func buildShipped(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "router")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "lotushook/cmd/router").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// soakExperiment returns the experiment deploy/lab/restart-soak.jsonnet.
func soakExperiment(t *testing.T) *Experiment {
	t.Helper()
	text, err := jsonnet.MakeVM().EvaluateFile("../../deploy/lab/restart-soak.jsonnet")
	if err != nil {
		t.Fatal(err)
	}
	experiment, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return experiment
}

// soakSeeds are the seeds that the test runs. To run more: routerctl lab run --seeds 50
// deploy/lab/restart-soak.jsonnet.
var soakSeeds = []uint64{1, 2, 4, 7, 9}

// TestSoakOfRestarts checks that no rule is violated while routers restart again and again under load. It prints the
// schedule and traces of a violation. To repeat the faults of a seed: routerctl lab run --seed N
// deploy/lab/restart-soak.jsonnet.
func TestSoakOfRestarts(t *testing.T) {
	experiment, build := soakExperiment(t), buildShipped(t)
	for _, seed := range soakSeeds {
		dir := t.TempDir()
		result, err := RunSoak(context.Background(), experiment, Options{Seed: seed, Dir: dir, Build: build})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		t.Log(result.TableRow())
		if !result.Passed() {
			var text strings.Builder
			result.Explain(&text, dir)
			t.Errorf("%s", text.String())
		}
		if result.Answered < result.Requests/2 || result.Attempts == 0 {
			t.Errorf("seed %d: only %d of %d requests answered: too few for an audit", seed, result.Answered, result.Requests)
		}
	}
}

// TestSoakPlanFollowsFromItsSeed checks that a seed determines its plan, and that plans of different seeds differ.
func TestSoakPlanFollowsFromItsSeed(t *testing.T) {
	soak := &Soak{Seconds: 9, Clients: 1, Profiles: make([]SoakProfile, 3)}
	text := func(seed uint64) (steps string) {
		plan := drawSoak(soak, 12, seed)
		for _, step := range plan.Steps {
			steps += step.String() + "\n"
		}
		return steps
	}
	if first, again := text(3), text(3); first != again || first == text(4) {
		t.Error("a seed does not determine its plan")
	}
	actions := map[SoakAction]bool{}
	for seed := range uint64(20) {
		for _, step := range drawSoak(soak, 12, seed).Steps {
			actions[step.Do] = true
		}
	}
	if len(actions) != 10 {
		t.Errorf("actions drawn: %v", actions)
	}
}

// validRecord returns a record without a violation; each case of the audit's test adds one.
func validRecord() *soakRecord {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	after := func(elapsedMS int) time.Time { return start.Add(time.Duration(elapsedMS) * time.Millisecond) }
	record := &soakRecord{
		Plan:    &SoakPlan{},
		Profile: &SoakProfile{Classes: map[string]Class{"read": {Read: "session", WorkMS: []float64{10, 10}}, "write": {Read: "write", WorkMS: []float64{10, 10}}}},
		Limits: soakLimits{LongestDeadline: 3 * time.Second, KeyWindow: 500 * time.Millisecond, DrainGrace: time.Second, Window: 1500 * time.Millisecond, Multiple: 3, ColdShare: 0.17,
			Ramp: 6 * time.Second, Cores: 1, MemoryMB: 48},
		Processes: []*soakProcess{{Started: after(0), Ready: after(50), Term: after(9000), Ended: after(9600), BaseFDs: 10, IdleFDs: 11, MaxMemoryMB: 20}},
		Requests: []*soakRequest{
			{ID: "w", Key: "w", Class: "write", Index: 0, Sent: after(100), Wait: time.Second, Outcome: served, At: after(150)},
			{ID: "r", Class: "read", Index: 1, Sent: after(200), Wait: time.Second, Outcome: served, At: after(250)},
			{ID: "gone", Class: "read", Index: 2, Sent: after(300), Wait: time.Second, Outcome: waiting, LeftAt: after(320), At: after(330), Ended: true},
			{ID: "unread", Class: "read", Index: 3, Sent: after(400), Wait: time.Second, Outcome: waiting, At: after(410), Ended: true},
			{ID: "last", Class: "read", Index: 4, Sent: after(1000), Wait: time.Second, Outcome: served, At: after(1100)},
		},
		Attempts: []emulator.Attempt{
			{ID: "w", Class: "write", Server: "s", At: after(110), Remaining: 980 * time.Millisecond},
			{ID: "r", Class: "read", Server: "s", At: after(210), Remaining: 980 * time.Millisecond},
			{ID: "gone", Class: "read", Server: "s", At: after(310), Remaining: 980 * time.Millisecond},
			{ID: "last", Class: "read", Server: "s", At: after(1010), Remaining: 980 * time.Millisecond},
		},
		Runs:    []emulator.Run{{ID: "w", Session: "a", Server: "s", Write: true, Pos: 500}, {ID: "r", Session: "a", Server: "s", Pos: 500}},
		Read:    map[string]string{"w": "served", "r": "served", "gone": "gone", "last": "served"},
		Drained: []soakDrained{{"t", soakSpan{after(0), after(3000)}}},
		Cold:    []soakCold{{"u", after(0)}},
	}
	return record
}

// TestSoakAuditFindsEachRule checks that the audit finds nothing in a valid record, and the violation of each rule in a
// record changed for it.
func TestSoakAuditFindsEachRule(t *testing.T) {
	if violations := validRecord().audit(); len(violations) > 0 {
		t.Fatalf("in a valid record: %v", violations)
	}
	sent := validRecord().Requests[0].Sent
	burst := func(server string, from time.Time, count int) (attempts []emulator.Attempt) {
		for range count {
			attempts = append(attempts, emulator.Attempt{ID: "x", Class: "read", Server: server, At: from})
		}
		return attempts
	}
	for _, test := range []struct {
		name   string
		rule   soakRule
		change func(*soakRecord)
	}{
		{"forwarded and closed", ruleAnswer, func(r *soakRecord) {
			r.Attempts[3].ID, r.Attempts[3].At = "unread", r.Requests[3].Sent.Add(time.Millisecond)
		}},
		{"read and closed", ruleAnswer, func(r *soakRecord) { r.Read["unread"] = "served" }},
		{"neither answered nor closed", ruleAnswer, func(r *soakRecord) { r.Requests[3].Ended = false }},
		{"closed on a new connection", ruleAnswer, func(r *soakRecord) { r.Requests[3].Index = 0 }},
		{"late", ruleTime, func(r *soakRecord) {
			r.Requests[4].At = r.Requests[4].Sent.Add(time.Second + answerGrace + timeSlack + time.Millisecond)
		}},
		{"another's value", ruleValue, func(r *soakRecord) { r.Requests[1].OtherValue = true }},
		{"an attempt for one that has gone", ruleClientLeft, func(r *soakRecord) { r.Attempts[2].At = r.Requests[2].LeftAt.Add(leftGrace + time.Millisecond) }},
		{"too long a deadline", ruleDeadline, func(r *soakRecord) { r.Attempts[1].Remaining = 990*time.Millisecond + deadlineSlack + time.Millisecond }},
		{"a key beyond its window", ruleKey, func(r *soakRecord) {
			r.Requests[0].Wait = 5 * time.Second
			r.Attempts = append(r.Attempts, emulator.Attempt{ID: "w", Class: "write", Server: "s", At: r.Attempts[0].At.Add(500*time.Millisecond + timeSlack + time.Millisecond)})
		}},
		{"two attempts at a time", ruleConcurrency, func(r *soakRecord) { r.ServerAudit.ConcurrentAttempts = 1 }},
		{"an attempt at a draining server", ruleDrain, func(r *soakRecord) {
			r.Attempts[3].Server = "t"
			r.Attempts[3].At = r.Drained[0].From.Add(time.Second + timeSlack + time.Millisecond)
			r.Attempts[3].Remaining = 0
		}},
		{"a stale read", ruleOwnWrites, func(r *soakRecord) { r.Runs[1].Pos = 499 }},
		{"too much for a cold server", ruleCold, func(r *soakRecord) { r.Attempts = append(r.Attempts, burst("u", sent, 150)...) }},
		{"an exit with 1", ruleExit, func(r *soakRecord) { r.Processes[0].Err = "exit status 1" }},
		{"killed at the limit", ruleExit, func(r *soakRecord) { r.Processes[0].Killed = true }},
		{"never ready", ruleReady, func(r *soakRecord) { r.Processes[0].Ready = time.Time{} }},
		{"a crash", ruleCrash, func(r *soakRecord) { r.Processes[0].Term = time.Time{} }},
		{"too much memory", ruleMemory, func(r *soakRecord) { r.Processes[0].MaxMemoryMB = 49 }},
		{"descriptors that stay", ruleLeak, func(r *soakRecord) { r.Processes[0].IdleFDs = 13 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := validRecord()
			test.change(r)
			if violations := brokenRules(r.audit()); !slices.Equal(violations, []soakRule{test.rule}) {
				t.Errorf("found %v, want %q", violations, test.rule)
			}
		})
	}
}

// TestSoakAuditAllows checks that the audit allows what is no violation. Each case occurred in a soak.
func TestSoakAuditAllows(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*soakRecord)
	}{
		{"a read that does not see a write whose client was never answered", func(r *soakRecord) {
			r.Runs[1].Pos, r.Requests[0].Outcome, r.Requests[0].LeftAt = 499, waiting, r.Requests[0].At
		}},
		{"a new connection that a crowd has shut unread", func(r *soakRecord) { r.Requests[3].Index, r.Plan.IdleCrowd = 0, true }},
		{"an answer behind another that took long", func(r *soakRecord) {
			r.Requests[4].PrecedingAt, r.Requests[4].At = r.Requests[4].Sent.Add(2*time.Second), r.Requests[4].Sent.Add(3*time.Second)
		}},
		{"a drain that discovery could not tell", func(r *soakRecord) {
			r.Agent = []soakSpan{{r.Drained[0].From, r.Drained[0].From.Add(time.Second)}}
			r.Attempts[3].ID, r.Attempts[3].Server, r.Attempts[3].At = "another", "t", r.Drained[0].From.Add(2900*time.Millisecond)
		}},
		{"a key again within its window, though it may run twice", func(r *soakRecord) {
			r.Attempts = append(r.Attempts, emulator.Attempt{ID: "w", Class: "write", Server: "s", At: r.Attempts[0].At.Add(500 * time.Millisecond)})
		}},
		{"SIGTERM before the program could see to it", func(r *soakRecord) { r.Processes[0].TermWhileStarting, r.Processes[0].Err = true, "signal: terminated" }},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := validRecord()
			test.change(r)
			if violations := r.audit(); len(violations) > 0 {
				t.Errorf("%v", violations)
			}
		})
	}
}

// TestDeadlineOfStoppedProcess checks that a router whose process was stopped passes no longer deadlines to data
// servers than its clients have left. A router that counts from its own read, and not from the time at which the kernel
// received the bytes, passes on a deadline that is too long by the time of the stop.
func TestDeadlineOfStoppedProcess(t *testing.T) {
	experiment := soakExperiment(t)
	profile := &experiment.Soak.Profiles[0]
	experiment.Platform, experiment.Classes = profile.Platform, profile.Classes
	fleet := experiment.fleet(1)
	fleet.Record = true
	running, err := fleet.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer running.Stop()
	router, err := newProcess(experiment, &Arm{}, program, t.TempDir(), 0, 1, running.Agent.Addr(), running.Agent.List(), nil, runNumbers.Add(1))
	if err != nil {
		t.Fatal(err)
	}
	defer router.terminate()
	conn, err := dial(router.addr, "", "worker", time.Now().Add(startTimeout))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.conn.Close()
	for index, stopped := range []time.Duration{150 * time.Millisecond, time.Second} {
		time.Sleep(300 * time.Millisecond) // the process runs for a while between the stops
		req := &request{id: []string{"first", "second"}[index], class: "ausleihe", objectID: "a", group: 1, timeout: 3 * time.Second}
		req.key = req.id
		resume := faultinject.Pause(router.pid())
		sent := time.Now()
		if _, err := conn.conn.Write(req.query()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(stopped)
		resume()
		conn.conn.SetReadDeadline(time.Now().Add(startTimeout))
		if result, err := conn.readAnswer(); err != nil || result.outcome != served {
			t.Fatalf("%+v, %v", result, err)
		}
		for _, attempt := range running.Attempts() {
			if left := req.timeout - attempt.At.Sub(sent); attempt.ID == req.id && attempt.Remaining > left+deadlineSlack {
				t.Errorf("stopped for %v: %s was passed a deadline of %v with %v left", stopped, attempt.Server, attempt.Remaining, left)
			}
		}
	}
}
