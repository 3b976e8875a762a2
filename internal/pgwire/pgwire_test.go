package pgwire

import (
	"bytes"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"lotushook/internal/ringbuffer"
)

func TestParseRequest(t *testing.T) {
	for _, tc := range []struct {
		text string
		want Request
	}{
		{"/* id=9b,c=basket,d=480,cluster=2,after=1767225600123 */ SELECT body FROM objects WHERE oid = '7f'",
			Request{ID: "9b", Class: "basket", Timeout: 480 * time.Millisecond, Cluster: 2, After: 1767225600123,
				HasAfter: true, Session: "7f"}},
		{"/*c=order,d=480.5,k=5c,r=1,new=x,cluster=0,id=9b*/ INSERT INTO objects (oid, body) VALUES ('7f', '\\x9f')",
			Request{ID: "9b", Class: "order", Timeout: 480500 * time.Microsecond, Key: "5c", Retry: true, Session: "7f"}},
		{"  /* id=1 , c=a , d=0, cluster=0 */ DELETE", Request{ID: "1", Class: "a"}},
		{"/* id=1,c=a,d=1,cluster=0,after=0 */ ''", Request{ID: "1", Class: "a", Timeout: time.Millisecond, HasAfter: true}},
	} {
		got, err := ParseRequest(tc.text)
		if err != nil {
			t.Errorf("%s: %v", tc.text, err)
		}
		if diff := cmp.Diff(tc.want, got, cmpopts.IgnoreUnexported(Request{})); diff != "" {
			t.Errorf("%s: (-want +got)\n%s", tc.text, diff)
		}
	}
}

// An invalid request comment must be rejected; the router must not guess what it means.
func TestBadComments(t *testing.T) {
	for _, text := range []string{"SELECT 1", "/* id=1,c=a,d=1", "/* */ x", "/* c=a,d=1,cluster=1 */ x", "/* id=1,d=1,cluster=1 */ x",
		"/* id=1,c=a,cluster=1 */ x", "/* id=1,c=a,d=-1,cluster=1 */ x", "/* id=1,c=a,d=NaN,cluster=1 */ x", "/* id=1,c=a,d=1e99,cluster=1 */ x",
		"/* id=1,id=2,c=a,d=1,cluster=1 */ x", "/* id,c=a,d=1,cluster=1 */ x", "/* id=,c=a,d=1,cluster=1 */ x", "/* id=1,c=a,d=1,cluster=x */ x",
		"/* id=1,c=a,d=1,cluster=1,after=-5 */ x", "/* id=1,c=a,d=1,cluster=1,after=99999999999999 */ x", "-- id=1,c=a,d=1,cluster=1", "/* id=1,c=a,d=1 */ x",
		"/* id=a b,c=a,d=1,cluster=1 */ x", "/* id=1,c=a,d=1,k=\xff,cluster=1 */ x", "/* id=" + strings.Repeat("1", 65) + ",c=a,d=1,cluster=1 */ x"} {
		if request, err := ParseRequest(text); !errors.Is(err, ErrComment) {
			t.Errorf("%s: %+v, %v", text, request, err)
		}
	}
}

// The statement that a data server receives may differ from the client's only in d: on the platform, any other change
// makes the run invalid.
func TestWriteQuery(t *testing.T) {
	request, err := ParseRequest("/* id=9b,c=order,d=480,k=5c,cluster=1 */ INSERT 'd=480'")
	if err != nil {
		t.Fatal(err)
	}
	for timeout, want := range map[time.Duration]string{
		333 * time.Millisecond: "/* id=9b,c=order,d=333,k=5c,cluster=1 */ INSERT 'd=480'",
		-time.Second:           "/* id=9b,c=order,d=1,k=5c,cluster=1 */ INSERT 'd=480'",
	} {
		var out bytes.Buffer
		if err := request.WriteQuery(&out, timeout); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(AppendQuery(nil, want)), out.String()); diff != "" {
			t.Errorf("%v: (-want +got)\n%s", timeout, diff)
		}
	}
}

func TestParseReport(t *testing.T) {
	for _, tc := range []struct {
		text string
		want Report
		bad  bool
	}{
		{"x0=1767225600.1239,x1=1,inflight=7", Report{Position: 1767225600123, Primary: true, HasRole: true, Active: 7, HasActive: true}, false},
		{"x1=0, waiting=2, active=5", Report{HasRole: true, Waiting: 2, Active: 5, HasLoad: true, HasActive: true}, false},
		{"util=0.61", Report{}, false},
		{"x0", Report{}, true}, {"x0=abc", Report{}, true}, {"x0=-1", Report{}, true}, {"x0=1e300", Report{}, true},
		{"inflight=NaN", Report{}, true}, {"", Report{}, true},
	} {
		got, err := ParseReport(tc.text)
		if diff := cmp.Diff(tc.want, got); diff != "" || (err != nil) != tc.bad {
			t.Errorf("%q: %v (-want +got)\n%s", tc.text, err, diff)
		}
	}
}

