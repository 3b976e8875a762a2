package peer

import (
	"log/slog"
	"time"

	"lotushook/internal/operr"
	"lotushook/policy/crdt"
)

const (
	replicationInterval = 5 * time.Millisecond
	ackDelay            = 2 * time.Millisecond // acknowledgements for which no write waits are collected for this long
	syncInterval        = time.Second
	continueDelay       = 20 * time.Millisecond // before the next request, if the answering member has more or is busy
	requestTimeout      = 500 * time.Millisecond
	noMemberAfter       = 5 * time.Second // longer than a router needs after its start to find the other members
	checkInterval       = 5 * time.Second
	missingAfter        = 10 * time.Second // an entry older than this that a member's copy lacks is logged
	maxCheckEntries     = 8                // entries per check message
	requestBytes        = 800              // limit of the version vectors in one request, so that it fits into a datagram
)

// replication is the state of the replication protocol. It is owned by Run's goroutine.
type replication struct {
	broadcaster    *crdt.Broadcaster
	catchUpServer  *crdt.CatchUpServer
	acks           map[string][]ack // acknowledgements to be sent, by address
	nextRequestAt  int64            // when the next request is due
	requestedAt    int64            // when the pending request was sent; 0 if none is pending
	continueWith   string           // the member that has more pieces for the same shards; empty if none
	firstShard     int              // first shard of the next request
	failedAttempts int              // consecutive requests that timed out, were deferred, or returned a corrupt piece
	requestCount   int
	coveredShards  int   // consecutive shards for which a member had nothing more to send
	caughtUp       bool  // all shards have been covered since the start
	startedAt      int64 // when the first request was sent
	mergedEntries  int   // entries merged by catch-up, for the log line
	mergedPieces   int
	checkedAt      int64
	checkShard     int   // shard of the next check
	noMemberSince  int64 // since when no other member has been present; 0 if one is
	timer          *time.Timer
	timerAt        int64 // when the timer expires; 0 if it is stopped
	ranAt          int64 // when replicate last ran
}

// timerChannel signals that replicate is due; it is nil where replication is disabled.
func (replication *replication) timerChannel() <-chan time.Time {
	if replication.timer == nil {
		return nil
	}
	return replication.timer.C
}

func (replication *replication) stop() {
	if replication.timer != nil {
		replication.timer.Stop()
	}
}

// scheduleBy makes the timer expire at the given time or earlier.
func (replication *replication) scheduleBy(now, at int64) {
	if replication.timerAt == 0 || at < replication.timerAt {
		replication.timerAt = at
		replication.timer.Reset(time.Duration(max(0, at-now)))
	}
}

// replicationReport is the state of the replication protocol that Report shows.
type replicationReport struct {
	crdt.BroadcastCounts
	CatchUpClients int
	CaughtUp       bool
}

func newReplication(now int64) (created replication, err error) {
	if created.broadcaster, err = crdt.NewBroadcaster(crdt.DefaultBroadcasterSettings()); err != nil {
		return created, err
	}
	created.catchUpServer, err = crdt.NewCatchUpServer(crdt.DefaultCatchUpSettings(), now)
	created.acks, created.timer = map[string][]ack{}, time.NewTimer(time.Hour)
	return created, err
}

// scheduleReplication broadcasts urgent entries immediately, and all others at most once per replicationInterval.
func (peers *Peers) scheduleReplication(now int64) {
	if replication := &peers.replication; now-replication.ranAt >= int64(replicationInterval) || peers.options.State.hasUrgent() {
		peers.replicate(now)
	} else {
		replication.scheduleBy(now, replication.ranAt+int64(replicationInterval))
	}
}

