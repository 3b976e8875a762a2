package changefeed

import (
	"errors"
	"fmt"

	jsoniter "github.com/json-iterator/go"

	"lotushook/policy/cursor"
)

// json is strict about what a member says: one that says more than is known here is of another version.
var json = jsoniter.Config{EscapeHTML: false, DisallowUnknownFields: true, CaseSensitive: true}.Froze()

// ErrMalformed is wrapped by all that is wrong with a member's answer.
var ErrMalformed = errors.New("member's log")

// memberAnswer is a member's answer as it travels: one value.
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

// AppendAnswer writes what a member says.
func AppendAnswer(a *cursor.Response) ([]byte, error) {
	t := memberAnswer{RemovedBefore: a.TruncatedUpTo, Head: a.Head, From: a.From, More: a.More, Events: events(a.Events)}
	for _, f := range a.Line {
		t.Line = append(t.Line, history{f.String(), f.From})
	}
	return json.Marshal(t)
}

// ParseAnswer reads it, and refuses what can't be right.
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
		a.Line = append(a.Line, cursor.Fork{History: one, From: h.From})
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

// Batch is what a subscriber gets, as one value.
type Batch struct {
	Events  []event  `json:"events"`
	Next    Place    `json:"next"`              // its cursor from here on
	AgainMS int64    `json:"again_ms"`          // when to come again; 0: at once, there is more
	Began   bool     `json:"began,omitempty"`   // nobody knew it: it starts here, and what was before is not told
	Rewound *Rewound `json:"rewound,omitempty"` // what it had after To was lost by a take-over, and is void
}

// Place is a cursor as clients carry it: in the fields after, history and gen.
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

// ParseBatch reads what a subscriber gets.
func ParseBatch(raw []byte) (*Batch, error) {
	b := &Batch{}
	if err := json.Unmarshal(raw, b); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	return b, nil
}
