package fleetreport

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lotushook/internal/metrics"
)

func writeLogs(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// Counts of all routers are added up by time and by data server. Truncated lines and lines of other programs are
// skipped.
func TestRead(t *testing.T) {
	prefix := func(second int) string { return fmt.Sprintf("time=2026-12-01T10:00:%02d.000Z level=INFO ", second) }
	dir := writeLogs(t, map[string]string{
		"n1.log": "0.016 " + prefix(1) + "msg=serving name=n1\n" +
			prefix(1) + "msg=totals name=n1 clients=3 asked=5 served=4 at.s-1=4/0/0/0/1/0\n" +
			prefix(11) + "msg=totals name=n1 asked=2 at.s-1=1/0/0/0/1/0 at.s-2=x\n" +
			prefix(12) + `msg=request id=ab key=k1 class=order cluster=4 came_ms=20 left_ms=500 end=refused why=no_primary took_ms=250 way="s-1:finding@0=miss/3"` + "\n",
		"n2.log": "panic: of something else\n\x00\xff\n" + prefix(2) + "msg=totals name=n2 asked=1 refused_crowd=1\n" +
			prefix(12) + `msg=request id=cd key=k1 class=order cluster=4 came_ms=10 left_ms=700 end=served why=usual took_ms=9 way="s-2:usual@0=done/9"` + "\n" +
			prefix(13) + "msg=totals name=\"n2 asked=",
	})
	fleet, err := Read(dir, Options{Span: 10 * time.Second, Request: "k1"})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(map[string]int64{"asked": 8, "served": 4, "refused_crowd": 1}, fleet.Sum()); diff != "" {
		t.Errorf("sums (-want +got)\n%s", diff)
	}
	var rows []map[string]int64
	for _, span := range fleet.Spans() {
		rows = append(rows, fleet.Times[span])
	}
	if diff := cmp.Diff([]map[string]int64{{"asked": 6, "served": 4, "refused_crowd": 1}, {"asked": 2}}, rows); diff != "" {
		t.Errorf("over time (-want +got)\n%s", diff)
	}
	want := map[string]*Server{"s-1": {EndpointCounts: metrics.EndpointCounts{Succeeded: 5, NoResponse: 2}, Routers: map[string]struct{}{"n1": {}}}}
	if diff := cmp.Diff(want, fleet.Servers); diff != "" {
		t.Errorf("data servers (-want +got)\n%s", diff)
	}
	if diff := cmp.Diff(map[Outcome]int64{{"order", "refused", "no_primary"}: 1, {"order", "served", "usual"}: 1}, fleet.Outcomes); diff != "" {
		t.Errorf("outcomes (-want +got)\n%s", diff)
	}
	if len(fleet.Lines) != 2 || fleet.Lines[0].Router != "n2" || !strings.Contains(fleet.Lines[1].Text, "s-1:finding@0=miss/3") {
		t.Errorf("trace of k1: %v", fleet.Lines)
	}
	if fleet.Skipped < 2 {
		t.Errorf("%d lines skipped", fleet.Skipped)
	}
}

func TestOutliers(t *testing.T) {
	fleet := &Fleet{Routers: map[string]map[string]int64{}}
	for i := range 50 {
		fleet.Routers[fmt.Sprintf("n%d", i)] = map[string]int64{"asked": 100 + int64(i%7), "probes": int64(i % 2)}
	}
	if found := fleet.Outliers(); len(found) > 0 {
		t.Errorf("outliers among similar routers: %v", found)
	}
	fleet.Routers["n7"]["no_list"] = 300
	fleet.Routers["n9"]["probes"] = 19 // far from the median, but below minOutlierCount
	want := []Outlier{{"n7", "no_list", 300, 0, 300}}
	if diff := cmp.Diff(want, fleet.Outliers()); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

func TestReadErrors(t *testing.T) {
	for _, options := range []Options{{Span: time.Second}, {}} {
		if _, err := Read(t.TempDir(), options); err == nil {
			t.Errorf("%v: no error for a folder without logs", options)
		}
	}
}
