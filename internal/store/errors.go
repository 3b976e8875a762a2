package store

import (
	"fmt"
	"time"
)

// Cause is what is wrong with a copy that can't be read.
type Cause string

// The causes.
const (
	Empty   Cause = "empty"   // no byte in it
	Torn    Cause = "torn"    // it ends too early, or was never finished
	Corrupt Cause = "spoiled" // a checksum or the store's own structure is wrong
)

// Damaged is a copy that can't be read.
type Damaged struct {
	Path, Aside string // where it was, and where it is now; "": it could not be moved
	Cause       Cause
	Err         error
}

// Error implements the error interface.
func (e *Damaged) Error() string {
	return fmt.Sprintf("keep: %s is %s (%v): started empty%s", e.Path, e.Cause, e.Err, moved(e.Aside))
}

// Unwrap returns the cause.
func (e *Damaged) Unwrap() error { return e.Err }

// Kind is "keep-empty", "keep-torn" or "keep-spoiled".
func (e *Damaged) Kind() string { return "keep-" + string(e.Cause) }

// Hint is for operators.
func (*Damaged) Hint() string {
	return "nothing at once: the other routers feed this one; check the disk, and delete the file that was moved aside once nobody wants to look at it"
}

// Foreign is a copy that another router wrote, or one of another cluster.
type Foreign struct {
	Path, Aside   string
	Cluster, Name string // whose it is
}

// Error implements the error interface.
func (e *Foreign) Error() string {
	return fmt.Sprintf("keep: %s is of router %q of cluster %q: started empty%s", e.Path, e.Name, e.Cluster, moved(e.Aside))
}

// Kind is "keep-foreign".
func (*Foreign) Kind() string { return "keep-foreign" }

// Hint is for operators.
func (*Foreign) Hint() string {
	return "give each router a directory of its own (members.keep.dir), and move the file that was moved aside back to the one whose it is"
}

// Later is a copy in a format that this release does not know.
type Later struct {
	Path, Aside string
	Format      uint16
}

// Error implements the error interface.
func (e *Later) Error() string {
	return fmt.Sprintf("keep: %s has format %d, known up to %d: started empty%s", e.Path, e.Format, format, moved(e.Aside))
}

// Kind is "keep-later".
func (*Later) Kind() string { return "keep-later" }

// Hint is for operators.
func (*Later) Hint() string {
	return "start the later release again with the file moved back, or go on with this one: the other routers feed it"
}

// Old is a copy that is behind what the other routers have seen of this one: somebody put it back.
type Old struct {
	Path       string
	Copy, Seen string // how far each goes
}

// Error implements the error interface.
func (e *Old) Error() string {
	return fmt.Sprintf("keep: %s goes to %s, the other routers have seen this one at %s: nothing in it counts until it is proven", e.Path, e.Copy, e.Seen)
}

// Kind is "keep-old".
func (*Old) Kind() string { return "keep-old" }

// Hint is for operators.
func (*Old) Hint() string {
	return "nothing at once: the other routers feed this one; do not put copies of this directory back, an empty directory is better"
}

// Locked is a directory that another process uses.
type Locked struct {
	Dir string
	Err error
}

// Error implements the error interface.
func (e *Locked) Error() string {
	return fmt.Sprintf("keep: another process uses %s (%v): goes on without a copy", e.Dir, e.Err)
}

// Unwrap returns the cause.
func (e *Locked) Unwrap() error { return e.Err }

// Kind is "keep-locked".
func (*Locked) Kind() string { return "keep-locked" }

// Hint is for operators.
func (*Locked) Hint() string {
	return "end the other process, or give each router a directory of its own (members.keep.dir), and start this router again"
}

// ReadOnly is a directory in which nothing can be written.
type ReadOnly struct {
	Path string
	Err  error
}

