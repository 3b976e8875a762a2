package changefeed

import (
	"errors"
	"sync"

	"lotushook/internal/invariant"
	"lotushook/policy/crdt"
	"lotushook/policy/cursor"
)

// Subscription is the state of a client connection: the feed that it last read, and the generation of its cursor.
type Subscription struct {
	mu         sync.Mutex
	log        *feedLog
	subscriber string
	generation cursor.Generation
	position   cursor.Position // after the last answer
	busy       bool
}

// knownCursor returns the subscriber's latest cursor that is recorded here or was replicated by another router, and
// whether cursors have been evicted, so that an unknown subscriber may have had one.
func (feeds *Feeds) knownCursor(log *feedLog, subscriber string) (known cursor.Cursor, evicted bool) {
	now := feeds.options.Now()
	feeds.withRegistry(subscriber, func(registry *cursor.Registry) {
		known, _ = registry.Get(now, log.number, subscriber)
		evicted = registry.Evicted() > 0
	})
	if feeds.options.State != nil {
		feeds.options.State.WithShard(log.label, subscriber, func(store *crdt.Store, now int64) {
			entry, isStored, forgotten := store.Cursor(now, log.label, subscriber)
			evicted = evicted || forgotten
			if replicated := cursor.FromEntry(entry); isStored && replicated.History != (cursor.History{}) {
				known = known.Join(replicated)
			}
		})
	}
	return known, evicted
}

// Answer returns the encoded Batch for a request, or a typed error. After an error, the subscriber's cursor is
// unchanged.
func (feeds *Feeds) Answer(subscription *Subscription, request *Request) ([]byte, error) {
	value, outcome, eventCount, err := feeds.answer(subscription, request)
	feeds.counts.Lock()
	feeds.counts.outcomes[outcome]++
	if err == nil {
		feeds.counts.Answers++
		feeds.counts.Events += uint64(eventCount)
	} else {
		feeds.counts.Rejected++
	}
	feeds.counts.Unlock()
	return value, err
}

