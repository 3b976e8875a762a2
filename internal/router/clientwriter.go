package router

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"lotushook/internal/pgwire"
)

// answerMessage sends an answer to a message that is not a query.
func (client *client) answerMessage(tasks *sync.WaitGroup, answer []byte) error {
	slot, err := client.acquireSlot(0)
	if err != nil {
		return err
	}
	return client.answerLocally(tasks, slot, answer)
}

// answerLocally sends an answer that does not need the decision module.
func (client *client) answerLocally(tasks *sync.WaitGroup, slot querySlot, answer []byte) error {
	return client.startTask(tasks, slot, func() []byte { return answer })
}

// startTask is startAnswer for a query that can't be canceled.
func (client *client) startTask(tasks *sync.WaitGroup, slot querySlot, answer func() []byte) error {
	return client.startAnswer(tasks, slot, nil, answer)
}

// startAnswer starts a task that obtains the answer to a query and writes it. The request, unless nil, can be canceled
// meanwhile.
func (client *client) startAnswer(tasks *sync.WaitGroup, slot querySlot, request *request, answer func() []byte) error {
	task := &answerTask{client: client, answer: answer, reservation: slot.reservation}
	if request != nil {
		request.holdAnswer, task.canceled = task.hold, request.canceled
	}
	if err := client.openQuery(task); err != nil {
		client.router.requestMemory.release(&task.reservation)
		return err
	}
	tasks.Go(task.run)
	return nil
}

// openQuery counts a task's query as open, unless the admission controller rejects it.
func (client *client) openQuery(task *answerTask) error {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.router.acceptor != nil {
		if err := client.router.acceptor.queryArrived(client); err != nil {
			return err
		}
	}
	client.pipelines = client.pipelines || client.openQueries > 0
	client.openQueries++
	client.hasQueried = true
	if task.canceled != nil {
		client.cancelable = append(client.cancelable, task.canceled)
		if client.earlyCancel.names(client.arrived.lastAt) {
			closeOnce(task.canceled)
		}
	}
	client.earlyCancel = earlyCancel{}
	task.previous, task.answered = client.lastAnswered, make(chan struct{})
	client.lastAnswered = task.answered
	return nil
}

// closeQuery counts a query as answered. During a shutdown it closes a client that has no more open queries.
func (client *client) closeQuery() {
	client.mu.Lock()
	client.openQueries--
	client.idleSince = time.Now()
	if client.openQueries == 0 && client.router.acceptor != nil {
		client.router.acceptor.answered(client)
	}
	client.mu.Unlock()
	if client.router.clients.isDraining() {
		client.closeIfIdle()
	}
}

// removeCancelable removes the request that was just answered: the first in the list, as answers keep the order of the
// queries.
func (client *client) removeCancelable() {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.cancelable = slices.Delete(client.cancelable, 0, 1)
}

// write sends bytes to the client. The caller must be the task whose turn it is to answer.
func (client *client) write(message []byte) error {
	if err := client.conn.SetWriteDeadline(time.Now().Add(client.router.timeouts.write)); err != nil {
		return err
	}
	client.writes.begun.Add(1)
	client.writing.Lock()
	_, err := client.conn.Write(message)
	client.writing.Unlock()
	client.writes.ended.Add(1)
	if err != nil { // the message may be truncated, so no other may follow
		closeQuietly(client.conn)
		client.closeWriteFailed.Do(func() { close(client.writeFailed) })
	}
	return err
}

// writeLast sends the last message of a connection, which is closed whether or not the write succeeds.
func (client *client) writeLast(message []byte) {
	if err := client.write(message); err != nil {
		slog.Debug("client", "err", err)
	}
}

// errorAnswer returns an error after which the connection stays open.
func errorAnswer(code, text string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, text, ""))
}
