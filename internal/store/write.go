package store

import (
	"errors"
	"log/slog"
	"os"

	"lotushook/policy/clock"
	"lotushook/policy/persistence"
)

// due returns when the next batch may be written, and false if there is no batch to write. While the store stops, a
// batch is due immediately, unless the previous one failed.
func (s *Store) due(stopping bool) (clock.Nanos, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disabled {
		return 0, false
	}
	dueAt, ok := s.queue.Due()
	if stopping {
		return 0, ok && !s.failing
	}
	return dueAt, ok
}

// batch returns the disk operation that writes all queued records.
func (s *Store) batch() func() func() {
	s.mu.Lock()
	takenAt := s.settings.Now()
	batch := s.queue.TakeBatch(takenAt)
	header := fileHeader{format: format, cluster: s.settings.Cluster, name: s.settings.Name, epoch: s.settings.Epoch, generation: s.header.generation + 1,
		dropped: s.queue.Counts().Dropped + s.evicted}
	s.mu.Unlock()
	return func() func() {
		header.writtenAt = s.settings.Wall()
		fsyncs, evicted, err := s.write(&header, batch.Records())
		fileBytes := int64(0)
		if s.engine != nil {
			fileBytes = s.engine.size()
		}
		return func() { s.finishBatch(takenAt, &header, fsyncs, evicted, fileBytes, err) }
	}
}

// write commits a batch. The first batch of a new copy goes to a temporary file that is then renamed, so that s.path
// never names an incomplete copy.
func (s *Store) write(header *fileHeader, batch []persistence.Record) (fsyncs, evicted int, err error) {
	if s.engine != nil {
		return s.engine.commit(header, batch)
	}
	newPath := s.path + ".new"
	os.Remove(newPath) // left by an earlier attempt, and never read
	created, err := s.settings.disk.open(newPath, s.settings.MaxBytes, false)
	if err != nil {
		return 2, 0, err
	}
	if fsyncs, evicted, err = created.commit(header, batch); err == nil {
		err = created.rename(s.path)
	}
	if err != nil {
		created.close()
		return fsyncs + 3, evicted, err
	}
	s.engine = created
	return fsyncs + 3, evicted, nil // plus three: for the new file's first pages, for its growth and for the directory
}

// finishBatch records the outcome of a batch.
func (s *Store) finishBatch(takenAt clock.Nanos, header *fileHeader, fsyncs, evicted int, fileBytes int64, err error) {
	s.mu.Lock()
	if err != nil {
		s.queue.Failed(takenAt, s.settings.Now(), fsyncs)
		if errors.Is(err, errPanic) || isReadOnly(err) {
			s.disabled = true
		}
	} else {
		s.queue.Committed(takenAt, fsyncs)
		s.header, s.fileBytes = *header, fileBytes
		s.evicted += uint64(evicted)
	}
	recovered := s.failing && err == nil
	s.failing = err != nil
	dropped := s.queue.Counts().Dropped
	s.reportedDropped, dropped = dropped, dropped-s.reportedDropped
	totalDropped := s.reportedDropped
	s.mu.Unlock()
	if recovered {
		slog.Info("keep: writing works again", "path", s.path)
	}
	switch {
	case err == nil && dropped > 0:
		s.setProblem(&QueueFullError{s.path, totalDropped})
	case err == nil:
		s.setProblem(nil)
	case isFull(err):
		s.setProblem(&FullError{s.path, err})
	case isReadOnly(err):
		s.setProblem(&ReadOnlyError{s.path, err})
	default:
		s.setProblem(&OperationError{s.path, "write a batch", err})
	}
}
