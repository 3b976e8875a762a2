package store

import (
	"errors"
	"log/slog"
	"os"

	"lotushook/policy/clock"
	"lotushook/policy/persistence"
)

// due is when the next batch is written; at the end at once, and only if the last one has not failed.
func (k *Store) due(last bool) (clock.Nanos, bool) {
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

// batch is the step that writes all queued records.
func (k *Store) batch() func() func() {
	k.mu.Lock()
	taken := k.settings.Now()
	b := k.queue.TakeBatch(taken)
	h := head{format: format, cluster: k.settings.Cluster, name: k.settings.Name, boot: k.settings.Boot, generation: k.head.generation + 1,
		letGo: k.queue.Counts().Dropped + k.swept}
	k.mu.Unlock()
	return func() func() {
		h.wall = k.settings.Wall()
		fsyncs, swept, err := k.write(&h, b.Records())
		size := int64(0)
		if k.engine != nil {
			size = k.engine.size()
		}
		return func() { k.wrote(taken, &h, fsyncs, swept, size, err) }
	}
}

// write puts a batch on disk; the first of a new copy under another name, so that an incomplete copy never has this one.
func (k *Store) write(h *head, batch []persistence.Record) (fsyncs, letGo int, err error) {
	if k.engine != nil {
		return k.engine.commit(h, batch)
	}
	next := k.path + ".new"
	os.Remove(next) // left by an earlier attempt: it was never read
	s, err := k.settings.disk.open(next, k.settings.MaxBytes, false)
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
	k.engine = s
	return fsyncs + 3, letGo, nil // the file's first pages, its growth, the directory
}

func (k *Store) wrote(taken clock.Nanos, h *head, fsyncs, swept int, size int64, err error) {
	k.mu.Lock()
	if err != nil {
		k.queue.Failed(taken, k.settings.Now(), fsyncs)
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
