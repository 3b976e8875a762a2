package strictjson

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	jsoniter "github.com/json-iterator/go"
)

type inner struct {
	Name  string         `json:"name"`
	Nets  []netip.Prefix `json:"nets"`
	Share float64        `json:"share"`
}

type outer struct {
	Count int                 `json:"count"`
	List  []inner             `json:"list"`
	By    map[string]inner    `json:"by"`
	One   *inner              `json:"one"`
	On    bool                `json:"on"`
	Raw   jsoniter.RawMessage `json:"raw"`
	inner int                 //nolint:unused // an unexported field, which is ignored
}

func TestUnmarshal(t *testing.T) {
	got := outer{Count: 7}
	err := Unmarshal([]byte(` {"list":[{"name":"a","nets":["10.0.0.0/8"]},{}],"by":{"x":{"share":0.5}},"one":{"name":"b"},"on":true,"raw":[1, {"a":null}]} `), &got)
	if err != nil {
		t.Fatal(err)
	}
	want := outer{Count: 7, List: []inner{{Name: "a", Nets: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}}, {}},
		By: map[string]inner{"x": {Share: 0.5}}, One: &inner{Name: "b"}, On: true, Raw: jsoniter.RawMessage(`[1, {"a":null}]`)}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(outer{}), cmp.Comparer(func(a, b netip.Prefix) bool { return a == b })); diff != "" {
		t.Error(diff)
	}
}

// Each mistake results in an error on a single line that says where it is.
func TestUnmarshalErrors(t *testing.T) {
	for text, want := range map[string]string{
		``: "top level: not valid JSON", `{`: "not valid JSON", `[]`: "top level: an object wanted, got a list",
		`{} {}`:                          "data after the end of the JSON value",
		`{"count":1,"count":1}`:          "count: given twice",
		`{"Count":1}`:                    `Count: unknown key; is "count" meant?`,
		`{"list":[{},{"nmae":1}]}`:       "list[1].nmae: unknown key",
		`{"count":1.5}`:                  "count: a whole number wanted, got 1.5",
		`{"count":"1"}`:                  "count: a whole number wanted, got a string",
		`{"count":null}`:                 "count: a whole number wanted, got null",
		`{"count":99999999999999999999}`: "count: a whole number wanted",
		`{"one":null}`:                   "one: an object wanted, got null",
		`{"list":[{"nets":["10"]}]}`:     "list[0].nets[0]: ",
		`{"by":{"x":{"name":[]}}}`:       "by.x.name: a string wanted, got a list",
		`{"on":1}`:                       "on: true or false wanted",
		`{"inner":1}`:                    "inner: unknown key",
		`{"":1}`:                         "unknown key",
		`{"raw":[1,}`:                    "raw: not valid JSON",
		`{"count":1`:                     "not valid JSON",
	} {
		err := Unmarshal([]byte(text), &outer{})
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, wanted %s", text, err, want)
		}
	}
}

// UnmarshalLenient ignores unknown keys and nulls, but a value of the wrong kind is an error as in Unmarshal.
func TestUnmarshalLenient(t *testing.T) {
	for text, want := range map[string]string{
		`{"new":{"a":[1]},"count":null,"list":null,"one":{"new":1}}`: "",
		`{"new":1,"list":[{"new":1,"share":"x"}]}`:                   "list[0].share: a number wanted, got a string",
	} {
		if err := UnmarshalLenient([]byte(text), &outer{}); (want == "") != (err == nil) || err != nil && err.Error() != want {
			t.Errorf("%s: %v, wanted %s", text, err, want)
		}
	}
}

func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte(`{"list":[{"nets":["10.0.0.0/8"]}],"by":{"x":{}},"raw":[1]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if err := Unmarshal(raw, &outer{}); err == nil && !jsoniter.Valid(raw) {
			t.Errorf("no error for invalid JSON: %q", raw)
		}
	})
}
