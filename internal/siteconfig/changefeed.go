package siteconfig

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"lotushook/policy/cursor"
)

// Feeds says which classes are read as feeds of changes, and what they may take. Nothing of it changes on SIGHUP.
type Feeds struct {
	Classes     map[string]FeedClass `json:"classes"`      // by the platform's names
	MaxCursors  int                  `json:"most_cursors"` // that this router remembers; whoever is let go must bring its own, or take a snapshot
	RingEvents  int                  `json:"ring_events"`  // recent events of each feed: who is behind them is read for by itself
	RingBytes   int                  `json:"ring_bytes"`   // of their texts
	BatchEvents int                  `json:"batch_events"` // in one answer
	BatchBytes  int                  `json:"batch_bytes"`
	FreshMS     int64                `json:"fresh_ms"`       // a feed's end is asked for at most so often
	AgainMS     int64                `json:"again_ms"`       // a subscriber that has all is told to come again after it
	FutureMS    int64                `json:"future_ms"`      // a cursor so far beyond the newest position is refused
	CatchUpPerS float64              `json:"catch_up_per_s"` // readings for those behind the ring
	ReturnPerS  float64              `json:"return_per_s"`   // subscribers that may come back, or come new
	SpreadMS    int64                `json:"spread_ms"`      // the longest time to return that the others are told
	MaxWaiting  int                  `json:"most_waiting"`   // requests that wait for data servers
	ReadForMS   int64                `json:"read_for_ms"`    // a reading is given up after it
}

// FeedClass is one class; what is 0 is as for all.
type FeedClass struct {
	Kind    string `json:"kind"` // feed
	FreshMS int64  `json:"fresh_ms,omitempty"`
	AgainMS int64  `json:"again_ms,omitempty"`
}

func defaultFeeds() *Feeds {
	const ms = 1e6
	u := cursor.DefaultSettings()
	return &Feeds{Classes: map[string]FeedClass{}, MaxCursors: u.MaxCursors, RingEvents: u.RingEvents, RingBytes: u.RingBytes, BatchEvents: u.BatchEvents, BatchBytes: u.BatchBytes,
		FreshMS: u.EndReadInterval / ms, AgainMS: u.PollInterval / ms, FutureMS: u.MaxAhead, CatchUpPerS: u.CatchUpReadsPerSecond, ReturnPerS: u.ReconnectsPerSecond, SpreadMS: u.MaxRetryAfter / ms, MaxWaiting: 2000, ReadForMS: 800}
}

// Cursor are the settings of the decision, for all classes and for each.
func (f *Feeds) Cursor() (all cursor.Settings, by map[string]cursor.Settings) {
	const ms = 1e6
	all = cursor.Settings{MaxCursors: f.MaxCursors, RingEvents: f.RingEvents, RingBytes: f.RingBytes, BatchEvents: f.BatchEvents, BatchBytes: f.BatchBytes, EndReadInterval: f.FreshMS * ms, PollInterval: f.AgainMS * ms,
		MaxAhead: f.FutureMS, CatchUpReadsPerSecond: f.CatchUpPerS, ReconnectsPerSecond: f.ReturnPerS, MaxRetryAfter: f.SpreadMS * ms}
	by = map[string]cursor.Settings{}
	for name, c := range f.Classes {
		one := all
		if c.FreshMS != 0 {
			one.EndReadInterval = c.FreshMS * ms
		}
		if c.AgainMS != 0 {
			one.PollInterval = c.AgainMS * ms
		}
		by[name] = one
	}
	return all, by
}

func (f *Feeds) check() error {
	if len(f.Classes) == 0 {
		return errors.New("classes: none")
	}
	for _, name := range slices.Sorted(maps.Keys(f.Classes)) {
		c := f.Classes[name]
		if c.Kind != "feed" {
			return fmt.Errorf("classes.%s.kind: %q is not feed", name, c.Kind)
		}
		if c.FreshMS < 0 || c.FreshMS > 3600e3 || c.AgainMS < 0 || c.AgainMS > 3600e3 {
			return fmt.Errorf("classes.%s: fresh_ms or again_ms is not between 0 and an hour", name)
		}
	}
	for _, s := range []struct {
		name string
		ms   int64
	}{{"fresh_ms", f.FreshMS}, {"again_ms", f.AgainMS}, {"future_ms", f.FutureMS}, {"spread_ms", f.SpreadMS}, {"read_for_ms", f.ReadForMS}} {
		if s.ms < 1 || s.ms > 3600e3 {
			return fmt.Errorf("%s: %d is not between 1 and an hour", s.name, s.ms)
		}
	}
	if f.MaxWaiting < 1 || f.MaxWaiting > 1<<20 {
		return fmt.Errorf("most_waiting: %d is not between 1 and a million", f.MaxWaiting)
	}
	all, _ := f.Cursor()
	return all.Check()
}
