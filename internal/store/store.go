// Package store persists a router's replicated state on its own disk, as records of a kind, a key, a value and an age,
// and restores them after a restart. The caller defines what the records mean; policy/persistence decides which records
// wait for a batch and how old a restored record is.
//
// Callers never wait for the disk: records are put into a queue of bounded size, and one goroutine writes batches from
// it into a bbolt file, the copy. A copy that can't be used is never deleted but moved aside, at most maxMovedAside
// times; after that the router runs without a copy and reports what the operator can do. Whether other routers have
// confirmed a restored record is tracked in policy/trust.
//
// The generation of a copy is the number of batches written to it since it was created.
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
	fileName         = "keep.db"
	lockName         = "lock"
	maxMovedAside    = 4
	slowAfter        = time.Second // a disk operation that takes longer is reported
	finalBatchPeriod = time.Second // maximum time for the final batch after the context ends
)

// Settings are the settings of a Store.
type Settings struct {
	Dir           string // created if missing
	MaxBytes      int64  // maximum file size; records use at most a sixth of it
	Cluster, Name string // of this router
	Epoch         uint64 // of this process
	Queue         persistence.Settings
	Retention     [256]clock.Nanos   // maximum age of records by kind; 0: no maximum
	Now           func() clock.Nanos // a monotonic clock, whose readings are not written to disk
	Wall          func() int64       // the system's wall clock, as Unix time in nanoseconds

	disk disk
}

// Restored is the content of a copy.
type Restored struct {
	Records    []persistence.Record
	Epoch      uint64 // of the process that wrote last; 0: there was no copy
	Generation uint64
	Dropped    uint64 // records that were dropped or evicted; if above 0, the copy lacks more than the last batch
}

// Store maintains the copy of a router's replicated state on disk. A nil Store stores nothing. Put, Generation and
// Report are safe for concurrent use.
type Store struct {
	settings Settings
	path     string
	wake     chan struct{}
	loaded   chan struct{}

	mu              sync.Mutex // never held during a disk operation
	queue           *persistence.Queue
	restored        Restored
	disabled        bool       // nothing is written any more
	header          fileHeader // as last written
	evicted         uint64
	fileBytes       int64
	loadError       operr.Error // error found when the copy was read; nil: none
	problem         operr.Error // current error; nil: none
	failing         bool        // the last batch failed
	reportedDropped uint64      // the count of dropped records as last reported

	// Owned by the goroutine that runs the disk operations.
	engine engine
	lock   io.Closer
}

// New returns a store whose copy Run opens.
func New(settings Settings) (*Store, error) {
	if settings.Dir == "" || settings.MaxBytes < 1<<18 || settings.Name == "" || max(len(settings.Name), len(settings.Cluster)) > maxNameBytes || settings.Now == nil || settings.Wall == nil {
		return nil, errors.New("keep: Dir, MaxBytes, Name, Cluster, Now or Wall is missing or out of range")
	}
	queue, err := persistence.New(settings.Queue)
	if err != nil {
		return nil, err
	}
	if settings.disk == nil {
		settings.disk = osDisk{settings.Retention}
	}
	return &Store{settings: settings, path: filepath.Join(settings.Dir, fileName), queue: queue, wake: make(chan struct{}, 1), loaded: make(chan struct{})}, nil
}

// Put queues a record to replace the stored one of its kind and key. It never waits for the disk. Records that a full
// queue drops are counted; a record without a kind, or with a key or value that is too long, is ignored.
func (s *Store) Put(record persistence.Record) {
	if s == nil || record.Kind == 0 || len(record.Key) > maxKeyBytes || len(record.Value) > maxValueBytes {
		return
	}
	s.mu.Lock()
	if !s.disabled {
		s.queue.Put(s.settings.Now(), record)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Loaded returns a channel that is closed once the copy was read, or could not be.
func (s *Store) Loaded() <-chan struct{} { return s.loaded }

// TakeRestored returns the content of the copy. It returns no records before Loaded, and the records only once.
func (s *Store) TakeRestored() Restored {
	s.mu.Lock()
	defer s.mu.Unlock()
	restored := s.restored
	s.restored.Records = nil
	return restored
}

// Generation returns the number of batches written to the copy, over all processes, and the epoch of the process that
// wrote the last one. If another router remembers a higher generation of this router's copy, somebody has restored an
// old file (trust.CompareCopy).
func (s *Store) Generation() (epoch, generation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.header.epoch, s.header.generation
}

// Run reads the copy, writes records until the context ends, and then writes a final batch. Disk operations run on
// another goroutine: one that takes longer than a second is reported, and after the context ends Run waits at most
// another second.
func (s *Store) Run(ctx context.Context) {
	operations, done := make(chan func() func(), 1), make(chan func(), 1) // one at a time, so that no send blocks
	go func() {
		for operation := range operations {
			done <- operation()
		}
	}()
	defer close(operations)
	startedAt, busy, slow := time.Now(), true, false
	operations <- s.open
	var deadline <-chan time.Time // not nil once the context has ended
	ctxDone, closing := ctx.Done(), false
	timer := time.NewTimer(slowAfter)
	defer timer.Stop()
	for {
		wait := time.Hour
		if busy {
			if !slow {
				wait = time.Until(startedAt.Add(slowAfter))
			}
		} else if closing {
			return
		} else if dueAt, ok := s.due(deadline != nil); ok {
			wait = time.Duration(dueAt - s.settings.Now())
		}
		if !busy && wait <= 0 {
			startedAt, busy = time.Now(), true
			operations <- s.batch()
			continue
		}
		if deadline != nil && !busy {
			startedAt, busy, closing = time.Now(), true, true
			operations <- s.close
			continue
		}
		timer.Reset(max(0, wait))
		select {
		case finish := <-done:
			if slow {
				slog.Info("keep: the slow disk operation has finished", "path", s.path, "took", time.Since(startedAt))
				s.setProblem(nil)
			}
			busy, slow = false, false
			finish()
		case <-timer.C:
			if busy && !slow && time.Since(startedAt) >= slowAfter {
				slow = true
				s.setProblem(&SlowError{s.path, time.Since(startedAt)})
			}
		case <-s.wake:
		case <-ctxDone:
			ctxDone, deadline = nil, time.After(finalBatchPeriod)
		case <-deadline:
			s.setProblem(&SlowError{s.path, time.Since(startedAt)})
			return
		}
	}
}
