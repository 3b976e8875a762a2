package peer

import "lotushook/policy/crdt"

// Report is one router's report on the cluster for operators.
type Report struct {
	Name      string         `json:"name"`
	Cluster   string         `json:"cluster"`
	View      ViewReport     `json:"view"`
	Members   []MemberReport `json:"members"`
	Counts    Counts         `json:"messages"`
	State     *StateReport   `json:"state,omitempty"` // replicated state; absent where replication is disabled
	Persisted any            `json:"keep,omitempty"`  // persistence (see internal/router); absent where it is disabled
	Shedding  any            `json:"lanes,omitempty"` // load shedding; absent where it is disabled
}

// ViewReport is this router's view of the cluster.
type ViewReport struct {
	Present       int     `json:"counting"`
	Configured    int     `json:"configured"`
	Majority      bool    `json:"majority"`
	SinceS        float64 `json:"since_s"`
	Isolated      bool    `json:"cut_off"`
	DuplicateName bool    `json:"taken"` // another process uses this router's name
	Share         float64 `json:"share"`
	IsHolder      bool    `json:"holder"`
	Excluded      int     `json:"gone"`
}

// MemberReport is the state of one member.
type MemberReport struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	State       string  `json:"state"`
	Epoch       uint64  `json:"boot"`
	Incarnation uint32  `json:"incarnation"`
	SinceS      float64 `json:"since_s"`
	LastHeardS  float64 `json:"heard_s"` // since the last message from the member itself; -1 if there was none
	RoundTripMS float64 `json:"trip_ms"`
	ReportedBy  string  `json:"by"` // the member that reported this state, if it was another one
}

// Report returns the current report.
func (peers *Peers) Report() Report {
	view, now := peers.View(), peers.options.Now()
	secondsSince := func(at int64) float64 { return float64(now-at) / 1e9 }
	report := Report{Name: peers.options.Membership.Name, Cluster: peers.options.Cluster, Counts: peers.Counts(),
		View: ViewReport{Present: view.Present, Configured: peers.options.Membership.Configured, Majority: view.Majority,
			SinceS: secondsSince(view.MajoritySince), Isolated: view.Isolated, DuplicateName: view.DuplicateName,
			Share: view.Quota.Share, IsHolder: view.Quota.IsHolder, Excluded: view.Quota.Excluded}}
	for _, member := range view.Members {
		row := MemberReport{Name: member.Name, Address: member.Address, State: member.State.String(), Epoch: member.Epoch,
			Incarnation: member.Incarnation, SinceS: secondsSince(member.Since), LastHeardS: -1,
			RoundTripMS: float64(member.RoundTrip) / 1e6, ReportedBy: member.ReportedBy}
		if member.LastHeardAt > 0 {
			row.LastHeardS = secondsSince(member.LastHeardAt)
		}
		report.Members = append(report.Members, row)
	}
	report.State = peers.options.State.copy(peers.replicationReport.Load())
	return report
}

// StateReport describes a router's copy of the replicated state. Size and Digest are by kind of entry.
type StateReport struct {
	Size           map[string]int       `json:"size"`
	Digest         map[string]uint64    `json:"digest"` // equal for equal copies
	Rejected       uint64               `json:"refused"`
	WithheldClaims uint64               `json:"withheld"`  // see crdt.Store.WithheldClaims
	CaughtUp       bool                 `json:"caught_up"` // the copy has caught up with other members since the start
	CatchUpClients int                  `json:"fed"`       // members that are catching up from this router
	Broadcast      crdt.BroadcastCounts `json:"told"`
	Waits          WaitCounts           `json:"waits"`
}

// WaitCounts are the outcomes of the waits for another member's acknowledgement of an entry.
type WaitCounts struct {
	Acknowledged  uint64  `json:"came"`
	TimedOut      uint64  `json:"over"`  // not acknowledged: the wait timed out, or the client left
	LimitReached  uint64  `json:"full"`  // not waited: there were too many waits, or there was no capacity for the entry
	NoOtherMember uint64  `json:"alone"` // not waited: no other member was present
	LongestMS     float64 `json:"longest_ms"`
}

// copy returns the report on this router's copy, which is nil for a nil State.
func (state *State) copy(replication *replicationReport) *StateReport {
	if state == nil {
		return nil
	}
	report := &StateReport{Size: map[string]int{}, Digest: map[string]uint64{}}
	if replication != nil {
		report.CaughtUp, report.CatchUpClients, report.Broadcast = replication.CaughtUp, replication.CatchUpClients, replication.BroadcastCounts
	}
	state.EachShard(func(store *crdt.Store, _ int64) {
		for kind := crdt.SessionCommit; kind <= crdt.LastKind; kind++ {
			report.Size[kind.String()] += store.Size(kind)
			report.Digest[kind.String()] += store.Digest(kind)
		}
		report.Rejected += store.Rejected()
		report.WithheldClaims += store.WithheldClaims()
	})
	state.mu.Lock()
	defer state.mu.Unlock()
	report.Waits = WaitCounts{state.waitCounts.acknowledged, state.waitCounts.timedOut, state.waitCounts.limitReached,
		state.waitCounts.noOtherMember, float64(state.waitCounts.longest) / 1e6}
	return report
}
