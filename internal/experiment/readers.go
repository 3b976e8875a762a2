package experiment

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lotushook/internal/changefeed"
	"lotushook/internal/emulator"
	"lotushook/internal/pgwire"
	"lotushook/policy/cursor"
)

// feedRecord is what the subscribers of one Readers entry received.
type feedRecord struct {
	mu          sync.Mutex
	subscribers []*subscriber
	logs        []groupLog              // by group, taken at the end
	resumeTimes *hdrhistogram.Histogram // µs from the loss of a connection to the next batch
	counts      struct{ answers, events, rewound, revoked, snapshots, fenced, began, errors, unfenced, future int }
}

// groupLog is the log of a group according to its primary.
type groupLog struct {
	lineage cursor.Lineage
	events  []cursor.Event
}

// subscriberRecord is what a subscriber has received and not been told to discard.
type subscriberRecord struct {
	group      int
	startAfter int64 // events up to this position are not expected
	events     []cursor.Event
	last       cursor.Position
}

// apply adds a batch to the record and returns how many events the batch has revoked.
func (record *subscriberRecord) apply(batch *changefeed.Batch) (revoked int, err error) {
	history, err := cursor.ParseHistory(batch.Next.History)
	if err != nil {
		return 0, err
	}
	if batch.Rewound != nil {
		record.startAfter = min(record.startAfter, batch.Rewound.To) // the subscriber may have begun at an event that is lost now
		index := slices.IndexFunc(record.events, func(event cursor.Event) bool { return event.At > batch.Rewound.To })
		if index >= 0 {
			revoked = len(record.events) - index
			record.events = record.events[:index]
		}
	}
	if batch.StartedAtHead {
		record.startAfter, record.events = batch.Next.After, nil
	}
	if len(batch.Events) > 0 { // without a cursor, a router that knows the subscriber may resume it before the position at which another router began
		record.startAfter = min(record.startAfter, batch.Events[0].At-1)
	}
	for _, event := range batch.Events {
		record.events = append(record.events, cursor.Event(event))
	}
	record.last = cursor.Position{History: history, At: batch.Next.After}
	return revoked, nil
}

// feedErrors counts the differences between a record and the log.
type feedErrors struct{ gaps, duplicates, phantoms, behind int }

// differences compares a record with the log. A record that has not reached the newest history of the log counts only
// as behind, because it may contain events that its subscriber will yet be told to discard.
func (record *subscriberRecord) differences(log *groupLog) (errors feedErrors) {
	if record.last.History != log.lineage.Newest() {
		errors.behind++
		return errors
	}
	received := map[int64]string{}
	for _, event := range record.events {
		if _, duplicate := received[event.At]; duplicate {
			errors.duplicates++
		}
		received[event.At] = event.Text
	}
	if !slices.IsSortedFunc(record.events, func(x, y cursor.Event) int { return cmp.Compare(x.At, y.At) }) && errors.duplicates == 0 {
		errors.duplicates++ // events out of order count as a duplicate
	}
	for _, event := range log.events {
		if event.At <= record.startAfter || event.At > record.last.At {
			continue
		}
		text, ok := received[event.At]
		if !ok || text != event.Text {
			errors.gaps++
		}
		if ok && text == event.Text {
			delete(received, event.At)
		}
	}
	errors.phantoms = len(received)
	return errors
}

// subscriber is a client that reads a change feed.
type subscriber struct {
	record subscriberRecord
	*armRun
	settings     *Readers
	name         string
	conn         *clientConn
	place        changefeed.ClientCursor
	failingSince time.Time // when it lost its connection or was first not answered; zero: it is being answered
	requestCount int
}

