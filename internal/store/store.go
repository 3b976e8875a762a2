// Package store is a router's copy of the replicated state on its own disk: records of a kind, a key, a value and an age, which
// are restored after a start. Their meaning is the caller's, and which records wait for a batch and how old a
// restored record is is decided in policy/persistence.
//
// Callers never wait for the disk: records are put into a queue of bounded size, and one goroutine writes
// batches from it into a bbolt file. A copy that can't be used is moved aside, at most so many times, and never deleted; the
// router then goes on without it and reports what can be done. Whether a record is confirmed is not known here: see policy/trust.
package store

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"path/filepath"
	"sync"
	"time"

	"lotushook/internal/operr"
	"lotushook/policy/clock"
	"lotushook/policy/persistence"
)

const (
	fileName      = "keep.db"
	lockName      = "lock"
	maxMovedAside = 4
	slowAfter     = time.Second // a slower step is reported
	lastFor       = time.Second // time for the last batch at the end
)

// Settings are the settings of a copy.
type Settings struct {
	Dir           string // created if missing
	MaxBytes      int64  // bytes of the file; records take up to a quarter of it
	Cluster, Name string // its owner
	Boot          uint64 // of this process
	Queue         persistence.Settings
	Windows       [256]clock.Nanos   // by kind: older ones are dropped; 0: they stay
	Now           func() clock.Nanos // a monotonic clock; its value is not written
	Wall          func() int64       // Unix time in nanoseconds, as the system has it now

	disk disk
}

// Found is the content of a copy.
type Found struct {
	Records    []persistence.Record
	Boot       uint64 // of the process that wrote last; 0: there was no copy
	Generation uint64
	LetGo      uint64 // records that process could not store: where it is not 0 the copy has gaps beside the last batch
}

// Store is a copy. A nil Store stores nothing. Put, Generation and Report are safe for concurrent use.
type Store struct {
	settings Settings
	path     string
	wake     chan struct{}
	loaded   chan struct{}

	mu      sync.Mutex // never held while the disk is used
	queue   *persistence.Queue
	found   Found
	off     bool // nothing is written any more
	head    head // as last written
	swept   uint64
	size    int64
	start   operr.Error // what was wrong with the copy at the start; nil: nothing
	trouble operr.Error // what is wrong now; nil: nothing
	failing bool        // the last batch is not written
	lost    uint64      // dropped records as last reported

	// Owned by the writing goroutine.
	engine engine
	lock   io.Closer
}

// New returns a copy that Run opens.
func New(s Settings) (*Store, error) {
	if s.Dir == "" || s.MaxBytes < 1<<18 || s.Name == "" || max(len(s.Name), len(s.Cluster)) > maxNameBytes || s.Now == nil || s.Wall == nil {
		return nil, errors.New("keep: Dir, Most, Name, Cluster, Now or Wall: missing or out of range")
	}
	q, err := persistence.New(s.Queue)
	if err != nil {
		return nil, err
	}
	if s.disk == nil {
		s.disk = osDisk{s.Windows}
	}
	return &Store{settings: s, path: filepath.Join(s.Dir, fileName), queue: q, wake: make(chan struct{}, 1), loaded: make(chan struct{})}, nil
}

// Put stores a record, in place of the one of its kind and key. It never waits for the disk. Dropped records are counted.
func (k *Store) Put(r persistence.Record) {
	if k == nil || r.Kind == 0 || len(r.Key) > maxKeyBytes || len(r.Value) > maxValueBytes {
		return
	}
	k.mu.Lock()
	if !k.off {
		k.queue.Put(k.settings.Now(), r)
	}
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Loaded is closed once the copy was read, or could not be.
func (k *Store) Loaded() <-chan struct{} { return k.loaded }

// Found returns the content of the copy, once; nothing before Loaded.
func (k *Store) Found() Found {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.found
	k.found.Records = nil
	return f
}

// Generation is how many batches the copy has had over all processes, and which process wrote the last. It rises by one a
// batch: a copy that is behind what a peer remembers of it was put back (trust.CompareCopy).
func (k *Store) Generation() (boot, generation uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.head.boot, k.head.generation
}

// Run reads the copy, and writes records until the context ends, and once more then. The disk's steps run on another
// goroutine: one that hangs is reported after a second, and at the end has a second before it is abandoned.
func (k *Store) Run(ctx context.Context) {
	jobs, done := make(chan func() func(), 1), make(chan func(), 1) // one at a time: neither side ever waits to send
	go func() {
		for job := range jobs {
			done <- job()
		}
	}()
	defer close(jobs)
	began, busy, slow := time.Now(), true, false
	jobs <- k.open
	var leave <-chan time.Time
	ending, closing := ctx.Done(), false
	timer := time.NewTimer(slowAfter)
	defer timer.Stop()
	for {
		wait := time.Hour
		if busy {
			if !slow {
				wait = time.Until(began.Add(slowAfter))
			}
		} else if closing {
			return
		} else if at, ok := k.due(leave != nil); ok {
			wait = time.Duration(at - k.settings.Now())
		}
		if !busy && wait <= 0 {
			began, busy = time.Now(), true
			jobs <- k.batch()
			continue
		}
		if leave != nil && !busy {
			began, busy, closing = time.Now(), true, true
			jobs <- k.close
			continue
		}
		timer.Reset(max(0, wait))
		select {
		case f := <-done:
			if slow {
				slog.Info("keep: the disk goes on", "path", k.path, "took", time.Since(began))
				k.note(nil)
			}
			busy, slow = false, false
			f()
		case <-timer.C:
			if busy && !slow && time.Since(began) >= slowAfter {
				slow = true
				k.note(&Slow{k.path, time.Since(began)})
			}
		case <-k.wake:
		case <-ending:
			ending, leave = nil, time.After(lastFor)
		case <-leave:
			k.note(&Slow{k.path, time.Since(began)})
			return
		}
	}
}
