// Package metrics counts what a router does. In each period of fixed length the router logs one line with the totals.
// The counts influence no decision.
package metrics

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"lotushook/policy/balance"
)

// Counter identifies a counter.
type Counter int

// The counters.
const (
	Requests           Counter = iota // requests received
	Served                            // requests answered by an endpoint
	ClientDisconnected                // requests whose client disconnected before the response
	Unanswered                        // requests that the balancer did not decide by their deadline: a fault of the router
	TooManyInFlight                   // requests rejected because too many requests or bytes are in flight
	RejectedByContract                // requests rejected by a team's contract
	RejectedByShedding                // requests rejected because their priority class is shed
	DuplicateID                       // requests that failed because a request in flight has the same ID

	FirstAttempts // first attempts sent
	Retries       // further attempts sent

	MissesNotPrimary // attempts that ended as balance.NotEligible: writes at an endpoint that is not the primary
	MissesStale      // attempts that ended as balance.NotEligible: reads at an endpoint that lags too far

	Probes         // probes sent
	ProbesAnswered // probes answered

	DialsSucceeded         // dials after which the connection could be used
	DialsFailed            // dials that failed
	DialsRejected          // dials that the endpoint rejected because it has too many connections
	DialsWithoutDescriptor // dials not made for lack of a file descriptor
	ListCalls              // discovery calls that returned a list or changes
	ListCallsFailed        // discovery calls that failed

	DeniedByRecovery // attempts, dials, probes and discovery calls that policy/recovery denied
	DeniedRetries    // of DeniedByRecovery: retries beyond the retry budget, which successful requests fill
	DeniedLate       // of DeniedByRecovery: attempts whose response could not arrive before the deadline

	ClosedUnread      // client connections closed unread, as they waited too long to be accepted during overload
	StaleReadsSkipped // attempts not sent because the information about the endpoint had become too old: a replica's position, or that it is the primary

	WaitsForAnswerMemory // queries not taken at once, as open queries and answers that waited used up their memory
	AnswersDropped       // answers dropped, as they had to wait for earlier ones and there was no memory for them
	WaitsForInputMemory  // waits of readers for memory for the rest of a message

	counterCount
)

// counterNames has the names of the counters in the line of totals.
var counterNames = [counterCount]string{"asked", "served", "gone", "unanswered", "no_room", "contract", "lane", "twice_alive",
	"first", "repeated", "not_primary", "behind", "probes", "probed",
	"dial_up", "dial_unheard", "dial_too_many", "dial_no_socket", "lists", "no_list",
	"denied", "denied_again", "denied_late",
	"shut_unread", "too_old",
	"answer_waits", "answers_dropped", "input_waits"}

// outcomeNames has the names of balance.Outcome, whose values start at 1.
var outcomeNames = [...]string{"", "done", "failed", "busy", "timed_out", "unconnected", "reset", "canceled", "skipped", "miss"}

const actionKinds = int(balance.WriteLog) + 1

// Outcome returns the name of an outcome in logs.
func Outcome(outcome balance.Outcome) string { return outcomeNames[outcome] }

// maxEndpoints is the maximum number of endpoints with counts of their own in a period. Attempts at further endpoints
// are counted together under the name "others".
const maxEndpoints = 512

// Metrics has the counts of one router. A nil Metrics counts nothing. It is safe for concurrent use.
type Metrics struct {
	counts   [counterCount]atomic.Int64
	actions  [actionKinds][balance.ReasonCount]atomic.Int64 // the balancer's actions by kind and reason
	outcomes [len(outcomeNames)]atomic.Int64                // the attempts by outcome

	mu        sync.Mutex
	endpoints map[string]*EndpointCounts
}

// EndpointCounts has the numbers of attempts at one endpoint in a period, by outcome.
type EndpointCounts struct{ Succeeded, NotEligible, Busy, Failed, NoResponse, NotSent int64 }

// New returns Metrics with all counts at 0.
func New() *Metrics { return &Metrics{endpoints: map[string]*EndpointCounts{}} }

