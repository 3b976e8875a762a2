package experiment

import (
	"sync"
	"time"

	"lotushook/internal/emulator"
)

// soakRequest is one request as its client saw it.
type soakRequest struct {
	ID, Key, Class string
	Process        int           // the process of its router: an index into soakRecord.Processes
	Conn           int           // number of its connection
	Index          int           // its number on the connection, from 0
	Sent           time.Time     // when the last byte was written; zero: not written completely
	Wait           time.Duration // the time limit that it states
	PrecedingAt    time.Time     // when the preceding answer on the connection arrived; zero: none was outstanding
	Outcome        outcome       // waiting: no answer
	At             time.Time     // time of the answer or of the connection's end
	Ended          bool          // the connection ended before the answer
	OtherValue     bool          // the value belongs to another request
	LeftAt         time.Time     // when its client closed the connection or cancelled; zero: it did not
}

// soakProcess is one process of a router.
type soakProcess struct {
	Router            int
	Started, Ready    time.Time // zero Ready: it never became ready
	Term              time.Time // time of the first SIGTERM; zero: none
	TermWhileStarting bool      // SIGTERM was sent while it was starting
	Ended             time.Time
	Killed            bool // by SIGKILL, as it had not ended in time after SIGTERM
	Err               string
	BaseFDs, IdleFDs  int // descriptors in use before the clients connect and after they have left; 0: not measured
	MaxMemoryMB       float64
}

// soakSpan is a time span in which a fault was present.
type soakSpan struct{ From, To time.Time }

// soakDrained is a time span in which a server was draining.
type soakDrained struct {
	Server string
	soakSpan
}

// soakCold is a cold start of a server.
type soakCold struct {
	Server string
	At     time.Time
}

// soakRecord is everything recorded during one run of a plan, and the only input of the audit.
type soakRecord struct {
	mu sync.Mutex // guards the fields below during the run

	Plan        *SoakPlan
	Profile     *SoakProfile
	Limits      soakLimits
	Requests    []*soakRequest
	Processes   []*soakProcess
	Reloads     []time.Time
	Agent       []soakSpan // the discovery agent or its watches were silent
	Drained     []soakDrained
	Cold        []soakCold
	Attempts    []emulator.Attempt
	Runs        []emulator.Run
	ServerAudit emulator.Audit
	Read        map[string]string // from the routers' logs: how each request that they read ended
	Lags        []soakSpan        // the measuring program itself was delayed
}

// soakLimits contains the limits from the settings that the rules need.
type soakLimits struct {
	LongestDeadline time.Duration // of all classes
	KeyWindow       time.Duration // the time in which a keyed write may be sent again
	DrainGrace      time.Duration
	Window          time.Duration // the time over which the load of a cold server is summed
	Multiple        float64       // the load that a server may get, as a multiple of its capacity
	ColdShare       float64
	Ramp            time.Duration
	Cores           int
	MemoryMB        float64
}

// lag returns the maximum delay of the measuring program in a time span.
func (record *soakRecord) lag(from, to time.Time) (longest time.Duration) {
	for _, delay := range record.Lags {
		if delay.From.Before(to) && delay.To.After(from) {
			longest = max(longest, delay.To.Sub(delay.From))
		}
	}
	return longest
}

// watchLag records the delays of this program until done is closed. Measured times can't be more precise than that.
func (record *soakRecord) watchLag(done <-chan struct{}) {
	const interval, threshold = 2 * time.Millisecond, 5 * time.Millisecond
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
		now := time.Now()
		if now.Sub(last) > threshold {
			record.mu.Lock()
			record.Lags = append(record.Lags, soakSpan{last, now})
			record.mu.Unlock()
		}
		last = now
	}
}

// addRequest adds a request to the record.
func (record *soakRecord) addRequest(req *soakRequest) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.Requests = append(record.Requests, req)
}

// addProcess adds a new process of a router and returns its index.
func (record *soakRecord) addProcess(router int) (index int, process *soakProcess) {
	record.mu.Lock()
	defer record.mu.Unlock()
	process = &soakProcess{Router: router, Started: time.Now()}
	record.Processes = append(record.Processes, process)
	return len(record.Processes) - 1, process
}

// change calls update, which changes the record, with the lock held.
func (record *soakRecord) change(update func()) {
	record.mu.Lock()
	defer record.mu.Unlock()
	update()
}
