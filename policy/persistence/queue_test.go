package persistence

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// Whatever comes, fails and is written: what waits is within its bound, fsyncs keep their rate, the newest of each key that
// was taken is written in the end or was counted as let go, and ages only grow.
//
//nolint:gocognit,funlen // one history or table of cases, told in order
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{QueueBytes: 1 << 10, FsyncsPerSecond: 4, RetryBackoff: 1e9, MaxRetryBackoff: 8e9}
		q, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		now := clock.Nanos(1e15)
		newest, disk := map[string]int{}, map[string]int{}
		learned := map[int]clock.Nanos{}
		type spent struct {
			at clock.Nanos
			n  int
		}
		var all []spent
		write := func(fail, last bool) {
			taken := now
			batch := q.TakeBatch(now).Records()
			n := rapid.IntRange(2, 3).Draw(t, "fsyncs")
			all = append(all, spent{taken, n})
			for range rapid.IntRange(0, 2).Draw(t, "meanwhile") {
				if last {
					break
				}
				put(t, q, now, newest, learned)
			}
			now += rapid.Int64Range(0, 3e9).Draw(t, "took")
			if fail {
				q.Failed(taken, now, n)
				return
			}
			for _, r := range batch {
				v := 0
				_, _ = fmt.Sscan(string(r.Value), &v) // what follows shows it
				if v < disk[string(r.Key)] {
					t.Fatalf("%s: %d is written over %d", r.Key, v, disk[string(r.Key)])
				}
				if disk[string(r.Key)] = v; r.Age != taken-learned[v] {
					t.Fatalf("%d is written as %d old, learned %d ago", v, r.Age, taken-learned[v])
				}
			}
			q.Committed(taken, n)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 5e8).Draw(t, "passes")
			if at, ok := q.Due(); ok && now >= at && rapid.Bool().Draw(t, "write") {
				write(rapid.IntRange(0, 3).Draw(t, "fail") == 0, false)
			} else {
				put(t, q, now, newest, learned)
			}
			if waiting, total := q.Bytes(); waiting > set.QueueBytes || total > 2*set.QueueBytes {
				t.Fatalf("%d bytes wait, %d in all", waiting, total)
			}
		}
		for range 10 {
			if at, ok := q.Due(); ok {
				now = max(now, at)
				write(false, true)
			}
		}
		lacking := uint64(0)
		for key, v := range newest {
			if disk[key] < v {
				lacking++
			}
		}
		if lacking > q.Counts().Dropped {
			t.Fatalf("%d are not written, %d were let go", lacking, q.Counts().Dropped)
		}
		for i := range all {
			sum := 0
			for j := i; j < len(all); j++ {
				if sum += all[j].n; float64(sum) > float64(all[j].at-all[i].at)/1e9*set.FsyncsPerSecond+float64(all[j].n)+1e-6 {
					t.Fatalf("%d fsyncs in %d ns", sum, all[j].at-all[i].at)
				}
			}
		}
	})
}

func put(t *rapid.T, q *Queue, now clock.Nanos, newest map[string]int, learned map[int]clock.Nanos) {
	v := len(learned) + 1
	key := fmt.Sprint("key-", rapid.IntRange(0, 30).Draw(t, "key"))
	age := rapid.Int64Range(0, 1e10).Draw(t, "age")
	learned[v] = now - age
	before := q.Counts().Dropped
	if ok := q.Put(now, Record{Kind: 1, Key: []byte(key), Value: []byte(fmt.Sprint(v)), Age: age}); ok != (q.Counts().Dropped == before) {
		t.Fatalf("%s: taken %v, let go %d", key, ok, q.Counts().Dropped-before)
	}
	newest[key] = v
}

// How old a record is that comes back, by what the wall's clock showed.
func TestAged(t *testing.T) {
	const s, hour = clock.Nanos(1e9), clock.Nanos(3600e9)
	for _, c := range []struct {
		name                    string
		age, written, last, now clock.Nanos
		want                    clock.Nanos
		unsure                  bool
	}{
		{"usual", 5 * s, 100 * s, 110 * s, 130 * s, 35 * s, false},
		{"at once", 5 * s, 100 * s, 100 * s, 100 * s, 5 * s, false},
		{"set back an hour while down", 5 * s, 2 * hour, 2 * hour, hour + 10*s, 5 * s, true},
		{"set back an hour between two batches", 5 * s, 2 * hour, hour, hour + 20*s, 5 * s, true},
		{"set back a little", 5 * s, 100 * s, 110 * s, 109 * s, 5 * s, true},
		{"set forward an hour", 0, 100 * s, 110 * s, 110*s + hour, hour + 10*s, false},
		{"no age", -1, 0, 0, 0, 0, true},
		{"absurd", 1 << 62, 0, 0, 1 << 62, 1 << 62, true},
	} {
		if age, unsure := AgeNow(c.age, c.written, c.last, c.now); age != c.want || unsure != c.unsure {
			t.Errorf("%s: %d, unsure %v", c.name, age, unsure)
		}
	}
}

func TestSettings(t *testing.T) {
	for _, s := range []Settings{{}, {QueueBytes: 1 << 20, FsyncsPerSecond: 0, RetryBackoff: 1, MaxRetryBackoff: 1}, {QueueBytes: 1 << 20, FsyncsPerSecond: 1, RetryBackoff: 2, MaxRetryBackoff: 1}} {
		if _, err := New(s); err == nil {
			t.Errorf("%+v is taken", s)
		}
	}
	if _, err := New(DefaultSettings()); err != nil {
		t.Error(err)
	}
}
