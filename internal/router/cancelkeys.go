package router

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"syscall"

	"lotushook/internal/pgwire"
	"lotushook/internal/sharded"
	"lotushook/policy/clock"
)

// cancelShards is in how many pieces the keys are kept: clients come and go on many goroutines.
const cancelShards = 16

// cancelKeys finds the client that a CancelRequest names. It holds one entry for each client that has been welcomed, and none
// of those that have gone.
type cancelKeys struct {
	clients *sharded.Shards[map[uint32]*client]
}

func newCancelKeys() *cancelKeys {
	return &cancelKeys{sharded.New(cancelShards, func(int) map[uint32]*client { return map[uint32]*client{} })}
}

// at has a function look at the clients among whom a process is.
func (x *cancelKeys) at(process uint32, do func(clients map[uint32]*client)) {
	x.clients.At(int(process%cancelShards), func(m *map[uint32]*client) { do(*m) })
}

// add gives a client a key of its own, which nobody can guess, and returns it.
func (x *cancelKeys) add(c *client) pgwire.CancelKey {
	for {
		var b [8]byte
		rand.Read(b[:])                                                                                                     // it never fails
		c.cancelKey = pgwire.CancelKey{Process: binary.BigEndian.Uint32(b[:]) >> 1, Secret: binary.BigEndian.Uint32(b[4:])} // clients show it as a signed number
		added := false
		x.at(c.cancelKey.Process, func(clients map[uint32]*client) {
			if clients[c.cancelKey.Process] == nil && c.cancelKey.Process != 0 {
				clients[c.cancelKey.Process], added = c, true
			}
		})
		if added {
			return c.cancelKey
		}
	}
}

// remove forgets a client, if it has a key.
func (x *cancelKeys) remove(c *client) {
	x.at(c.cancelKey.Process, func(clients map[uint32]*client) {
		if clients[c.cancelKey.Process] == c {
			delete(clients, c.cancelKey.Process)
		}
	})
}

// cancel calls off what the client of a key is waiting for. A key that nobody has is ignored: whoever sends it hears the
// same either way, nothing.
func (x *cancelKeys) cancel(key pgwire.CancelKey) {
	var c *client
	x.at(key.Process, func(clients map[uint32]*client) { c = clients[key.Process] })
	if c == nil || subtle.ConstantTimeEq(int32(c.cancelKey.Secret), int32(key.Secret)) == 0 {
		return
	}
	unread := c.hasUnread()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cancelable) > 0 { // the one that is answered next; those behind it go on
		c.cancelable[0].cancel()
		return
	}
	c.earlyCancel = earlyCancel{at: c.router.clock.now(), unread: unread}
}

// earlyCancelWindow is how long the bytes that lay unread when a CancelRequest came may take to be read: the reader may rest before it,
// and be late by what a held up router may be.
const earlyCancelWindow = clock.Nanos(maxUnusablePause) + 100*clock.Millisecond

// earlyCancel is a CancelRequest that came on its own connection before the query that it names was taken: the two are read by
// different goroutines, and a busy router may come to the later one first.
type earlyCancel struct {
	at     clock.Nanos // when it came; 0: there was none
	unread bool        // bytes of its client lay unread then
}

// names says whether the request names a query whose last bytes were read at a time. One that was sent afterwards is another one.
func (e earlyCancel) names(readAt clock.Nanos) bool {
	return e.at > 0 && (readAt <= e.at || e.unread && readAt <= e.at+earlyCancelWindow)
}

// hasUnread says whether bytes of the client lie unread in the system's buffer.
func (c *client) hasUnread() bool {
	if _, ok := c.conn.(syscall.Conn); !ok {
		return false
	}
	return withDescriptor(c.conn, func(fd int) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err == nil && n > 0
	})
}

// cancel calls the request off; its client's lock is held.
func (r *request) cancel() {
	if !r.isCanceled() {
		close(r.canceled)
	}
}
