package experiment

import (
	"context"
	"testing"
	"time"
)

// TestRequestsWithoutAClient checks that a request that can't be sent, as every client is waiting, is drawn from the
// mix and counted separately from failed connections. Such requests once all counted as the class that is first by
// name, with six times the weight, so a short overload looked like a long one.
func TestRequestsWithoutAClient(t *testing.T) {
	experiment := &Experiment{Fleet: Fleet{Groups: 1, Members: 1, Cores: 1, Queue: 4}, Classes: map[string]Class{
		"a": {Read: "write", TimeoutMS: 10000, Weight: 6, WorkMS: []float64{300, 300}},
		"b": {Read: "bounded", BoundMS: 10000, TimeoutMS: 10000, Weight: 1, WorkMS: []float64{300, 300}}}}
	running, err := experiment.fleet(1).Start()
	if err != nil {
		t.Fatal(err)
	}
	defer running.Stop()
	run := &armRun{experiment: experiment, arm: &Arm{}, options: Options{Seed: 1}, fleet: running}
	part := newPartStats(time.Now(), time.Hour)
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	run.load(ctx, Load{Name: "l", Clients: 1, PerS: 500, Direct: true, Mix: map[string]float64{"a": 0.1, "b": 0.9}}, part)
	metrics := part.metrics()
	if metrics["waiting"] < 100 || metrics["nowhere"] > 0 {
		t.Errorf("%v unsent, %v without a connection", metrics["waiting"], metrics["nowhere"])
	}
	if share := metrics["a_asked"] / metrics["asked"]; share < 0.03 || share > 0.2 {
		t.Errorf("%.2f of the requests belong to a class that is a tenth of the mix", share)
	}
}
