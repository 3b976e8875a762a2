package router

import (
	"bytes"
	"log/slog"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"lotushook/internal/nettest"
	"lotushook/internal/siteconfig"
)

// written is what is logged while a test runs.
type written struct {
	mu sync.Mutex
	bytes.Buffer
}

func (w *written) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(p)
}

func (w *written) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.String()
}

func logged(t *testing.T) *written {
	t.Helper()
	w, before := &written{}, slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(w, nil)))
	t.Cleanup(func() { slog.SetDefault(before) })
	return w
}

// What is not served is written with its way, what is beyond the rate is counted, and the last line of totals has
// what all ends were.
func TestTotalsAndWays(t *testing.T) {
	w := logged(t)
	now := make(chan time.Time)
	close(now)
	own := &siteconfig.Config{Log: &siteconfig.Log{TotalsIntervalMS: 3600e3, Trace: siteconfig.TraceWrong, TracePerS: 1}}
	s, _, stop, done := startRouterWithConfig(t, own, now, noTimeouts)
	s.Run(`
		send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"
		send s1 T | D "v" | C | S rank=source | S as_of=1767225600000 | Z
		expect c1 welcome | T | D "v" | C | Z
		send c1 Q "/* id=02,c=write,d=20000,k=ab,cluster=1 */ B"
		expect s1 Q "/* id=02,c=write,d=#,k=ab,cluster=1 */ B"
		close c1
		expect s1 EOF`) // called off
	stop()
	<-done //nolint:errcheck // the test has seen what it wants
	text := w.String()
	for _, want := range []string{
		`msg=totals name=n0 resident_kb=`, ` clients=0 open=0 idle=0 asked=2 dial_up=1 end_canceled=1 end_done=1 first=2 gone=1 `,
		` served=1 at.h-1=1/0/0/0/1/0`,
		`msg=request id=02 key=ab class=write cluster=1 `,
		`way="h-1:`, `=canceled/`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no %s in\n%s", want, text)
		}
	}
	if regexp.MustCompile(`msg=request id=01`).MatchString(text) {
		t.Error("a served request's way was written")
	}
}

// Switched off, nothing is counted and no line of totals or ways is written.
func TestTotalsOff(t *testing.T) {
	w := logged(t)
	r := newRouter(t, nettest.EndpointList(1, "h-1 127.0.0.1:1 1 SERVING"))
	r.writeTotals()
	if r.metrics != nil || r.accessLog.wanted() || strings.Contains(w.String(), "totals") {
		t.Errorf("something is on: %s", w)
	}
}

// Lines beyond the rate are left out and counted.
func TestWaysAreBounded(t *testing.T) {
	w := logged(t)
	r := newRouterWithConfig(t, &siteconfig.Config{Log: &siteconfig.Log{Trace: siteconfig.TraceAll, TracePerS: 5}}, nettest.EndpointList(1, "h-1 127.0.0.1:1 1 SERVING"))
	one := &request{router: r, arrivedAt: r.clock.now(), requestTask: requestTask{outcome: endServed}}
	for range 1000 {
		r.accessLog.write(one)
	}
	r.accessLog.logOmitted()
	wrote := strings.Count(w.String(), "msg=request ")
	left := 0
	for _, m := range regexp.MustCompile(`left out" lines=(\d+)`).FindAllStringSubmatch(w.String(), -1) {
		n := 0
		for _, c := range m[1] {
			n = 10*n + int(c-'0')
		}
		left += n
	}
	if wrote+left != 1000 || wrote == 0 || left == 0 {
		t.Errorf("%d lines written, %d left out", wrote, left)
	}
}