func TestMessages(t *testing.T) {
	buffer := ringbuffer.New(64)
	_, _ = buffer.Write(AppendQuery(nil, "SELECT 1")[:9]) // fits the buffer
	if _, err := Next(buffer); !errors.Is(err, ErrIncomplete) {
		t.Errorf("an incomplete message: %v", err)
	}
	_, _ = buffer.Write(AppendQuery(nil, "SELECT 1")[9:]) // fits the buffer
	message, err := Next(buffer)
	if text, textErr := QueryText(message.Body); err != nil || textErr != nil || message.Kind != Query || text != "SELECT 1" {
		t.Errorf("%c %q: %v, %v", message.Kind, text, err, textErr)
	}
	for text, want := range map[string]any{
		"Q\x00\x00\x00\x03":                      ErrMalformed,
		"Q\xff\xff\xff\xff":                      ErrMalformed,
		"Q\x7f\xff\xff\xff":                      ErrMalformed,
		"Q\x00\x00\x00\x40" + "0123456789012345": &TooLongError{'Q', 65},
	} {
		buffer := ringbuffer.New(64)
		_, _ = buffer.Write([]byte(text)) // fits the buffer
		_, err := Next(buffer)
		if tooLong, ok := want.(*TooLongError); ok {
			var got *TooLongError
			if !errors.As(err, &got) || *got != *tooLong {
				t.Errorf("%q: %v", text, err)
			}
		} else if !errors.Is(err, want.(error)) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if code, err := ErrorCode(AppendError(nil, "ERROR", "25006", "x", "9")[5:]); code != "25006" || err != nil {
		t.Errorf("code %s, %v", code, err)
	}
	for _, body := range []string{"", "\x00", "Sx\x00", "C53300"} {
		if code, err := ErrorCode([]byte(body)); err == nil {
			t.Errorf("%q: code %s", body, code)
		}
	}
	for _, body := range []string{"", "\x00\x02", "\x00\x01\x00\x00\x00\x05abc", "\x00\x01\xff\xff\xff\xfe", "\x00\x01\x00\x00\x00\x01ab"} {
		if value, err := Column([]byte(body)); err == nil {
			t.Errorf("%q: column %q", body, value)
		}
	}
}

func TestIsBlank(t *testing.T) {
	for text, want := range map[string]bool{"": true, " ;\n": true, "x": false, "/* id=1 */": false} {
		if IsBlank(text) != want {
			t.Errorf("%q: %v", text, !want)
		}
	}
}

// No input may make a parser panic or read beyond the bytes received.
//
//nolint:gocognit // one scenario or table of cases that reads best in one piece
func FuzzMessages(f *testing.F) {
	f.Add(AppendStartup(nil, "worker", "catalog"))
	f.Add(AppendSessionStart(nil, CancelKey{}))
	f.Add(AppendError(AppendQuery(nil, "x"), "ERROR", "XX000", "m", "5"))
	f.Add([]byte("D\x00\x00\x00\x0f\x00\x01\x00\x00\x00\x05abcde"))
	f.Fuzz(func(t *testing.T, in []byte) {
		for _, start := range []bool{true, false} {
			buffer := ringbuffer.New(512)
			if _, err := buffer.Write(in); err != nil {
				return
			}
			for {
				if start {
					start = false
					if kind, size, err := NextStart(buffer); err != nil || kind == 0 || buffer.Discard(size) != size {
						break
					}
					continue
				}
				message, err := Next(buffer)
				if err != nil {
					break
				}
				// Only panics matter here, not the results.
				_, _ = QueryText(message.Body)
				_, _ = ErrorCode(message.Body)
				_, _, _ = Parameter(message.Body)
				_ = CheckOneColumn(message.Body)
				_ = CheckOneRow(message.Body)
				IsAuthOK(message.Body)
				if value, err := Column(message.Body); err == nil {
					_, _ = ParseReport(string(value))
				}
				if size := buffer.Discard(message.Size); size != message.Size || size < 5 {
					t.Fatalf("message of %d bytes, %d discarded", message.Size, size)
				}
			}
		}
	})
}

// A request that parses is forwarded unchanged except for d.
func FuzzRequest(f *testing.F) {
	f.Add("/* id=9b,c=order,d=480,k=5c,cluster=1 */ INSERT 'd=480'")
	f.Add("/*d= 7 ,id=1,c=x*/'")
	f.Fuzz(func(t *testing.T, text string) {
		request, err := ParseRequest(text)
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := request.WriteQuery(&out, 77*time.Millisecond); err != nil {
			t.Fatal(err)
		}
		sent := strings.TrimSuffix(out.String()[5:], "\x00")
		reparsed, err := ParseRequest(sent)
		if err != nil {
			t.Fatalf("%q became %q: %v", text, sent, err)
		}
		request.Timeout = 77 * time.Millisecond
		if diff := cmp.Diff(request, reparsed, cmpopts.IgnoreUnexported(Request{})); diff != "" {
			t.Fatalf("%q became %q\n%s", text, sent, diff)
		}
	})
}

// RaiseAfter raises the position in the comment, wherever it stands, and never lowers it.
func TestRaiseAfter(t *testing.T) {
	for text, want := range map[string]string{
		"/* id=1,c=own,d=500,cluster=1 */ SELECT":                "/* id=1,c=own,d=9,after=1767225600123,cluster=1 */ SELECT",
		"/* id=1,after=5,c=own,d=500,cluster=1 */ S":             "/* id=1,after=1767225600123,c=own,d=9,cluster=1 */ S",
		"/* id=1,c=own,d=500,cluster=1, after=5 */ S":            "/* id=1,c=own,d=9,cluster=1, after=1767225600123 */ S",
		"/* id=1,c=own,d=500,cluster=1,after=1767225600124 */ S": "/* id=1,c=own,d=9,cluster=1,after=1767225600124 */ S",
	} {
		request, err := ParseRequest(text)
		if err != nil {
			t.Fatal(err)
		}
		request.RaiseAfter(1767225600100)
		request.RaiseAfter(1767225600123)
		request.RaiseAfter(7)
		var out bytes.Buffer
		if err := request.WriteQuery(&out, 9*time.Millisecond); err != nil {
			t.Fatal(err)
		}
		if got := strings.TrimSuffix(out.String()[5:], "\x00"); got != want || !request.HasAfter || request.After < 1767225600123 {
			t.Errorf("%s: %s, %d", text, got, request.After)
		}
	}
}

// Guards against session keys, idempotency keys and team names that keep their whole statements in memory: they are
// stored long after the request has ended, and the longest statement has 1 MiB. A long session key is not stored as it
// is, but distinguishes sessions all the same.
func TestStoredNamesKeepNoStatement(t *testing.T) {
	const statements, maxBytes = 64, 1 << 20
	long := strings.Repeat("s", 512<<10)
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	for _, prefix := range []string{"s", long} {
		before := heap()
		var stored []string
		sessions := map[string]bool{}
		for number := range statements {
			parsed, err := ParseRequest(fmt.Sprintf(`/* id=%d,c=order,d=480,k=key%d,team=t%d,cluster=2 */ INSERT INTO objects (oid, body) VALUES ('%s%d', '\x%s')`,
				number, number, number, prefix, number, strings.Repeat("9f", 128<<10)))
			if err != nil {
				t.Fatal(err)
			}
			stored = append(stored, parsed.Key, parsed.Team, parsed.Session)
			sessions[parsed.Session] = true
		}
		if growth := int64(heap()) - int64(before); growth > maxBytes {
			t.Errorf("%d statements with session keys of %d bytes: their names hold %d bytes", statements, len(prefix)+1, growth)
		}
		if len(sessions) != statements || len(stored) != 3*statements {
			t.Errorf("%d sessions of %d are distinguished", len(sessions), statements)
		}
	}
}

// TestManyFieldsNeedNoMemory guards against messages whose very many short parts take many times the memory of the
// message while it is parsed: the router passed its memory limit when some clients sent such queries (review/6).
func TestManyFieldsNeedNoMemory(t *testing.T) {
	var comment strings.Builder
	for i := 0; comment.Len() < 1<<20; i++ {
		fmt.Fprintf(&comment, "f%d=1,", i)
	}
	query := "/* " + comment.String() + "id=1,c=a,d=1,cluster=1 */ x"
	tag := append([]byte(strings.Repeat("A ", 1<<19)), "1\x00"...)
	for _, tc := range []struct {
		name     string
		parse    func() error
		maxBytes uint64
	}{
		{"request comment", func() error { _, err := ParseRequest(query); return err }, 4 << 10},
		{"command tag", func() error { return CheckOneRow(tag) }, uint64(len(tag)) + 16<<10}, // one copy of it
	} {
		t.Run(tc.name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := tc.parse()
			runtime.ReadMemStats(&after)
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > tc.maxBytes {
				t.Errorf("allocated %d bytes, at most %d allowed (result: %v)", allocated, tc.maxBytes, err)
			}
		})
	}
}

// A comment may have as many fields as are allowed, unknown ones included, and no name twice.
func TestNumberOfFields(t *testing.T) {
	withFields := func(count int) string {
		text := "/* id=1,c=a,d=1,cluster=1"
		for i := 4; i < count; i++ {
			text += fmt.Sprintf(",f%d=1", i)
		}
		return text + " */ x"
	}
	if _, err := ParseRequest(withFields(maxFields)); err != nil {
		t.Errorf("%d fields: %v", maxFields, err)
	}
	for _, text := range []string{withFields(maxFields + 1), "/* id=1,c=a,d=1,cluster=1,f=1,f=1 */ x"} {
		if _, err := ParseRequest(text); !errors.Is(err, ErrComment) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
