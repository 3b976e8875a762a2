package crdt

import (
	"cmp"
	"errors"
	"slices"

	"lotushook/policy/clock"
)

// BroadcasterSettings limit how much is sent, to how many members and how often.
type BroadcasterSettings struct {
	// Maximum size of the entries in one batch.
	MaxBatchBytes int
	// Minimum time between two new batches.
	MinBatchInterval clock.Nanos
	// Minimum time between two new batches while the first queued entry is awaited: a caller waits until another member
	// has acknowledged it.
	MinAwaitedBatchInterval clock.Nanos
	// Maximum number of members that receive one batch. In a larger cluster, successive batches go to different
	// members.
	MaxRecipients int
	// Maximum number of members to which a router forwards an awaited entry that it received from another member.
	MaxForwardRecipients int
	// Delay before a batch without acknowledgement is retried; doubles with each retry.
	InitialRetryDelay clock.Nanos
	// Maximum of the retry delay.
	MaxRetryDelay clock.Nanos
	// Maximum number of times that a batch is sent to a member; after that the member has to fetch the entries.
	MaxAttempts int
	// Maximum number of entries waiting for a batch; when exceeded, the latest entry of the least urgent kind is
	// dropped.
	MaxQueuedEntries int
	// Maximum number of batches with outstanding acknowledgements; when exceeded, the oldest batch is dropped.
	MaxOpenBatches int
}

// DefaultBroadcasterSettings returns the default settings of a router.
func DefaultBroadcasterSettings() BroadcasterSettings {
	const ms = 1e6
	return BroadcasterSettings{MaxBatchBytes: 900, MinBatchInterval: 5 * ms, MinAwaitedBatchInterval: ms / 2,
		MaxRecipients: 16, MaxForwardRecipients: 3, InitialRetryDelay: 10 * ms, MaxRetryDelay: 160 * ms,
		MaxAttempts: 8, MaxQueuedEntries: 1024, MaxOpenBatches: 256}
}

func (settings *BroadcasterSettings) validate() error {
	if settings.MaxBatchBytes < 1 || settings.MinBatchInterval < 0 || settings.MinAwaitedBatchInterval < 0 ||
		settings.MaxRecipients < 1 || settings.MaxForwardRecipients < 0 || settings.InitialRetryDelay <= 0 ||
		settings.MaxRetryDelay < settings.InitialRetryDelay || settings.MaxAttempts < 1 ||
		settings.MaxQueuedEntries < 1 || settings.MaxOpenBatches < 1 {
		return errors.New("broadcaster settings: MaxBatchBytes, MaxRecipients, InitialRetryDelay, MaxAttempts, MaxQueuedEntries and MaxOpenBatches must be above 0, MaxRetryDelay at least InitialRetryDelay, and the others not negative")
	}
	return nil
}

// Delivery is a batch addressed to one member. Its outcome is reported by its batch number.
type Delivery struct {
	To          string
	BatchNumber uint64
	// The first AwaitedCount entries are awaited: a caller waits for their first acknowledgement. A recipient forwards
	// those that are new to it.
	AwaitedCount int
	Entries      []Entry
}

// BroadcastCounts counts the outcomes of entries and batches since the start.
type BroadcastCounts struct {
	Batches uint64 `json:"batches"`
	// Repeated sends of a batch to a member.
	Retries uint64 `json:"again"`
	// Batches that at least one member never acknowledged; that member has to fetch the entries.
	Unacknowledged uint64 `json:"left"`
	// Entries dropped because the queue was full; members that lack them have to fetch them.
	Dropped uint64 `json:"dropped"`
}

// Broadcaster sends new entries to members until each has acknowledged them. It is not safe for concurrent use.
//
// An acknowledgement means that the acknowledging member holds the entries, or entries that supersede them. The first
// acknowledgement of an awaited entry ends the wait, because two routers then hold the entry. Sending to the other
// recipients continues until they acknowledge it too.
type Broadcaster struct {
	settings    BroadcasterSettings
	queue       []queuedEntry
	open        []*batch // batches with outstanding acknowledgements, ordered by number
	lastNumber  uint64
	lastBatchAt clock.Nanos // when the last new batch was built
	rotation    int
	counts      BroadcastCounts
}

