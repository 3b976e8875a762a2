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
	bbolterrors "go.etcd.io/bbolt/errors"

	"lotushook/policy/clock"
	"lotushook/policy/persistence"
)

// disk is the part of the system that a Store uses. Tests replace it to inject faults.
type disk interface {
	lock(path string) (io.Closer, error)
	open(path string, maxBytes int64, readOnly bool) (engine, error)
}

// engine is an open database file.
type engine interface {
	// load passes each record to visit, and returns the stored header and the sum of the record checksums. The slices
	// passed to visit are valid only during the call.
	load(visit func(key, value []byte) error) (rawHeader []byte, checksumSum uint64, err error)
	// commit writes a batch and a header atomically, and returns the number of fsyncs it made and the number of older
	// records it evicted to stay within the file's size limit.
	commit(header *fileHeader, batch []persistence.Record) (fsyncs, evicted int, err error)
	rename(newPath string) error // returns after the new name is durable
	size() int64
	close() error
}

var (
	bucketName  = []byte("keep")
	headerKey   = []byte{0}
	errNoHeader = errors.New("the header is missing")
)

const (
	// recordShare limits the size of all records to 1/recordShare of the maximum file size: in the worst case pages are
	// half full, and a batch rewrites each page, which needs space for the old and the new pages.
	recordShare = 6
	// evictionShare is the share of that limit that one eviction frees: 1/evictionShare.
	evictionShare = 8
)

type osDisk struct{ retention [256]clock.Nanos } // the same values as Settings.Retention

// lock locks a file exclusively.
func (osDisk) lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

type boltEngine struct {
	db          *bbolt.DB
	path        string
	maxBytes    int64 // maximum file size; a power of two, as bbolt's memory maps are
	recordBytes int64 // size of all keys and values
	checksumSum uint64
	retention   [256]clock.Nanos
	panicked    bool // after a panic the database is not used again
}

// open opens a database file that verifyFile has accepted, or creates one.
func (d osDisk) open(path string, maxBytes int64, readOnly bool) (engine, error) {
	maxBytes = 1 << (bits.Len64(uint64(maxBytes)) - 1)
	opened := &boltEngine{path: path, maxBytes: maxBytes, retention: d.retention}
	err := recoverPanics(func() (err error) {
		opened.db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Millisecond, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType,
			PageSize: pageBytes, MaxSize: int(maxBytes), ReadOnly: readOnly, NoStatistics: true})
		return err
	})
	if err != nil {
		return nil, err
	}
	opened.db.AllocSize = int(max(maxBytes/64, pageBytes))
	return opened, nil
}

// recoverPanics calls f and turns a panic, including a page fault in the mapped file, into an error.
func recoverPanics(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", errPanic, cause)
		}
	}()
	return f()
}

var errPanic = errors.New("the database panicked")

func (e *boltEngine) load(visit func(key, value []byte) error) (rawHeader []byte, checksumSum uint64, err error) {
	err = recoverPanics(func() error {
		return e.db.View(func(tx *bbolt.Tx) error {
			bucket := tx.Bucket(bucketName)
			if bucket == nil {
				return errNoHeader
			}
			if rawHeader = append(rawHeader, bucket.Get(headerKey)...); len(rawHeader) == 0 {
				return errNoHeader
			}
			return bucket.ForEach(func(key, value []byte) error {
				if len(key) == 1 && key[0] == headerKey[0] {
					return nil
				}
				e.recordBytes, e.checksumSum = e.recordBytes+int64(len(key)+len(value)), e.checksumSum+storedChecksum(value)
				return visit(key, value)
			})
		})
	})
	return rawHeader, e.checksumSum, err
}

func (e *boltEngine) commit(header *fileHeader, batch []persistence.Record) (fsyncs, evicted int, err error) {
	if e.panicked {
		return 0, 0, errPanic
	}
	droppedBefore := header.dropped
	fsyncs, evicted, err = e.commitOnce(header, batch)
	// A smaller batch rewrites fewer pages at a time, and so may fit where the whole batch does not.
	if half := len(batch) / 2; half > 0 && errors.Is(err, bbolterrors.ErrMaxSizeReached) {
		header.dropped = droppedBefore
		for _, part := range [][]persistence.Record{batch[:half], batch[half:]} {
			var partFsyncs, partEvicted int
			partFsyncs, partEvicted, err = e.commit(header, part)
			if fsyncs, evicted = fsyncs+partFsyncs, evicted+partEvicted; err != nil {
				return fsyncs, evicted, err
			}
		}
	}
	return fsyncs, evicted, err
}

