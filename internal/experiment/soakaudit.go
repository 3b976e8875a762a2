package experiment

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// The limits of the rules, from the documentation (STANDING, the protocol page, S1 to S5).
const (
	answerGrace       = 500 * time.Millisecond // an answer at most this long after its deadline is late but valid; a later one counts as lost
	leftGrace         = 100 * time.Millisecond // how long after its client has left an attempt may still begin
	deadlineSlack     = 150 * time.Millisecond // how much more time than is left an attempt may pass on to its server
	timeSlack         = 50 * time.Millisecond  // added to every time limit for the delay of sockets
	listPropagation   = 6 * time.Second        // a change of the list is known to all routers this long after discovery answers again
	reloadPropagation = 4 * time.Second        // or this long after SIGHUP
	killAfter         = 700 * time.Millisecond // SIGKILL comes this long after the longest deadline, or after minDeadline if that is longer
	minDeadline       = 3 * time.Second        // see killAfter
	readyWithin       = 10 * time.Second       // the time within which readyShare of the restarted routers must be ready
	readyShare        = 0.9                    // see readyWithin
	transientConns    = 2                      // a probe and a request for the endpoint list may be open during a count
	smallBudget       = 30                     // a smaller budget is exceeded after a margin of three square roots, any other after two
	acceptsFor        = 400 * time.Millisecond // maximum time after SIGTERM for which new connections arrive; the minimum is half of it
)

// soakRule is a rule that the audit checks.
type soakRule string

// The rules.
const (
	ruleAnswer      soakRule = "one final answer, or closed unread with nothing forwarded (S3, S5)"
	ruleTime        soakRule = "the final answer comes in time"
	ruleValue       soakRule = "an answer is what a data server made for this request"
	ruleClientLeft  soakRule = "no attempt for a client that has gone (S2)"
	ruleDeadline    soakRule = "the deadline passed on is what is left (S4)"
	ruleKey         soakRule = "a key is sent again within its window only"
	ruleConcurrency soakRule = "one attempt of a request at a time"
	ruleDrain       soakRule = "nothing new to a draining server"
	ruleOwnWrites   soakRule = "a session sees its own writes"
	ruleCold        soakRule = "slow-start budget in sum (S1)"
	ruleExit        soakRule = "ends by itself after SIGTERM, with 0"
	ruleReady       soakRule = "ready again in time"
	ruleCrash       soakRule = "no crash"
	ruleMemory      soakRule = "memory within the limit"
	ruleLeak        soakRule = "descriptors back to where they were"
)

// soakViolation is a violation of a rule.
type soakViolation struct {
	Rule soakRule
	Text string
	ID   string // of the request; "": the violation concerns no single request
}

// audit checks the record against all rules and returns the violations.
func (record *soakRecord) audit() []soakViolation {
	audit := &soakAudit{soakRecord: record, attempts: map[string][]int{}}
	for index, attempt := range record.Attempts {
		audit.attempts[attempt.ID] = append(audit.attempts[attempt.ID], index)
	}
	for _, request := range record.Requests {
		audit.answer(request)
		audit.gone(request)
		audit.deadline(request)
		audit.key(request)
	}
	audit.servers()
	audit.ownWrites()
	audit.drains()
	audit.cold()
	audit.processes()
	return audit.violations
}

// soakAudit is an audit in progress.
type soakAudit struct {
	*soakRecord
	attempts   map[string][]int // by request ID: indexes into Attempts
	violations []soakViolation
}

// addViolation records a violation; id names the request concerned, if there is one.
func (audit *soakAudit) addViolation(rule soakRule, id, text string, args ...any) {
	audit.violations = append(audit.violations, soakViolation{rule, fmt.Sprintf(text, args...), id})
}

// answer checks that each request that was read gets one final answer in time. A request that was not read may be
// closed on a connection that has carried an answer before, or when idle clients occupy the descriptors.
func (audit *soakAudit) answer(request *soakRequest) {
	if request.OtherValue {
		audit.addViolation(ruleValue, request.ID, "served with the value of another request")
	}
	if request.Sent.IsZero() || !request.LeftAt.IsZero() {
		return
	}
	process := audit.Processes[request.Process]
	from := request.Sent
	if request.PrecedingAt.After(from) {
		from = request.PrecedingAt // the time until the preceding answer does not count
	}
	limit := from.Add(request.Wait + answerGrace + timeSlack)
	if request.Outcome != waiting {
		if late := request.At.Sub(limit); late > audit.lag(from, request.At) {
			audit.addViolation(ruleTime, request.ID, "answered %v after its deadline plus %v", late+answerGrace+timeSlack, answerGrace)
		}
		return
	}
	read, logged := audit.Read[request.ID]
	switch {
	case len(audit.attempts[request.ID]) > 0:
		audit.addViolation(ruleAnswer, request.ID, "forwarded to %s and not answered (connection ended: %v)", audit.Attempts[audit.attempts[request.ID][0]].Server, request.Ended)
	case logged:
		audit.addViolation(ruleAnswer, request.ID, "read (the log says %q) and not answered (connection ended: %v)", read, request.Ended)
	case !request.Ended:
		audit.addViolation(ruleAnswer, request.ID, "neither answered nor closed")
	case request.Index == 0 && !audit.Plan.IdleCrowd && (process.Term.IsZero() || request.Sent.Before(process.Term.Add(acceptsFor))):
		audit.addViolation(ruleAnswer, request.ID, "closed with no answer on a new connection")
	}
}

