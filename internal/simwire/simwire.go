// Package simwire translates between the simulator's JSON dialect and the types
// of package balance. It decides nothing.
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

// Host keeps the instances of one process and turns lines into replies.
type Host struct {
	instances map[int64]*instance
	pages     map[int64][]entry
}

type instance struct {
	router *balance.Balancer
	set    *platformsettings.Settings
}

type entry struct {
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
	NodesList   []entry             `json:"nodesList"`
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
	return &Host{instances: map[int64]*instance{}, pages: map[int64][]entry{}}
}

// Line answers one line of the wire, appending the reply to out.
func (h *Host) Line(line, out []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return out, fmt.Errorf("malformed batch: %w", err)
	}
	if b.Clock == nil {
		return out, errors.New("malformed batch: no clock")
	}
	out = append(out, `{"parts":[`...)
	first := true
	for i := range b.Parts {
		p := &b.Parts[i]
		acts, err := h.step(*b.Clock, p.Who, p.Events)
		if err != nil {
			return out, fmt.Errorf("instance %d: %w", p.Who, err)
		}
		if len(acts) == 0 {
			continue
		}
		if !first {
			out = append(out, ',')
		}
		first = false
		out = append(out, `{"who":`...)
		out = strconv.AppendInt(out, p.Who, 10)
		out = append(out, `,"outbox":[`...)
		for j := range acts {
			if j > 0 {
				out = append(out, ',')
			}
			out = appendAction(out, &acts[j])
		}
		out = append(out, "]}"...)
	}
	return append(out, "]}\n"...), nil
}

// step feeds one instance its events; a restart inside the batch drops what
// the earlier life would have done.
func (h *Host) step(now clock.Nanos, who int64, events []event) ([]balance.Action, error) {
	var in []balance.Event
	for i := range events {
		e := &events[i]
		switch e.What {
		case "list":
			h.pages[e.Page] = e.NodesList
		case "killed":
			delete(h.instances, who)
			in = nil
		case "newInstance":
			made, err := newInstance(e)
			if err != nil {
				return nil, err
			}
			h.instances[who] = made
			in = nil
		default:
			live := h.instances[who]
			if live == nil {
				continue
			}
			ev, ok, err := live.event(e, h.pages)
			if err != nil {
				return nil, err
			}
			if ok {
				in = append(in, ev)
			}
		}
	}
	live := h.instances[who]
	if live == nil {
		return nil, nil
	}
	return live.router.Step(now, in), nil
}

