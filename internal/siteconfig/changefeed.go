package siteconfig

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"lotushook/policy/cursor"
)

// Feeds configures the classes that are read as change feeds, and their limits. SIGHUP changes none of it.
type Feeds struct {
	Classes map[string]FeedClass `json:"classes"` // by the platform's class names
	// remembered by this router; a subscriber whose cursor was evicted must send its own or take a snapshot
	MaxCursors        int     `json:"most_cursors"`
	RingEvents        int     `json:"ring_events"`  // recent events buffered per feed; a subscriber behind them causes reads of its own
	RingBytes         int     `json:"ring_bytes"`   // total size of the buffered event texts per feed
	BatchEvents       int     `json:"batch_events"` // per answer
	BatchBytes        int     `json:"batch_bytes"`  // per answer
	EndReadIntervalMS int64   `json:"fresh_ms"`     // min time between two reads of a feed's end
	PollIntervalMS    int64   `json:"again_ms"`     // poll delay advised to a subscriber that has all events
	MaxAheadMS        int64   `json:"future_ms"`    // a cursor further ahead of the newest position is rejected
	CatchUpReadsPerS  float64 `json:"catch_up_per_s"`
	ReconnectsPerS    float64 `json:"return_per_s"` // subscribers, returning or new, that are admitted each second
	MaxRetryAfterMS   int64   `json:"spread_ms"`    // max retry delay advised to subscribers beyond ReconnectsPerS
	MaxWaiting        int     `json:"most_waiting"` // requests that wait for data servers
	ReadTimeoutMS     int64   `json:"read_for_ms"`
}

// FeedClass configures the feed of one class; a 0 inherits the value of Feeds.
type FeedClass struct {
	Kind              string `json:"kind"` // always "feed"
	EndReadIntervalMS int64  `json:"fresh_ms,omitempty"`
	PollIntervalMS    int64  `json:"again_ms,omitempty"`
}

func defaultFeeds() *Feeds {
	const nanosPerMS = 1e6
	defaults := cursor.DefaultSettings()
	return &Feeds{Classes: map[string]FeedClass{}, MaxCursors: defaults.MaxCursors, RingEvents: defaults.RingEvents, RingBytes: defaults.RingBytes, BatchEvents: defaults.BatchEvents, BatchBytes: defaults.BatchBytes,
		EndReadIntervalMS: defaults.EndReadInterval / nanosPerMS, PollIntervalMS: defaults.PollInterval / nanosPerMS, MaxAheadMS: defaults.MaxAhead, CatchUpReadsPerS: defaults.CatchUpReadsPerSecond, ReconnectsPerS: defaults.ReconnectsPerSecond, MaxRetryAfterMS: defaults.MaxRetryAfter / nanosPerMS, MaxWaiting: 2000, ReadTimeoutMS: 800}
}

// CursorSettings returns the settings of package cursor: the common ones, and those of each class.
func (feeds *Feeds) CursorSettings() (common cursor.Settings, byClass map[string]cursor.Settings) {
	const nanosPerMS = 1e6
	common = cursor.Settings{MaxCursors: feeds.MaxCursors, RingEvents: feeds.RingEvents, RingBytes: feeds.RingBytes, BatchEvents: feeds.BatchEvents, BatchBytes: feeds.BatchBytes, EndReadInterval: feeds.EndReadIntervalMS * nanosPerMS, PollInterval: feeds.PollIntervalMS * nanosPerMS,
		MaxAhead: feeds.MaxAheadMS, CatchUpReadsPerSecond: feeds.CatchUpReadsPerS, ReconnectsPerSecond: feeds.ReconnectsPerS, MaxRetryAfter: feeds.MaxRetryAfterMS * nanosPerMS}
	byClass = map[string]cursor.Settings{}
	for name, class := range feeds.Classes {
		settings := common
		if class.EndReadIntervalMS != 0 {
			settings.EndReadInterval = class.EndReadIntervalMS * nanosPerMS
		}
		if class.PollIntervalMS != 0 {
			settings.PollInterval = class.PollIntervalMS * nanosPerMS
		}
		byClass[name] = settings
	}
	return common, byClass
}

func (feeds *Feeds) check() error {
	if len(feeds.Classes) == 0 {
		return errors.New("classes: none")
	}
	for _, name := range slices.Sorted(maps.Keys(feeds.Classes)) {
		class := feeds.Classes[name]
		if class.Kind != "feed" {
			return fmt.Errorf("classes.%s.kind: %q is not feed", name, class.Kind)
		}
		if class.EndReadIntervalMS < 0 || class.EndReadIntervalMS > 3600e3 || class.PollIntervalMS < 0 || class.PollIntervalMS > 3600e3 {
			return fmt.Errorf("classes.%s: fresh_ms or again_ms is not between 0 and an hour", name)
		}
	}
	for _, field := range []struct {
		name string
		ms   int64
	}{{"fresh_ms", feeds.EndReadIntervalMS}, {"again_ms", feeds.PollIntervalMS}, {"future_ms", feeds.MaxAheadMS}, {"spread_ms", feeds.MaxRetryAfterMS}, {"read_for_ms", feeds.ReadTimeoutMS}} {
		if field.ms < 1 || field.ms > 3600e3 {
			return fmt.Errorf("%s: %d is not between 1 and an hour", field.name, field.ms)
		}
	}
	if feeds.MaxWaiting < 1 || feeds.MaxWaiting > 1<<20 {
		return fmt.Errorf("most_waiting: %d is not between 1 and a million", feeds.MaxWaiting)
	}
	common, _ := feeds.CursorSettings()
	return common.Check()
}
