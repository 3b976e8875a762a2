package router

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"lotushook/internal/pgwire"
)

// answerLocally answers without the decision module.
func (c *client) answerLocally(tasks *sync.WaitGroup, answer []byte) error {
	return c.startTask(tasks, func() []byte { return answer })
}

// startTask is startAnswer without a request that could be canceled.
func (c *client) startTask(tasks *sync.WaitGroup, answer func() []byte) error {
	return c.startAnswer(tasks, nil, answer)
}

// startAnswer runs a task beside the reader and writes the answer that it returns when its turn has come, so that answers
// keep the order of the queries. The request, if there is one, can be canceled meanwhile.
func (c *client) startAnswer(tasks *sync.WaitGroup, r *request, answer func() []byte) error {
	if err := c.takeSlot(); err != nil {
		return err
	}
	before, mine, err := c.openQuery(r)
	if err != nil {
		return err
	}
	tasks.Go(func() {
		message := answer()
		<-before
		if message != nil {
			if err := c.write(message); err != nil {
				slog.Debug("client", "err", err)
			}
		}
		if r != nil { // only now: a cancel that crosses the answer must not take the next request for this one
			c.removeCancelable()
		}
		close(mine)
		<-c.slots
		c.closeQuery()
	})
	return nil
}

// openQuery counts a query as open. It returns what is closed once the query before has its answer, and what is to be
// closed once this one has. Admission may reject the query.
func (c *client) openQuery(r *request) (before <-chan struct{}, mine chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.router.acceptor != nil {
		if err := c.router.acceptor.queryArrived(c); err != nil {
			return nil, nil, err
		}
	}
	c.pipelines = c.pipelines || c.openQueries > 0
	c.openQueries++
	c.hasQueried = true
	if r != nil {
		c.cancelable = append(c.cancelable, r)
		if c.earlyCancel.names(c.arrived.lastAt) {
			r.cancel()
		}
	}
	c.earlyCancel = earlyCancel{}
	before, mine = c.lastAnswered, make(chan struct{})
	c.lastAnswered = mine
	return before, mine, nil
}

// closeQuery counts a query as answered. During a shutdown, a client that has nothing open is closed.
func (c *client) closeQuery() {
	c.mu.Lock()
	c.openQueries--
	c.idleSince = time.Now()
	if c.openQueries == 0 && c.router.acceptor != nil {
		c.router.acceptor.answered(c)
	}
	c.mu.Unlock()
	if c.router.clients.isDraining() {
		c.closeIfIdle()
	}
}

// removeCancelable forgets the request that has its answer now: the first of the open ones, as answers keep their order.
func (c *client) removeCancelable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelable = slices.Delete(c.cancelable, 0, 1)
}

// write sends bytes to the client; the caller has the turn to answer.
func (c *client) write(message []byte) error {
	if _, err := c.output.Write(message); err != nil {
		return err
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.router.timeouts.write)); err != nil {
		return err
	}
	_, err := c.output.WriteTo(c.conn)
	if err != nil { // a message that was cut off can't be continued
		c.output.Discard(c.output.Len())
		closeQuietly(c.conn)
		c.closeWriteFailed.Do(func() { close(c.writeFailed) })
	}
	c.output.ShrinkIfEmpty()
	return err
}

// writeLast sends the last message of a connection, which is closed whether it arrives or not.
func (c *client) writeLast(message []byte) {
	if err := c.write(message); err != nil {
		slog.Debug("client", "err", err)
	}
}

// errorAnswer is an error after which the connection goes on.
func errorAnswer(code, text string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, text, ""))
}
