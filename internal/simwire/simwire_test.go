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

func reply(t *testing.T, host *Host, text string) string {
	t.Helper()
	out, err := host.HandleLine([]byte(text), nil)
	if err != nil {
		t.Fatal(err)
	}
	if !json.Valid(out) {
		t.Fatalf("not JSON: %s", out)
	}
	return string(out)
}

func TestMessages(t *testing.T) {
	host := NewHost()
	if got := reply(t, host, startLine); got != "{\"parts\":[]}\n" {
		t.Errorf("start: %s", got)
	}
	got := reply(t, host, `{"clock":1005000000,"parts":[{"who":3,"events":[{"what":"incoming","handle":"00ab",`+
		`"band":"w","owner":0,"clientKey":"s","validUntil":1905000000,"cluster":1}]}]}`)
	if want := `{"what":"dispatch","handle":"00ab","tryUntil":1905000000,"node":5}`; !strings.Contains(got, want) {
		t.Errorf("%s is missing in %s", want, got)
	}
	got = reply(t, host, `{"clock":1015000000,"parts":[{"who":3,"events":[{"what":"outcome","handle":"00ab",`+
		`"sendNo":0,"node":5,"result":"enoent","note":2002}]}]}`)
	if want := `{"what":"dispatch","handle":"00ab","tryUntil":1905000000,"node":6}`; !strings.Contains(got, want) {
		t.Errorf("a write that an endpoint rejected as not eligible is not sent to the next endpoint: %s", got)
	}
	reply(t, host, `{"clock":1020000000,"parts":[{"who":3,"events":[{"what":"killed"}]}]}`)
	if got := reply(t, host, `{"clock":1025000000,"parts":[{"who":3,"events":[{"what":"incoming","handle":"00ac",`+
		`"band":"w","validUntil":1925000000,"cluster":1}]}]}`); got != "{\"parts\":[]}\n" {
		t.Errorf("a killed instance returned actions: %s", got)
	}
}

func TestNotesAndReports(t *testing.T) {
	tested := &instance{settings: &platformsettings.Settings{PositionZero: 1000, ReportFields: []string{"waiting", "x0", "x1", "active"}}}
	if role, position := tested.unpackNote(25486); role != 2 || position != 1000+6371*millisecond {
		t.Errorf("note: role %d, position %d", role, position)
	}
	if _, position := tested.unpackNote(1); position != 0 {
		t.Errorf("a note without a position: position %d", position)
	}
	var event balance.Event
	if tested.applyReport([]float64{3, 1.2349, 1}, &event); event.Role != 1 || event.Position != 1000+1234*millisecond || event.HasLoad {
		t.Errorf("report without active requests: %+v", event)
	}
	if tested.applyReport([]float64{3, 1.2349, 0, 5}, &event); event.Role != 2 || !event.HasLoad || event.Waiting != 3 || event.Active != 5 {
		t.Errorf("report: %+v", event)
	}
}

func TestMalformedMessages(t *testing.T) {
	for _, text := range []string{"", "{", `{"parts":[]}`, `[]`,
		strings.Replace(startLine, "mutate", "mutant", 1), strings.Replace(startLine, `"balancers":1`, `"balancers":0`, 1),
		strings.Replace(startLine, `"single_shot"`, `"twice"`, 1), strings.Replace(startLine, `"ready"`, `"odd"`, 1)} {
		if out, err := NewHost().HandleLine([]byte(text), nil); err == nil {
			t.Errorf("no error for %.60q, but the reply %s", text, out)
		}
	}
}

func FuzzLine(f *testing.F) {
	f.Add([]byte(startLine), []byte(`{"clock":5,"parts":[]}`))
	f.Add([]byte(`{"clock":1,"parts":[{"who":1,"events":[{"what":"killed"}]}]}`), []byte(startLine))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		host := NewHost()
		for _, text := range [][]byte{first, second} {
			if out, err := host.HandleLine(text, nil); err == nil && !json.Valid(out) {
				t.Errorf("reply is not JSON: %s", out)
			}
		}
	})
}