// Add increments a counter.
func (m *Metrics) Add(counter Counter) {
	if m != nil {
		m.counts[counter].Add(1)
	}
}

// CountAction counts an action of the balancer.
func (m *Metrics) CountAction(action *balance.Action) {
	if m != nil {
		m.actions[action.Kind][action.Reason].Add(1)
	}
}

// CountOutcome counts the outcome of an attempt at an endpoint.
func (m *Metrics) CountOutcome(host string, outcome balance.Outcome) {
	if m == nil {
		return
	}
	m.outcomes[outcome].Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	endpoint := m.endpoints[host]
	if endpoint == nil {
		if len(m.endpoints) >= maxEndpoints {
			host = "others"
		}
		if endpoint = m.endpoints[host]; endpoint == nil {
			endpoint = &EndpointCounts{}
			m.endpoints[host] = endpoint
		}
	}
	switch outcome {
	case balance.Succeeded:
		endpoint.Succeeded++
	case balance.NotEligible:
		endpoint.NotEligible++
	case balance.Busy:
		endpoint.Busy++
	case balance.Failed:
		endpoint.Failed++
	case balance.TimedOut, balance.ConnectionReset, balance.Canceled:
		endpoint.NoResponse++
	default:
		endpoint.NotSent++
	}
}

// Take returns all counts above 0 and resets them to 0.
func (m *Metrics) Take() []slog.Attr {
	var out []slog.Attr
	take := func(name string, count *atomic.Int64) {
		if value := count.Swap(0); value != 0 {
			out = append(out, slog.Int64(name, value))
		}
	}
	for i := range m.counts {
		take(counterNames[i], &m.counts[i])
	}
	for kind, prefix := range map[balance.ActionKind]string{balance.SendAttempt: "send", balance.RejectRequest: "refused", balance.FailRequest: "failed", balance.WriteLog: "node"} {
		for reason := range m.actions[kind] {
			take(prefix+"_"+balance.Reason(reason).String(), &m.actions[kind][reason])
		}
	}
	for outcome := 1; outcome < len(outcomeNames); outcome++ {
		take("end_"+outcomeNames[outcome], &m.outcomes[outcome])
	}
	slices.SortFunc(out, func(x, y slog.Attr) int { return strings.Compare(x.Key, y.Key) })
	m.mu.Lock()
	endpoints := m.endpoints
	m.endpoints = map[string]*EndpointCounts{}
	m.mu.Unlock()
	hosts := make([]string, 0, len(endpoints))
	for host := range endpoints {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	for _, host := range hosts {
		out = append(out, slog.String(EndpointPrefix+host, endpoints[host].String()))
	}
	return out
}

// EndpointPrefix precedes an endpoint's name in a line of totals.
const EndpointPrefix = "at."

// Add adds the counts of other attempts.
func (c *EndpointCounts) Add(other EndpointCounts) {
	c.Succeeded += other.Succeeded
	c.NotEligible += other.NotEligible
	c.Busy += other.Busy
	c.Failed += other.Failed
	c.NoResponse += other.NoResponse
	c.NotSent += other.NotSent
}

// String returns the form used in a line of totals.
func (c EndpointCounts) String() string {
	return fmt.Sprintf("%d/%d/%d/%d/%d/%d", c.Succeeded, c.NotEligible, c.Busy, c.Failed, c.NoResponse, c.NotSent)
}

// ParseEndpointCounts parses the result of String.
func ParseEndpointCounts(text string) (counts EndpointCounts, err error) {
	parsed, err := fmt.Sscanf(text, "%d/%d/%d/%d/%d/%d", &counts.Succeeded, &counts.NotEligible, &counts.Busy, &counts.Failed, &counts.NoResponse, &counts.NotSent)
	if err != nil || counts.String() != text {
		return counts, fmt.Errorf("metrics: %q does not have the form of an endpoint's totals (%d numbers parsed)", text, parsed)
	}
	return counts, nil
}