// replicate sends acknowledgements, broadcasts new entries, requests entries that this copy lacks from one member, and
// sends a check of older entries, each as it is due.
func (peers *Peers) replicate(now int64) {
	if peers.options.State == nil {
		return
	}
	replication, state := &peers.replication, peers.options.State
	replication.ranAt = now
	for address, acks := range replication.acks {
		peers.sendState(address, &stateMessage{Acks: acks})
	}
	clear(replication.acks)
	for _, urgent := range state.takeUrgent() {
		replication.broadcaster.Add(now, urgent.entry, urgent.waitNumber)
	}
	for _, learned := range state.takePending() {
		replication.broadcaster.Add(now, learned, 0)
	}
	others := peers.detector.AliveOthers()
	if len(others) > 0 {
		replication.noMemberSince = 0
	} else if replication.noMemberSince == 0 {
		replication.noMemberSince = now
	}
	if state.noOtherMember.Store(replication.noMemberSince > 0 && now-replication.noMemberSince > int64(noMemberAfter)); len(others) == 0 {
		return
	}
	names, addresses := make([]string, len(others)), make(map[string]string, len(others))
	for index, member := range others {
		names[index], addresses[member.Name] = member.Name, member.Address
	}
	for _, delivery := range replication.broadcaster.Deliveries(now, names) {
		outgoing := &batch{Number: delivery.BatchNumber, ForwardCount: delivery.AwaitedCount}
		for index := range delivery.Entries {
			outgoing.Entries = append(outgoing.Entries, encodeEntry(&delivery.Entries[index]))
		}
		peers.sendState(addresses[delivery.To], &stateMessage{Batch: outgoing})
	}
	if replication.requestedAt > 0 && now-replication.requestedAt >= int64(requestTimeout) { // the member did not answer
		replication.requestedAt, replication.nextRequestAt = 0, now
		replication.failedAttempts++
	}
	if replication.requestedAt == 0 && now >= replication.nextRequestAt {
		peers.requestState(now, names, addresses)
	}
	if replication.caughtUp && now-replication.checkedAt >= int64(checkInterval) {
		replication.checkedAt = now
		peers.sendCheck(now, addresses[names[int(peers.lastSequence)%len(names)]])
	}
	if dueAt, isDue := replication.broadcaster.Due(); isDue {
		replication.scheduleBy(now, dueAt)
	}
	peers.replicationReport.Store(&replicationReport{replication.broadcaster.Counts(), replication.catchUpServer.ClientCount(),
		replication.caughtUp})
}

// requestState requests from one member the entries that this copy lacks, for as many shards as fit into one request.
func (peers *Peers) requestState(now int64, names []string, addresses map[string]string) {
	replication, state := &peers.replication, peers.options.State
	if replication.startedAt == 0 {
		replication.startedAt = now
	}
	var candidates []crdt.PeerInZone
	for _, name := range names {
		candidates = append(candidates, crdt.PeerInZone{Name: name, Zone: peers.options.Zones[name]})
	}
	replication.requestCount++
	source, _ := crdt.ChoosePeer(candidates, peers.options.Zones[peers.options.Membership.Name], !replication.caughtUp,
		replication.failedAttempts, replication.requestCount)
	// Continues with the member that has more pieces. If that member stops answering, the next request goes to another
	// one, which continues with the keys that no piece has covered yet.
	if addresses[replication.continueWith] != "" {
		source.Name = replication.continueWith
	}
	request := &stateRequest{FirstShard: replication.firstShard, Recovering: !replication.caughtUp}
	originIndexes := map[crdt.Origin]int{}
	for bytesLeft := requestBytes; len(request.Digests) < shardCount; {
		state.withShardAt((replication.firstShard+len(request.Digests))%shardCount, func(store *crdt.Store, _ int64) {
			request.Digests = append(request.Digests, store.TotalDigest())
			vector := make([]uint64, len(request.Origins))
			for origin, upTo := range store.VersionVector() {
				index, known := originIndexes[origin]
				if !known {
					index = len(request.Origins)
					originIndexes[origin] = index
					request.Origins = append(request.Origins, wireOrigin{Name: origin.Name, Epoch: origin.Boot})
					bytesLeft -= 12 + len(origin.Name)
				}
				for len(vector) <= index {
					vector = append(vector, 0)
				}
				vector[index] = upTo
			}
			bytesLeft -= 9 + 4*len(request.Origins)
			request.UpTo = append(request.UpTo, vector)
		})
		if bytesLeft < 0 {
			break
		}
	}
	for i := range request.UpTo { // pads the lists of shards that precede one with further origins
		for len(request.UpTo[i]) < len(request.Origins) {
			request.UpTo[i] = append(request.UpTo[i], 0)
		}
	}
	replication.requestedAt, replication.continueWith = now, ""
	peers.sendState(addresses[source.Name], &stateMessage{Request: request})
}

