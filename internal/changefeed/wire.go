package changefeed

import (
	"errors"
	"fmt"

	jsoniter "github.com/json-iterator/go"

	"lotushook/policy/cursor"
)

// json rejects unknown keys, which show that an endpoint's response is of another version.
var json = jsoniter.Config{EscapeHTML: false, DisallowUnknownFields: true, CaseSensitive: true}.Froze()

// ErrMalformed is wrapped by all errors about an endpoint's response.
var ErrMalformed = errors.New("member's log")

// endpointResponse is the encoded form of a cursor.Response. An endpoint returns it as the value of its answer.
type endpointResponse struct {
	Lineage       []fork      `json:"line"`
	TruncatedUpTo int64       `json:"gone"`
	Head          int64       `json:"head"`
	From          int64       `json:"from"`
	Events        []wireEvent `json:"events"`
	More          bool        `json:"more,omitempty"`
}

// fork is the encoded form of a cursor.Fork.
type fork struct {
	Name string `json:"history"`
	From int64  `json:"from"`
}

type wireEvent struct {
	At   int64  `json:"at"`
	Text string `json:"text"`
}

// EncodeResponse encodes an endpoint's response.
func EncodeResponse(response *cursor.Response) ([]byte, error) {
	encoded := endpointResponse{TruncatedUpTo: response.TruncatedUpTo, Head: response.Head, From: response.From,
		More: response.More, Events: encodeEvents(response.Events)}
	for _, lineageFork := range response.Lineage {
		encoded.Lineage = append(encoded.Lineage, fork{lineageFork.String(), lineageFork.From})
	}
	return json.Marshal(encoded)
}

// ParseResponse decodes an endpoint's response, and returns an error for an invalid one.
func ParseResponse(text []byte) (*cursor.Response, error) {
	var encoded endpointResponse
	if err := json.Unmarshal(text, &encoded); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	response := &cursor.Response{TruncatedUpTo: encoded.TruncatedUpTo, Head: encoded.Head, From: encoded.From,
		More: encoded.More}
	for _, encodedFork := range encoded.Lineage {
		history, err := cursor.ParseHistory(encodedFork.Name)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		response.Lineage = append(response.Lineage, cursor.Fork{History: history, From: encodedFork.From})
	}
	for _, event := range encoded.Events {
		response.Events = append(response.Events, cursor.Event(event))
	}
	if err := response.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return response, nil
}

func encodeEvents(decoded []cursor.Event) []wireEvent {
	encoded := make([]wireEvent, 0, len(decoded))
	for _, event := range decoded {
		encoded = append(encoded, wireEvent(event))
	}
	return encoded
}

// Batch is the answer to a subscriber's request. The router returns it, encoded, as the value of its response.
type Batch struct {
	Events        []wireEvent  `json:"events"`
	Next          ClientCursor `json:"next"`              // the subscriber's new cursor
	RetryAfterMS  int64        `json:"again_ms"`          // delay until the next request; 0 if there are more events
	StartedAtHead bool         `json:"began,omitempty"`   // unknown subscriber: starts at the head, without earlier events
	Rewound       *Rewound     `json:"rewound,omitempty"` // set if a failover voided events that were received
}

// ClientCursor is a cursor as clients send it, in the fields after, history and gen.
type ClientCursor struct {
	After      int64  `json:"after"`
	History    string `json:"history"`
	Generation int64  `json:"gen"`
}

// Rewound describes the events that are void after a failover: the events of History after position To, up to and
// including position From.
type Rewound struct {
	History string `json:"history"`
	From    int64  `json:"from"`
	To      int64  `json:"to"`
}

// ParseBatch decodes the answer to a subscriber's request.
func ParseBatch(text []byte) (*Batch, error) {
	batch := &Batch{}
	if err := json.Unmarshal(text, batch); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	return batch, nil
}