// answer decides a request, and reads from endpoints until the answer is complete or the request fails. It also returns
// the outcome and the number of events, for Counts.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (feeds *Feeds) answer(subscription *Subscription, request *Request) (value []byte, outcome cursor.Outcome, eventCount int, err error) {
	log := feeds.logOf(request.Class, request.Group)
	overloaded := func(reason string, retryAfter int64) error {
		return &cursor.OverloadedError{Reason: reason, Feed: log.label, Subscriber: request.Subscriber, RetryAfter: retryAfter}
	}
	subscription.mu.Lock()
	if subscription.busy {
		subscription.mu.Unlock()
		return nil, cursor.Wait, 0, overloaded(cursor.ReasonBusy, 0)
	}
	subscription.busy = true
	continues, generation, position := subscription.log == log && subscription.subscriber == request.Subscriber,
		subscription.generation, subscription.position
	subscription.mu.Unlock()
	defer func() {
		subscription.mu.Lock()
		subscription.busy = false
		subscription.mu.Unlock()
	}()

	decisionRequest := cursor.Request{Connection: cursor.NewConnection, Client: request.After}
	hasCursor := request.After.History != (cursor.History{})
	if continues {
		// The next request on a connection implies that the last answer arrived.
		if decisionRequest.Connection = cursor.SameConnection; !hasCursor {
			decisionRequest.Client = position
		}
	} else {
		feeds.limiter.Lock()
		retryAfter, allowed := feeds.limiter.AllowReconnect(feeds.options.Now(), request.Subscriber)
		feeds.limiter.Unlock()
		if !allowed {
			return nil, cursor.Wait, 0, overloaded(cursor.ReasonReconnects, retryAfter)
		}
	}
	var catchUp *read
	for attempt := 0; ; attempt++ {
		known, evicted := feeds.knownCursor(log, request.Subscriber)
		now := feeds.options.Now()
		log.mu.Lock()
		// A generation that exceeds the head by more than maxGeneration is invalid: no router raises one that far.
		if _, hasBeenRead := log.feed.End(); hasBeenRead && known.Gen > log.feed.Head().At+maxGeneration {
			known = cursor.Cursor{}
		}
		decisionRequest.Known, decisionRequest.IssuedHere, decisionRequest.Evicted = known, known.RaisedBy == feeds.options.Self, evicted
		if continues && known.Generation.Compare(generation) > 0 {
			decisionRequest.Connection = cursor.SupersededConnection
		}
		decision := log.feed.Decide(now, decisionRequest, attempt < maxReads)
		outcome = decision.Outcome
		invariant.Check(outcome != cursor.Impossible, "cursor decision has an impossible outcome", "turn", decisionRequest.Connection,
			"client", request.After, "known", known)
		switch outcome {
		case cursor.Fenced, cursor.Snapshot, cursor.Future, cursor.Impossible:
			snapshotPosition := log.feed.Head()
			log.mu.Unlock()
			return nil, outcome, 0, &cursor.RejectedError{Outcome: outcome,
				Forgotten: outcome == cursor.Snapshot && request.After.History == (cursor.History{}) && known.Gen == 0,
				Feed:      log.label, Subscriber: request.Subscriber, Received: decision.Start, SnapshotPosition: snapshotPosition}
		}
		var pending *read
		available := decision.RequiredRead == cursor.NoRead || decision.RequiredRead == cursor.ReadCatchUp && catchUp.covers(decision.Start)
		switch {
		case available:
		case decision.RequiredRead == cursor.ReadEnd:
			pending = log.headRead
		default:
			pending = log.catchUpReads[decision.Start]
		}
		mustRead := pending == nil && !available
		switch {
		case mustRead && attempt >= maxReads:
			cause := errors.New("members that are behind, or forked off")
			if catchUp != nil && catchUp.err != nil {
				cause = catchUp.err
			}
			log.mu.Unlock()
			return nil, cursor.ReadOtherEndpoint, 0, &cursor.UnreadableError{Feed: log.label,
				RetryAfter: log.settings.PollInterval, Cause: cause}
		case mustRead && decision.RequiredRead == cursor.ReadCatchUp:
			feeds.limiter.Lock()
			retryAfter, allowed := feeds.limiter.AllowCatchUp(now, request.Subscriber)
			feeds.limiter.Unlock()
			if !allowed {
				log.mu.Unlock()
				return nil, cursor.Wait, 0, overloaded(cursor.ReasonCatchUp, retryAfter)
			}
			pending = feeds.startRead(log, decision.Start, false, request.Identity)
		case mustRead:
			after, _ := log.feed.End()
			pending = feeds.startRead(log, after, true, request.Identity)
		}
		if pending == nil { // no read is needed: builds the answer
			var catchUpEvents []cursor.Event
			if decision.RequiredRead == cursor.ReadCatchUp {
				catchUpEvents = catchUp.response.Events
			}
			eventList, next, more := []cursor.Event(nil), decision.Start, false
			if head := log.feed.Head(); outcome != cursor.Wait || decision.Start.Compare(head) <= 0 && decision.Start.At <= head.At {
				eventList, next, more = log.feed.Batch(decision.Start, catchUpEvents)
			}
			head := log.feed.Head()
			log.mu.Unlock()
			batch := &Batch{Events: encodeEvents(eventList), Next: ClientCursor{After: next.At, History: next.String()},
				StartedAtHead: outcome == cursor.BeginAtHead}
			if outcome == cursor.Rewind {
				batch.Rewound = &Rewound{History: decision.Stale.String(), From: decision.Stale.At, To: decision.Start.At}
			}
			if !more {
				batch.RetryAfterMS = log.settings.PollInterval / 1e6
			}
			recorded := cursor.Cursor{Generation: generation, Position: next, Acked: min(decision.Start.At, next.At)}
			switch {
			case outcome == cursor.BeginAtHead:
				recorded.Acked = cursor.NotAcknowledged
			case outcome == cursor.Rewind && !hasCursor:
				// Each answer notifies the client of the rewind until the client confirms the rewind by sending a
				// cursor.
				if recorded.Position, recorded.Acked = decision.Stale, min(known.Acked, decision.Stale.At); known.Gen == 0 {
					recorded.Acked = cursor.NotAcknowledged
				}
			}
			// The client may have received these events: the recorded position does not move back.
			if !hasCursor && recorded.Position.Compare(known.Position) < 0 {
				recorded.Position = known.Position
			}
			newGeneration, allowed := feeds.recordDelivery(subscription, log, request, continues, recorded, next, head)
			if !allowed {
				return nil, cursor.Fenced, 0, &cursor.RejectedError{Outcome: cursor.Fenced, Feed: log.label, Subscriber: request.Subscriber}
			}
			batch.Next.Generation = newGeneration
			value, err = json.Marshal(batch)
			return value, outcome, len(eventList), err
		}
		log.mu.Unlock()
		if err := feeds.awaitRead(log, pending, request); err != nil {
			return nil, cursor.Wait, 0, err
		}
		if pending.err != nil && attempt+1 >= maxReads {
			return nil, cursor.ReadOtherEndpoint, 0, &cursor.UnreadableError{Feed: log.label,
				RetryAfter: max(pending.retryAfter, log.settings.PollInterval), Cause: pending.err}
		}
		if pending.err != nil && pending.retryAfter > 0 { // the error has a retry delay; retrying earlier would add load
			return nil, cursor.ReadOtherEndpoint, 0, &cursor.UnreadableError{Feed: log.label, RetryAfter: pending.retryAfter, Cause: pending.err}
		}
		if catchUp = nil; decision.RequiredRead == cursor.ReadCatchUp {
			catchUp = pending
		}
	}
}

