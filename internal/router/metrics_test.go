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

// logBuffer contains what is logged during a test.
type logBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (buffer *logBuffer) Write(p []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.Buffer.Write(p)
}

func (buffer *logBuffer) String() string {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.Buffer.String()
}

// captureLog returns a buffer to which the default logger writes until the test ends.
func captureLog(t *testing.T) *logBuffer {
	t.Helper()
	buffer, previous := &logBuffer{}, slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(buffer, nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
	return buffer
}

// Requests that are not served are logged with their attempts, and the last line of totals counts all outcomes.
func TestTotalsAndAccessLog(t *testing.T) {
	buffer := captureLog(t)
	now := make(chan time.Time)
	close(now)
	config := &siteconfig.Config{Log: &siteconfig.Log{TotalsIntervalMS: 3600e3, Trace: siteconfig.TraceWrong, TracePerS: 1}}
	stage, _, stop, done := startRouterWithConfig(t, config, now, noTimeouts)
	stage.Run(`
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
		expect s1 EOF`) // the attempt is canceled
	stop()
	<-done //nolint:errcheck // not part of the test
	text := buffer.String()
	for _, want := range []string{
		`msg=totals name=n0 resident_kb=`, ` clients=0 open=0 idle=0 asked=2 dial_up=1 end_canceled=1 end_done=1 first=2 gone=1 `,
		` served=1 at.h-1=1/0/0/0/1/0`,
		`msg=request id=02 key=ab class=write cluster=1 `,
		`way="h-1:`, `=canceled/`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%s is missing in\n%s", want, text)
		}
	}
	if regexp.MustCompile(`msg=request id=01`).MatchString(text) {
		t.Error("a served request was logged")
	}
}

// If metrics and the access log are disabled, nothing is counted, and neither totals nor requests are logged.
func TestTotalsDisabled(t *testing.T) {
	buffer := captureLog(t)
	router := newRouter(t, nettest.EndpointList(1, "h-1 127.0.0.1:1 1 SERVING"))
	router.writeTotals()
	if router.metrics != nil || router.accessLog.wanted() || strings.Contains(buffer.String(), "totals") {
		t.Errorf("metrics or the access log are enabled: %s", buffer)
	}
}

// Request log lines beyond the configured rate are omitted and counted.
func TestAccessLogRate(t *testing.T) {
	buffer := captureLog(t)
	router := newRouterWithConfig(t, &siteconfig.Config{Log: &siteconfig.Log{Trace: siteconfig.TraceAll, TracePerS: 5}}, nettest.EndpointList(1, "h-1 127.0.0.1:1 1 SERVING"))
	served := &request{router: router, arrivedAt: router.clock.now(), requestTask: requestTask{outcome: endServed}}
	for range 1000 {
		router.accessLog.write(served)
	}
	router.accessLog.logOmitted()
	written := strings.Count(buffer.String(), "msg=request ")
	omitted := 0
	for _, match := range regexp.MustCompile(`omitted" lines=(\d+)`).FindAllStringSubmatch(buffer.String(), -1) {
		lines := 0
		for _, digit := range match[1] {
			lines = 10*lines + int(digit-'0')
		}
		omitted += lines
	}
	if written+omitted != 1000 || written == 0 || omitted == 0 {
		t.Errorf("%d lines written, %d omitted", written, omitted)
	}
}
