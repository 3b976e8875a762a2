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

// AttemptRecord is a line of the attempt log: an attempt and the evidence on which the decision to send it was based.
// Ages are in milliseconds.
type AttemptRecord struct {
	AtMS        int64      `json:"at_ms"` // time on the router's clock since its start
	Router      string     `json:"router"`
	Epoch       uint64     `json:"boot"`
	ID          string     `json:"id"`
	Class       string     `json:"class"`
	Group       int64      `json:"group"`
	Session     string     `json:"session,omitempty"`
	Server      string     `json:"server"`
	Listed      bool       `json:"listed"` // the current endpoint list contains the server, and not as draining
	Write       bool       `json:"write"`
	Reason      string     `json:"why"`              // why the decision module chose this server
	MinPosition int64      `json:"floor,omitempty"`  // the log position, in ms, that a session's read must see
	Used        []Evidence `json:"on"`               // evidence that the decision used
	Unused      []Evidence `json:"beside,omitempty"` // evidence that was known but not used
}

// Evidence is a fact that was known for a decision, and its provenance.
type Evidence struct {
	Subject string `json:"what"`   // what the fact is about: server, floor (the minimum position) or primary
	Origin  string `json:"origin"` // its source: own (an answer to this router), client, peer, restored (from disk)
	AgeMS   int64  `json:"age_ms"` // 0 for answers to this router, whose age the decision module does not report
	Proven  bool   `json:"proven"`
	Value   string `json:"says,omitempty"`
}

// attemptLog records attempts in a file, for experiments. Each line is written before its attempt is sent.
type attemptLog struct {
	mu        sync.Mutex
	file      *os.File
	remaining int64 // bytes that may still be written
	omitted   int64 // lines that did not fit into the file or failed to be written
}

func newAttemptLog(settings *siteconfig.DecisionLog) (*attemptLog, error) {
	file, err := os.OpenFile(settings.File, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("members: decisions: %w", err)
	}
	return &attemptLog{file: file, remaining: settings.MaxMB << 20}, nil
}

func (log *attemptLog) write(record *AttemptRecord) {
	line, err := jsoniter.Marshal(record)
	if err != nil {
		return
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.remaining -= int64(len(line) + 1); log.remaining < 0 {
		log.omitted++
		return
	}
	if _, err := log.file.Write(append(line, '\n')); err != nil {
		log.omitted++
	}
}

func (log *attemptLog) close() {
	if log.omitted > 0 {
		slog.Warn("attempt log lines omitted", "lines", log.omitted)
	}
	log.file.Close()
}

// logAttempt records an attempt that is about to be sent, with the evidence known at this time.
func (service *membershipService) logAttempt(request *request, action balance.Action) {
	if service == nil || service.attemptLog == nil {
		return
	}
	const ms = 1e6
	host := request.router.directory.NameOf(action.Endpoint)
	_, listed := request.router.directory.Address(action.Endpoint)
	record := &AttemptRecord{AtMS: (request.router.clock.now() - request.router.clock.unix) / ms, Router: service.detectorSettings.Name, Epoch: service.detectorSettings.Epoch, ID: request.ID, Class: request.Class, Group: request.Cluster,
		Session: request.Session, Server: host, Listed: listed, Write: request.router.config.Settings.IsWrite(request.Class), Reason: action.Reason.String(),
		Used: []Evidence{{Subject: "server", Origin: trust.OwnResponse.String(), Proven: true, Value: host}}}
	if request.positionEvidence.at > 0 {
		evidence := Evidence{Subject: "floor", Origin: request.positionEvidence.fact.Provenance.String(), AgeMS: request.positionEvidence.fact.Age / ms, Proven: request.positionEvidence.fact.Proven, Value: strconv.FormatInt(request.positionEvidence.at/ms, 10)}
		if request.positionEvidence.fact.Provenance == trust.Unknown {
			evidence.Origin = "client"
		}
		verdict := trust.Evaluate(trust.RaisePosition, request.positionEvidence.fact, true, trust.DefaultSettings())
		invariant.Check(evidence.Origin == "client" || verdict.Allowed, "a minimum position is based on known evidence", "why", verdict.Reason)
		record.MinPosition, record.Used = request.positionEvidence.at/ms, append(record.Used, evidence)
	}
	if fact, entry := service.persisted.fact(crdt.Entry{Kind: crdt.PrimaryClaim, A: strconv.FormatInt(request.Cluster, 10)}); record.Write && fact.Provenance != trust.Unknown {
		record.Unused = append(record.Unused, Evidence{Subject: "primary", Origin: fact.Provenance.String(), AgeMS: fact.Age / ms, Proven: fact.Proven, Value: entry.Server})
	}
	service.attemptLog.write(record)
}
