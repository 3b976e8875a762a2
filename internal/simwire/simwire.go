// Package simwire translates between the simulator's JSON messages and the types of package balance. It makes no
// decisions.
package simwire

import (
	"errors"
	"fmt"
	"math"
	"strconv"

	jsoniter "github.com/json-iterator/go"

	"lotushook/internal/platformsettings"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

var (
	outcomes = map[string]balance.Outcome{"done": balance.Succeeded, "err": balance.Failed,
		"busy": balance.Busy, "etimedout": balance.TimedOut, "econnrefused": balance.ConnectionRefused,
		"econnreset": balance.ConnectionReset, "ecanceled": balance.Canceled, "skipped": balance.NotSent,
		"enoent": balance.NotEligible}
	lifecycles = map[string]balance.EndpointState{"": balance.Ready, "ready": balance.Ready,
		"draining": balance.Draining, "gone": balance.Removed}
)

// Host contains the router instances that one process simulates, and replies to the simulator's messages.
type Host struct {
	instances map[int64]*instance
	pages     map[int64][]endpointEntry
}

type instance struct {
	balancer *balance.Balancer
	settings *platformsettings.Settings
}

type endpointEntry struct {
	Node      balance.EndpointID `json:"node"`
	Zone      string             `json:"az"`
	Group     int64              `json:"set"`
	Lifecycle string             `json:"lifecycle"`
	Leader    float64            `json:"leader"`
	Weight    float64            `json:"weight"`
	ReadyAt   clock.Nanos        `json:"readyAt"`
}

type event struct {
	What        string              `json:"what"`
	Seed        uint64              `json:"initSeed"`
	Env         jsoniter.RawMessage `json:"env"`
	Page        int64               `json:"page"`
	NodesList   []endpointEntry     `json:"nodesList"`
	How         string              `json:"how"`
	Handle      string              `json:"handle"`
	Band        string              `json:"band"`
	Owner       jsoniter.RawMessage `json:"owner"`
	ClientKey   string              `json:"clientKey"`
	ValidUntil  clock.Nanos         `json:"validUntil"`
	Cluster     float64             `json:"cluster"`
	LastWriteMs float64             `json:"lastWriteMs"`
	SendNo      int                 `json:"sendNo"`
	Node        balance.EndpointID  `json:"node"`
	Result      string              `json:"result"`
	Finished    bool                `json:"finished"`
	Note        int64               `json:"note"`
	Stats       []float64           `json:"stats"`
	KeyBack     int64               `json:"keyBack"`
}

type batch struct {
	Clock *clock.Nanos `json:"clock"`
	Parts []struct {
		Who    int64   `json:"who"`
		Events []event `json:"events"`
	} `json:"parts"`
}

const millisecond clock.Nanos = 1e6

// NewHost returns a host without instances.
func NewHost() *Host {
	return &Host{instances: map[int64]*instance{}, pages: map[int64][]endpointEntry{}}
}

// HandleLine appends to out the reply to one message, which is a line of JSON.
func (host *Host) HandleLine(line, out []byte) ([]byte, error) {
	var message batch
	if err := json.Unmarshal(line, &message); err != nil {
		return out, fmt.Errorf("malformed batch: %w", err)
	}
	if message.Clock == nil {
		return out, errors.New("malformed batch: no clock")
	}
	out = append(out, `{"parts":[`...)
	first := true
	for i := range message.Parts {
		part := &message.Parts[i]
		actions, err := host.step(*message.Clock, part.Who, part.Events)
		if err != nil {
			return out, fmt.Errorf("instance %d: %w", part.Who, err)
		}
		if len(actions) == 0 {
			continue
		}
		if !first {
			out = append(out, ',')
		}
		first = false
		out = append(out, `{"who":`...)
		out = strconv.AppendInt(out, part.Who, 10)
		out = append(out, `,"outbox":[`...)
		for j := range actions {
			if j > 0 {
				out = append(out, ',')
			}
			out = appendAction(out, &actions[j])
		}
		out = append(out, "]}"...)
	}
	return append(out, "]}\n"...), nil
}

// step passes the events of a message to an instance, and returns the instance's actions. If the instance is killed or
// restarted by one of the events, the events before that one have no effect.
func (host *Host) step(now clock.Nanos, id int64, events []event) ([]balance.Action, error) {
	var pending []balance.Event
	for i := range events {
		event := &events[i]
		switch event.What {
		case "list":
			host.pages[event.Page] = event.NodesList
		case "killed":
			delete(host.instances, id)
			pending = nil
		case "newInstance":
			created, err := newInstance(event)
			if err != nil {
				return nil, err
			}
			host.instances[id] = created
			pending = nil
		default:
			current := host.instances[id]
			if current == nil {
				continue
			}
			translated, ok, err := current.event(event, host.pages)
			if err != nil {
				return nil, err
			}
			if ok {
				pending = append(pending, translated)
			}
		}
	}
	current := host.instances[id]
	if current == nil {
		return nil, nil
	}
	return current.balancer.Step(now, pending), nil
}

func newInstance(event *event) (*instance, error) {
	settings, err := platformsettings.Parse(event.Env)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	balancer, err := balance.New(settings.Balance, event.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &instance{balancer: balancer, settings: settings}, nil
}

// event translates an event. It returns false for an unknown kind.
func (instance *instance) event(event *event, pages map[int64][]endpointEntry) (balance.Event, bool, error) {
	var out balance.Event
	var err error
	switch event.What {
	case "peersKnown":
		return instance.listEvent(event, pages)
	case "incoming":
		out = balance.Event{Kind: balance.RequestArrived, Request: event.Handle, Class: instance.settings.Class(event.Band),
			Tenant: instance.settings.Tenant(stringOrEmpty(event.Owner)), Session: event.ClientKey, Deadline: event.ValidUntil,
			Group:     int64(event.Cluster),
			CommitAge: clock.Nanos(event.LastWriteMs * float64(millisecond))}
	case "outcome":
		out = balance.Event{Kind: balance.AttemptEnded, Request: event.Handle, Attempt: event.SendNo, Endpoint: event.Node,
			Final: event.Finished}
		out.Role, out.Position = instance.unpackNote(event.Note)
		out.Outcome, err = platformsettings.LookUp(outcomes, "result", event.Result)
	case "echo":
		out = balance.Event{Kind: balance.ProbeEnded, Endpoint: event.Node}
		instance.applyReport(event.Stats, &out)
		out.Outcome, err = platformsettings.LookUp(outcomes, "result", event.Result)
	case "abandoned":
		out = balance.Event{Kind: balance.RequestAbandoned, Request: event.Handle}
	case "wakeup":
		out = balance.Event{Kind: balance.TimerFired, TimerID: event.KeyBack}
	default:
		return out, false, nil
	}
	if err != nil {
		return out, false, fmt.Errorf("%s: %w", event.What, err)
	}
	return out, true, nil
}

// listEvent translates an event about the endpoint list. It returns false for an unknown kind.
func (instance *instance) listEvent(event *event, pages map[int64][]endpointEntry) (balance.Event, bool, error) {
	out := balance.Event{Kind: balance.EndpointSnapshot}
	switch event.How {
	case "error":
		out.Kind = balance.EndpointWatchLost
		return out, true, nil
	case "diff":
		out.Kind = balance.EndpointUpdate
	case "snapshot", "disk":
	default:
		return out, false, nil
	}
	for _, endpoint := range pages[event.Page] {
		state, err := platformsettings.LookUp(lifecycles, "lifecycle", endpoint.Lifecycle)
		if err != nil {
			return out, false, fmt.Errorf("node %d: %w", endpoint.Node, err)
		}
		out.Endpoints = append(out.Endpoints, balance.Endpoint{ID: endpoint.Node, Group: endpoint.Group, Zone: endpoint.Zone,
			State: state, Primary: endpoint.Leader == 1, Weight: endpoint.Weight, StartedAt: endpoint.ReadyAt})
	}
	return out, true, nil
}

// unpackNote decodes an answer's note: a number that contains an endpoint's log position in ms, times 4, plus its role.
func (instance *instance) unpackNote(note int64) (balance.Role, clock.Nanos) {
	var position clock.Nanos
	if ms := note / 4; ms > 0 {
		position = instance.settings.PositionZero + ms*millisecond
	}
	switch note % 4 {
	case 1:
		return balance.Primary, position
	case 2:
		return balance.Replica, position
	}
	return balance.RoleUnknown, position
}

// applyReport sets the role, position and load of an event from a probe's report.
func (instance *instance) applyReport(report []float64, out *balance.Event) {
	loadFields := 0
	for i, field := range instance.settings.ReportFields {
		if i >= len(report) {
			break
		}
		switch field {
		case "x0":
			if report[i] > 0 {
				out.Position = instance.settings.PositionZero + clock.Nanos(math.Floor(report[i]*1e3))*millisecond
			}
		case "x1":
			out.Role = balance.Replica
			if report[i] == 1 {
				out.Role = balance.Primary
			}
		case "waiting":
			out.Waiting = int(math.Round(report[i]))
			loadFields++
		case "active":
			out.Active = int(math.Round(report[i]))
			loadFields++
		}
	}
	out.HasLoad = loadFields == 2
}

// stringOrEmpty returns a JSON string, or an empty string for any other JSON, such as the 0 that the simulator sends
// without tenants.
func stringOrEmpty(raw jsoniter.RawMessage) string {
	var value string
	if json.Unmarshal(raw, &value) != nil {
		return ""
	}
	return value
}

// appendAction appends an action as JSON.
func appendAction(out []byte, action *balance.Action) []byte {
	appendNumber := func(prefix string, value int64) {
		out = append(out, prefix...)
		out = strconv.AppendInt(out, value, 10)
	}
	appendHandle := func(prefix string) {
		out = append(out, prefix...)
		out = append(out, action.Request...)
		out = append(out, '"')
	}
	switch action.Kind {
	case balance.SendAttempt:
		appendHandle(`{"what":"dispatch","handle":"`)
		appendNumber(`,"tryUntil":`, action.AttemptDeadline)
		appendNumber(`,"node":`, int64(action.Endpoint))
	case balance.RejectRequest:
		appendHandle(`{"what":"decline","handle":"`)
		appendNumber(`,"wait":`, action.RetryAfter)
	case balance.FailRequest:
		appendHandle(`{"what":"error","handle":"`)
	case balance.CancelAttempt:
		appendHandle(`{"what":"abortAttempt","handle":"`)
		appendNumber(`,"sendNo":`, int64(action.Attempt))
	case balance.SetTimer:
		appendNumber(`{"what":"defer","alarmTime":`, action.TimerAt)
		appendNumber(`,"keyBack":`, action.TimerID)
	case balance.SendProbe:
		appendNumber(`{"what":"touch","node":`, int64(action.Endpoint))
	case balance.WatchEndpoints:
		out = append(out, `{"what":"track","enable":true`...)
	case balance.WriteLog:
		out = append(out, `{"what":"emit","reasonText":`...)
		quoted, _ := json.Marshal(action.Message) // encoding a string never fails
		out = append(out, quoted...)
	}
	return append(out, '}')
}