// Error implements the error interface.
func (e *ReadOnly) Error() string {
	return fmt.Sprintf("keep: nothing can be written at %s (%v): goes on with what could be read, and writes nothing", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *ReadOnly) Unwrap() error { return e.Err }

// Kind is "keep-read-only".
func (*ReadOnly) Kind() string { return "keep-read-only" }

// Hint is for operators.
func (*ReadOnly) Hint() string {
	return "make the directory writable for the router's user (a disk with errors is often mounted read-only), and start this router again"
}

// Full is a disk, or a bound of the settings or of the system, that takes no more.
type Full struct {
	Path string
	Err  error
}

// Error implements the error interface.
func (e *Full) Error() string {
	return fmt.Sprintf("keep: no room for %s (%v): the last batch is not written and is tried again", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *Full) Unwrap() error { return e.Err }

// Kind is "keep-full".
func (*Full) Kind() string { return "keep-full" }

// Hint is for operators.
func (*Full) Hint() string {
	return "make room on the disk (the files that were moved aside may go), or raise members.keep.most_mb; writing goes on by itself"
}

// Slow is a disk on which a batch takes long.
type Slow struct {
	Path    string
	Elapsed time.Duration // so far
}

// Error implements the error interface.
func (e *Slow) Error() string {
	return fmt.Sprintf("keep: %s: a step has taken %v and is not done: what comes meanwhile waits, the newest of each key", e.Path, e.Elapsed.Round(time.Millisecond))
}

// Kind is "keep-slow".
func (*Slow) Kind() string { return "keep-slow" }

// Hint is for operators.
func (*Slow) Hint() string {
	return "nothing is held up by it; look at what else the disk does, or name a directory on another one (members.keep.dir)"
}

// Behind is a queue that is full: the disk does not keep up with what comes.
type Behind struct {
	Path  string
	LetGo uint64 // since the start
}

// Error implements the error interface.
func (e *Behind) Error() string {
	return fmt.Sprintf("keep: %s: the queue is full, %d records were let go so far: the copy lacks them until they change", e.Path, e.LetGo)
}

// Kind is "keep-behind".
func (*Behind) Kind() string { return "keep-behind" }

// Hint is for operators.
func (*Behind) Hint() string {
	return "raise members.keep.queue_kb or fsyncs_per_s, or name a faster disk; after a restart the other routers make up for it"
}

// Crowded is a directory in which as many copies lie aside as are let.
type Crowded struct {
	Dir   string
	Count int
	Err   error // why one more was to be moved
}

// Error implements the error interface.
func (e *Crowded) Error() string {
	return fmt.Sprintf("keep: %d copies lie aside in %s, and one more can't be used (%v): goes on without a copy", e.Count, e.Dir, e.Err)
}

// Unwrap returns the cause.
func (e *Crowded) Unwrap() error { return e.Err }

// Kind is "keep-crowded".
func (*Crowded) Kind() string { return "keep-crowded" }

// Hint is for operators.
func (*Crowded) Hint() string {
	return "find out why copies break (the disk, two routers with one directory), delete the files that lie aside, and start this router again"
}

// Clock is a wall's clock that was set back since the copy was written.
type Clock struct {
	Path   string
	Offset time.Duration // at least
}

// Error implements the error interface.
func (e *Clock) Error() string {
	return fmt.Sprintf("keep: %s was written %v after now: its records are at least as old as they were then, and nobody knows how much older", e.Path, e.Offset)
}

// Kind is "keep-clock".
func (*Clock) Kind() string { return "keep-clock" }

// Hint is for operators.
func (*Clock) Hint() string {
	return "let the machine's clock be set before routers start; nothing to do for this start"
}

// Failed is anything else that the disk or the store said.
type Failed struct {
	Path, Doing string
	Err         error
}

// Error implements the error interface.
func (e *Failed) Error() string {
	return fmt.Sprintf("keep: %s: %s: %v: goes on without what was to be done", e.Path, e.Doing, e.Err)
}

// Unwrap returns the cause.
func (e *Failed) Unwrap() error { return e.Err }

// Kind is "keep-failed".
func (*Failed) Kind() string { return "keep-failed" }

// Hint is for operators.
func (*Failed) Hint() string {
	return "check that the directory is there, is the router's and its disk is sound, and start this router again"
}

func moved(aside string) string {
	if aside == "" {
		return ", it could not be moved aside"
	}
	return ", it lies at " + aside
}
