package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"lotushook/internal/operr"
	"lotushook/policy/persistence"
)

// open reads the copy on disk. It is the first disk operation of Run.
func (s *Store) open() func() {
	restored, header, disabled, err := s.read()
	return func() {
		s.mu.Lock()
		s.restored, s.disabled, s.header, s.loadError = restored, disabled, header, err
		s.mu.Unlock()
		if err != nil {
			slog.Warn("keep", operr.Attrs(err)...)
		}
		if restored.Epoch != 0 {
			slog.Info("keep: copy read", "path", s.path, "records", len(restored.Records), "boot", restored.Epoch, "generation", restored.Generation, "let_go", restored.Dropped)
		}
		close(s.loaded)
	}
}

// read locks the directory and reads the copy. disabled means that nothing may be written.
func (s *Store) read() (restored Restored, header fileHeader, disabled bool, problem operr.Error) {
	readOnly := operr.Error(nil)
	err := os.MkdirAll(s.settings.Dir, 0o700)
	if err == nil {
		s.lock, err = s.settings.disk.lock(filepath.Join(s.settings.Dir, lockName))
	}
	switch {
	case err == nil:
	case isLocked(err):
		return restored, header, true, &LockedError{s.settings.Dir, err}
	case isReadOnly(err):
		readOnly = &ReadOnlyError{s.settings.Dir, err}
	default:
		return restored, header, true, &OperationError{s.settings.Dir, "lock the directory", err}
	}
	if restored, header, problem = s.openCopy(readOnly != nil); problem == nil {
		problem = readOnly
	}
	switch readError := problem.(type) {
	case *ReadOnlyError, *LockedError, *TooManyMovedError, *OperationError:
		disabled = true
	case *DamagedError:
		disabled = readError.MovedTo == "" // a new copy would overwrite the one that could not be moved
	case *ForeignError:
		disabled = readError.MovedTo == ""
	case *NewerFormatError:
		disabled = readError.MovedTo == ""
	}
	return restored, header, disabled || readOnly != nil, problem
}

// openCopy reads the existing copy, if there is one. A copy that can't be used is moved aside.
//
//nolint:funlen // to be split (docs/ROADMAP.md, readable code)
func (s *Store) openCopy(readOnly bool) (restored Restored, header fileHeader, problem operr.Error) {
	err := s.verify()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return restored, header, nil
	case isReadOnly(err):
		return restored, header, &ReadOnlyError{s.path, err}
	case err != nil:
		return restored, header, s.moveDamagedAside(err)
	}
	opened, err := s.settings.disk.open(s.path, s.settings.MaxBytes, readOnly)
	if isReadOnly(err) && !readOnly {
		restored, header, problem = s.openCopy(true)
		if problem == nil {
			problem = &ReadOnlyError{s.path, err}
		}
		return restored, header, problem
	}
	switch {
	case isLocked(err):
		return restored, header, &LockedError{s.settings.Dir, err}
	case err != nil:
		return restored, header, s.moveDamagedAside(err)
	}
	now := s.settings.Wall()
	var writtenAt []int64 // by index into restored.Records
	rawHeader, checksumSum, err := opened.load(func(key, value []byte) error {
		record, recordWrittenAt, err := parseRecord(key, value)
		if err == nil {
			restored.Records, writtenAt = append(restored.Records, record), append(writtenAt, recordWrittenAt)
		}
		return err
	})
	if err == nil {
		header, err = parseHeader(rawHeader)
	}
	if err == nil && header.format == format && header.checksumSum != checksumSum {
		err = errChecksum
	}
	if err == nil && header.format > format {
		opened.close()
		return Restored{}, fileHeader{}, s.moveAside(&NewerFormatError{Path: s.path, Format: header.format})
	}
	if err == nil && (header.cluster != s.settings.Cluster || header.name != s.settings.Name) {
		opened.close()
		return Restored{}, fileHeader{}, s.moveAside(&ForeignError{Path: s.path, Cluster: header.cluster, Name: header.name})
	}
	if err != nil {
		opened.close()
		return Restored{}, fileHeader{}, s.moveDamagedAside(err)
	}
	unexpired := restored.Records[:0]
	for i, record := range restored.Records {
		record.Age, record.MinAgeOnly = persistence.AgeNow(record.Age, writtenAt[i], header.writtenAt, now)
		if maxAge := s.settings.Retention[record.Kind]; maxAge == 0 || record.Age < maxAge {
			unexpired = append(unexpired, record)
		}
	}
	restored = Restored{unexpired, header.epoch, header.generation, header.dropped}
	if now < header.writtenAt {
		problem = &ClockError{s.path, time.Duration(header.writtenAt - now)}
	}
	if readOnly {
		opened.close()
	} else {
		s.engine = opened
	}
	return restored, header, problem
}

// verify checks the structure of the file before bbolt opens it.
func (s *Store) verify() error {
	file, err := os.Open(s.path)
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
	return verifyFile(file, info.Size())
}

var errEmpty = errors.New("0 bytes")

func (s *Store) moveDamagedAside(err error) operr.Error {
	damaged := &DamagedError{Path: s.path, Cause: CauseCorrupt, Err: err}
	switch {
	case errors.Is(err, errEmpty):
		damaged.Cause = CauseEmpty
	case errors.Is(err, errTorn), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errNoHeader):
		damaged.Cause = CauseTorn
	}
	return s.moveAside(damaged)
}

// moveAside renames a copy that can't be used, unless maxMovedAside copies were moved aside already. It returns problem
// with the new path set, or the error that prevented the move.
func (s *Store) moveAside(problem operr.Error) operr.Error {
	for number := 1; number <= maxMovedAside; number++ {
		newPath := fmt.Sprintf("%s.aside-%d", s.path, number)
		if _, err := os.Lstat(newPath); err == nil {
			continue
		}
		if err := os.Rename(s.path, newPath); err != nil {
			if isReadOnly(err) {
				return problem // the error says that the file was not moved; its directory could not be locked either
			}
			return &OperationError{s.path, "move it aside", errors.Join(err, problem)}
		}
		switch moved := problem.(type) {
		case *DamagedError:
			moved.MovedTo = newPath
		case *ForeignError:
			moved.MovedTo = newPath
		case *NewerFormatError:
			moved.MovedTo = newPath
		}
		return problem
	}
	return &TooManyMovedError{s.settings.Dir, maxMovedAside, problem}
}

// close closes the database and unlocks the directory. It is the last disk operation of Run.
func (s *Store) close() func() {
	if s.engine != nil {
		s.engine.close()
	}
	if s.lock != nil {
		s.lock.Close()
	}
	return func() {}
}
