// Package keep is a router's copy of the shared state on its own disk: records of a kind, a key, a value and an age, which
// come back after the process has ended. What they mean is the caller's business, and what waits for a batch and how old a
// record is that comes back is decided in policy/persistence.
//
// Whoever has something to keep never waits for the disk: it is put into a queue of bounded size, and one goroutine writes
// batches from it into a bbolt file. A copy that can't be used is moved aside, at most so many times, and never deleted; the
// router then goes on without it and says what can be done. Nothing here knows what a record is worth: see policy/trust.
package store

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lotushook/internal/operr"
	"lotushook/policy/clock"
	"lotushook/policy/persistence"
)

const (
	fileName  = "keep.db"
	lockName  = "lock"
	mostAside = 4
	slowAfter = time.Second // a step of the disk's that takes longer is told
	lastFor   = time.Second // at the end the disk has so long
)

// Settings are of one copy.
type Settings struct {
	Dir           string // made if it is not there
	Most          int64  // bytes of the file; records take up to a quarter of it
	Cluster, Name string // whose it is
	Boot          uint64 // of this process
	Queue         persistence.Settings
	Windows       [256]clock.Nanos   // by kind: older ones are let go; 0: they stay
	Now           func() clock.Nanos // a clock that only goes on; what it shows is not written
	Wall          func() int64       // Unix time in nanoseconds, as the system has it now

	disk disk
}

// Found is what a copy held.
type Found struct {
	Records    []persistence.Record
	Boot       uint64 // of the process that wrote last; 0: nothing was found
	Generation uint64
	LetGo      uint64 // records that process could not keep: where it is not 0 the copy has gaps beside the last batch
}

// Keep is a copy. A nil one keeps nothing. Put, Generation and Report may be used from any goroutine.
type Keep struct {
	set    Settings
	path   string
	wake   chan struct{}
	loaded chan struct{}

	mu       sync.Mutex // never held while the disk is used
	queue    *persistence.Queue
	found    Found
	off      bool // nothing is written any more
	readOnly bool
	head     head // as last written
	swept    uint64
	size     int64
	start    operr.Error // what was wrong with what the disk held; nil: nothing
	trouble  operr.Error // what is wrong now; nil: nothing
	failing  bool        // the last batch is not written
	lost     uint64      // let go when that was last told

	// The writing goroutine's.
	store store
	held  io.Closer
}

// New returns a copy that Run opens.
func New(s Settings) (*Keep, error) {
	if s.Dir == "" || s.Most < 1<<18 || s.Name == "" || max(len(s.Name), len(s.Cluster)) > mostName || s.Now == nil || s.Wall == nil {
		return nil, errors.New("keep: Dir, Most, Name, Cluster, Now or Wall: missing or out of range")
	}
	q, err := persistence.New(s.Queue)
	if err != nil {
		return nil, err
	}
	if s.disk == nil {
		s.disk = osDisk{s.Windows}
	}
	return &Keep{set: s, path: filepath.Join(s.Dir, fileName), queue: q, wake: make(chan struct{}, 1), loaded: make(chan struct{})}, nil
}

