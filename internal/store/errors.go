package store

import (
	"fmt"
	"time"
)

// Cause is the reason why a copy can't be read.
type Cause string

// The causes.
const (
	CauseEmpty   Cause = "empty"   // the file has no bytes
	CauseTorn    Cause = "torn"    // the file ends too early, or its first batch was never finished
	CauseCorrupt Cause = "spoiled" // a checksum or the structure of the database is wrong
)

// DamagedError reports a copy that can't be read.
type DamagedError struct {
	Path, MovedTo string // MovedTo is empty if the file could not be moved
	Cause         Cause
	Err           error
}

// Error implements the error interface.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("keep: %s is %s (%v): started empty%s", e.Path, e.Cause, e.Err, describeMove(e.MovedTo))
}

// Unwrap returns the cause.
func (e *DamagedError) Unwrap() error { return e.Err }

// Kind returns "keep-empty", "keep-torn" or "keep-spoiled".
func (e *DamagedError) Kind() string { return "keep-" + string(e.Cause) }

// Hint implements operr.Error.
func (*DamagedError) Hint() string {
	return "no immediate action needed: the other routers send this one their state; check the disk, and delete the file that was moved aside once nobody needs to look at it"
}

// ForeignError reports a copy that another router, or a router of another cluster, wrote.
type ForeignError struct {
	Path, MovedTo string // MovedTo is empty if the file could not be moved
	Cluster, Name string // of the router that wrote it
}

// Error implements the error interface.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("keep: %s belongs to router %q of cluster %q: started empty%s", e.Path, e.Name, e.Cluster, describeMove(e.MovedTo))
}

// Kind returns "keep-foreign".
func (*ForeignError) Kind() string { return "keep-foreign" }

// Hint implements operr.Error.
func (*ForeignError) Hint() string {
	return "give each router a directory of its own (members.keep.dir), and move the file that was moved aside back to the router that it belongs to"
}

// NewerFormatError reports a copy in a format that this release does not know.
type NewerFormatError struct {
	Path, MovedTo string // MovedTo is empty if the file could not be moved
	Format        uint16
}

// Error implements the error interface.
func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("keep: %s has format %d, but this release supports formats up to %d: started empty%s", e.Path, e.Format, format, describeMove(e.MovedTo))
}

// Kind returns "keep-later".
func (*NewerFormatError) Kind() string { return "keep-later" }

// Hint implements operr.Error.
func (*NewerFormatError) Hint() string {
	return "move the file back and start the newer release again, or continue with this release: the other routers send it their state"
}

// OutdatedError reports a copy without entries that the other routers have received from this router, which shows that
// somebody restored an old file.
type OutdatedError struct {
	Path       string
	Copy, Seen string // the router's newest own entry in the copy, and the newest one that the other routers have seen
}

// Error implements the error interface.
func (e *OutdatedError) Error() string {
	return fmt.Sprintf("keep: the newest entry of this router in %s is %s, but the other routers have seen %s: its records are not used until they are confirmed", e.Path, e.Copy, e.Seen)
}

// Kind returns "keep-old".
func (*OutdatedError) Kind() string { return "keep-old" }

// Hint implements operr.Error.
func (*OutdatedError) Hint() string {
	return "no immediate action needed: the other routers send this one their state; do not restore old copies of this directory, an empty directory is better"
}

// LockedError reports a directory that another process uses.
type LockedError struct {
	Dir string
	Err error
}

// Error implements the error interface.
func (e *LockedError) Error() string {
	return fmt.Sprintf("keep: another process uses %s (%v): continues without a copy", e.Dir, e.Err)
}

// Unwrap returns the cause.
func (e *LockedError) Unwrap() error { return e.Err }

// Kind returns "keep-locked".
func (*LockedError) Kind() string { return "keep-locked" }

// Hint implements operr.Error.
func (*LockedError) Hint() string {
	return "end the other process, or give each router a directory of its own (members.keep.dir), and start this router again"
}

// ReadOnlyError reports a directory or file that can't be written.
type ReadOnlyError struct {
	Path string
	Err  error
}

