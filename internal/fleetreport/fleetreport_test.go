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

func logs(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// Counts of all routers come together by time and data server; a line that is cut off, or none of ours, ends nothing.
func TestRead(t *testing.T) {
	at := func(second int) string { return fmt.Sprintf("time=2026-12-01T10:00:%02d.000Z level=INFO ", second) }
	dir := logs(t, map[string]string{
		"n1.log": "0.016 " + at(1) + "msg=serving name=n1\n" +
			at(1) + "msg=totals name=n1 clients=3 asked=5 served=4 at.s-1=4/0/0/0/1/0\n" +
			at(11) + "msg=totals name=n1 asked=2 at.s-1=1/0/0/0/1/0 at.s-2=x\n" +
			at(12) + `msg=request id=ab key=k1 class=order cluster=4 came_ms=20 left_ms=500 end=refused why=no_primary took_ms=250 way="s-1:finding@0=miss/3"` + "\n",
		"n2.log": "panic: of something else\n\x00\xff\n" + at(2) + "msg=totals name=n2 asked=1 refused_crowd=1\n" +
			at(12) + `msg=request id=cd key=k1 class=order cluster=4 came_ms=10 left_ms=700 end=served why=usual took_ms=9 way="s-2:usual@0=done/9"` + "\n" +
			at(13) + "msg=totals name=\"n2 asked=",
	})
	f, err := Read(dir, Options{Span: 10 * time.Second, Request: "k1"})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(map[string]int64{"asked": 8, "served": 4, "refused_crowd": 1}, f.Sum()); diff != "" {
		t.Errorf("sums (-want +got)\n%s", diff)
	}
	var rows []map[string]int64
	for _, span := range f.Spans() {
		rows = append(rows, f.Times[span])
	}
	if diff := cmp.Diff([]map[string]int64{{"asked": 6, "served": 4, "refused_crowd": 1}, {"asked": 2}}, rows); diff != "" {
		t.Errorf("over time (-want +got)\n%s", diff)
	}
	want := map[string]*Seen{"s-1": {EndpointCounts: metrics.EndpointCounts{Succeeded: 5, NoResponse: 2}, Routers: map[string]struct{}{"n1": {}}}}
	if diff := cmp.Diff(want, f.Servers); diff != "" {
		t.Errorf("data servers (-want +got)\n%s", diff)
	}
	if diff := cmp.Diff(map[End]int64{{"order", "refused", "no_primary"}: 1, {"order", "served", "usual"}: 1}, f.Ends); diff != "" {
		t.Errorf("ends (-want +got)\n%s", diff)
	}
	if len(f.Lines) != 2 || f.Lines[0].Router != "n2" || !strings.Contains(f.Lines[1].Text, "s-1:finding@0=miss/3") {
		t.Errorf("the way of k1: %v", f.Lines)
	}
	if f.Skipped < 2 {
		t.Errorf("%d parts skipped", f.Skipped)
	}
}

func TestOutliers(t *testing.T) {
	f := &Fleet{Routers: map[string]map[string]int64{}}
	for i := range 50 {
		f.Routers[fmt.Sprintf("n%d", i)] = map[string]int64{"asked": 100 + int64(i%7), "probes": int64(i % 2)}
	}
	if out := f.Outliers(); len(out) > 0 {
		t.Errorf("stand out among equals: %v", out)
	}
	f.Routers["n7"]["no_list"] = 300
	f.Routers["n9"]["probes"] = 19 // far from the median, but few
	want := []Outlier{{"n7", "no_list", 300, 0, 300}}
	if diff := cmp.Diff(want, f.Outliers()); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

func TestNothingToRead(t *testing.T) {
	for _, o := range []Options{{Span: time.Second}, {}} {
		if _, err := Read(t.TempDir(), o); err == nil {
			t.Errorf("%v: read", o)
		}
	}
}