// Put has a record kept, in place of the one of its kind and key. It never waits for the disk. What can't be kept is counted.
func (k *Keep) Put(r persistence.Record) {
	if k == nil || r.Kind == 0 || len(r.Key) > mostKey || len(r.Value) > mostValue {
		return
	}
	k.mu.Lock()
	if !k.off {
		k.queue.Put(k.set.Now(), r)
	}
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Loaded is closed once what the disk held was read, or could not be.
func (k *Keep) Loaded() <-chan struct{} { return k.loaded }

// Found is what the disk held, once; nothing before Loaded.
func (k *Keep) Found() Found {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.found
	k.found.Records = nil
	return f
}

// Generation is how many batches the copy has had over all processes, and which process wrote the last. It rises by one a
// batch: a copy that is behind what somebody else remembers of it was put back (evidence.Compare).
func (k *Keep) Generation() (boot, generation uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.head.boot, k.head.generation
}

// Run reads the copy, and writes what is put until the context ends, and once more then. The disk's steps are one other
// goroutine's: one that hangs is told after a second, and at the end has a second before it is left alone.
func (k *Keep) Run(ctx context.Context) {
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
			wait = time.Duration(at - k.set.Now())
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

// due is when the next batch goes; at the end at once, and only one that has not failed.
func (k *Keep) due(last bool) (clock.Nanos, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.off {
		return 0, false
	}
	at, ok := k.queue.Due()
	if last {
		return 0, ok && !k.failing
	}
	return at, ok
}

// batch is the step that writes all that waits.
func (k *Keep) batch() func() func() {
	k.mu.Lock()
	taken := k.set.Now()
	b := k.queue.Take(taken)
	h := head{format: format, cluster: k.set.Cluster, name: k.set.Name, boot: k.set.Boot, generation: k.head.generation + 1,
		letGo: k.queue.Counts().Dropped + k.swept}
	k.mu.Unlock()
	return func() func() {
		h.wall = k.set.Wall()
		fsyncs, swept, err := k.write(&h, b.Records())
		size := int64(0)
		if k.store != nil {
			size = k.store.size()
		}
		return func() { k.wrote(taken, &h, fsyncs, swept, size, err) }
	}
}

// write puts a batch on disk; the first of a new copy under another name, so that no half a copy ever goes by this one.
func (k *Keep) write(h *head, batch []persistence.Record) (fsyncs, letGo int, err error) {
	if k.store != nil {
		return k.store.commit(h, batch)
	}
	next := k.path + ".new"
	os.Remove(next) // what is left of an attempt: nobody has ever read it
	s, err := k.set.disk.open(next, k.set.Most, false)
	if err != nil {
		return 2, 0, err
	}
	if fsyncs, letGo, err = s.commit(h, batch); err == nil {
		err = s.rename(k.path)
	}
	if err != nil {
		s.close()
		return fsyncs + 3, letGo, err
	}
	k.store = s
	return fsyncs + 3, letGo, nil // the file's first pages, its growth, the directory
}

func (k *Keep) wrote(taken clock.Nanos, h *head, fsyncs, swept int, size int64, err error) {
	k.mu.Lock()
	if err != nil {
		k.queue.Failed(taken, k.set.Now(), fsyncs)
		if errors.Is(err, errPanic) || isReadOnly(err) {
			k.off = true
		}
	} else {
		k.queue.Committed(taken, fsyncs)
		k.head, k.size = *h, size
		k.swept += uint64(swept)
	}
	again := k.failing && err == nil
	k.failing = err != nil
	lost := k.queue.Counts().Dropped
	k.lost, lost = lost, lost-k.lost
	total := k.lost
	k.mu.Unlock()
	if again {
		slog.Info("keep: writes again", "path", k.path)
	}
	switch {
	case err == nil && lost > 0:
		k.note(&Behind{k.path, total})
	case err == nil:
		k.note(nil)
	case isFull(err):
		k.note(&Full{k.path, err})
	case isReadOnly(err):
		k.note(&ReadOnly{k.path, err})
	default:
		k.note(&Failed{k.path, "write a batch", err})
	}
}

// note keeps what is wrong now for whoever asks, and logs it once while it lasts; nil: it is over. What ended the writing
// for good stays.
func (k *Keep) note(e operr.Error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e == nil && k.off {
		return
	}
	if e != nil && (k.trouble == nil || k.trouble.Kind() != e.Kind()) {
		slog.Warn("keep", operr.Attrs(e)...)
	}
	k.trouble = e
}

// open is the step that reads what the disk holds.
func (k *Keep) open() func() {
	f, h, off, err := k.read()
	return func() {
		k.mu.Lock()
		k.found, k.off, k.head, k.start = f, off, h, err
		k.mu.Unlock()
		if err != nil {
			slog.Warn("keep", operr.Attrs(err)...)
		}
		if f.Boot != 0 {
			slog.Info("keep: read", "path", k.path, "records", len(f.Records), "boot", f.Boot, "generation", f.Generation, "let_go", f.LetGo)
		}
		close(k.loaded)
	}
}

func (k *Keep) read() (f Found, h head, off bool, trouble operr.Error) {
	readOnly := operr.Error(nil)
	err := os.MkdirAll(k.set.Dir, 0o700)
	if err == nil {
		k.held, err = k.set.disk.lock(filepath.Join(k.set.Dir, lockName))
	}
	switch {
	case err == nil:
	case isTaken(err):
		return f, h, true, &Locked{k.set.Dir, err}
	case isReadOnly(err):
		readOnly = &ReadOnly{k.set.Dir, err}
	default:
		return f, h, true, &Failed{k.set.Dir, "lock the directory", err}
	}
	if f, h, trouble = k.use(readOnly != nil); trouble == nil {
		trouble = readOnly
	}
	switch e := trouble.(type) {
	case *ReadOnly, *Locked, *Crowded, *Failed:
		off = true
	case *Damaged:
		off = e.Aside == "" // a new copy would take its place
	case *Foreign:
		off = e.Aside == ""
	case *Later:
		off = e.Aside == ""
	}
	return f, h, off || readOnly != nil, trouble
}

// use reads the copy that is there, if there is one that can be used.
func (k *Keep) use(readOnly bool) (f Found, h head, trouble operr.Error) {
	err := k.sound()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return f, h, nil
	case isReadOnly(err):
		return f, h, &ReadOnly{k.path, err}
	case err != nil:
		return f, h, k.aside(err)
	}
	s, err := k.set.disk.open(k.path, k.set.Most, readOnly)
	if isReadOnly(err) && !readOnly {
		f, h, trouble = k.use(true)
		if trouble == nil {
			trouble = &ReadOnly{k.path, err}
		}
		return f, h, trouble
	}
	switch {
	case isTaken(err):
		return f, h, &Locked{k.set.Dir, err}
	case err != nil:
		return f, h, k.aside(err)
	}
	now := k.set.Wall()
	var walls []int64
	raw, sum, err := s.load(func(key, value []byte) error {
		r, wall, err := parseRecord(key, value)
		if err == nil {
			f.Records, walls = append(f.Records, r), append(walls, wall)
		}
		return err
	})
	if err == nil {
		h, err = parseHead(raw)
	}
	if err == nil && h.format == format && h.sum != sum {
		err = errSum
	}
	if err == nil && h.format > format {
		s.close()
		return Found{}, head{}, k.asideAs(&Later{Path: k.path, Format: h.format})
	}
	if err == nil && (h.cluster != k.set.Cluster || h.name != k.set.Name) {
		s.close()
		return Found{}, head{}, k.asideAs(&Foreign{Path: k.path, Cluster: h.cluster, Name: h.name})
	}
	if err != nil {
		s.close()
		return Found{}, head{}, k.aside(err)
	}
	kept := f.Records[:0]
	for i, r := range f.Records {
		r.Age, r.MinAgeOnly = persistence.AgeNow(r.Age, walls[i], h.wall, now)
		if w := k.set.Windows[r.Kind]; w == 0 || r.Age < w {
			kept = append(kept, r)
		}
	}
	f = Found{kept, h.boot, h.generation, h.letGo}
	if now < h.wall {
		trouble = &Clock{k.path, time.Duration(h.wall - now)}
	}
	if readOnly {
		s.close()
	} else {
		k.store = s
	}
	return f, h, trouble
}

func (k *Keep) sound() error {
	file, err := os.Open(k.path)
	if err != nil {
		return err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return errEmpty
	}
	return sound(file, info.Size())
}

var errEmpty = errors.New("0 bytes")

func (k *Keep) aside(err error) operr.Error {
	e := &Damaged{Path: k.path, Cause: Spoiled, Err: err}
	switch {
	case errors.Is(err, errEmpty):
		e.Cause = Empty
	case errors.Is(err, errTorn), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errNoHead):
		e.Cause = Torn
	}
	return k.asideAs(e)
}

