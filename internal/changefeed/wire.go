package changefeed

import (
	"errors"
	"fmt"

	jsoniter "github.com/json-iterator/go"

	"lotushook/policy/cursor"
)

// json is strict about a member's answer: one with unknown keys is of another version.
var json = jsoniter.Config{EscapeHTML: false, DisallowUnknownFields: true, CaseSensitive: true}.Froze()

// ErrMalformed is wrapped by all errors about a member's answer.
var ErrMalformed = errors.New("member's log")

// memberAnswer is a member's answer on the wire: one value.
type memberAnswer struct {
	Line          []history `json:"line"`
	RemovedBefore int64     `json:"gone"`
	Head          int64     `json:"head"`
	From          int64     `json:"from"`
	Events        []event   `json:"events"`
	More          bool      `json:"more,omitempty"`
}

type history struct {
	Name string `json:"history"`
	From int64  `json:"from"`
}

type event struct {
	At   int64  `json:"at"`
	Text string `json:"text"`
}

// AppendAnswer encodes a member's answer.
func AppendAnswer(a *cursor.Response) ([]byte, error) {
	t := memberAnswer{RemovedBefore: a.TruncatedUpTo, Head: a.Head, From: a.From, More: a.More, Events: events(a.Events)}
	for _, f := range a.Lineage {
		t.Line = append(t.Line, history{f.String(), f.From})
	}
	return json.Marshal(t)
}

// ParseAnswer decodes it, and rejects an invalid one.
func ParseAnswer(raw []byte) (*cursor.Response, error) {
	var t memberAnswer
	if err := json.Unmarshal(raw, &t); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	a := &cursor.Response{TruncatedUpTo: t.RemovedBefore, Head: t.Head, From: t.From, More: t.More}
	for _, h := range t.Line {
		one, err := cursor.ParseHistory(h.Name)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		a.Lineage = append(a.Lineage, cursor.Fork{History: one, From: h.From})
	}
	for _, e := range t.Events {
		a.Events = append(a.Events, cursor.Event(e))
	}
	if err := a.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return a, nil
}

func events(list []cursor.Event) []event {
	out := make([]event, 0, len(list))
	for _, e := range list {
		out = append(out, event(e))
	}
	return out
}

// Batch is a subscriber's answer, as one value.
type Batch struct {
	Events  []event  `json:"events"`
	Next    Place    `json:"next"`              // its cursor from here on
	AgainMS int64    `json:"again_ms"`          // when to return; 0: at once, there is more
	Began   bool     `json:"began,omitempty"`   // it was unknown: it starts here, and earlier events are not sent
	Rewound *Rewound `json:"rewound,omitempty"` // what it received after To was lost by a take-over, and is void
}

// Place is a cursor as clients send it: in the fields after, history and gen.
type Place struct {
	After   int64  `json:"after"`
	History string `json:"history"`
	Gen     int64  `json:"gen"`
}

// Rewound says which events are void: those of History after To, up to From.
type Rewound struct {
	History string `json:"history"`
	From    int64  `json:"from"`
	To      int64  `json:"to"`
}

// ParseBatch decodes a subscriber's answer.
func ParseBatch(raw []byte) (*Batch, error) {
	b := &Batch{}
	if err := json.Unmarshal(raw, b); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	return b, nil
}
