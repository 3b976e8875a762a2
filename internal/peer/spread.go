package peer

import (
	"log/slog"
	"time"

	"lotushook/internal/operr"
	"lotushook/policy/crdt"
)

const (
	spreadEvery  = 5 * time.Millisecond
	ackAfter     = 2 * time.Millisecond // acknowledgements that none waits for are batched
	syncInterval = time.Second
	againAfter   = 20 * time.Millisecond // while there is more, or another shard to request
	patience     = 500 * time.Millisecond
	aloneFor     = 5 * time.Second // after a start the others are not known yet
	checkEvery   = 5 * time.Second
	differFor    = 10 * time.Second // an entry known for longer and missing elsewhere is logged
	checked      = 8                // entries in one check
	wantBytes    = 800              // of vectors in one request, so that it is a datagram
)

// spread is the state of the replication; it belongs to Run's goroutine.
type spread struct {
	broadcaster   *crdt.Broadcaster
	catchUpServer *crdt.CatchUpServer
	acks          map[string][]ack // by address, until the queued messages are processed
	next          int64            // when to request again
	requestedAt   int64            // when the open request was sent; 0: none is open
	of            string           // the member that has more
	first         int              // shard of the next request
	tries         int              // members in a row that were silent or too busy
	turn          int
	coveredShards int  // shards in a row of which some member had no more
	caught        bool // all have been so since the start
	began         int64
	entries       int // received until then
	pieces        int
	checks        int64
	shard         int   // of the next check
	alone         int64 // since when no other member is present; 0: one is
	timer         *time.Timer
	at            int64 // when the timer expires; 0: it is stopped
	ran           int64 // when the state was last spread
}

// due signals that something is to be sent again; nil where no state is replicated.
func (s *spread) due() <-chan time.Time {
	if s.timer == nil {
		return nil
	}
	return s.timer.C
}

func (s *spread) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// sooner sets the timer to a time, if it is not earlier already.
func (s *spread) sooner(now, at int64) {
	if s.at == 0 || at < s.at {
		s.at = at
		s.timer.Reset(time.Duration(max(0, at-now)))
	}
}

// broadcastReport counts what was broadcast, for reports.
type broadcastReport struct {
	crdt.BroadcastCounts
	Fed    int
	Caught bool
}

func newSpread(now int64) (s spread, err error) {
	if s.broadcaster, err = crdt.NewBroadcaster(crdt.DefaultBroadcasterSettings()); err != nil {
		return s, err
	}
	s.catchUpServer, err = crdt.NewCatchUpServer(crdt.DefaultCatchUpSettings(), now)
	s.acks, s.timer = map[string][]ack{}, time.NewTimer(time.Hour)
	return s, err
}

// scheduleSpread broadcasts urgent entries at once, and all others once per spreadEvery.
func (p *Peers) scheduleSpread(now int64) {
	if s := &p.spread; now-s.ran >= int64(spreadEvery) || p.opt.State.pressed() {
		p.spreadState(now)
	} else {
		s.sooner(now, s.ran+int64(spreadEvery))
	}
}

// spreadState broadcasts new entries, and requests from one member what this copy lacks.
func (p *Peers) spreadState(now int64) {
	if p.opt.State == nil {
		return
	}
	s, st := &p.spread, p.opt.State
	s.ran = now
	for address, acks := range s.acks {
		p.postState(address, &state{Acks: acks})
	}
	clear(s.acks)
	for _, u := range st.takeUrgent() {
		s.broadcaster.Add(now, u.entry, u.wait)
	}
	for _, e := range st.takePending() {
		s.broadcaster.Add(now, e, 0)
	}
	others := p.members.AliveOthers()
	if len(others) > 0 {
		s.alone = 0
	} else if s.alone == 0 {
		s.alone = now
	}
	if st.alone.Store(s.alone > 0 && now-s.alone > int64(aloneFor)); len(others) == 0 {
		return
	}
	names, address := make([]string, len(others)), make(map[string]string, len(others))
	for i, m := range others {
		names[i], address[m.Name] = m.Name, m.Address
	}
	for _, t := range s.broadcaster.Deliveries(now, names) {
		out := &push{Number: t.BatchNumber, Pass: t.AwaitedCount}
		for i := range t.Entries {
			out.Entries = append(out.Entries, wire(&t.Entries[i]))
		}
		p.postState(address[t.To], &state{Push: out})
	}
	if s.requestedAt > 0 && now-s.requestedAt >= int64(patience) { // it is silent
		s.requestedAt, s.next = 0, now
		s.tries++
	}
	if s.requestedAt == 0 && now >= s.next {
		p.requestState(now, names, address)
	}
	if s.caught && now-s.checks >= int64(checkEvery) {
		s.checks = now
		p.checkState(now, address[names[int(p.count)%len(names)]])
	}
	if at, ok := s.broadcaster.Due(); ok {
		s.sooner(now, at)
	}
	p.broadcastReport.Store(&broadcastReport{s.broadcaster.Counts(), s.catchUpServer.ClientCount(), s.caught})
}

