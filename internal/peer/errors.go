package peer

import (
	"fmt"
	"time"

	"lotushook/policy/crdt"
)

// CorruptError reports a corrupt piece of a peer's copy: it was not merged, and is requested again elsewhere.
type CorruptError struct {
	From    string
	Entries int
}

// Error implements the error interface.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("a piece of %d runs from %s does not match its sum: not taken, another member is asked", e.Entries, e.From)
}

// Kind implements operr.Error.
func (*CorruptError) Kind() string { return "state-spoiled" }

// Hint implements operr.Error.
func (e *CorruptError) Hint() string {
	return "run the same version on all routers; if it goes on, restart " + e.From
}

// DiffersError reports an entry that another member has known for longer than its bound and this copy lacked. It was merged now.
type DiffersError struct {
	From   string
	Entry  crdt.Entry
	Others int // that came with it and were missing too
}

// Error implements the error interface.
func (e *DiffersError) Error() string {
	return fmt.Sprintf("%s %s/%s of %s, known to %s for %s, was not here (nor %d others): taken now", e.Entry.Kind, e.Entry.A, e.Entry.B,
		e.Entry.From.Name, e.From, time.Duration(e.Entry.Age).Round(time.Millisecond), e.Others)
}

// Kind implements operr.Error.
func (*DiffersError) Kind() string { return "state-differs" }

// Hint implements operr.Error.
func (e *DiffersError) Hint() string {
	return "look at lost messages between this router and " + e.Entry.From.Name + " (routerctl members); after a split heals some such lines are usual"
}

// ListenError reports an address that can't be listened on: the router does not start.
type ListenError struct {
	Address string
	Err     error
}

// Error implements the error interface.
func (e *ListenError) Error() string {
	return fmt.Sprintf("peer: listen on %s: %v: not started", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Kind implements operr.Error.
func (*ListenError) Kind() string { return "members-listen" }

// Hint implements operr.Error.
func (e *ListenError) Hint() string {
	return "give members.routers an address of this machine whose port is free for UDP and TCP"
}

// KeyError reports a file of keys that can't be used: the keys in force stay, or the router does not start.
type KeyError struct {
	Path string
	Line int // 0: the whole file
	Err  error
}

// Error implements the error interface.
func (e *KeyError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("keys: %s:%d: %v", e.Path, e.Line, e.Err)
	}
	return fmt.Sprintf("keys: %s: %v", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// Kind implements operr.Error.
func (*KeyError) Kind() string { return "members-keys" }

// Hint implements operr.Error.
func (e *KeyError) Hint() string {
	return "write one key or two into " + e.Path + ", a line each of at least 64 hex digits (openssl rand -hex 32), readable by the router"
}
