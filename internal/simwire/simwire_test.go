package simwire

import (
	"strings"
	"testing"

	"lotushook/internal/platformsettings"
	"lotushook/policy/balance"
)

const startLine = `{"clock":1000000000,"parts":[{"who":3,"events":[` +
	`{"what":"list","page":0,"nodesList":[{"node":5,"az":"a","set":1,"lifecycle":"ready","leader":1,"weight":1},` +
	`{"node":6,"az":"a","set":1,"lifecycle":"ready","leader":0,"weight":1}]},` +
	`{"what":"newInstance","initSeed":7,"env":{"balancers":1,"zone":"a","granularity":5000000,"newKey":[1],` +
	`"classes":[{"name":"w","effect":"single_shot","objective":100000000,"deadline":900000000,"gain":1},` +
	`{"name":"r","effect":"free","objective":100000000,"deadline":900000000,"gain":1}],` +
	`"domain":{"classRead":["mutate","eventual"],"showsRole":"static","zero":500000000,"answersStamped":true},` +
	`"limits":{"maxAttempts":3,"mostHeld":10,"cancel":true,"retryAfter":true,"maxRetryAfter":50000000},` +
	`"report":{"fields":["queue","x0","x1"],"how":"probe"}}},` +
	`{"what":"peersKnown","how":"disk","stamp":1,"page":0},{"what":"novelty","x":1}]}]}`

func line(t *testing.T, h *Host, text string) string {
	t.Helper()
	out, err := h.Line([]byte(text), nil)
	if err != nil {
		t.Fatal(err)
	}
	if !json.Valid(out) {
		t.Fatalf("not JSON: %s", out)
	}
	return string(out)
}

func TestConversation(t *testing.T) {
	h := NewHost()
	if got := line(t, h, startLine); got != "{\"parts\":[]}\n" {
		t.Errorf("start: %s", got)
	}
	got := line(t, h, `{"clock":1005000000,"parts":[{"who":3,"events":[{"what":"incoming","handle":"00ab",`+
		`"band":"w","owner":0,"clientKey":"s","validUntil":1905000000,"cluster":1}]}]}`)
	if want := `{"what":"dispatch","handle":"00ab","tryUntil":1905000000,"node":5}`; !strings.Contains(got, want) {
		t.Errorf("no %s in %s", want, got)
	}
	got = line(t, h, `{"clock":1015000000,"parts":[{"who":3,"events":[{"what":"outcome","handle":"00ab",`+
		`"sendNo":0,"node":5,"result":"enoent","note":2002}]}]}`)
	if want := `{"what":"dispatch","handle":"00ab","tryUntil":1905000000,"node":6}`; !strings.Contains(got, want) {
		t.Errorf("a miss must send the write on: %s", got)
	}
	line(t, h, `{"clock":1020000000,"parts":[{"who":3,"events":[{"what":"killed"}]}]}`)
	if got := line(t, h, `{"clock":1025000000,"parts":[{"who":3,"events":[{"what":"incoming","handle":"00ac",`+
		`"band":"w","validUntil":1925000000,"cluster":1}]}]}`); got != "{\"parts\":[]}\n" {
		t.Errorf("a killed instance acted: %s", got)
	}
}

func TestNotesAndReports(t *testing.T) {
	in := &instance{set: &platformsettings.Settings{PositionZero: 1000, ReportFields: []string{"waiting", "x0", "x1", "active"}}}
	if role, pos := in.note(25486); role != 2 || pos != 1000+6371*millisecond {
		t.Errorf("note: %d %d", role, pos)
	}
	if _, pos := in.note(1); pos != 0 {
		t.Errorf("a note without position: %d", pos)
	}
	var e balance.Event
	if in.report([]float64{3, 1.2349, 1}, &e); e.Role != 1 || e.Position != 1000+1234*millisecond || e.HasLoad {
		t.Errorf("report without the requests held: %+v", e)
	}
	if in.report([]float64{3, 1.2349, 0, 5}, &e); e.Role != 2 || !e.HasLoad || e.Waiting != 3 || e.Active != 5 {
		t.Errorf("report: %+v", e)
	}
}

func TestMalformedIsAnError(t *testing.T) {
	for _, text := range []string{"", "{", `{"parts":[]}`, `[]`,
		strings.Replace(startLine, "mutate", "mutant", 1), strings.Replace(startLine, `"balancers":1`, `"balancers":0`, 1),
		strings.Replace(startLine, `"single_shot"`, `"twice"`, 1), strings.Replace(startLine, `"ready"`, `"odd"`, 1)} {
		if out, err := NewHost().Line([]byte(text), nil); err == nil {
			t.Errorf("no error for %.60q, but %s", text, out)
		}
	}
}

func FuzzLine(f *testing.F) {
	f.Add([]byte(startLine), []byte(`{"clock":5,"parts":[]}`))
	f.Add([]byte(`{"clock":1,"parts":[{"who":1,"events":[{"what":"killed"}]}]}`), []byte(startLine))
	f.Fuzz(func(t *testing.T, one, two []byte) {
		h := NewHost()
		for _, text := range [][]byte{one, two} {
			if out, err := h.Line(text, nil); err == nil && !json.Valid(out) {
				t.Errorf("reply is not JSON: %s", out)
			}
		}
	})
}