// follow runs the subscribers until the context ends.
func (run *armRun) follow(ctx context.Context, settings Readers, stats *partStats, feed *feedRecord) {
	if sleep(ctx, time.Until(run.from.Add(seconds(settings.FromS)))) != nil && settings.FromS > 0 {
		return
	}
	feed.resumeTimes = hdrhistogram.New(1, 60e6, 3)
	groups := cmp.Or(settings.Groups, run.experiment.Fleet.Groups)
	var group sync.WaitGroup
	for number := range settings.Subscribers {
		subscriber := &subscriber{armRun: run, settings: &settings, name: fmt.Sprintf("%s-%d", settings.Name, number), record: subscriberRecord{group: number % groups}}
		feed.subscribers = append(feed.subscribers, subscriber)
		rng := rand.New(rand.NewPCG(run.options.Seed, uint64(number)))
		group.Go(func() {
			defer func() {
				if subscriber.conn != nil {
					subscriber.conn.conn.Close()
				}
			}()
			_ = sleep(ctx, time.Duration(rng.Float64()*float64(time.Second)))
			for ctx.Err() == nil {
				_ = sleep(ctx, subscriber.poll(ctx, stats, feed, rng))
			}
		})
	}
	group.Wait()
}

// poll requests the next batch and returns how long the subscriber pauses after it.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (subscriber *subscriber) poll(ctx context.Context, stats *partStats, feed *feedRecord, rng *rand.Rand) time.Duration {
	settings := subscriber.experiment.Classes[subscriber.settings.Class]
	startedAt := time.Now()
	deadline := startedAt.Add(milliseconds(settings.TimeoutMS))
	previous := subscriber.conn
	if subscriber.requestCount++; subscriber.settings.Reconnect && subscriber.requestCount%8 == 0 { // a second connection as the same subscriber, while the first one is still open
		subscriber.conn = nil
	}
	place := subscriber.place
	if subscriber.settings.FutureShare > 0 && rng.Float64() < subscriber.settings.FutureShare {
		place.After += 3600e3
	}
	result := subscriber.query(place, deadline)
	if ctx.Err() != nil {
		return 0
	}
	if previous != nil && subscriber.conn != previous {
		if subscriber.settings.Reconnect && result.outcome == served { // the first connection must be fenced once its router knows of the second
			current := subscriber.conn
			subscriber.conn = previous
			previousResult := subscriber.query(subscriber.place, time.Now().Add(milliseconds(settings.TimeoutMS)))
			subscriber.conn = current
			feed.mu.Lock()
			if strings.HasPrefix(previousResult.text, "cursor-fenced") {
				feed.counts.fenced++
			} else if previousResult.outcome == served {
				feed.counts.unfenced++
			}
			feed.mu.Unlock()
		}
		previous.conn.Close()
	}
	stats.done(subscriber.settings.Class, settings, startedAt, result.outcome, result.text)
	feed.mu.Lock()
	defer feed.mu.Unlock()
	switch result.outcome {
	case served:
		batch, err := changefeed.ParseBatch([]byte(result.value))
		if err != nil {
			break
		}
		if !subscriber.failingSince.IsZero() {
			_ = feed.resumeTimes.RecordValue(max(1, time.Since(subscriber.failingSince).Microseconds()))
			subscriber.failingSince = time.Time{}
		}
		revoked, err := subscriber.record.apply(batch)
		if err != nil {
			break
		}
		feed.counts.answers++
		feed.counts.events += len(batch.Events)
		feed.counts.revoked += revoked
		if batch.Rewound != nil {
			feed.counts.rewound++
		}
		if batch.StartedAtHead {
			feed.counts.began++
		}
		subscriber.place = batch.Next
		return milliseconds(float64(batch.RetryAfterMS))
	case failed:
		if place != subscriber.place && strings.HasPrefix(result.text, "cursor-future") {
			feed.counts.future++
			return 0
		}
		if position, history, found := parseResumePoint(result.text); found {
			feed.counts.snapshots++
			subscriber.record.startAfter, subscriber.record.events, subscriber.record.last, subscriber.place = position, nil, cursor.Position{At: position}, changefeed.ClientCursor{After: position, History: history}
			return 0
		}
	}
	if subscriber.failingSince.IsZero() {
		subscriber.failingSince = startedAt
	}
	if result.outcome != rejected && subscriber.conn != nil {
		subscriber.conn.conn.Close()
		subscriber.conn = nil
	}
	feed.counts.errors++
	return max(result.retryAfter, 50*time.Millisecond)
}