func newInstance(e *event) (*instance, error) {
	set, err := platformsettings.Parse(e.Env)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	router, err := balance.New(set.Balance, e.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &instance{router: router, set: set}, nil
}

// event translates one event; false means that the kind is not known.
func (in *instance) event(e *event, pages map[int64][]entry) (balance.Event, bool, error) {
	var out balance.Event
	var err error
	switch e.What {
	case "peersKnown":
		return in.list(e, pages)
	case "incoming":
		out = balance.Event{Kind: balance.RequestArrived, Request: e.Handle, Class: in.set.Class(e.Band),
			Tenant: in.set.Tenant(text(e.Owner)), Session: e.ClientKey, Deadline: e.ValidUntil,
			Group:     int64(e.Cluster),
			CommitAge: clock.Nanos(e.LastWriteMs * float64(millisecond))}
	case "outcome":
		out = balance.Event{Kind: balance.AttemptEnded, Request: e.Handle, Attempt: e.SendNo, Endpoint: e.Node,
			Final: e.Finished}
		out.Role, out.Position = in.note(e.Note)
		out.Outcome, err = platformsettings.LookUp(outcomes, "result", e.Result)
	case "echo":
		out = balance.Event{Kind: balance.ProbeEnded, Endpoint: e.Node}
		in.report(e.Stats, &out)
		out.Outcome, err = platformsettings.LookUp(outcomes, "result", e.Result)
	case "abandoned":
		out = balance.Event{Kind: balance.RequestAbandoned, Request: e.Handle}
	case "wakeup":
		out = balance.Event{Kind: balance.TimerFired, TimerID: e.KeyBack}
	default:
		return out, false, nil
	}
	if err != nil {
		return out, false, fmt.Errorf("%s: %w", e.What, err)
	}
	return out, true, nil
}

func (in *instance) list(e *event, pages map[int64][]entry) (balance.Event, bool, error) {
	out := balance.Event{Kind: balance.EndpointSnapshot}
	switch e.How {
	case "error":
		out.Kind = balance.EndpointWatchLost
		return out, true, nil
	case "diff":
		out.Kind = balance.EndpointUpdate
	case "snapshot", "disk":
	default:
		return out, false, nil
	}
	for _, n := range pages[e.Page] {
		state, err := platformsettings.LookUp(lifecycles, "lifecycle", n.Lifecycle)
		if err != nil {
			return out, false, fmt.Errorf("node %d: %w", n.Node, err)
		}
		out.Endpoints = append(out.Endpoints, balance.Endpoint{ID: n.Node, Group: n.Group, Zone: n.Zone,
			State: state, Primary: n.Leader == 1, Weight: n.Weight, StartedAt: n.ReadyAt})
	}
	return out, true, nil
}

// note unpacks an answer's role and position.
func (in *instance) note(note int64) (balance.Role, clock.Nanos) {
	var pos clock.Nanos
	if ms := note / 4; ms > 0 {
		pos = in.set.PositionZero + ms*millisecond
	}
	switch note % 4 {
	case 1:
		return balance.Primary, pos
	case 2:
		return balance.Replica, pos
	}
	return balance.RoleUnknown, pos
}

// report reads role, position and load from a probe's report.
func (in *instance) report(stats []float64, out *balance.Event) {
	told := 0
	for i, f := range in.set.ReportFields {
		if i >= len(stats) {
			break
		}
		switch f {
		case "x0":
			if stats[i] > 0 {
				out.Position = in.set.PositionZero + clock.Nanos(math.Floor(stats[i]*1e3))*millisecond
			}
		case "x1":
			out.Role = balance.Replica
			if stats[i] == 1 {
				out.Role = balance.Primary
			}
		case "waiting":
			out.Waiting = int(math.Round(stats[i]))
			told++
		case "active":
			out.Active = int(math.Round(stats[i]))
			told++
		}
	}
	out.HasLoad = told == 2
}

// text reads a name; other JSON, such as the 0 of a site without tenants, is none.
func text(raw jsoniter.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) != nil {
		return ""
	}
	return s
}

func appendAction(out []byte, a *balance.Action) []byte {
	num := func(name string, v int64) {
		out = append(out, name...)
		out = strconv.AppendInt(out, v, 10)
	}
	handle := func(what string) {
		out = append(out, what...)
		out = append(out, a.Request...)
		out = append(out, '"')
	}
	switch a.Kind {
	case balance.SendAttempt:
		handle(`{"what":"dispatch","handle":"`)
		num(`,"tryUntil":`, a.AttemptDeadline)
		num(`,"node":`, int64(a.Endpoint))
	case balance.RejectRequest:
		handle(`{"what":"decline","handle":"`)
		num(`,"wait":`, a.RetryAfter)
	case balance.FailRequest:
		handle(`{"what":"error","handle":"`)
	case balance.CancelAttempt:
		handle(`{"what":"abortAttempt","handle":"`)
		num(`,"sendNo":`, int64(a.Attempt))
	case balance.SetTimer:
		num(`{"what":"defer","alarmTime":`, a.TimerAt)
		num(`,"keyBack":`, a.TimerID)
	case balance.SendProbe:
		num(`{"what":"touch","node":`, int64(a.Endpoint))
	case balance.WatchEndpoints:
		out = append(out, `{"what":"track","enable":true`...)
	case balance.WriteLog:
		out = append(out, `{"what":"emit","reasonText":`...)
		quoted, _ := json.Marshal(a.Message) // a string always marshals
		out = append(out, quoted...)
	}
	return append(out, '}')
}