// requestState requests from a member what this copy lacks, for as many shards as fit into a request.
func (p *Peers) requestState(now int64, names []string, address map[string]string) {
	s, st := &p.spread, p.opt.State
	if s.began == 0 {
		s.began = now
	}
	var list []crdt.PeerInZone
	for _, n := range names {
		list = append(list, crdt.PeerInZone{Name: n, Zone: p.opt.Zones[n]})
	}
	s.turn++
	of, _ := crdt.ChoosePeer(list, p.opt.Zones[p.opt.Member.Name], !s.caught, s.tries, s.turn)
	if address[s.of] != "" { // the same one goes on serving; if it falls silent another is asked, and goes on from there
		of.Name = s.of
	}
	w := &want{First: s.first, Hungry: !s.caught}
	places := map[crdt.Origin]int{}
	for room := wantBytes; len(w.Digests) < pieces; {
		st.at((s.first+len(w.Digests))%pieces, func(store *crdt.Store, _ int64) {
			w.Digests = append(w.Digests, store.TotalDigest())
			v := make([]uint64, len(w.Origins))
			for o, upto := range store.VersionVector() {
				at, ok := places[o]
				if !ok {
					at = len(w.Origins)
					places[o] = at
					w.Origins = append(w.Origins, origin{Name: o.Name, Boot: o.Boot})
					room -= 12 + len(o.Name)
				}
				for len(v) <= at {
					v = append(v, 0)
				}
				v[at] = upto
			}
			room -= 9 + 4*len(w.Origins)
			w.Upto = append(w.Upto, v)
		})
		if room < 0 {
			break
		}
	}
	for i := range w.Upto { // shards that were visited before an origin was known
		for len(w.Upto[i]) < len(w.Origins) {
			w.Upto[i] = append(w.Upto[i], 0)
		}
	}
	s.requestedAt, s.of = now, ""
	p.postState(address[of.Name], &state{Want: w})
}

// takeState processes a member's state message, and answers its request.
func (p *Peers) takeState(now int64, e *envelope) {
	if p.opt.State == nil || !p.members.IsMember(e.From) {
		return
	}
	in, s := e.State, &p.spread
	if in.Push != nil {
		p.takePush(now, e)
	}
	for _, a := range in.Acks {
		p.opt.State.ended(s.broadcaster.Acknowledge(e.From, a.Number, a.Lacks))
	}
	if in.Want != nil {
		p.postState(e.Address, &state{Feed: p.answerState(now, e.From, in.Want)})
	}
	if in.Feed != nil {
		p.takeFeed(now, e.From, in.Feed)
	}
	if len(in.Check) > 0 && s.caught && now-s.began > int64(differFor) {
		p.takeCheck(e.From, in.Check)
	}
	p.notifyKeeper(e)
}

// takePush merges new entries, forwards awaited ones, and acknowledges what is held now.
func (p *Peers) takePush(now int64, e *envelope) {
	a := ack{Number: e.State.Push.Number}
	for i := range e.State.Push.Entries {
		one := e.State.Push.Entries[i].entry()
		changed, covered := p.opt.State.take(&one)
		if !covered {
			a.Lacks = append(a.Lacks, byte(i))
		}
		if changed && i < e.State.Push.Pass {
			p.spread.broadcaster.Forward(now, one, e.From)
		}
	}
	if e.State.Push.Pass > 0 { // a write waits
		p.postState(e.Address, &state{Acks: []ack{a}})
	} else if p.spread.acks[e.Address] = append(p.spread.acks[e.Address], a); len(p.spread.acks[e.Address]) >= maxPushed/2 {
		p.postState(e.Address, &state{Acks: p.spread.acks[e.Address]})
		delete(p.spread.acks, e.Address)
	} else {
		p.spread.sooner(now, now+int64(ackAfter))
	}
	if at, ok := p.spread.broadcaster.Due(); ok && e.State.Push.Pass > 0 {
		p.spread.sooner(now, at)
	}
}