type queuedEntry struct {
	Entry
	queuedAt   clock.Nanos
	waitNumber uint64 // returned by Acknowledge at the first acknowledgement; 0: none is awaited
	sender     string // the member that sent the entry; empty if this router learned it
}

type batch struct {
	number         uint64
	entries        []queuedEntry
	awaitedCount   int
	unacknowledged []string // recipients that have not acknowledged the batch
	retryAt        clock.Nanos
	attempts       int
}

// NewBroadcaster returns a broadcaster with an empty queue.
func NewBroadcaster(settings BroadcasterSettings) (*Broadcaster, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return &Broadcaster{settings: settings, lastBatchAt: -settings.MinBatchInterval}, nil
}

// Add queues an entry that this router has just learned. Acknowledge returns waitNumber at the first acknowledgement of
// the entry; with waitNumber 0 no acknowledgement is awaited.
func (bcast *Broadcaster) Add(now clock.Nanos, entry Entry, waitNumber uint64) {
	bcast.enqueue(queuedEntry{Entry: entry, queuedAt: now, waitNumber: waitNumber})
}

// Forward queues an awaited entry that this router received from a member. Forwarding is necessary because the origin
// may fail before it has sent the entry to the other members.
func (bcast *Broadcaster) Forward(now clock.Nanos, entry Entry, sender string) {
	bcast.enqueue(queuedEntry{Entry: entry, queuedAt: now, sender: sender})
}

func (bcast *Broadcaster) enqueue(added queuedEntry) {
	index, _ := slices.BinarySearchFunc(bcast.queue, added, func(existing, target queuedEntry) int { return cmp.Or(existing.compareUrgency(&target), -1) })
	bcast.queue = slices.Insert(bcast.queue, index, added)
	if len(bcast.queue) > bcast.settings.MaxQueuedEntries {
		bcast.queue = bcast.queue[:bcast.settings.MaxQueuedEntries]
		bcast.counts.Dropped++
	}
}

// compareUrgency orders awaited entries first, then forwarded entries, then the other entries by kind. Entries of equal
// urgency keep their order of arrival.
func (queued *queuedEntry) compareUrgency(other *queuedEntry) int {
	urgency := func(queued *queuedEntry) int {
		switch {
		case queued.waitNumber != 0:
			return 0
		case queued.sender != "":
			return 1
		}
		return 1 + int(queued.Kind)
	}
	return cmp.Compare(urgency(queued), urgency(other))
}

// Deliveries returns the batches that are due, with their recipients. members lists the members that are present, in a
// stable order. Acknowledgements from members that are no longer present are not awaited.
func (bcast *Broadcaster) Deliveries(now clock.Nanos, members []string) (deliveries []Delivery) {
	bcast.open = slices.DeleteFunc(bcast.open, func(batch *batch) bool {
		if now < batch.retryAt {
			return false
		}
		batch.unacknowledged = slices.DeleteFunc(batch.unacknowledged, func(member string) bool { return !slices.Contains(members, member) })
		if len(batch.unacknowledged) == 0 {
			return true
		}
		if batch.attempts >= bcast.settings.MaxAttempts {
			bcast.counts.Unacknowledged++
			return true
		}
		bcast.counts.Retries += uint64(len(batch.unacknowledged))
		deliveries = append(deliveries, bcast.send(now, batch)...)
		return false
	})
	for len(bcast.queue) > 0 && len(members) > 0 {
		interval := bcast.settings.MinBatchInterval
		if bcast.queue[0].waitNumber != 0 {
			interval = bcast.settings.MinAwaitedBatchInterval
		}
		if now-bcast.lastBatchAt < interval {
			break
		}
		batch := bcast.newBatch(now, members)
		if bcast.open = append(bcast.open, batch); len(bcast.open) > bcast.settings.MaxOpenBatches {
			bcast.open = slices.Delete(bcast.open, 0, 1)
			bcast.counts.Unacknowledged++
		}
		deliveries = append(deliveries, bcast.send(now, batch)...)
	}
	return deliveries
}

