package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// loadClient is one simulated client of a load, with its connection and the last write of its session.
type loadClient struct {
	*armRun
	load         *Load
	part         *partStats
	names        []string // classes of the mix, sorted
	reconnects   bool     // opens a new connection for each request
	rng          *rand.Rand
	number       int
	requestCount int // requests drawn so far
	conn         *clientConn
	lastWrite    int64 // Unix ms of the last write that was acknowledged; 0: none
	writeGroup   int64 // the group of the last write
	router       int   // index of the router that the connection goes to; -1: not a router of this arm
}

// disconnect closes the connection, if there is one.
func (client *loadClient) disconnect() {
	if client.conn != nil {
		client.conn.conn.Close()
		client.conn = nil
	}
}

// nextRequest returns the next request, of a class drawn from the mix.
func (client *loadClient) nextRequest() *request {
	class := client.load.drawClass(client.names, client.rng)
	client.requestCount++
	settings := client.experiment.Classes[class]
	next := &request{id: fmt.Sprintf("%s-%d-%d", client.load.Name, client.number, client.requestCount), objectID: fmt.Sprintf("%s-%d-%d", client.load.Name, client.number, client.requestCount), class: class, timeout: milliseconds(settings.TimeoutMS),
		group: 1 + client.rng.Int64N(int64(client.experiment.Fleet.Groups))}
	if client.load.OmitPosition {
		next.objectID = fmt.Sprintf("%s-%d", client.load.Name, client.number)
	}
	switch settings.Read {
	case "write":
		next.key = next.id
		client.writeGroup = next.group
	case "session":
		if client.lastWrite > 0 {
			if next.group = client.writeGroup; !client.load.OmitPosition {
				next.minPosition = client.lastWrite
			}
		}
	}
	return next
}

// runRequest makes one request, with the immediate retries of the load, and returns how long the client pauses after
// it.
func (client *loadClient) runRequest(_ context.Context) time.Duration {
	req := client.nextRequest()
	startedAt := time.Now()
	deadline := startedAt.Add(req.timeout)
	result := client.send(req, deadline)
	client.recordOutcome(req, startedAt, result)
	for retries := 0; retries < client.load.Retries && result.outcome == rejected; retries++ {
		req.id, req.retry = fmt.Sprintf("%s-r%d", req.id, retries), true
		if client.load.SwitchRouter {
			client.disconnect()
		}
		retriedAt := time.Now()
		result = client.send(req, deadline)
		client.recordOutcome(req, retriedAt, result)
	}
	if result.outcome == served && req.key != "" {
		client.lastWrite = time.Now().UnixMilli()
	}
	client.part.done(req.class, client.experiment.Classes[req.class], startedAt, result.outcome, result.text)
	if client.reconnects || client.load.SwitchRouter && result.outcome == rejected || result.outcome == lost || result.outcome == late || result.fatal {
		client.disconnect()
	}
	switch {
	case result.outcome == unreachable:
		return 50 * time.Millisecond
	case result.retryAfter > 0:
		return min(result.retryAfter, time.Second)
	}
	return 0
}

// send sends a request and reads its answer. A request that meets the closing of an idle connection
// is sent again on a new one.
func (client *loadClient) send(req *request, deadline time.Time) answer {
	for dials := 0; ; {
		reused := client.conn != nil
		if !reused {
			conn, err := client.dial(req, deadline)
			var rejection *rejectionError
			switch {
			case errors.As(err, &rejection):
				return rejection.answer
			case err != nil && dials == 0: // the load balancer may choose another router next time
				dials++
				continue
			case err != nil:
				return answer{outcome: unreachable}
			}
			client.conn = conn
		}
		result, err := client.conn.query(req.query(), deadline)
		switch {
		case err != nil && reused && !errors.Is(err, os.ErrDeadlineExceeded) && result.outcome == lost:
			client.disconnect()
			continue
		case err != nil:
			return answer{outcome: failureOutcome(err)}
		case result.outcome == served && !req.matches(result.value):
			return answer{outcome: lost}
		}
		return result
	}
}

// pickRouter returns the address of the router that the next connection goes to.
func (client *loadClient) pickRouter() (string, error) {
	skew := client.load.Skew
	if override, ok := client.arm.Skew[client.load.Name]; ok {
		skew = override
	}
	var addr string
	var err error
	if len(skew) > 0 {
		addr, err = client.loadBalancer.PickByShare(skew, client.rng.Float64(), time.Now())
	} else {
		addr, err = client.loadBalancer.Pick(time.Now())
	}
	client.router = slices.IndexFunc(client.routers, func(candidate *process) bool { return candidate.addr == addr })
	return addr, err
}

// dial connects to a router, or to a data server if the load is direct.
func (client *loadClient) dial(req *request, deadline time.Time) (*clientConn, error) {
	var addr string
	var err error
	if client.load.Direct {
		addr = client.fleet.Groups[req.group-1].Any(req.key != "", client.number)
	} else if addr, err = client.pickRouter(); err != nil {
		return nil, err
	}
	user := client.load.User
	if user == "" {
		user = "worker"
	}
	return dial(addr, client.load.Address, user, deadline)
}

// recordOutcome records the outcome of a request for the shedding audit, if the load belongs to a priority class.
func (client *loadClient) recordOutcome(req *request, at time.Time, result answer) {
	if client.load.PriorityClass == "" {
		return
	}
	record := sheddingRequest{id: req.id, priorityClass: client.load.PriorityClass, account: req.objectID, group: req.group, router: client.router, at: at, end: time.Now(), outcome: result.outcome}
	if result.outcome == rejected {
		record.shed = shedClass(result.text)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if len(client.sheddingRequests) < maxSheddingRequests {
		client.sheddingRequests = append(client.sheddingRequests, record)
	}
}

// drawClass draws a class from the mix; names are the classes of the mix in sorted order.
func (load *Load) drawClass(names []string, rng *rand.Rand) string {
	total := 0.0
	for _, name := range names {
		total += load.Mix[name]
	}
	target := total * rng.Float64()
	for _, name := range names {
		if target -= load.Mix[name]; target < 0 {
			return name
		}
	}
	return names[len(names)-1]
}
