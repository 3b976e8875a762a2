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

// cancelShards is the number of shards of the key map, as many goroutines add and remove clients concurrently.
const cancelShards = 16

// cancelKeys finds the client that a CancelRequest names. It has one entry for each client from its session's start to
// its disconnection.
type cancelKeys struct {
	clients *sharded.Shards[map[uint32]*client]
}

func newCancelKeys() *cancelKeys {
	return &cancelKeys{sharded.New(cancelShards, func(int) map[uint32]*client { return map[uint32]*client{} })}
}

// at calls a function, under the shard's lock, with the shard of clients that a process number belongs to.
func (keys *cancelKeys) at(process uint32, do func(clients map[uint32]*client)) {
	keys.clients.At(int(process%cancelShards), func(shard *map[uint32]*client) { do(*shard) })
}

// add assigns a client a unique key that can't be guessed, and returns it.
func (keys *cancelKeys) add(owner *client) pgwire.CancelKey {
	for {
		var random [8]byte
		rand.Read(random[:]) // crypto/rand.Read never returns an error
		// The process number is below 1<<31, as clients display it as a signed number.
		owner.cancelKey = pgwire.CancelKey{Process: binary.BigEndian.Uint32(random[:]) >> 1, Secret: binary.BigEndian.Uint32(random[4:])}
		added := false
		keys.at(owner.cancelKey.Process, func(clients map[uint32]*client) {
			if clients[owner.cancelKey.Process] == nil && owner.cancelKey.Process != 0 {
				clients[owner.cancelKey.Process], added = owner, true
			}
		})
		if added {
			return owner.cancelKey
		}
	}
}

// remove removes a client, if it has a key.
func (keys *cancelKeys) remove(owner *client) {
	keys.at(owner.cancelKey.Process, func(clients map[uint32]*client) {
		if clients[owner.cancelKey.Process] == owner {
			delete(clients, owner.cancelKey.Process)
		}
	})
}

// cancel cancels the request that the client with this key waits for. An unknown key is ignored; a CancelRequest gets
// no response in either case.
func (keys *cancelKeys) cancel(key pgwire.CancelKey) {
	var owner *client
	keys.at(key.Process, func(clients map[uint32]*client) { owner = clients[key.Process] })
	if owner == nil || subtle.ConstantTimeEq(int32(owner.cancelKey.Secret), int32(key.Secret)) == 0 {
		return
	}
	unread := owner.hasUnread()
	owner.mu.Lock()
	defer owner.mu.Unlock()
	if len(owner.cancelable) > 0 { // cancel the request that is answered next; the ones behind it continue
		closeOnce(owner.cancelable[0])
		return
	}
	owner.earlyCancel = earlyCancel{at: owner.router.clock.now(), unread: unread}
}

// earlyCancelWindow is how long after a CancelRequest the reader may take to read the bytes that were unread when the
// CancelRequest arrived. It covers the longest pause after unusable queries (see rejectUnusable), and the delay of a
// router that is short of CPU time.
const earlyCancelWindow = clock.Nanos(maxUnusablePause) + 100*clock.Millisecond

// earlyCancel is a CancelRequest that was processed before the query that it is meant to cancel. The two arrive on
// different connections and are read by different goroutines, so that a busy router may read the later one first.
type earlyCancel struct {
	at     clock.Nanos // when it arrived; 0: there was none
	unread bool        // whether the client's connection had unread bytes then
}

// names reports whether the CancelRequest is meant for the query whose last bytes were read at readAt. It returns false
// if the query was sent after the CancelRequest.
func (cancel earlyCancel) names(readAt clock.Nanos) bool {
	return cancel.at > 0 && (readAt <= cancel.at || cancel.unread && readAt <= cancel.at+earlyCancelWindow)
}

// hasUnread reports whether the kernel's receive buffer has unread bytes from the client.
func (client *client) hasUnread() bool {
	if _, ok := client.conn.(syscall.Conn); !ok {
		return false
	}
	return withDescriptor(client.conn, func(fd int) bool {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err == nil && count > 0
	})
}

// closeOnce closes a channel unless it is closed. Concurrent callers must hold the same lock.
func closeOnce(channel chan struct{}) {
	if !isClosed(channel) {
		close(channel)
	}
}
