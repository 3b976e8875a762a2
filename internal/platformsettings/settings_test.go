package platformsettings

import (
	"encoding/json"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"lotushook/internal/nettest"
	"lotushook/policy/balance"
)

// Invalid settings are an error. With settings that are accepted, the decision module can be created and processes
// events.
func FuzzSettings(f *testing.F) {
	f.Add(nettest.Settings)
	for _, c := range [][2]string{{`"balancers":1`, `"balancers":0`}, {`"lateFail":0.042`, `"lateFail":-1`}, {`"coldShare":0.17`, `"coldShare":17`},
		{`"granularity":5000000`, `"granularity":-1`}, {`"maxAttempts":8`, `"maxAttempts":0`}, {`"deadline":20000000000`, `"deadline":0`}} {
		invalid := strings.Replace(nettest.Settings, c[0], c[1], 1)
		if invalid == nettest.Settings {
			f.Fatalf("the settings do not contain %s", c[0])
		}
		settings, err := Parse([]byte(invalid))
		if err == nil {
			_, err = balance.New(settings.Balance, 1)
		}
		if err == nil {
			f.Errorf("%s was accepted", c[1])
		}
		f.Add(invalid)
	}
	f.Fuzz(func(_ *testing.T, text string) {
		settings, err := Parse([]byte(text))
		if err != nil {
			return
		}
		balancer, err := balance.New(settings.Balance, 1)
		if err != nil {
			return
		}
		balancer.Step(1, []balance.Event{{Kind: balance.EndpointSnapshot, Endpoints: []balance.Endpoint{{ID: 1, Group: 1, Primary: true, Weight: 1}}},
			{Kind: balance.RequestArrived, Request: "x", Class: 0, Tenant: -1, Group: 1, Deadline: 2 * settings.Balance.Classes[0].Deadline}})
	})
}