// receiveState processes the replication part of a message, and answers the request in it. Messages of senders that are
// not members are ignored.
func (peers *Peers) receiveState(now int64, message *envelope) {
	if peers.options.State == nil || !peers.detector.IsMember(message.From) {
		return
	}
	received, replication := message.State, &peers.replication
	if received.Batch != nil {
		peers.receiveBatch(now, message)
	}
	for _, acked := range received.Acks {
		peers.options.State.endWaits(replication.broadcaster.Acknowledge(message.From, acked.Number, acked.Missing))
	}
	if received.Request != nil {
		peers.sendState(message.Address, &stateMessage{Piece: peers.answerRequest(now, message.From, received.Request)})
	}
	if received.Piece != nil {
		peers.receivePiece(now, message.From, received.Piece)
	}
	if len(received.Check) > 0 && replication.caughtUp && now-replication.startedAt > int64(missingAfter) {
		peers.receiveCheck(message.From, received.Check)
	}
	peers.persistMerged(message)
}

// receiveBatch merges the entries of a batch, forwards those for which a write waits at the sender, and acknowledges
// the entries that this copy now covers (see crdt.Store.Covers).
func (peers *Peers) receiveBatch(now int64, message *envelope) {
	reply := ack{Number: message.State.Batch.Number}
	for index := range message.State.Batch.Entries {
		received := message.State.Batch.Entries[index].decode()
		changed, covered := peers.options.State.merge(&received)
		if !covered {
			reply.Missing = append(reply.Missing, byte(index))
		}
		if changed && index < message.State.Batch.ForwardCount {
			peers.replication.broadcaster.Forward(now, received, message.From)
		}
	}
	if message.State.Batch.ForwardCount > 0 { // a write waits for the acknowledgement: it is sent immediately
		peers.sendState(message.Address, &stateMessage{Acks: []ack{reply}})
	} else if peers.replication.acks[message.Address] = append(peers.replication.acks[message.Address], reply); len(peers.replication.acks[message.Address]) >= maxBatchEntries/2 {
		peers.sendState(message.Address, &stateMessage{Acks: peers.replication.acks[message.Address]})
		delete(peers.replication.acks, message.Address)
	} else {
		peers.replication.scheduleBy(now, now+int64(ackDelay))
	}
	if dueAt, isDue := peers.replication.broadcaster.Due(); isDue && message.State.Batch.ForwardCount > 0 {
		peers.replication.scheduleBy(now, dueAt)
	}
}

// answerRequest returns entries that a member lacks, as far as the rate limit of crdt.CatchUpServer permits.
func (peers *Peers) answerRequest(now int64, client string, request *stateRequest) *piece {
	response, state, replication := &piece{FirstShard: request.FirstShard, ShardCount: len(request.Digests)}, peers.options.State, &peers.replication
	budget, wait := replication.catchUpServer.Admit(now, client, request.Recovering)
	if budget == 0 {
		response.RetryAfterMS = max(1, wait/1e6)
		return response
	}
	sentBytes := 0
	for offset := range request.Digests {
		shard := (request.FirstShard + offset) % shardCount
		state.withShardAt(shard, func(store *crdt.Store, now int64) {
			if store.TotalDigest() == request.Digests[offset] {
				return
			}
			vector := crdt.VersionVector{}
			for j, origin := range request.Origins {
				if request.UpTo[offset][j] > 0 {
					vector[crdt.Origin{Name: origin.Name, Boot: origin.Epoch}] = request.UpTo[offset][j]
				}
			}
			for _, originRun := range store.Since(now, vector, budget-sentBytes) {
				if len(response.Runs) == maxRuns {
					response.More = true
					break
				}
				sentBytes += runOverheadBytes
				for j := range originRun.Entries {
					sentBytes += originRun.Entries[j].Size()
					response.Sum += originRun.Entries[j].Hash()
				}
				response.More = response.More || originRun.Span.IsPartial()
				response.Runs = append(response.Runs, encodeRun(shard, &originRun))
			}
			if sentBytes+runOverheadBytes+maxEntryBytes > budget {
				response.More = true
			}
		})
	}
	replication.catchUpServer.Served(client, sentBytes, !response.More && len(request.Digests) == shardCount)
	return response
}

