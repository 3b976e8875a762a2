package router

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"

	"lotushook/internal/pgwire"
	"lotushook/internal/sharded"
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
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cancelable) > 0 { // the one that is answered next; those behind it go on
		c.cancelable[0].cancel()
	}
}

// cancel calls the request off; its client's lock is held.
func (r *request) cancel() {
	if !r.isCanceled() {
		close(r.canceled)
	}
}
