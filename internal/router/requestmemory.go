package router

import (
	"io"
	"sync"
	"time"

	"lotushook/internal/metrics"
	"lotushook/policy/requestmemory"
)

const initialAnswerSize = 64 << 10 // bytes: the longest value that data servers are specified to have

// requestMemory is the memory of open queries and of answers that clients have not received yet. It is safe for
// concurrent use.
type requestMemory struct {
	metrics *metrics.Metrics

	mu     sync.Mutex // guards budget
	budget *requestmemory.Budget
}

func newRequestMemory(capacity int64) (*requestMemory, error) {
	budget, err := requestmemory.New(int(capacity), initialAnswerSize)
	return &requestMemory{budget: budget}, err
}

func (memory *requestMemory) take(size int, isNext bool) (requestmemory.Reservation, requestmemory.Verdict) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	return memory.budget.Take(size, isNext)
}

func (memory *requestMemory) hold(reservation *requestmemory.Reservation, size int, isNext bool) bool {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	held := memory.budget.Hold(reservation, size, isNext)
	if !held {
		memory.metrics.Add(metrics.AnswersDropped)
	}
	return held
}

func (memory *requestMemory) releaseQuery(reservation *requestmemory.Reservation) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.budget.ReleaseQuery(reservation)
}

func (memory *requestMemory) release(reservation *requestmemory.Reservation) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.budget.Release(reservation)
}

// reserved returns the number of reserved bytes.
func (memory *requestMemory) reserved() int {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	return memory.budget.Reserved()
}

// querySlot is what a query needs to be taken: a place among its client's pipelined queries, and memory. A query without
// memory must be rejected.
type querySlot struct {
	reservation requestmemory.Reservation
	hasMemory   bool
}

// acquireSlot waits until a query whose text has size bytes can be taken: until its client has fewer than maxPipelined
// open queries, and until there is memory or all earlier queries of the client are answered. Meanwhile nothing more is
// read from the client. It returns an error if the client has disconnected or an answer could not be written: queries
// that were already read must not run then.
func (client *client) acquireSlot(size int) (querySlot, error) {
	if err := client.awaitPipelineSlot(); err != nil {
		return querySlot{}, err
	}
	memory := client.router.requestMemory
	reservation, verdict := memory.take(size, isClosed(client.lastAnswered))
	if verdict == requestmemory.MustWait {
		memory.metrics.Add(metrics.WaitsForAnswerMemory)
		ticker := time.NewTicker(disconnectCheckInterval)
		defer ticker.Stop()
		for verdict == requestmemory.MustWait {
			select {
			case <-client.lastAnswered:
			case <-client.writeFailed:
				return querySlot{}, errAnswerNotWritten
			case <-ticker.C:
				if client.hasDisconnected() {
					return querySlot{}, io.EOF
				}
			}
			reservation, verdict = memory.take(size, isClosed(client.lastAnswered))
		}
	}
	return querySlot{reservation: reservation, hasMemory: verdict == requestmemory.Taken}, nil
}
