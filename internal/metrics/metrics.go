// Package metrics counts what a router does, for one line of totals a period. Nobody decides by it.
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

// Counter names what is counted one by one.
type Counter int

// The counters.
const (
	Requests           Counter = iota // requests that came
	Served                            // answered by a data server
	ClientLeft                        // the client left before its answer
	Unanswered                        // the module was silent past the deadline: a fault of ours
	TooManyInFlight                   // refused by the router itself: too many requests held, or too many bytes
	RejectedByContract                // refused by a team's contract
	RejectedByShedding                // refused as its lane is shed
	DuplicateID                       // failed, as its id was that of an open request

	FirstAttempts // sends of a request's first attempt
	Retries       // sends of a further one

	MissesNotPrimary // misses by reason: a write at a node that is none
	MissesBehind     // a read at a node that is too far behind

	Probes         // sent
	ProbesAnswered // answered

	DialsUp                // dials that came to a session
	DialsFailed            // that did not come up
	DialsRejected          // that were turned away: the data server holds too many connections
	DialsWithoutDescriptor // for which no descriptor was free
	ListCalls              // calls of discovery that brought a list or changes
	ListCallsFailed        // that failed

	DeniedByRecovery // attempts, dials, probes and list calls that recovery did not allow
	DeniedRetries    // of the attempts: further ones without successes to pay for them
	DeniedLate       // of the attempts: an answer could not be in time any more

	ShutUnread // connections that waited too long to be accepted, in a crowd
	TooOldRead // attempts not made: what was known of the replica had become too old for the read

	counters
)

var names = [counters]string{"asked", "served", "gone", "unanswered", "no_room", "contract", "lane", "twice_alive",
	"first", "repeated", "not_primary", "behind", "probes", "probed",
	"dial_up", "dial_unheard", "dial_too_many", "dial_no_socket", "lists", "no_list",
	"denied", "denied_again", "denied_late",
	"shut_unread", "too_old"}

// outcomes are the ends of attempts, as balance counts them from 1.
var outcomes = [...]string{"", "done", "failed", "busy", "timed_out", "unconnected", "reset", "canceled", "skipped", "miss"}

const actions = int(balance.WriteLog) + 1

// Outcome is an outcome's name in logs.
func Outcome(o balance.Outcome) string { return outcomes[o] }

// mostServers is how many data servers are counted one by one in a period; the work of the others is counted
// under the name "others".
const maxServers = 512

// Metrics is one router's counts. A nil one counts nothing. It is safe for concurrent use.
type Metrics struct {
	counts [counters]atomic.Int64
	why    [actions][balance.ReasonCount]atomic.Int64 // the module's actions by kind and reason
	ends   [len(outcomes)]atomic.Int64                // of attempts

	mu      sync.Mutex
	servers map[string]*Server
}

// Server is what became of the attempts at one data server in a period.
type Server struct{ Done, Miss, Busy, Failed, Lost, Unsent int64 }

// New returns a tally of nothing.
func New() *Metrics { return &Metrics{servers: map[string]*Server{}} }

// Add counts one.
func (t *Metrics) Add(c Counter) {
	if t != nil {
		t.counts[c].Add(1)
	}
}

// CountAction counts one action of the module.
func (t *Metrics) CountAction(a *balance.Action) {
	if t != nil {
		t.why[a.Kind][a.Reason].Add(1)
	}
}

// CountOutcome counts how an attempt at a data server ended.
func (t *Metrics) CountOutcome(host string, o balance.Outcome) {
	if t == nil {
		return
	}
	t.ends[o].Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[host]
	if s == nil {
		if len(t.servers) >= maxServers {
			host = "others"
		}
		if s = t.servers[host]; s == nil {
			s = &Server{}
			t.servers[host] = s
		}
	}
	switch o {
	case balance.Succeeded:
		s.Done++
	case balance.NotEligible:
		s.Miss++
	case balance.Busy:
		s.Busy++
	case balance.Failed:
		s.Failed++
	case balance.TimedOut, balance.ConnectionReset, balance.Canceled:
		s.Lost++
	default:
		s.Unsent++
	}
}

// Take returns what was counted since the last Take, without what is zero, and counts on from nothing.
func (t *Metrics) Take() []slog.Attr {
	var out []slog.Attr
	put := func(name string, c *atomic.Int64) {
		if n := c.Swap(0); n != 0 {
			out = append(out, slog.Int64(name, n))
		}
	}
	for i := range t.counts {
		put(names[i], &t.counts[i])
	}
	for kind, prefix := range map[balance.ActionKind]string{balance.SendAttempt: "send", balance.RejectRequest: "refused", balance.FailRequest: "failed", balance.WriteLog: "node"} {
		for why := range t.why[kind] {
			put(prefix+"_"+balance.Reason(why).String(), &t.why[kind][why])
		}
	}
	for o := 1; o < len(outcomes); o++ {
		put("end_"+outcomes[o], &t.ends[o])
	}
	slices.SortFunc(out, func(x, y slog.Attr) int { return strings.Compare(x.Key, y.Key) })
	t.mu.Lock()
	servers := t.servers
	t.servers = map[string]*Server{}
	t.mu.Unlock()
	hosts := make([]string, 0, len(servers))
	for host := range servers {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	for _, host := range hosts {
		out = append(out, slog.String(ServerPrefix+host, servers[host].String()))
	}
	return out
}

// ServerPrefix stands before a data server's name in a line of totals.
const ServerPrefix = "at."

// Add adds what became of other attempts.
func (s *Server) Add(o Server) {
	s.Done += o.Done
	s.Miss += o.Miss
	s.Busy += o.Busy
	s.Failed += o.Failed
	s.Lost += o.Lost
	s.Unsent += o.Unsent
}

// String is the form in a line of totals.
func (s Server) String() string {
	return fmt.Sprintf("%d/%d/%d/%d/%d/%d", s.Done, s.Miss, s.Busy, s.Failed, s.Lost, s.Unsent)
}

// ParseServer reads what String wrote.
func ParseServer(text string) (s Server, err error) {
	n, err := fmt.Sscanf(text, "%d/%d/%d/%d/%d/%d", &s.Done, &s.Miss, &s.Busy, &s.Failed, &s.Lost, &s.Unsent)
	if err != nil || s.String() != text {
		return s, fmt.Errorf("tally: %q is no data server's totals (%d numbers)", text, n)
	}
	return s, nil
}
