package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestRun(t *testing.T) {
	for _, test := range []struct {
		in, out string
		fails   bool
	}{
		{"{\"clock\":1,\"parts\":[]}\n{\"clock\":2,\"parts\":[]}\n", "{\"parts\":[]}\n{\"parts\":[]}\n", false},
		{"", "", false},
		{"nonsense\n", "", true},
		{"{\"clock\":1,", "", true},
	} {
		var out bytes.Buffer
		err := run(strings.NewReader(test.in), &out)
		if out.String() != test.out || (err != nil) != test.fails {
			t.Errorf("%q: %q, %v", test.in, out.String(), err)
		}
	}
}
