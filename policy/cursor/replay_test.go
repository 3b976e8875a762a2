package cursor_test

import (
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/crdt"
	"lotushook/policy/cursor"
)

// randomAnswer makes a sound answer of a member on one of three lines.
func randomAnswer(driver *replaytest.Driver) *cursor.Response {
	line := cursor.Lineage{{History: cursor.History{Era: 1, ID: 7}}}
	if driver.IntN(3) == 0 {
		line = append(line, cursor.Fork{History: cursor.History{Era: 2, ID: uint32(8 + driver.IntN(2))}, From: 40})
	}
	from := int64(driver.IntN(80))
	answer := &cursor.Response{Lineage: line, From: from, TruncatedUpTo: int64(driver.IntN(5)), Head: from}
	for range driver.IntN(6) {
		answer.Head += int64(1 + driver.IntN(4))
		answer.Events = append(answer.Events, cursor.Event{At: answer.Head, Text: driver.Text()})
	}
	answer.Head = max(answer.Head, answer.TruncatedUpTo)
	return answer
}

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		settings := cursor.DefaultSettings()
		settings.RingEvents, settings.BatchEvents = 12, 3
		driver := replaytest.NewDriver(seed, digest)
		feed, pace := cursor.NewFeed(&settings), cursor.NewLimiter(&settings, driver.Now)
		book := cursor.NewRegistry(crdt.Origin{Name: "r-0", Epoch: 1}, 4)
		point := func() cursor.Position {
			era := uint32(1 + driver.IntN(2))
			id := uint32(7 + driver.IntN(3))
			return cursor.Position{History: cursor.History{Era: era, ID: id}, At: int64(driver.IntN(100))}
		}
		take := func(now int64, end bool) cursor.EndpointState {
			answer := randomAnswer(driver)
			if answer.Check() != nil {
				return 0
			}
			return feed.Apply(now, answer, end)
		}
		batch := func() ([]cursor.Event, cursor.Position, bool) {
			start := point()
			if feed.ClassifyClient(start) != cursor.ClientBehind {
				return nil, start, false
			}
			return feed.Batch(start, nil)
		}
		class := func() cursor.ClientState { return feed.ClassifyClient(point()) }
		put := func(now int64, feed uint32, subscriber string, c cursor.Cursor) bool {
			c.Position = point()
			return book.Put(now, feed, subscriber, c)
		}
		fleet := func(known cursor.Cursor, brought, proven, letGo bool) cursor.ClusterState {
			return cursor.ClassifyCluster(point(), brought, known, proven, letGo)
		}
		driver.Run(800, take, take, take, batch, class, feed.End, feed.Head, feed.Size, pace.AllowCatchUp, pace.AllowReconnect,
			book.Get, put, put, book.Size, fleet, cursor.ChooseOutcome)
	}
	digest.Check(t, "2e22fafc5e4727bc/14757")
}
