package persistence

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// Puts records and writes batches, some of which fail, in a random order and checks the queue's invariants: the queued
// bytes stay within their bound, fsyncs stay within their rate, the newest record of each key is eventually written or
// was counted as dropped, no older record overwrites a newer one, and each record is written with its correct age.
//
//nolint:gocognit,funlen // one random history with its checks in order
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{QueueBytes: 1 << 10, FsyncsPerSecond: 4, RetryBackoff: 1e9, MaxRetryBackoff: 8e9}
		queue, err := New(settings)
		if err != nil {
			t.Fatal(err)
		}
		now := clock.Nanos(1e15)
		newest, written := map[string]int{}, map[string]int{}
		learnedAt := map[int]clock.Nanos{}
		type fsyncBatch struct {
			startedAt clock.Nanos
			fsyncs    int
		}
		var fsyncBatches []fsyncBatch
		write := func(fail, final bool) {
			takenAt := now
			batch := queue.TakeBatch(now).Records()
			fsyncs := rapid.IntRange(2, 3).Draw(t, "fsyncs")
			fsyncBatches = append(fsyncBatches, fsyncBatch{takenAt, fsyncs})
			for range rapid.IntRange(0, 2).Draw(t, "meanwhile") {
				if final {
					break
				}
				put(t, queue, now, newest, learnedAt)
			}
			now += rapid.Int64Range(0, 3e9).Draw(t, "took")
			if fail {
				queue.Failed(takenAt, now, fsyncs)
				return
			}
			for _, record := range batch {
				value := 0
				_, _ = fmt.Sscan(string(record.Value), &value) // a failed scan leaves 0, which the check below reports
				if value < written[string(record.Key)] {
					t.Fatalf("%s: value %d overwrites the newer %d", record.Key, value, written[string(record.Key)])
				}
				if written[string(record.Key)] = value; record.Age != takenAt-learnedAt[value] {
					t.Fatalf("value %d is written with age %d, but was learned %d ns ago", value, record.Age, takenAt-learnedAt[value])
				}
			}
			queue.Committed(takenAt, fsyncs)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 5e8).Draw(t, "passes")
			if dueAt, isDue := queue.Due(); isDue && now >= dueAt && rapid.Bool().Draw(t, "write") {
				write(rapid.IntRange(0, 3).Draw(t, "fail") == 0, false)
			} else {
				put(t, queue, now, newest, learnedAt)
			}
			if queuedBytes, totalBytes := queue.Bytes(); queuedBytes > settings.QueueBytes || totalBytes > 2*settings.QueueBytes {
				t.Fatalf("%d bytes queued, %d in total", queuedBytes, totalBytes)
			}
		}
		for range 10 {
			if dueAt, isDue := queue.Due(); isDue {
				now = max(now, dueAt)
				write(false, true)
			}
		}
		missing := uint64(0)
		for key, value := range newest {
			if written[key] < value {
				missing++
			}
		}
		if missing > queue.Counts().Dropped {
			t.Fatalf("%d records are not written, %d were counted as dropped", missing, queue.Counts().Dropped)
		}
		for i := range fsyncBatches {
			sum := 0
			for j := i; j < len(fsyncBatches); j++ {
				if sum += fsyncBatches[j].fsyncs; float64(sum) > float64(fsyncBatches[j].startedAt-fsyncBatches[i].startedAt)/1e9*settings.FsyncsPerSecond+float64(fsyncBatches[j].fsyncs)+1e-6 {
					t.Fatalf("%d fsyncs in %d ns", sum, fsyncBatches[j].startedAt-fsyncBatches[i].startedAt)
				}
			}
		}
	})
}

func put(t *rapid.T, queue *Queue, now clock.Nanos, newest map[string]int, learnedAt map[int]clock.Nanos) {
	value := len(learnedAt) + 1
	key := fmt.Sprint("key-", rapid.IntRange(0, 30).Draw(t, "key"))
	age := rapid.Int64Range(0, 1e10).Draw(t, "age")
	learnedAt[value] = now - age
	droppedBefore := queue.Counts().Dropped
	if accepted := queue.Put(now, Record{Kind: 1, Key: []byte(key), Value: []byte(fmt.Sprint(value)), Age: age}); accepted != (queue.Counts().Dropped == droppedBefore) {
		t.Fatalf("%s: accepted %v, counted as dropped %d", key, accepted, queue.Counts().Dropped-droppedBefore)
	}
	newest[key] = value
}

// The age of a restored record for several histories of the wall clock.
func TestAgeNow(t *testing.T) {
	const s, hour = clock.Nanos(1e9), clock.Nanos(3600e9)
	for _, test := range []struct {
		name                           string
		age, written, lastWritten, now clock.Nanos
		want                           clock.Nanos
		minAgeOnly                     bool
	}{
		{"clock not changed", 5 * s, 100 * s, 110 * s, 130 * s, 35 * s, false},
		{"restored immediately", 5 * s, 100 * s, 100 * s, 100 * s, 5 * s, false},
		{"set back an hour while down", 5 * s, 2 * hour, 2 * hour, hour + 10*s, 5 * s, true},
		{"set back an hour between two batches", 5 * s, 2 * hour, hour, hour + 20*s, 5 * s, true},
		{"set back a little", 5 * s, 100 * s, 110 * s, 109 * s, 5 * s, true},
		{"set forward an hour", 0, 100 * s, 110 * s, 110*s + hour, hour + 10*s, false},
		{"negative age", -1, 0, 0, 0, 0, true},
		{"sum overflows", 1 << 62, 0, 0, 1 << 62, 1 << 62, true},
	} {
		if age, minAgeOnly := AgeNow(test.age, test.written, test.lastWritten, test.now); age != test.want || minAgeOnly != test.minAgeOnly {
			t.Errorf("%s: age %d, minimum age only %v", test.name, age, minAgeOnly)
		}
	}
}

func TestSettings(t *testing.T) {
	for _, settings := range []Settings{{}, {QueueBytes: 1 << 20, FsyncsPerSecond: 0, RetryBackoff: 1, MaxRetryBackoff: 1}, {QueueBytes: 1 << 20, FsyncsPerSecond: 1, RetryBackoff: 2, MaxRetryBackoff: 1}} {
		if _, err := New(settings); err == nil {
			t.Errorf("invalid settings accepted: %+v", settings)
		}
	}
	if _, err := New(DefaultSettings()); err != nil {
		t.Error(err)
	}
}
