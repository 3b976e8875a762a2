package experiment

import (
	"context"
	"testing"
	"time"
)

// What comes while every client waits is part of the mix like the rest, and is told apart from connections that don't
// come up: counted as the class that is first by name, at six times the worth, it made a short jam look like a long one.
func TestRequestsWithoutAClient(t *testing.T) {
	e := &Experiment{Fleet: Fleet{Groups: 1, Members: 1, Cores: 1, Queue: 4}, Classes: map[string]Class{
		"a": {Read: "write", WaitMS: 10000, Worth: 6, WorkMS: []float64{300, 300}},
		"b": {Read: "bounded", BoundMS: 10000, WaitMS: 10000, Worth: 1, WorkMS: []float64{300, 300}}}}
	running, err := e.fleet(1).Start()
	if err != nil {
		t.Fatal(err)
	}
	defer running.Stop()
	p := &play{e: e, arm: &Arm{}, o: Options{Seed: 1}, fleet: running}
	part := newPart(time.Now(), time.Hour)
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	p.load(ctx, Load{Name: "l", Clients: 1, PerS: 500, Direct: true, Mix: map[string]float64{"a": 0.1, "b": 0.9}}, part)
	m := part.metrics()
	if m["waiting"] < 100 || m["nowhere"] > 0 {
		t.Errorf("%v unsent, %v without a connection", m["waiting"], m["nowhere"])
	}
	if share := m["a_asked"] / m["asked"]; share < 0.03 || share > 0.2 {
		t.Errorf("%.2f of what was asked is of a class that is a tenth", share)
	}
}