// commitOnce writes a batch in one transaction.
func (e *boltEngine) commitOnce(header *fileHeader, batch []persistence.Record) (fsyncs, evicted int, err error) {
	sizeBefore, recordBytes, checksumSum := e.size(), e.recordBytes, e.checksumSum
	err = recoverPanics(func() error {
		return e.db.Update(func(tx *bbolt.Tx) error {
			bucket, err := tx.CreateBucketIfNotExists(bucketName)
			if err != nil {
				return err
			}
			for i := range batch {
				key, value := recordKey(&batch[i]), encodeRecord(&batch[i], header.writtenAt)
				if old := bucket.Get(key); old != nil {
					recordBytes, checksumSum = recordBytes-int64(len(key)+len(old)), checksumSum-storedChecksum(old)
				}
				if err := bucket.Put(key, value); err != nil {
					return err
				}
				recordBytes, checksumSum = recordBytes+int64(len(key)+len(value)), checksumSum+storedChecksum(value)
			}
			if limit := e.maxBytes / recordShare; recordBytes > limit {
				count, freedBytes, freedChecksums, err := e.evict(bucket, header.writtenAt, recordBytes-limit+limit/evictionShare)
				if err != nil {
					return err
				}
				recordBytes, checksumSum, evicted = recordBytes-freedBytes, checksumSum-freedChecksums, count
			}
			header.dropped, header.checksumSum = header.dropped+uint64(evicted), checksumSum
			return bucket.Put(headerKey, header.append(nil))
		})
	})
	fsyncs = 2 // bbolt syncs the data pages, then the meta page; a file that grew needs a third fsync
	if e.size() != sizeBefore {
		fsyncs = 3
	}
	if e.panicked = errors.Is(err, errPanic); err != nil {
		return fsyncs, 0, err
	}
	e.recordBytes, e.checksumSum = recordBytes, checksumSum
	return fsyncs, evicted, nil
}

// evict deletes records until at least needBytes are free: expired records first, then by age, the oldest first. Ages
// are compared in powers of two of a millisecond. It returns the count, size and sum of checksums of the deleted
// records.
func (e *boltEngine) evict(bucket *bbolt.Bucket, now int64, needBytes int64) (count int, freedBytes int64, freedChecksums uint64, err error) {
	ageRank := func(key, value []byte) int { // 0: the header, or an unreadable record; neither is evicted
		record, writtenAt, err := parseRecord(key, value)
		if err != nil {
			return 0
		}
		age, _ := persistence.AgeNow(record.Age, writtenAt, now, now)
		if maxAge := e.retention[record.Kind]; maxAge > 0 && age >= maxAge {
			return 65
		}
		return 1 + bits.Len64(uint64(age/1e6))
	}
	var bytesByRank [66]int64
	cursor := bucket.Cursor()
	for key, value := cursor.First(); key != nil; key, value = cursor.Next() {
		bytesByRank[ageRank(key, value)] += int64(len(key) + len(value))
	}
	minRank := len(bytesByRank)
	for sum := int64(0); minRank > 1 && sum < needBytes; {
		minRank--
		sum += bytesByRank[minRank]
	}
	var evicted [][]byte // deleted after the loop, because a deletion moves the cursor
	for key, value := cursor.First(); key != nil; key, value = cursor.Next() {
		if rank := ageRank(key, value); rank > minRank || rank == minRank && freedBytes < needBytes && rank > 0 {
			evicted, freedBytes, freedChecksums = append(evicted, append([]byte(nil), key...)), freedBytes+int64(len(key)+len(value)), freedChecksums+storedChecksum(value)
		}
	}
	for _, key := range evicted {
		if err := bucket.Delete(key); err != nil {
			return 0, 0, 0, err
		}
	}
	return len(evicted), freedBytes, freedChecksums, nil
}

func (e *boltEngine) size() int64 {
	info, err := os.Stat(e.path)
	if err != nil {
		return -1 // another process moved the file
	}
	return info.Size()
}

func (e *boltEngine) close() error {
	if e.panicked {
		return nil // after a panic bbolt may still hold its own locks, and Close would block forever
	}
	return recoverPanics(e.db.Close)
}

func (e *boltEngine) rename(newPath string) error {
	if err := os.Rename(e.path, newPath); err != nil {
		return err
	}
	e.path = newPath
	dir, err := os.Open(filepath.Dir(newPath))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

func isReadOnly(err error) bool {
	return errors.Is(err, syscall.EROFS) || errors.Is(err, syscall.EACCES) || errors.Is(err, syscall.EPERM)
}

// isFull also compares the error text, because bbolt does not wrap the cause when it fails to grow its file.
func isFull(err error) bool {
	for _, fullError := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, bbolterrors.ErrMaxSizeReached} {
		if err != nil && (errors.Is(err, fullError) || strings.Contains(err.Error(), fullError.Error())) {
			return true
		}
	}
	return false
}

func isLocked(err error) bool {
	return errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, bbolterrors.ErrTimeout)
}
