package changefeed

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lotushook/internal/operr"
	"lotushook/internal/pgwire"
	"lotushook/policy/crdt"
	"lotushook/policy/cursor"
)

var firstHistory = cursor.History{Era: 1, ID: 7}

// endpoint is a data server with a log. It counts the reads of the log.
type endpoint struct {
	mu        sync.Mutex
	lineage   cursor.Lineage
	events    []cursor.Event
	readCount int
	readError error
	resume    chan struct{} // if not nil, reads wait until it is closed
}

func (endpoint *endpoint) read(request ReadRequest) ReadResult {
	if endpoint.resume != nil {
		<-endpoint.resume
	}
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	if endpoint.readCount++; endpoint.readError != nil {
		return ReadResult{Err: endpoint.readError}
	}
	response := &cursor.Response{Lineage: endpoint.lineage, From: request.After.At}
	if forkEnd, inLineage := endpoint.lineage.End(request.After.History); inLineage {
		response.From = min(request.After.At, forkEnd)
	} else if omitted := len(endpoint.events) - request.MaxEvents; omitted > 0 {
		response.From = endpoint.events[omitted-1].At
	}
	for _, event := range endpoint.events {
		if response.Head = event.At; event.At > response.From && len(response.Events) < request.MaxEvents {
			response.Events = append(response.Events, event)
		}
	}
	response.More = len(response.Events) > 0 && response.Events[len(response.Events)-1].At < response.Head
	encoded, err := EncodeResponse(response)
	return ReadResult{Value: encoded, Err: err}
}

func (endpoint *endpoint) commit(at int64) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	endpoint.events = append(endpoint.events, cursor.Event{At: at, Text: fmt.Sprint("e", at)})
}

// newFeeds returns Feeds that read from one endpoint, and their clock, which the test advances.
func newFeeds(tb testing.TB, endpoint *endpoint, adjust func(*cursor.Settings)) (*Feeds, *atomic.Int64) {
	tb.Helper()
	now := &atomic.Int64{}
	now.Store(1e9)
	settings := cursor.DefaultSettings()
	if adjust != nil {
		adjust(&settings)
	}
	feeds, err := New(Options{Settings: settings, Classes: map[string]cursor.Settings{"f": settings}, MaxWaiting: 20_000,
		ReadTimeout: time.Second, Self: crdt.Origin{Name: "r", Boot: 1}, Now: now.Load, Read: endpoint.read})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(feeds.Close)
	return feeds, now
}

func sendRequest(feeds *Feeds, subscription *Subscription, subscriber string, after cursor.Position) (*Batch, error) {
	encoded, err := feeds.Answer(subscription, &Request{Class: "f", Group: 1, Subscriber: subscriber, After: after, Deadline: feeds.options.Now() + 20e9})
	if err != nil {
		return nil, err
	}
	return ParseBatch(encoded)
}

// After a router failure, 10,000 subscribers reconnect to this router, in eight goroutines. Some are asked to retry later,
// and do so. Each receives the same events exactly once, and the endpoint is read at most once per quarter of a second.
//
//nolint:gocognit,funlen // one scenario, step by step
func TestMassReconnect(t *testing.T) {
	endpoint := &endpoint{lineage: cursor.Lineage{{History: firstHistory}}}
	for at := int64(1); at <= 50; at++ {
		endpoint.commit(at)
	}
	feeds, now := newFeeds(t, endpoint, nil)
	var delayed, answered atomic.Int64
	type reconnect struct {
		subscriber int
		position   int64
		dueAt      int64
	}
	pending := make([]reconnect, 10_000)
	for i := range pending {
		pending[i] = reconnect{subscriber: i, position: int64(i % 50)}
	}
	startedAt := now.Load()
	for round := 0; len(pending) > 0; round++ {
		if round > 1000 {
			t.Fatalf("%d subscribers have no answer yet", len(pending))
		}
		var mu sync.Mutex
		var remaining []reconnect
		var workers sync.WaitGroup
		for chunk := range slices.Chunk(pending, max(1, (len(pending)+7)/8)) {
			workers.Go(func() {
				for _, client := range chunk {
					if client.dueAt > now.Load() {
						mu.Lock()
						remaining = append(remaining, client)
						mu.Unlock()
						continue
					}
					batch, err := sendRequest(feeds, &Subscription{}, fmt.Sprint("s", client.subscriber), cursor.Position{History: firstHistory, At: client.position})
					var overloaded *cursor.OverloadedError
					if errors.As(err, &overloaded) && overloaded.Reason == cursor.ReasonReconnects &&
						overloaded.RetryAfter > 0 && overloaded.RetryAfter <= feeds.options.Settings.MaxRetryAfter {
						delayed.Add(1)
						client.dueAt = now.Load() + overloaded.RetryAfter
						mu.Lock()
						remaining = append(remaining, client)
						mu.Unlock()
						continue
					}
					if err != nil {
						t.Error(err)
						return
					}
					for i, event := range batch.Events {
						if event.At != client.position+int64(i)+1 {
							t.Errorf("%d: event %d at %d", client.subscriber, i, event.At)
						}
					}
					if answered.Add(1); batch.Next.After != 50 || batch.Rewound != nil || batch.StartedAtHead {
						t.Errorf("%d: %+v", client.subscriber, batch)
					}
				}
			})
		}
		workers.Wait()
		pending = remaining
		now.Add(4e8)
	}
	elapsedSeconds := float64(now.Load()-startedAt) / 1e9
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	t.Logf("%d answers in %.1f s of the router's clock, %d requests asked to retry later, %d reads", answered.Load(), elapsedSeconds, delayed.Load(), endpoint.readCount)
	if answered.Load() != 10_000 || float64(endpoint.readCount) > 2+elapsedSeconds/0.25 || delayed.Load() == 0 {
		t.Errorf("%d answers, %d reads", answered.Load(), endpoint.readCount)
	}
	if counts := feeds.Counts(); counts.CatchUpReads != 0 || counts.Cursors != 10_000 {
		t.Errorf("%+v", counts)
	}
}