// gone checks that no attempt begins after the client of the request has left.
func (audit *soakAudit) gone(request *soakRequest) {
	if request.LeftAt.IsZero() {
		return
	}
	for _, index := range audit.attempts[request.ID] {
		attempt := &audit.Attempts[index]
		if late := attempt.At.Sub(request.LeftAt) - leftGrace; late > audit.lag(request.LeftAt, attempt.At) {
			audit.addViolation(ruleClientLeft, request.ID, "an attempt at %s began %v after its client had left", attempt.Server, late+leftGrace)
		}
	}
}

// deadline checks that an attempt passes on no longer deadline than the request has left.
func (audit *soakAudit) deadline(request *soakRequest) {
	if request.Sent.IsZero() {
		return
	}
	for _, index := range audit.attempts[request.ID] {
		attempt := &audit.Attempts[index]
		left := request.Wait - attempt.At.Sub(request.Sent)
		if over := attempt.Remaining - left - deadlineSlack; over > audit.lag(request.Sent, attempt.At) {
			audit.addViolation(ruleDeadline, request.ID, "%s was passed a deadline of %v with %v left", attempt.Server, attempt.Remaining, left)
		}
	}
}

// key checks that a keyed write that may have been executed is sent again only within its window, counted from the
// first attempt that may have been executed. Data servers detect a second execution within the window by the key.
func (audit *soakAudit) key(request *soakRequest) {
	if request.Key == "" {
		return
	}
	var first time.Time
	for _, index := range audit.attempts[request.ID] {
		attempt := &audit.Attempts[index]
		switch {
		case attempt.Missed:
		case first.IsZero():
			first = attempt.At
		case attempt.At.Sub(first)-audit.Limits.KeyWindow-timeSlack > audit.lag(first, attempt.At):
			audit.addViolation(ruleKey, request.ID, "%s got it %v after the first attempt that may have run, its window is %v", attempt.Server, attempt.At.Sub(first), audit.Limits.KeyWindow)
		}
	}
}

// servers checks the counters of the data servers.
func (audit *soakAudit) servers() {
	if count := audit.ServerAudit.ConcurrentAttempts; count > 0 {
		audit.addViolation(ruleConcurrency, "", "%d attempts began while another was open", count)
	}
}

// ownWrites checks that a session's read is answered from a position that includes every write of the session that was
// answered before the read was sent. A write whose client did not get the answer need not be included.
func (audit *soakAudit) ownWrites() {
	type write struct {
		answered time.Time
		position int64
	}
	requests := make(map[string]*soakRequest, len(audit.Requests))
	for _, request := range audit.Requests {
		requests[request.ID] = request
	}
	writes, readPositions := map[string][]write{}, map[string]int64{}
	for _, execution := range audit.Runs {
		request := requests[execution.ID]
		if execution.Missed || request == nil || request.Outcome != served {
			continue
		}
		if execution.Write {
			writes[execution.Session] = append(writes[execution.Session], write{request.At, execution.Pos})
		} else if audit.Profile.Classes[request.Class].Read == "session" {
			readPositions[execution.ID] = max(readPositions[execution.ID], execution.Pos)
		}
	}
	for _, execution := range audit.Runs {
		position, isRead := readPositions[execution.ID]
		if !isRead || execution.Missed {
			continue
		}
		for _, write := range writes[execution.Session] {
			if write.answered.Before(requests[execution.ID].Sent) && position < write.position {
				audit.addViolation(ruleOwnWrites, execution.ID, "%s answered from position %d, the session has written at %d", execution.Server, position, write.position)
			}
		}
	}
}

// drains checks that a draining server gets no attempts once the routers must know of the change and the grace period
// is over.
func (audit *soakAudit) drains() {
	for _, drained := range audit.Drained {
		knownAt := audit.knownBy(drained.From)
		for _, attempt := range audit.Attempts {
			if attempt.Server != drained.Server || attempt.At.After(drained.To) {
				continue
			}
			if late := attempt.At.Sub(knownAt.Add(audit.Limits.DrainGrace + timeSlack)); late > audit.lag(drained.From, attempt.At) {
				audit.addViolation(ruleDrain, attempt.ID, "%s got it %v after it began to drain, which the routers had to know after %v", drained.Server, attempt.At.Sub(drained.From), knownAt.Sub(drained.From))
			}
		}
	}
}

