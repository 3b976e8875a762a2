package router

import (
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"sync"

	jsoniter "github.com/json-iterator/go"

	"lotushook/internal/invariant"
	"lotushook/internal/siteconfig"
	"lotushook/policy/balance"
	"lotushook/policy/crdt"
	"lotushook/policy/trust"
)

// Send is one line of the record of decisions: a send, and what was known for it. Ages are in ms.
type Send struct {
	AtMS    int64        `json:"at_ms"` // the router's clock, from its start
	Router  string       `json:"router"`
	Boot    uint64       `json:"boot"`
	ID      string       `json:"id"`
	Class   string       `json:"class"`
	Group   int64        `json:"group"`
	Session string       `json:"session,omitempty"`
	Server  string       `json:"server"`
	Listed  bool         `json:"listed"` // the list in hand names it, and not as one that drains
	Write   bool         `json:"write"`
	Why     string       `json:"why"`              // the module's reason for this server
	Floor   int64        `json:"floor,omitempty"`  // ms: a session's read must see it
	On      []Provenance `json:"on"`               // what the send rests on
	Beside  []Provenance `json:"beside,omitempty"` // what was known and not used
}

// Provenance is one fact that a decision rests on, and where it came from.
type Provenance struct {
	What   string `json:"what"`   // server, floor, primary
	Origin string `json:"origin"` // own, client, peer, restored
	AgeMS  int64  `json:"age_ms"` // of own answers in the module not told: 0
	Proven bool   `json:"proven"`
	Says   string `json:"says,omitempty"`
}

// attemptLog writes the record. A nil one writes nothing. It is for experiments: a line is written before its send goes out.
type attemptLog struct {
	mu        sync.Mutex
	file      *os.File
	remaining int64
	omitted   int64 // lines that found none
}

func newAttemptLog(s *siteconfig.DecisionLog) (*attemptLog, error) {
	f, err := os.OpenFile(s.File, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("members: decisions: %w", err)
	}
	return &attemptLog{file: f, remaining: s.MaxMB << 20}, nil
}

func (w *attemptLog) write(s *Send) {
	raw, err := jsoniter.Marshal(s)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.remaining -= int64(len(raw) + 1); w.remaining < 0 {
		w.omitted++
		return
	}
	if _, err := w.file.Write(append(raw, '\n')); err != nil {
		w.omitted++
	}
}

func (w *attemptLog) close() {
	if w.omitted > 0 {
		slog.Warn("decisions left out", "lines", w.omitted)
	}
	w.file.Close()
}

// logAttempt records one send on what is known at this moment.
func (m *membershipService) logAttempt(r *request, act balance.Action) {
	if m == nil || m.attemptLog == nil {
		return
	}
	const ms = 1e6
	host := r.router.directory.NameOf(act.Endpoint)
	_, listed := r.router.directory.Address(act.Endpoint)
	s := &Send{AtMS: (r.router.clock.now() - r.router.clock.unix) / ms, Router: m.detectorSettings.Name, Boot: m.detectorSettings.Epoch, ID: r.ID, Class: r.Class, Group: r.Cluster,
		Session: r.Session, Server: host, Listed: listed, Write: r.router.config.Settings.IsWrite(r.Class), Why: act.Reason.String(),
		On: []Provenance{{What: "server", Origin: trust.OwnResponse.String(), Proven: true, Says: host}}}
	if r.positionEvidence.at > 0 {
		g := Provenance{What: "floor", Origin: r.positionEvidence.fact.Provenance.String(), AgeMS: r.positionEvidence.fact.Age / ms, Proven: r.positionEvidence.fact.Proven, Says: strconv.FormatInt(r.positionEvidence.at/ms, 10)}
		if r.positionEvidence.fact.Provenance == trust.Unknown {
			g.Origin = "client"
		}
		v := trust.Evaluate(trust.RaisePosition, r.positionEvidence.fact, true, trust.DefaultSettings())
		invariant.Check(g.Origin == "client" || v.Allowed, "a floor is raised on known evidence", "why", v.Reason)
		s.Floor, s.On = r.positionEvidence.at/ms, append(s.On, g)
	}
	if f, e := m.persisted.fact(crdt.Entry{Kind: crdt.PrimaryClaim, A: strconv.FormatInt(r.Cluster, 10)}); s.Write && f.Provenance != trust.Unknown {
		s.Beside = append(s.Beside, Provenance{What: "primary", Origin: f.Provenance.String(), AgeMS: f.Age / ms, Proven: f.Proven, Says: e.Server})
	}
	m.attemptLog.write(s)
}
