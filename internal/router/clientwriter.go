package router

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"lotushook/internal/pgwire"
)

// answerLocally sends an answer that does not need the decision module.
func (client *client) answerLocally(tasks *sync.WaitGroup, answer []byte) error {
	return client.startTask(tasks, func() []byte { return answer })
}

// startTask is startAnswer for a query that can't be canceled.
func (client *client) startTask(tasks *sync.WaitGroup, answer func() []byte) error {
	return client.startAnswer(tasks, nil, answer)
}

// startAnswer runs a task concurrently with the reader and writes the answer that it returns. Each task waits for the
// answer to the previous query, so that the answers keep the order of the queries. The request, unless nil, can be
// canceled meanwhile.
func (client *client) startAnswer(tasks *sync.WaitGroup, request *request, answer func() []byte) error {
	if err := client.acquireSlot(); err != nil {
		return err
	}
	previous, current, err := client.openQuery(request)
	if err != nil {
		return err
	}
	tasks.Go(func() {
		message := answer()
		<-previous
		if message != nil {
			if err := client.write(message); err != nil {
				slog.Debug("client", "err", err)
			}
		}
		if request != nil { // after the answer: a CancelRequest that crosses it must not cancel the next request
			client.removeCancelable()
		}
		close(current)
		<-client.slots
		client.closeQuery()
	})
	return nil
}

// openQuery counts a query as open, unless the admission controller rejects it. It returns the channel that is closed
// once the previous query is answered, and the channel to be closed once this query is answered.
func (client *client) openQuery(request *request) (previous <-chan struct{}, current chan struct{}, err error) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.router.acceptor != nil {
		if err := client.router.acceptor.queryArrived(client); err != nil {
			return nil, nil, err
		}
	}
	client.pipelines = client.pipelines || client.openQueries > 0
	client.openQueries++
	client.hasQueried = true
	if request != nil {
		client.cancelable = append(client.cancelable, request)
		if client.earlyCancel.names(client.arrived.lastAt) {
			request.cancel()
		}
	}
	client.earlyCancel = earlyCancel{}
	previous, current = client.lastAnswered, make(chan struct{})
	client.lastAnswered = current
	return previous, current, nil
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
	if _, err := client.output.Write(message); err != nil {
		return err
	}
	if err := client.conn.SetWriteDeadline(time.Now().Add(client.router.timeouts.write)); err != nil {
		return err
	}
	_, err := client.output.WriteTo(client.conn)
	if err != nil { // the message may be truncated, so no other may follow
		client.output.Discard(client.output.Len())
		closeQuietly(client.conn)
		client.closeWriteFailed.Do(func() { close(client.writeFailed) })
	}
	client.output.ShrinkIfEmpty()
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