// The test walks through the fields of the settings object by reflection. For each field, a value of the wrong kind, a
// value out of range and a missing value must each be either valid according to the documentation or an error on one
// line with the field's path. Unknown keys must be ignored in every object, because the platform may add some.
//
//nolint:gocognit,funlen // one walk over all fields
func TestEachField(t *testing.T) {
	complete := func() map[string]any {
		text := strings.NewReplacer(`"customers":[]`, `"customers":[{"name":"a","quotaPerS":5.5}]`, `"discovery"`, `"overShareWorth":0.2,"discovery"`,
			`"lateFail"`, `"handshake":0,"lateFail"`, `"rules":{`, `"rules":{"softRemoval":false,`).Replace(nettest.Settings)
		var object map[string]any
		if err := json.Unmarshal([]byte(text), &object); err != nil {
			t.Fatal(err)
		}
		return object
	}
	// The fields that match optional may be missing, except those that match required. Numbers that match unbounded may
	// have any value.
	optional := regexp.MustCompile(`^(discovery|overShareWorth|classes\[0\]\.(keyScope|window|gain|lateWorth)|customers.*|domain\.(answersStamped|behind|sessionMarks|showsRole|zero)|` +
		`limits\.(cancel|maxRetryAfter|probing|retryAfter|secondCopies)|penalties.*|report.*|rules.*)$`)
	unbounded := regexp.MustCompile(`^domain\.zero$`)
	required := regexp.MustCompile(`^customers\[0\](\.name)?$`)

	parse := func(object map[string]any) error {
		raw, err := json.Marshal(object)
		if err != nil {
			t.Fatal(err)
		}
		settings, err := Parse(raw)
		if err == nil {
			err = settings.ValidateForServing()
		}
		if err == nil {
			_, err = balance.New(settings.Balance, 1)
		}
		return err
	}
	if err := parse(complete()); err != nil {
		t.Fatal(err)
	}
	expectError := func(problem, path string, err error) { // the path of the field or of a part of it
		t.Helper()
		if err == nil || !regexp.MustCompile(`(^|; )`+regexp.QuoteMeta(path)+`[:.\[]`).MatchString(err.Error()) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s %s: %v", path, problem, err)
		}
	}
	fields := 0
	var walk func(typ reflect.Type, path string, get func(object map[string]any) any, set func(object map[string]any, value any, remove bool))
	walk = func(typ reflect.Type, path string, get func(map[string]any) any, set func(map[string]any, any, bool)) {
		parseWith := func(value any, remove bool) error {
			object := complete()
			set(object, value, remove)
			return parse(object)
		}
		if path != "" {
			fields++
			wrongKind := any("x")
			if typ.Kind() == reflect.String {
				wrongKind = 7.5
			}
			expectError("of the wrong kind", path, parseWith(wrongKind, false))
			if err := parseWith(nil, true); !optional.MatchString(path) || required.MatchString(path) {
				expectError("missing", path, err)
			} else if err != nil {
				t.Errorf("%s missing: %v", path, err)
			}
		}
		switch typ.Kind() {
		case reflect.Struct:
			object := complete()
			get(object).(map[string]any)["added later"] = map[string]any{"a": []any{1}}
			if err := parse(object); err != nil {
				t.Errorf("%s with an unknown key: %v", path, err)
			}
			for i := range typ.NumField() {
				key := typ.Field(i).Tag.Get("json")
				walk(typ.Field(i).Type, strings.TrimPrefix(path+"."+key, "."), func(object map[string]any) any { return get(object).(map[string]any)[key] },
					func(object map[string]any, value any, remove bool) {
						get(object).(map[string]any)[key] = value
						if remove {
							delete(get(object).(map[string]any), key)
						}
					})
			}
		case reflect.Slice:
			walk(typ.Elem(), path+"[0]", func(object map[string]any) any { return get(object).([]any)[0] }, func(object map[string]any, value any, remove bool) {
				if remove { // in a list: replace the value by an empty one
					value = map[reflect.Kind]any{reflect.String: "", reflect.Int64: 0, reflect.Struct: map[string]any{}}[typ.Elem().Kind()]
				}
				get(object).([]any)[0] = value
			})
		case reflect.Int, reflect.Int64, reflect.Float64:
			if !unbounded.MatchString(path) {
				expectError("below its range", path, parseWith(-1, false))
			}
		case reflect.String:
			if !strings.HasSuffix(path, "name") && !strings.HasPrefix(path, "report.fields") {
				expectError("with an unknown keyword", path, parseWith("no such word", false))
			}
		}
	}
	walk(reflect.TypeFor[object](), "", func(object map[string]any) any { return object }, nil)
	if fields < 45 {
		t.Errorf("only %d fields were visited", fields)
	}
}

// Summaries of different deployments differ.
func TestSummary(t *testing.T) {
	first, err := Parse([]byte(nettest.Settings))
	if err != nil {
		t.Fatal(err)
	}
	second, err := Parse([]byte(strings.NewReplacer(`"balancers":1`, `"balancers":3`, `"customers":[]`, `"customers":[{"name":"a"},{"name":"b"}]`,
		`"bounce"`, `"none"`, `"secondCopies":false`, `"secondCopies":true`, `"how":"probe"`, `"how":"none"`, `"automatic"`, `"subscribe"`).
		Replace(nettest.Settings)))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ got, want string }{
		{first.Summary(), "3 classes, 0 tenants, 1 router; list pushed; answers tell role and position; load reports in probes (x0, x1, active); " +
			"data servers turn away reads that they are too far behind for; the list hides primaries; sessions' positions come with the request; " +
			"one attempt at a time; probes allowed; refusals name a time to return, 1s at most; gone and draining bind"},
		{second.Summary(), "3 classes, 2 tenants, 3 routers; list asked for; answers tell role and position; no load reports; " +
			"data servers check no read: the router alone keeps age bounds and sessions; the list hides primaries; sessions' positions come with the request; " +
			"second copies allowed; probes allowed; refusals name a time to return, 1s at most; gone and draining bind"},
	} {
		if c.got != c.want {
			t.Errorf("got  %s\nwant %s", c.got, c.want)
		}
	}
}