// answerState returns what a member lacks, as far as the catch-up budget permits now.
func (p *Peers) answerState(now int64, who string, w *want) *feed {
	out, st, s := &feed{First: w.First, Shards: len(w.Digests)}, p.opt.State, &p.spread
	room, wait := s.catchUpServer.Admit(now, who, w.Hungry)
	if room == 0 {
		out.WaitMS = max(1, wait/1e6)
		return out
	}
	gave := 0
	for k := range w.Digests {
		i := (w.First + k) % pieces
		st.at(i, func(store *crdt.Store, now int64) {
			if store.TotalDigest() == w.Digests[k] {
				return
			}
			v := crdt.VersionVector{}
			for j, o := range w.Origins {
				if w.Upto[k][j] > 0 {
					v[crdt.Origin{Name: o.Name, Boot: o.Boot}] = w.Upto[k][j]
				}
			}
			for _, r := range store.Since(now, v, room-gave) {
				if len(out.Runs) == maxRuns {
					out.More = true
					break
				}
				gave += runBytes
				for j := range r.Entries {
					gave += r.Entries[j].Size()
					out.Sum += r.Entries[j].Hash()
				}
				out.More = out.More || r.Span.IsPartial()
				out.Runs = append(out.Runs, wireRun(i, &r))
			}
			if gave+runBytes+maxEntryBytes > room {
				out.More = true
			}
		})
	}
	s.catchUpServer.Served(who, gave, !out.More && len(w.Digests) == pieces)
	return out
}

const (
	runBytes      = 48
	maxEntryBytes = 700
)

// takeFeed merges a piece, and says when to go on.
func (p *Peers) takeFeed(now int64, from string, f *feed) {
	s, st := &p.spread, p.opt.State
	if s.requestedAt == 0 || f.First != s.first {
		return // the answer to an abandoned request: its entries will come again
	}
	s.requestedAt, s.next = 0, now+int64(syncInterval)
	if f.WaitMS > 0 {
		s.tries++
		if !s.caught { // another may be free sooner
			s.next = now + min(int64(againAfter), f.WaitMS*1e6)
		}
		return
	}
	sum := uint64(0)
	runs := map[int][]crdt.OriginRun{} // by shard: a claim of one run may rest on the entries of another
	for i := range f.Runs {
		r := f.Runs[i].run()
		for j := range r.Entries {
			sum += r.Entries[j].Hash()
			if st.index(&r.Entries[j]) != f.Runs[i].Shard {
				sum++ // it has another number of shards
			}
		}
		runs[f.Runs[i].Shard] = append(runs[f.Runs[i].Shard], r)
	}
	if sum != f.Sum {
		p.counts.malformed.Add(1)
		slog.Warn("state", operr.Attrs(&CorruptError{From: from, Entries: len(f.Runs)})...)
		s.tries++
		return
	}
	s.tries = 0
	for shard, list := range runs {
		st.at(shard, func(store *crdt.Store, now int64) { s.entries += store.MergeRuns(now, list) })
	}
	if s.pieces++; f.More {
		s.of = from
		s.next = now + int64(againAfter)
		return
	}
	s.first = (s.first + f.Shards) % pieces
	if s.coveredShards += f.Shards; s.coveredShards < pieces {
		s.next = now
	} else if s.coveredShards = 0; !s.caught {
		s.caught = true
		slog.Info("state caught up", "by", from, "entries", s.entries, "pieces", s.pieces, "took_ms", (now-s.began)/1e6)
	}
}

// checkState sends a member some entries that have been known here for long.
func (p *Peers) checkState(_ int64, address string) {
	s := &p.spread
	out := &state{}
	for range pieces {
		p.opt.State.at(s.shard, func(store *crdt.Store, now int64) {
			for _, e := range store.EntriesOlderThan(now, int64(differFor), checked-len(out.Check)) {
				out.Check = append(out.Check, wire(&e))
			}
		})
		if s.shard = (s.shard + 1) % pieces; len(out.Check) >= checked {
			break
		}
	}
	if len(out.Check) > 0 {
		p.postState(address, out)
	}
}

// takeCheck checks whether this copy has what another has known for long, and merges what is missing: it is logged, as nothing that is
// requested each second should be missing for ten.
func (p *Peers) takeCheck(from string, list []entry) {
	var lacks []crdt.Entry
	for i := range list {
		e, had := list[i].entry(), false
		p.opt.State.at(p.opt.State.index(&e), func(store *crdt.Store, now int64) {
			if had = store.Covers(now, &e); !had {
				had = !store.Merge(now, e) // a rejected entry is not missing
			}
		})
		if !had && time.Duration(e.Age) > differFor {
			lacks = append(lacks, e)
		}
	}
	if len(lacks) > 0 {
		p.counts.differed.Add(uint64(len(lacks)))
		slog.Warn("state", operr.Attrs(&DiffersError{From: from, Entry: lacks[0], Others: len(lacks) - 1})...)
	}
}