// Subscribers behind the ring of recent events share reads of the same range. These reads have a limited rate: a request
// over it is asked to retry later, and then continues from the same position.
func TestSharedCatchUp(t *testing.T) {
	endpoint := &endpoint{lineage: cursor.Lineage{{History: firstHistory}}}
	for at := int64(1); at <= 100; at++ {
		endpoint.commit(at)
	}
	feeds, now := newFeeds(t, endpoint, func(s *cursor.Settings) { s.RingEvents, s.BatchEvents, s.CatchUpReadsPerSecond = 10, 20, 2 })
	if batch, err := sendRequest(feeds, &Subscription{}, "warm", cursor.Position{}); err != nil || !batch.StartedAtHead {
		t.Fatal(batch, err)
	}
	for batch, err := sendRequest(feeds, &Subscription{}, "near", cursor.Position{History: firstHistory, At: 95}); err != nil || len(batch.Events) != 5; {
		t.Fatal(batch, err)
	}
	endpoint.resume = make(chan struct{})
	readsBefore := endpoint.readCount
	var clients sync.WaitGroup
	for i := range 5 { // the same range: one read
		clients.Go(func() {
			if batch, err := sendRequest(feeds, &Subscription{}, fmt.Sprint("s", i), cursor.Position{History: firstHistory, At: 30}); err != nil || len(batch.Events) != 20 || batch.Events[0].At != 31 || batch.RetryAfterMS != 0 {
				t.Error(batch, err)
			}
		})
	}
	for feeds.waiting.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	close(endpoint.resume)
	clients.Wait()
	if endpoint.readCount != readsBefore+1 {
		t.Errorf("%d reads of one range, expected 1", endpoint.readCount-readsBefore)
	}
	subscription, position, received, delayed := &Subscription{}, cursor.Position{History: firstHistory}, []int64{}, 0
	for position.At < 100 {
		batch, err := sendRequest(feeds, subscription, "slow", position)
		var overloaded *cursor.OverloadedError
		if errors.As(err, &overloaded) && overloaded.Reason == cursor.ReasonCatchUp {
			delayed++
			now.Add(overloaded.RetryAfter)
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, event := range batch.Events {
			received = append(received, event.At)
		}
		position.At = batch.Next.After
	}
	if len(received) != 100 || !slices.IsSorted(received) || delayed == 0 {
		t.Errorf("%d events, %d requests asked to retry later", len(received), delayed)
	}
}

// Of two connections of one subscriber at one router, the later one prevails. After a failover to another history, the
// subscriber is notified of the rewind. Events of an endpoint on a forked history are ignored. Each error has a kind and a
// hint.
func TestFenceAndFork(t *testing.T) {
	endpoint := &endpoint{lineage: cursor.Lineage{{History: firstHistory}}}
	endpoint.commit(10)
	endpoint.commit(20)
	feeds, now := newFeeds(t, endpoint, nil)
	first, second := &Subscription{}, &Subscription{}
	firstBatch, err := sendRequest(feeds, first, "x", cursor.Position{History: firstHistory, At: 10})
	if err != nil || len(firstBatch.Events) != 1 {
		t.Fatal(firstBatch, err)
	}
	batch, err := sendRequest(feeds, second, "x", cursor.Position{History: firstHistory, At: 20})
	if err != nil || batch.Next.Generation <= firstBatch.Next.Generation || len(batch.Events) != 0 {
		t.Fatal(batch, err)
	}
	_, err = sendRequest(feeds, first, "x", cursor.Position{History: firstHistory, At: 20})
	if typed := operr.Find(err); typed == nil || typed.Kind() != "cursor-fenced" || !strings.Contains(typed.Hint(), "connect again") {
		t.Error(err)
	}
	secondHistory := cursor.History{Era: 2, ID: 1}
	endpoint.mu.Lock()
	endpoint.lineage, endpoint.events = cursor.Lineage{{History: firstHistory}, {History: secondHistory, From: 10}}, []cursor.Event{{At: 10, Text: "e10"}, {At: 20, Text: "other"}}
	endpoint.mu.Unlock()
	now.Add(1e9)
	batch, err = sendRequest(feeds, second, "x", cursor.Position{History: firstHistory, At: 20})
	if err != nil || batch.Rewound == nil || batch.Rewound.To != 10 || len(batch.Events) != 1 || batch.Events[0].Text != "other" || batch.Next.History != secondHistory.String() {
		t.Errorf("%+v, %v", batch, err)
	}
	endpoint.mu.Lock()
	endpoint.lineage, endpoint.events = cursor.Lineage{{History: firstHistory}}, []cursor.Event{{At: 10, Text: "e10"}, {At: 20, Text: "e20"}, {At: 30, Text: "forked"}}
	endpoint.mu.Unlock()
	now.Add(1e9)
	if batch, err = sendRequest(feeds, second, "x", cursor.Position{History: secondHistory, At: 20}); err == nil && len(batch.Events) > 0 {
		t.Errorf("received events of a forked endpoint: %+v", batch)
	}
	endpoint.readError = errors.New("no member")
	now.Add(1e9)
	_, err = sendRequest(feeds, second, "x", cursor.Position{History: secondHistory, At: 20})
	if typed := operr.Find(err); typed == nil || typed.Kind() != "feed-unread" || !errors.Is(err, endpoint.readError) {
		t.Error(err)
	}
	for _, typedError := range []operr.Error{&cursor.RejectedError{Outcome: cursor.Future}, &cursor.RejectedError{Outcome: cursor.Snapshot}, &cursor.RejectedError{Outcome: cursor.Snapshot, Forgotten: true}, &cursor.OverloadedError{Reason: cursor.ReasonWaiting},
		&cursor.OverloadedError{Reason: cursor.ReasonBusy}, &cursor.OverloadedError{Reason: cursor.ReasonCatchUp}, &cursor.OverloadedError{Reason: cursor.ReasonReconnects}} {
		if typedError.Kind() == "" || typedError.Hint() == "" || strings.Contains(typedError.Error(), "%!") {
			t.Errorf("%T: %s, %s, %s", typedError, typedError.Kind(), typedError.Hint(), typedError.Error())
		}
	}
}

// For any cursor fields that a client sends, Answer returns a typed error, or events in order after the client's position
// and a valid generation, without a panic.
func FuzzCursor(f *testing.F) {
	for _, fields := range []string{"after=10,history=1-00000007", "after=25,history=1-00000007,gen=5", "after=20,history=2-00000001,gen=9007199254740992", "after=0,history=9-ffffffff", "after=8796093022208,history=2-00000001",
		"history=1-00000007", "after=5", "after=-1,history=x", "gen=-1", "after=1,history=01-00000007", "after=1,history=0-00000000"} {
		f.Add(fields)
	}
	secondHistory := cursor.History{Era: 2, ID: 1}
	endpoint := &endpoint{lineage: cursor.Lineage{{History: firstHistory}, {History: secondHistory, From: 20}}, events: []cursor.Event{{At: 10, Text: "a"}, {At: 20, Text: "b"}, {At: 30, Text: "c"}}}
	feeds, now := newFeeds(f, endpoint, nil)
	f.Fuzz(func(t *testing.T, fields string) {
		now.Add(1e9)
		parsed, err := pgwire.ParseRequest("/* id=1,c=f,d=1,cluster=1," + fields + " */ SELECT feed('s')")
		if err != nil || parsed.Cluster != 1 || parsed.Class != "f" {
			return
		}
		request := &Request{Class: "f", Group: 1, Subscriber: parsed.Session, Generation: parsed.Generation, Deadline: now.Load() + 20e9}
		if history, err := cursor.ParseHistory(parsed.History); err == nil && parsed.HasAfter {
			request.After = cursor.Position{History: history, At: parsed.After}
		} else if parsed.History != "" && err == nil {
			return
		}
		subscription := &Subscription{}
		encoded, err := feeds.Answer(subscription, request)
		if err != nil {
			if operr.Find(err) == nil {
				t.Fatalf("%v is not a typed error", err)
			}
			return
		}
		batch, err := ParseBatch(encoded)
		if err != nil {
			t.Fatal(err)
		}
		lastPosition := request.After.At
		if batch.Rewound != nil {
			lastPosition = batch.Rewound.To
		}
		for _, event := range batch.Events {
			if request.After.History != (cursor.History{}) && event.At <= lastPosition {
				t.Fatalf("%d after %d", event.At, lastPosition)
			}
			lastPosition = event.At
		}
		if batch.Next.Generation <= 0 || batch.Next.Generation > 1<<54 {
			t.Fatalf("generation %d", batch.Next.Generation)
		}
	})
}