// Error implements the error interface.
func (e *ReadOnlyError) Error() string {
	return fmt.Sprintf("keep: %s is not writable (%v): continues with what could be read, and writes nothing", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *ReadOnlyError) Unwrap() error { return e.Err }

// Kind returns "keep-read-only".
func (*ReadOnlyError) Kind() string { return "keep-read-only" }

// Hint implements operr.Error.
func (*ReadOnlyError) Hint() string {
	return "make the directory writable for the router's user (a disk with errors is often mounted read-only), and start this router again"
}

// FullError reports that the disk is full, or that a limit of the settings or of the system is reached.
type FullError struct {
	Path string
	Err  error
}

// Error implements the error interface.
func (e *FullError) Error() string {
	return fmt.Sprintf("keep: no space left for %s (%v): the last batch is not written and will be retried", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *FullError) Unwrap() error { return e.Err }

// Kind returns "keep-full".
func (*FullError) Kind() string { return "keep-full" }

// Hint implements operr.Error.
func (*FullError) Hint() string {
	return "free space on the disk (the files that were moved aside may be deleted), or raise members.keep.most_mb; writing resumes by itself"
}

// SlowError reports a disk operation that takes too long.
type SlowError struct {
	Path    string
	Elapsed time.Duration // so far
}

// Error implements the error interface.
func (e *SlowError) Error() string {
	return fmt.Sprintf("keep: %s: a disk operation has not finished after %v: new records are queued, the newest of each key", e.Path, e.Elapsed.Round(time.Millisecond))
}

// Kind returns "keep-slow".
func (*SlowError) Kind() string { return "keep-slow" }

// Hint implements operr.Error.
func (*SlowError) Hint() string {
	return "requests are not delayed by it; check what else uses the disk, or set members.keep.dir to a directory on another one"
}

// QueueFullError reports a full queue: records arrive faster than the disk writes them.
type QueueFullError struct {
	Path    string
	Dropped uint64 // records since the process started
}

// Error implements the error interface.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("keep: %s: the queue is full, %d records were dropped so far: the copy lacks them until they change", e.Path, e.Dropped)
}

// Kind returns "keep-behind".
func (*QueueFullError) Kind() string { return "keep-behind" }

// Hint implements operr.Error.
func (*QueueFullError) Hint() string {
	return "raise members.keep.queue_kb or fsyncs_per_s, or use a faster disk; after a restart the other routers send the missing records"
}

// TooManyMovedError reports a directory that already has the maximum number of copies that were moved aside.
type TooManyMovedError struct {
	Dir   string
	Count int
	Err   error // why another copy had to be moved
}

// Error implements the error interface.
func (e *TooManyMovedError) Error() string {
	return fmt.Sprintf("keep: %d copies were moved aside in %s already, and another one can't be used (%v): continues without a copy", e.Count, e.Dir, e.Err)
}

// Unwrap returns the cause.
func (e *TooManyMovedError) Unwrap() error { return e.Err }

// Kind returns "keep-crowded".
func (*TooManyMovedError) Kind() string { return "keep-crowded" }

// Hint implements operr.Error.
func (*TooManyMovedError) Hint() string {
	return "find out why copies get damaged (the disk, two routers with one directory), delete the files that were moved aside, and start this router again"
}

// ClockError reports a wall clock that was set back after the copy was written.
type ClockError struct {
	Path   string
	Offset time.Duration // lower bound
}

// Error implements the error interface.
func (e *ClockError) Error() string {
	return fmt.Sprintf("keep: %s was written %v in the future: its records are at least as old as they were then, and how much older is unknown", e.Path, e.Offset)
}

// Kind returns "keep-clock".
func (*ClockError) Kind() string { return "keep-clock" }

// Hint implements operr.Error.
func (*ClockError) Hint() string {
	return "have the machine's clock set before routers start; no action needed for this start"
}

// OperationError reports any other error of the disk or the database.
type OperationError struct {
	Path, Operation string
	Err             error
}

// Error implements the error interface.
func (e *OperationError) Error() string {
	return fmt.Sprintf("keep: %s: %s: %v: continues without this operation", e.Path, e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *OperationError) Unwrap() error { return e.Err }

// Kind returns "keep-failed".
func (*OperationError) Kind() string { return "keep-failed" }

// Hint implements operr.Error.
func (*OperationError) Hint() string {
	return "check that the directory exists and belongs to the router's user, and that its disk has no errors, and start this router again"
}

func describeMove(movedTo string) string {
	if movedTo == "" {
		return ", the file could not be moved aside"
	}
	return ", the file was moved to " + movedTo
}