// asideAs moves a copy that can't be used out of the way, if not too many lie there.
func (k *Keep) asideAs(e operr.Error) operr.Error {
	for n := 1; n <= mostAside; n++ {
		to := fmt.Sprintf("%s.aside-%d", k.path, n)
		if _, err := os.Lstat(to); err == nil {
			continue
		}
		if err := os.Rename(k.path, to); err != nil {
			if isReadOnly(err) {
				return e // it says that it lies where it was; the lock failed as well
			}
			return &Failed{k.path, "move it aside", errors.Join(err, e)}
		}
		switch e := e.(type) {
		case *Damaged:
			e.Aside = to
		case *Foreign:
			e.Aside = to
		case *Later:
			e.Aside = to
		}
		return e
	}
	return &Crowded{k.set.Dir, mostAside, e}
}

// close is the last step.
func (k *Keep) close() func() {
	if k.store != nil {
		k.store.close()
	}
	if k.held != nil {
		k.held.Close()
	}
	return func() {}
}

// Report is what operators read of a copy.
type Report struct {
	Path       string             `json:"path"`
	Writes     bool               `json:"writes"` // false: not read yet, or it goes on without a copy
	Boot       uint64             `json:"boot"`   // that wrote last
	Generation uint64             `json:"generation"`
	Bytes      int64              `json:"bytes"`   // of the file
	Waiting    int                `json:"waiting"` // bytes, with what is on its way to the disk
	Swept      uint64             `json:"swept"`   // records that were let go for want of room in the file
	Counts     persistence.Counts `json:"counts"`
	Trouble    string             `json:"trouble,omitempty"`
	ErrorKind  string             `json:"error_kind,omitempty"`
	Hint       string             `json:"remedy,omitempty"`
}

// Report is as of now; nil of a nil copy.
func (k *Keep) Report() *Report {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	r := &Report{Path: k.path, Writes: !k.off, Boot: k.head.boot, Generation: k.head.generation, Bytes: k.size, Swept: k.swept, Counts: k.queue.Counts()}
	_, r.Waiting = k.queue.Bytes()
	select {
	case <-k.loaded:
	default:
		r.Writes = false
	}
	if e := cmp.Or(k.trouble, k.start); e != nil {
		r.Trouble, r.ErrorKind, r.Hint = e.Error(), e.Kind(), e.Hint()
	}
	return r
}
