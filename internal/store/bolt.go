package store

import (
	"errors"
	"fmt"
	"io"
	"math/bits"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"lotushook/policy/clock"
	"lotushook/policy/persistence"
)

// disk is the part of the system that a copy uses; tests inject faults.
type disk interface {
	lock(path string) (io.Closer, error)
	open(path string, most int64, readOnly bool) (engine, error)
}

// engine is an open copy.
type engine interface {
	// load passes all records on, and returns the stored head and the sum over the records. What it passes is valid during the
	// call only.
	load(each func(k, v []byte) error) (head []byte, sum uint64, err error)
	// commit puts a batch and a head on disk, both or neither, and returns how many fsyncs it made and how many older records
	// it dropped for lack of room.
	commit(h *head, batch []persistence.Record) (fsyncs, letGo int, err error)
	rename(to string) error // and have that on disk too
	size() int64
	close() error
}

var (
	bucketName = []byte("keep")
	headKey    = []byte{0}
	errNoHead  = errors.New("there is no head in it")
)

const (
	liveShare  = 6 // records use one part in so many of the file: pages are half full at worst, and a batch may write each anew
	sweepShare = 8 // and so much of that is freed at a time
)

type osDisk struct{ windows [256]clock.Nanos }

// lock locks a file for this process alone.
func (osDisk) lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

type boltEngine struct {
	db       *bbolt.DB
	path     string
	maxBytes int64 // size of the file; the store maps powers of two
	live     int64 // size of keys and values
	sum      uint64
	windows  [256]clock.Nanos
	bad      bool // it has panicked: it is not used any more
}

// open opens a store that is sound, or creates one.
func (d osDisk) open(path string, most int64, readOnly bool) (engine, error) {
	most = 1 << (bits.Len64(uint64(most)) - 1)
	s := &boltEngine{path: path, maxBytes: most, windows: d.windows}
	err := guarded(func() (err error) {
		s.db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Millisecond, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType,
			PageSize: pageBytes, MaxSize: int(most), ReadOnly: readOnly, NoStatistics: true})
		return err
	})
	if err != nil {
		return nil, err
	}
	s.db.AllocSize = int(max(most/64, pageBytes))
	return s, nil
}

// guarded turns a panic, and a fault in the mapped file, into an error.
func guarded(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errPanic, p)
		}
	}()
	return f()
}

var errPanic = errors.New("the store broke off")

func (s *boltEngine) load(each func(k, v []byte) error) (raw []byte, sum uint64, err error) {
	err = guarded(func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			b := tx.Bucket(bucketName)
			if b == nil {
				return errNoHead
			}
			if raw = append(raw, b.Get(headKey)...); len(raw) == 0 {
				return errNoHead
			}
			return b.ForEach(func(k, v []byte) error {
				if len(k) == 1 && k[0] == headKey[0] {
					return nil
				}
				s.live, s.sum = s.live+int64(len(k)+len(v)), s.sum+sumOf(v)
				return each(k, v)
			})
		})
	})
	return raw, s.sum, err
}

func (s *boltEngine) commit(h *head, batch []persistence.Record) (fsyncs, letGo int, err error) {
	if s.bad {
		return 0, 0, errPanic
	}
	count := h.letGo
	fsyncs, letGo, err = s.put(h, batch)
	if half := len(batch) / 2; half > 0 && errors.Is(err, berrors.ErrMaxSizeReached) { // fewer pages at a time find room
		h.letGo = count
		for _, part := range [][]persistence.Record{batch[:half], batch[half:]} {
			var n, gone int
			n, gone, err = s.commit(h, part)
			if fsyncs, letGo = fsyncs+n, letGo+gone; err != nil {
				return fsyncs, letGo, err
			}
		}
	}
	return fsyncs, letGo, err
}

