package cursor_test

import (
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/crdt"
	"lotushook/policy/cursor"
)

// randomResponse returns a valid response of an endpoint on one of three lineages.
func randomResponse(driver *replaytest.Driver) *cursor.Response {
	lineage := cursor.Lineage{{History: cursor.History{Era: 1, ID: 7}}}
	if driver.IntN(3) == 0 {
		lineage = append(lineage, cursor.Fork{History: cursor.History{Era: 2, ID: uint32(8 + driver.IntN(2))}, From: 40})
	}
	from := int64(driver.IntN(80))
	response := &cursor.Response{Lineage: lineage, From: from, TruncatedUpTo: int64(driver.IntN(5)), Head: from}
	for range driver.IntN(6) {
		response.Head += int64(1 + driver.IntN(4))
		response.Events = append(response.Events, cursor.Event{At: response.Head, Text: driver.Text()})
	}
	response.Head = max(response.Head, response.TruncatedUpTo)
	return response
}

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		settings := cursor.DefaultSettings()
		settings.RingEvents, settings.BatchEvents = 12, 3
		driver := replaytest.NewDriver(seed, digest)
		feed, limiter := cursor.NewFeed(&settings), cursor.NewLimiter(&settings, driver.Now)
		registry := cursor.NewRegistry(crdt.Origin{Name: "r-0", Boot: 1}, 4)
		position := func() cursor.Position {
			era := uint32(1 + driver.IntN(2))
			id := uint32(7 + driver.IntN(3))
			return cursor.Position{History: cursor.History{Era: era, ID: id}, At: int64(driver.IntN(100))}
		}
		apply := func(now int64, end bool) cursor.EndpointState {
			response := randomResponse(driver)
			if response.Check() != nil {
				return 0
			}
			return feed.Apply(now, response, end)
		}
		batch := func() ([]cursor.Event, cursor.Position, bool) {
			start := position()
			if feed.ClassifyClient(start) != cursor.ClientBehind {
				return nil, start, false
			}
			return feed.Batch(start, nil)
		}
		classifyClient := func() cursor.ClientState { return feed.ClassifyClient(position()) }
		put := func(now int64, feed uint32, subscriber string, known cursor.Cursor) bool {
			known.Position = position()
			return registry.Put(now, feed, subscriber, known)
		}
		clusterState := func(known cursor.Cursor, hasCursor, confirmed, evicted bool) cursor.ClusterState {
			return cursor.ClassifyCluster(position(), hasCursor, known, confirmed, evicted)
		}
		driver.Run(800, apply, apply, apply, batch, classifyClient, feed.End, feed.Head, feed.Size, limiter.AllowCatchUp, limiter.AllowReconnect,
			registry.Get, put, put, registry.Size, clusterState, cursor.ChooseOutcome)
	}
	digest.Check(t, "2e22fafc5e4727bc/14757")
}
