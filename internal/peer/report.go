package peer

import "lotushook/policy/crdt"

// Report is one router's report for operators.
type Report struct {
	Name      string `json:"name"`
	Cluster   string `json:"cluster"`
	View      Belief `json:"view"`
	Members   []Row  `json:"members"`
	Counts    Counts `json:"messages"`
	State     *Copy  `json:"state,omitempty"` // the replicated state; none: off
	Persisted any    `json:"keep,omitempty"`  // the copy of it on disk and what is unconfirmed of it (internal/router); none: off
	Shedding  any    `json:"lanes,omitempty"` // load shedding, where it is on
}

// Belief is the router's view of the members.
type Belief struct {
	Counting   int     `json:"counting"`
	Configured int     `json:"configured"`
	Majority   bool    `json:"majority"`
	SinceS     float64 `json:"since_s"`
	CutOff     bool    `json:"cut_off"`
	Taken      bool    `json:"taken"` // another process has its name
	Share      float64 `json:"share"`
	Holder     bool    `json:"holder"`
	Gone       int     `json:"gone"`
}

// Row is one member.
type Row struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	State       string  `json:"state"`
	Boot        uint64  `json:"boot"`
	Incarnation uint32  `json:"incarnation"`
	SinceS      float64 `json:"since_s"`
	HeardS      float64 `json:"heard_s"` // since it was last heard directly; -1: never
	TripMS      float64 `json:"trip_ms"`
	By          string  `json:"by"` // the accuser, if it is another
}

// Report returns the present report.
func (p *Peers) Report() Report {
	v, now := p.View(), p.opt.Now()
	ago := func(t int64) float64 { return float64(now-t) / 1e9 }
	out := Report{Name: p.opt.Member.Name, Cluster: p.opt.Cluster, Counts: p.Counts(), View: Belief{Counting: v.Present, Configured: p.opt.Member.Configured,
		Majority: v.Majority, SinceS: ago(v.MajoritySince), CutOff: v.Isolated, Taken: v.DuplicateName, Share: v.Quota.Share, Holder: v.Quota.IsHolder, Gone: v.Quota.Excluded}}
	for _, x := range v.Members {
		r := Row{Name: x.Name, Address: x.Address, State: x.State.String(), Boot: x.Epoch, Incarnation: x.Incarnation, SinceS: ago(x.Since),
			HeardS: -1, TripMS: float64(x.RoundTrip) / 1e6, By: x.ReportedBy}
		if x.LastHeardAt > 0 {
			r.HeardS = ago(x.LastHeardAt)
		}
		out.Members = append(out.Members, r)
	}
	out.State = p.opt.State.copy(p.broadcastReport.Load())
	return out
}

// Copy is a router's copy of the replicated state, by kind.
type Copy struct {
	Size      map[string]int       `json:"size"`
	Digest    map[string]uint64    `json:"digest"` // equal where two copies are
	Refused   uint64               `json:"refused"`
	Withheld  uint64               `json:"withheld"`  // claims of completeness that did not count: what came with them could not be taken
	Caught    bool                 `json:"caught_up"` // since its start it once had all of some member's entries
	Fed       int                  `json:"fed"`       // members that it serves catch-up to
	Broadcast crdt.BroadcastCounts `json:"told"`
	Waits     Waits                `json:"waits"`
}

// Waits are the outcomes of answers that waited for another member's acknowledgement.
type Waits struct {
	Acknowledged uint64  `json:"came"`
	Over         uint64  `json:"over"`  // sent without: the wait timed out, or the client left
	Full         uint64  `json:"full"`  // sent without: too many waited, or there was no room for the entry
	Alone        uint64  `json:"alone"` // sent without: no other member was present
	LongestMS    float64 `json:"longest_ms"`
}

func (s *State) copy(t *broadcastReport) *Copy {
	if s == nil {
		return nil
	}
	c := &Copy{Size: map[string]int{}, Digest: map[string]uint64{}}
	if t != nil {
		c.Caught, c.Fed, c.Broadcast = t.Caught, t.Fed, t.BroadcastCounts
	}
	s.Each(func(store *crdt.Store, _ int64) {
		for k := crdt.SessionCommit; k <= crdt.LastKind; k++ {
			c.Size[k.String()] += store.Size(k)
			c.Digest[k.String()] += store.Digest(k)
		}
		c.Refused += store.Rejected()
		c.Withheld += store.WithheldClaims()
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Waits = Waits{s.counts.Acknowledged, s.counts.Over, s.counts.Full, s.counts.Alone, float64(s.counts.longest) / 1e6}
	return c
}