// knownBy returns the time at which all routers must know of a change of the endpoint list.
func (audit *soakAudit) knownBy(change time.Time) time.Time {
	knownAt := change
	for _, span := range audit.Agent {
		if span.From.Before(change.Add(timeSlack)) && span.To.After(change.Add(-timeSlack)) {
			knownAt = span.To.Add(listPropagation)
		}
	}
	for _, reloadedAt := range audit.Reloads { // a reload may move the watch of the list to another address
		if reloadedAt.Before(change.Add(audit.Limits.DrainGrace)) && reloadedAt.Add(reloadPropagation).After(knownAt) {
			knownAt = reloadedAt.Add(reloadPropagation)
		}
	}
	return knownAt
}

// cold checks that a server that is warming up gets no more than its budget, in requests of mean work, from all routers
// together in any window.
func (audit *soakAudit) cold() {
	mean := audit.meanWork()
	for _, start := range audit.Cold {
		if audit.knownBy(start.At) != start.At {
			continue // the routers could not know that the server was cold
		}
		var times []time.Time
		var work []float64
		for _, attempt := range audit.Attempts {
			if attempt.Server == start.Server && !attempt.Missed && attempt.At.After(start.At) && attempt.At.Before(start.At.Add(audit.Limits.Ramp)) {
				times, work = append(times, attempt.At), append(work, audit.work(attempt.Class)/mean.Seconds())
			}
		}
		total, first := 0.0, 0
		for index, at := range times {
			total += work[index]
			for ; at.Sub(times[first]) >= audit.Limits.Window; first++ {
				total -= work[first]
			}
			if allowed := audit.budget(times[first].Sub(start.At), mean); total > allowed {
				audit.addViolation(ruleCold, "", "%s got %.1f requests of mean work in the %v up to %v after its start, %.1f are allowed", start.Server, total, audit.Limits.Window, at.Sub(start.At), allowed)
				break
			}
		}
	}
}

// work returns the mean work of a request of a class, in seconds.
func (audit *soakAudit) work(class string) float64 {
	bounds := audit.Profile.Classes[class].WorkMS
	return (bounds[0] + bounds[1]) / 2 / 1000
}

// meanWork returns the mean work of all attempts that were executed.
func (audit *soakAudit) meanWork() time.Duration {
	total, count := 0.0, 0
	for _, attempt := range audit.Attempts {
		if !attempt.Missed {
			total += audit.work(attempt.Class)
			count++
		}
	}
	return time.Duration(total / float64(max(count, 1)) * float64(time.Second))
}

// budget returns the number of requests of mean work that a server may get in a window that begins at an age of the
// server.
func (audit *soakAudit) budget(age, mean time.Duration) float64 {
	limits := &audit.Limits
	warmth := limits.ColdShare + (1-limits.ColdShare)*min(1, age.Seconds()/limits.Ramp.Seconds())
	expected := limits.Multiple * warmth * float64(limits.Cores) * limits.Window.Seconds() / mean.Seconds()
	if expected < smallBudget {
		return expected + 3*math.Sqrt(expected) + 3
	}
	return expected + 2*math.Sqrt(expected) + 2
}

// processes checks how the processes started and ended, and their use of memory and descriptors.
func (audit *soakAudit) processes() {
	limit := max(audit.Limits.LongestDeadline, minDeadline) + killAfter
	restarts, slow := 0, 0
	for index, process := range audit.Processes {
		name := fmt.Sprintf("process %d, router %d", index, process.Router)
		switch {
		case process.Term.IsZero() && !process.Ended.IsZero():
			audit.addViolation(ruleCrash, "", "%s ended by itself: %s", name, process.Err)
		case process.Killed || !process.Term.IsZero() && process.Ended.IsZero():
			audit.addViolation(ruleExit, "", "%s did not end in %v after SIGTERM", name, limit)
		case process.TermWhileStarting && process.Err == "signal: terminated": // SIGTERM came before the process had installed its signal handler; that is no crash
		case process.Err != "":
			audit.addViolation(ruleExit, "", "%s ended with %s", name, process.Err)
		}
		if !process.TermWhileStarting {
			restarts++
			if process.Ready.IsZero() || process.Ready.Sub(process.Started) > readyWithin {
				slow++
			}
		}
		if process.MaxMemoryMB > audit.Limits.MemoryMB {
			audit.addViolation(ruleMemory, "", "%s had %.1f MB of %.1f", name, process.MaxMemoryMB, audit.Limits.MemoryMB)
		}
		if process.BaseFDs > 0 && process.IdleFDs > process.BaseFDs+transientConns {
			audit.addViolation(ruleLeak, "", "%s has %d descriptors, %d before its clients connected", name, process.IdleFDs, process.BaseFDs)
		}
	}
	if float64(slow) > (1-readyShare)*float64(restarts) {
		audit.addViolation(ruleReady, "", "%d of %d processes were not ready in %v", slow, restarts, readyWithin)
	}
}

// brokenRules returns the rules that were violated, each once.
func brokenRules(violations []soakViolation) []soakRule {
	var rules []soakRule
	for _, violation := range violations {
		if !slices.Contains(rules, violation.Rule) {
			rules = append(rules, violation.Rule)
		}
	}
	return rules
}
