package store

import (
	"cmp"
	"log/slog"

	"lotushook/internal/operr"
	"lotushook/policy/persistence"
)

// Report is the operators' report of a copy.
type Report struct {
	Path       string             `json:"path"`
	Writes     bool               `json:"writes"` // false: not read yet, or without a copy
	Boot       uint64             `json:"boot"`   // of the last writer
	Generation uint64             `json:"generation"`
	Bytes      int64              `json:"bytes"`   // of the file
	Waiting    int                `json:"waiting"` // in bytes, including the batch in progress
	Swept      uint64             `json:"swept"`   // records dropped for lack of room in the file
	Counts     persistence.Counts `json:"counts"`
	Trouble    string             `json:"trouble,omitempty"`
	ErrorKind  string             `json:"error_kind,omitempty"`
	Hint       string             `json:"remedy,omitempty"`
}

// Report returns the present report; nil of a nil copy.
func (k *Store) Report() *Report {
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

// note stores the present error for reports, and logs it once while it lasts; nil: it is over. An error that ended the writing
// for good stays.
func (k *Store) note(e operr.Error) {
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