// recordDelivery records the cursor of an answer, and returns its generation. It returns false if the connection has
// been superseded in the meantime, in which case the answer must not be sent.
func (feeds *Feeds) recordDelivery(subscription *Subscription, log *feedLog, request *Request, continues bool, delivered cursor.Cursor,
	next, head cursor.Position) (newGeneration int64, ok bool) {
	generation := delivered.Generation
	known, _ := feeds.knownCursor(log, request.Subscriber)
	if known.Gen > head.At+maxGeneration {
		known = cursor.Cursor{}
	}
	if continues && known.Generation.Compare(generation) > 0 {
		return 0, false
	}
	if !continues {
		clientGeneration := request.Generation
		if clientGeneration > head.At+maxGeneration {
			clientGeneration = 0
		}
		generation = cursor.Generation{Gen: max(known.Gen, clientGeneration, head.At) + 1, RaisedBy: feeds.options.Self}
	}
	delivered.Generation = generation
	record := next.At <= head.At // a cursor ahead of the known head is not recorded: only the client claims it
	current := true
	if record {
		now := feeds.options.Now()
		feeds.withRegistry(request.Subscriber, func(registry *cursor.Registry) {
			stored, isStored := registry.Get(now, log.number, request.Subscriber)
			// Of two concurrent reconnects at this router, the later one prevails.
			if isStored && !continues && stored.Gen >= generation.Gen {
				generation.Gen = stored.Gen + 1
				delivered.Generation = generation
			}
			if isStored && stored.Generation.Compare(generation) > 0 { // superseded since the check above
				current = false
				return
			}
			registry.Put(now, log.number, request.Subscriber, delivered)
		})
		if current && feeds.options.State != nil {
			feeds.options.State.Learn(delivered.Entry(log.label, request.Subscriber))
		}
	}
	if !current {
		return 0, false
	}
	subscription.mu.Lock()
	subscription.log, subscription.subscriber, subscription.generation, subscription.position = log, request.Subscriber, generation, next
	subscription.mu.Unlock()
	return generation.Gen, true
}
