package store

import (
	"cmp"
	"log/slog"

	"lotushook/internal/operr"
	"lotushook/policy/persistence"
)

// Report describes a store to operators.
type Report struct {
	Path         string             `json:"path"`
	Writable     bool               `json:"writes"` // false before the copy is read, and while the router runs without a copy
	Epoch        uint64             `json:"boot"`   // of the process that wrote last
	Generation   uint64             `json:"generation"`
	FileBytes    int64              `json:"bytes"`
	PendingBytes int                `json:"waiting"` // queued records and the batch in flight
	Evicted      uint64             `json:"swept"`   // older records deleted to stay within the file's size limit
	Counts       persistence.Counts `json:"counts"`
	Problem      string             `json:"trouble,omitempty"`
	ErrorKind    string             `json:"error_kind,omitempty"`
	Hint         string             `json:"remedy,omitempty"`
}

// Report returns the current report, or nil for a nil Store.
func (s *Store) Report() *Report {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report := &Report{Path: s.path, Writable: !s.disabled, Epoch: s.header.epoch, Generation: s.header.generation, FileBytes: s.fileBytes, Evicted: s.evicted, Counts: s.queue.Counts()}
	_, report.PendingBytes = s.queue.Bytes()
	select {
	case <-s.loaded:
	default:
		report.Writable = false
	}
	if reported := cmp.Or(s.problem, s.loadError); reported != nil {
		report.Problem, report.ErrorKind, report.Hint = reported.Error(), reported.Kind(), reported.Hint()
	}
	return report
}

// setProblem stores the current error for reports, and logs it unless the previous error was of the same kind. nil
// clears the error, unless it has disabled writing permanently.
func (s *Store) setProblem(problem operr.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if problem == nil && s.disabled {
		return
	}
	if problem != nil && (s.problem == nil || s.problem.Kind() != problem.Kind()) {
		slog.Warn("keep", operr.Attrs(problem)...)
	}
	s.problem = problem
}