// put is one batch.
func (s *boltEngine) put(h *head, batch []persistence.Record) (fsyncs, letGo int, err error) {
	before, live, sum := s.size(), s.live, s.sum
	err = guarded(func() error {
		return s.db.Update(func(tx *bbolt.Tx) error {
			b, err := tx.CreateBucketIfNotExists(bucketName)
			if err != nil {
				return err
			}
			for i := range batch {
				k, v := key(&batch[i]), appendRecord(&batch[i], h.wall)
				if old := b.Get(k); old != nil {
					live, sum = live-int64(len(k)+len(old)), sum-sumOf(old)
				}
				if err := b.Put(k, v); err != nil {
					return err
				}
				live, sum = live+int64(len(k)+len(v)), sum+sumOf(v)
			}
			if room := s.maxBytes / liveShare; live > room {
				n, bytes, sums, err := s.sweep(b, h.wall, live-room+room/sweepShare)
				if err != nil {
					return err
				}
				live, sum, letGo = live-bytes, sum-sums, n
			}
			h.letGo, h.sum = h.letGo+uint64(letGo), sum
			return b.Put(headKey, h.append(nil))
		})
	})
	fsyncs = 2 // of the pages, and of which of them count; one more where the file grew
	if s.size() != before {
		fsyncs = 3
	}
	if s.bad = errors.Is(err, errPanic); err != nil {
		return fsyncs, 0, err
	}
	s.live, s.sum = live, sum
	return fsyncs, letGo, nil
}

// sweep deletes the oldest records until so many bytes are free: first those that have expired, then by age, as coarse as
// powers of two of a millisecond.
func (s *boltEngine) sweep(b *bbolt.Bucket, wall int64, free int64) (count int, freed int64, sums uint64, err error) {
	rank := func(k, v []byte) int { // 0: the head, or an unreadable record
		r, written, err := parseRecord(k, v)
		if err != nil {
			return 0
		}
		age, _ := persistence.AgeNow(r.Age, written, wall, wall)
		if w := s.windows[r.Kind]; w > 0 && age >= w {
			return 65
		}
		return 1 + bits.Len64(uint64(age/1e6))
	}
	var bytes [66]int64
	c := b.Cursor()
	for k, v := c.First(); k != nil; k, v = c.Next() {
		bytes[rank(k, v)] += int64(len(k) + len(v))
	}
	least := len(bytes)
	for sum := int64(0); least > 1 && sum < free; {
		least--
		sum += bytes[least]
	}
	var gone [][]byte // deleting moves a cursor
	for k, v := c.First(); k != nil; k, v = c.Next() {
		if at := rank(k, v); at > least || at == least && freed < free && at > 0 {
			gone, freed, sums = append(gone, append([]byte(nil), k...)), freed+int64(len(k)+len(v)), sums+sumOf(v)
		}
	}
	for _, k := range gone {
		if err := b.Delete(k); err != nil {
			return 0, 0, 0, err
		}
	}
	return len(gone), freed, sums, nil
}

func (s *boltEngine) size() int64 {
	info, err := os.Stat(s.path)
	if err != nil {
		return -1 // it was moved by another process
	}
	return info.Size()
}

func (s *boltEngine) close() error {
	if s.bad {
		return nil // it may hold its own locks for ever
	}
	return guarded(s.db.Close)
}

func (s *boltEngine) rename(to string) error {
	if err := os.Rename(s.path, to); err != nil {
		return err
	}
	s.path = to
	dir, err := os.Open(filepath.Dir(to))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

func isReadOnly(err error) bool {
	return errors.Is(err, syscall.EROFS) || errors.Is(err, syscall.EACCES) || errors.Is(err, syscall.EPERM)
}

// isFull also checks the text: where it makes its file larger the store passes on no more than that.
func isFull(err error) bool {
	for _, full := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, berrors.ErrMaxSizeReached} {
		if err != nil && (errors.Is(err, full) || strings.Contains(err.Error(), full.Error())) {
			return true
		}
	}
	return false
}

func isTaken(err error) bool {
	return errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, berrors.ErrTimeout)
}