// parseResumePoint reads from an error message the position and history to resume with.
func parseResumePoint(text string) (position int64, history string, ok bool) {
	_, fields, found := strings.Cut(text, "resume with after=")
	if !found {
		return 0, "", false
	}
	count, err := fmt.Sscanf(strings.Replace(fields, ",history=", " ", 1), "%d %s", &position, &history)
	return position, history, count == 2 && err == nil
}

// query sends one request, on a new connection if none is open.
func (subscriber *subscriber) query(place changefeed.ClientCursor, deadline time.Time) answer {
	for dials := 0; dials < 2; dials++ {
		reused := subscriber.conn != nil
		if !reused {
			addr, err := subscriber.loadBalancer.Pick(time.Now())
			if err != nil {
				return answer{outcome: unreachable}
			}
			if subscriber.conn, err = dial(addr, subscriber.settings.Address, "worker", deadline); err != nil {
				subscriber.conn = nil
				continue
			}
		}
		var text strings.Builder
		fmt.Fprintf(&text, "/* id=%s-%d,c=%s,d=%d,cluster=%d", subscriber.name, subscriber.requestCount, subscriber.settings.Class, max(1, time.Until(deadline).Milliseconds()), subscriber.record.group+1)
		if subscriber.settings.SendCursor && place.History != "" {
			fmt.Fprintf(&text, ",after=%d,history=%s,gen=%d", place.After, place.History, place.Generation)
		}
		fmt.Fprintf(&text, " */ SELECT feed('%s')", subscriber.name)
		result, err := subscriber.conn.query(pgwire.AppendQuery(nil, text.String()), deadline)
		if err == nil {
			return result
		}
		subscriber.conn.conn.Close()
		if subscriber.conn = nil; subscriber.failingSince.IsZero() { // measured until the next batch, whatever errors come before it
			subscriber.failingSince = time.Now()
		}
		if !reused {
			return answer{outcome: failureOutcome(err)}
		}
	}
	return answer{outcome: unreachable}
}

// saveLogs saves the logs of the groups while the data servers are running.
func (feed *feedRecord) saveLogs(servers *emulator.Running) {
	for _, group := range servers.Groups {
		lineage, events := group.Log()
		feed.logs = append(feed.logs, groupLog{lineage, events})
	}
}

// audit compares all records with the logs and adds the resulting metrics.
func (feed *feedRecord) audit(metrics map[string]float64) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	var total feedErrors
	logged, silent := 0, 0
	for _, log := range feed.logs {
		logged += len(log.events)
	}
	for _, subscriber := range feed.subscribers {
		if subscriber.record.last.At == 0 {
			silent++
		}
		errors := subscriber.record.differences(&feed.logs[subscriber.record.group])
		total.gaps, total.duplicates, total.phantoms, total.behind = total.gaps+errors.gaps, total.duplicates+errors.duplicates, total.phantoms+errors.phantoms, total.behind+errors.behind
	}
	metrics["gaps"], metrics["duplicates"], metrics["phantoms"], metrics["left_behind"] = float64(total.gaps), float64(total.duplicates), float64(total.phantoms), float64(total.behind)
	metrics["logged"], metrics["silent"] = float64(logged), float64(silent)
	counts := &feed.counts
	for name, count := range map[string]int{"answers": counts.answers, "events": counts.events, "rewound": counts.rewound, "voided": counts.revoked, "snapshots": counts.snapshots, "fenced": counts.fenced, "zombie_answers": counts.unfenced,
		"began": counts.began, "come_again": counts.errors, "future_refused": counts.future} {
		metrics[name] = float64(count)
	}
	metrics["resumed"], metrics["resume_p99_ms"] = float64(feed.resumeTimes.TotalCount()), float64(feed.resumeTimes.ValueAtQuantile(99))/1e3
}
