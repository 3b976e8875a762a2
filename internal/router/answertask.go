package router

import (
	"log/slog"

	"lotushook/internal/pgwire"
	"lotushook/policy/requestmemory"
)

// answerTask obtains the answer to one query, concurrently with the reader, and writes it. It waits for the answer to
// the previous query, so that the answers keep the order of the queries.
type answerTask struct {
	client      *client
	answer      func() []byte // obtains the answer; nil once that is done
	canceled    chan struct{} // closed by a CancelRequest, under the client's lock; nil: can't be canceled
	previous    <-chan struct{}
	answered    chan struct{} // closed once the answer is written
	reservation requestmemory.Reservation
	isHeld      bool // the reservation is that of the answer itself
}

func (task *answerTask) run() {
	client := task.client
	message := task.answer()
	task.answer = nil // it refers to the query's text, which must not stay in memory while the answer waits
	client.router.requestMemory.releaseQuery(&task.reservation)
	if !task.hold(len(message)) {
		message = droppedAnswer()
	}
	<-task.previous
	if message != nil {
		if err := client.write(message); err != nil {
			slog.Debug("client", "err", err)
		}
	}
	client.router.requestMemory.release(&task.reservation)
	if task.canceled != nil { // after the answer: a CancelRequest that crosses it must not cancel the next request
		client.removeCancelable()
	}
	close(task.answered)
	<-client.slots
	client.closeQuery()
}

// hold reserves memory for the answer until it is written. It returns false if the answer must be dropped, as it has to
// wait for its turn and the memory for such answers is used up. Calls after the first have no effect.
func (task *answerTask) hold(size int) bool {
	if task.isHeld {
		return true
	}
	task.isHeld = true
	return task.client.router.requestMemory.hold(&task.reservation, size, isClosed(task.previous))
}

// droppedAnswer returns the error in place of an answer that was dropped. The query has run.
func droppedAnswer() []byte {
	return errorAnswer(pgwire.CodeOutOfMemory, "the answer was dropped: too many answers wait for earlier ones")
}
