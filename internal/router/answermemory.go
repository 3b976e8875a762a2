package router

import (
	"io"
	"sync"
	"time"

	"lotushook/internal/metrics"
	"lotushook/policy/answerbudget"
)

const (
	answerMemoryDivisor = 4        // 1/4 of the memory limit is for answers that wait for their turn
	initialAnswerSize   = 64 << 10 // bytes: the longest value that data servers are specified to have
)

// answerMemory is the memory of complete answers that clients have not received yet. It is safe for concurrent use.
type answerMemory struct {
	metrics *metrics.Metrics

	mu     sync.Mutex // guards budget
	budget *answerbudget.Budget
}

func newAnswerMemory(memoryLimit int64) (*answerMemory, error) {
	budget, err := answerbudget.New(int(memoryLimit/answerMemoryDivisor), initialAnswerSize)
	return &answerMemory{budget: budget}, err
}

func (memory *answerMemory) expect(isNext bool) (answerbudget.Reservation, bool) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	return memory.budget.Expect(isNext)
}

func (memory *answerMemory) hold(reservation *answerbudget.Reservation, size int, isNext bool) bool {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	held := memory.budget.Hold(reservation, size, isNext)
	if !held {
		memory.metrics.Add(metrics.AnswersDropped)
	}
	return held
}

func (memory *answerMemory) release(reservation *answerbudget.Reservation) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.budget.Release(reservation)
}

// reserved returns the number of reserved bytes.
func (memory *answerMemory) reserved() int {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	return memory.budget.Reserved()
}

// reserveAnswer reserves memory for the answer to the query that the reader has read. It waits until there is memory or
// all earlier queries of the client are answered. Meanwhile nothing more is read from the client. Like acquireSlot, it
// returns an error if the client has disconnected or an answer could not be written.
func (client *client) reserveAnswer() (answerbudget.Reservation, error) {
	memory := client.router.answerMemory
	reservation, ok := memory.expect(isClosed(client.lastAnswered))
	if ok {
		return reservation, nil
	}
	memory.metrics.Add(metrics.WaitsForAnswerMemory)
	ticker := time.NewTicker(disconnectCheckInterval)
	defer ticker.Stop()
	for !ok {
		select {
		case <-client.lastAnswered:
		case <-client.writeFailed:
			return reservation, errAnswerNotWritten
		case <-ticker.C:
			if client.hasDisconnected() {
				return reservation, io.EOF
			}
		}
		reservation, ok = memory.expect(isClosed(client.lastAnswered))
	}
	return reservation, nil
}