// Upper bounds of encoded sizes, by which answerRequest limits the size of an answer.
const (
	runOverheadBytes = 48
	maxEntryBytes    = 700
)

// receivePiece merges a catch-up piece, and schedules the next request.
func (peers *Peers) receivePiece(now int64, from string, piece *piece) {
	replication, state := &peers.replication, peers.options.State
	if replication.requestedAt == 0 || piece.FirstShard != replication.firstShard {
		return // the answer to a request that timed out: a later request returns its entries again
	}
	replication.requestedAt, replication.nextRequestAt = 0, now+int64(syncInterval)
	if piece.RetryAfterMS > 0 {
		replication.failedAttempts++
		if !replication.caughtUp { // another member may be able to answer sooner
			replication.nextRequestAt = now + min(int64(continueDelay), piece.RetryAfterMS*1e6)
		}
		return
	}
	sum := uint64(0)
	// All runs of a shard are merged together, because a run's claim to be complete may depend on entries of another
	// run.
	runs := map[int][]crdt.OriginRun{}
	for i := range piece.Runs {
		received := piece.Runs[i].decode()
		for j := range received.Entries {
			sum += received.Entries[j].Hash()
			if state.shardIndex(&received.Entries[j]) != piece.Runs[i].Shard {
				sum++ // the sender uses another number of shards: forces a checksum mismatch
			}
		}
		runs[piece.Runs[i].Shard] = append(runs[piece.Runs[i].Shard], received)
	}
	if sum != piece.Sum {
		peers.counts.corruptPieces.Add(1)
		slog.Warn("state", operr.Attrs(&CorruptError{From: from, Runs: len(piece.Runs)})...)
		replication.failedAttempts++
		return
	}
	replication.failedAttempts = 0
	for shard, shardRuns := range runs {
		state.withShardAt(shard, func(store *crdt.Store, now int64) { replication.mergedEntries += store.MergeRuns(now, shardRuns) })
	}
	if replication.mergedPieces++; piece.More {
		replication.continueWith = from
		replication.nextRequestAt = now + int64(continueDelay)
		return
	}
	replication.firstShard = (replication.firstShard + piece.ShardCount) % shardCount
	if replication.coveredShards += piece.ShardCount; replication.coveredShards < shardCount {
		replication.nextRequestAt = now
	} else if replication.coveredShards = 0; !replication.caughtUp {
		replication.caughtUp = true
		slog.Info("state caught up", "by", from, "entries", replication.mergedEntries, "pieces", replication.mergedPieces,
			"took_ms", (now-replication.startedAt)/1e6)
	}
}

// sendCheck sends a member some entries that this router has known for longer than missingAfter.
func (peers *Peers) sendCheck(_ int64, address string) {
	replication := &peers.replication
	message := &stateMessage{}
	for range shardCount {
		peers.options.State.withShardAt(replication.checkShard, func(store *crdt.Store, now int64) {
			for _, old := range store.EntriesOlderThan(now, int64(missingAfter), maxCheckEntries-len(message.Check)) {
				message.Check = append(message.Check, encodeEntry(&old))
			}
		})
		if replication.checkShard = (replication.checkShard + 1) % shardCount; len(message.Check) >= maxCheckEntries {
			break
		}
	}
	if len(message.Check) > 0 {
		peers.sendState(address, message)
	}
}

// receiveCheck checks whether this copy contains entries that another member has known for longer than missingAfter. It
// merges and logs those that are missing. As this router requests missing entries every syncInterval, a missing entry
// of that age shows a fault.
func (peers *Peers) receiveCheck(from string, entries []wireEntry) {
	var missing []crdt.Entry
	for index := range entries {
		known, present := entries[index].decode(), false
		peers.options.State.withShardAt(peers.options.State.shardIndex(&known), func(store *crdt.Store, now int64) {
			if present = store.Covers(now, &known); !present {
				present = !store.Merge(now, known) // a rejected entry is not missing
			}
		})
		if !present && time.Duration(known.Age) > missingAfter {
			missing = append(missing, known)
		}
	}
	if len(missing) > 0 {
		peers.counts.missingEntries.Add(uint64(len(missing)))
		slog.Warn("state", operr.Attrs(&MissingEntryError{From: from, Entry: missing[0], OtherCount: len(missing) - 1})...)
	}
}
