package peer

import (
	"fmt"
	"time"

	"lotushook/policy/crdt"
)

// CorruptError reports a catch-up piece (a part of another member's copy of the replicated state) whose checksum does
// not match its entries. The piece was not merged, and is requested again from another member.
type CorruptError struct {
	From string
	Runs int
}

// Error implements the error interface.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("a piece of %d runs from %s does not match its checksum: not merged, requesting it from another member", e.Runs, e.From)
}

// Kind implements operr.Error.
func (*CorruptError) Kind() string { return "state-spoiled" }

// Hint implements operr.Error.
func (e *CorruptError) Hint() string {
	return "run the same version on all routers; if the error persists, restart " + e.From
}

// MissingEntryError reports an entry that another member has had for longer than missingAfter and that was missing in
// this router's copy. The entry has been merged.
type MissingEntryError struct {
	From       string
	Entry      crdt.Entry
	OtherCount int // other missing entries in the same check
}

// Error implements the error interface.
func (e *MissingEntryError) Error() string {
	return fmt.Sprintf("%s %s/%s of %s, known to %s for %s, was missing here (as were %d others): merged now", e.Entry.Kind, e.Entry.A, e.Entry.B,
		e.Entry.From.Name, e.From, time.Duration(e.Entry.Age).Round(time.Millisecond), e.OtherCount)
}

// Kind implements operr.Error.
func (*MissingEntryError) Kind() string { return "state-differs" }

// Hint implements operr.Error.
func (e *MissingEntryError) Hint() string {
	return "check for lost messages between this router and " + e.Entry.From.Name + " (routerctl members); some of these messages are normal after a network partition heals"
}

// ListenError reports that the router can't listen on an address. The router does not start.
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

// KeyError reports an invalid or unreadable key file. A running router goes on with its current keys; a starting router
// exits.
type KeyError struct {
	Path string
	Line int // 0 if the error concerns the whole file
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
	return "write one or two keys into " + e.Path + ", one per line, each of at least 64 hex digits (openssl rand -hex 32), readable by the router"
}