// newBatch removes from the queue as many entries as fit into one batch. All of them come from one source: either this
// router or one other member.
func (bcast *Broadcaster) newBatch(now clock.Nanos, members []string) *batch {
	bcast.lastNumber++
	bcast.counts.Batches++
	bcast.lastBatchAt = now
	batch := &batch{number: bcast.lastNumber}
	remainingBytes, sender := bcast.settings.MaxBatchBytes, bcast.queue[0].sender
	bcast.queue = slices.DeleteFunc(bcast.queue, func(queued queuedEntry) bool {
		size := queued.Size()
		if queued.sender != sender || size > remainingBytes && len(batch.entries) > 0 {
			return false
		}
		remainingBytes -= size
		if queued.waitNumber != 0 {
			batch.awaitedCount++
		}
		batch.entries = append(batch.entries, queued)
		return true
	})
	maxRecipients := bcast.settings.MaxRecipients
	if sender != "" {
		maxRecipients = bcast.settings.MaxForwardRecipients
	}
	for range members {
		bcast.rotation = (bcast.rotation + 1) % len(members)
		if member := members[bcast.rotation]; member != sender && len(batch.unacknowledged) < maxRecipients {
			batch.unacknowledged = append(batch.unacknowledged, member)
		}
	}
	return batch
}

func (bcast *Broadcaster) send(now clock.Nanos, batch *batch) (deliveries []Delivery) {
	batch.retryAt = now + min(bcast.settings.InitialRetryDelay<<min(batch.attempts, 20), bcast.settings.MaxRetryDelay)
	batch.attempts++
	entries := make([]Entry, len(batch.entries))
	for i, queued := range batch.entries {
		entries[i] = queued.Entry
		entries[i].Age += max(0, now-queued.queuedAt)
	}
	for _, member := range batch.unacknowledged {
		deliveries = append(deliveries, Delivery{member, batch.number, batch.awaitedCount, entries})
	}
	return deliveries
}

// Acknowledge processes a member's acknowledgement: the member holds all entries of the batch except those at the
// rejected indexes. It returns the wait numbers of the entries that are acknowledged for the first time.
func (bcast *Broadcaster) Acknowledge(member string, batchNumber uint64, rejected []uint8) (ended []uint64) {
	index, found := slices.BinarySearchFunc(bcast.open, batchNumber, func(batch *batch, number uint64) int { return cmp.Compare(batch.number, number) })
	if !found {
		return nil
	}
	batch := bcast.open[index]
	i := slices.Index(batch.unacknowledged, member)
	if i < 0 {
		return nil
	}
	batch.unacknowledged = slices.Delete(batch.unacknowledged, i, i+1)
	for i := range batch.entries {
		if queued := &batch.entries[i]; queued.waitNumber != 0 && !slices.Contains(rejected, uint8(i)) {
			ended = append(ended, queued.waitNumber)
			queued.waitNumber = 0
		}
	}
	if len(batch.unacknowledged) == 0 {
		bcast.open = slices.Delete(bcast.open, index, index+1)
	}
	return ended
}

// Due returns the earliest time at which Deliveries may have something to send; ok is false if there is nothing to
// send.
func (bcast *Broadcaster) Due() (at clock.Nanos, ok bool) {
	if len(bcast.queue) > 0 {
		at, ok = bcast.lastBatchAt+bcast.settings.MinBatchInterval, true
		if bcast.queue[0].waitNumber != 0 {
			at = bcast.lastBatchAt + bcast.settings.MinAwaitedBatchInterval
		}
	}
	for _, batch := range bcast.open {
		if !ok || batch.retryAt < at {
			at, ok = batch.retryAt, true
		}
	}
	return at, ok
}

// Counts returns the counts since the start.
func (bcast *Broadcaster) Counts() BroadcastCounts { return bcast.counts }

// Size returns the number of queued entries and of batches with outstanding acknowledgements.
func (bcast *Broadcaster) Size() (entries, batches int) { return len(bcast.queue), len(bcast.open) }
