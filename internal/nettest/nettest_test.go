package nettest

import (
	"net"
	"testing"
)

// What a scenario expects and does not get must be an error: a test language
// that lets everything through proves nothing.
func TestExpectationsCanFail(t *testing.T) {
	for _, c := range []struct {
		send, expect string
		ok           bool
	}{
		{`Q "a d=12 */"`, `Q "a d=# */"`, true},
		{`Q "a d=x"`, `Q "a d=#"`, false},
		{`Q "a"`, `Q "b"`, false},
		{`D "v" | Z`, `D "v" | Z`, true},
		{`D "v" | Z`, `Z | D "v"`, false},
		{`E 53300`, `E 58000`, false},
		{`FATAL 53300`, `E 53300`, false},
		{`E 53300`, `E 53300 1000`, false},
		{`S rank=copy`, `S rank=source`, false},
		{`welcome | Z`, `welcome | Z`, true},
		{`raw "N"`, `raw "S"`, false},
		{`raw "GET /\r\n"`, `line "GET /"`, true},
		{`raw "GET /\r\n"`, `line "PUT /"`, false},
		{`Z`, `EOF`, false},
		{`X`, `Z`, false},
	} {
		s := New(t, "s")
		s.Dial("c", s.Addr("s"))
		for _, step := range []string{"send c " + c.send, "wait s"} {
			if err := s.step(step); err != nil {
				t.Fatalf("%s: %v", step, err)
			}
		}
		if err := s.step("expect s " + c.expect); (err == nil) != c.ok {
			t.Errorf("sent %s, expected %s: %v", c.send, c.expect, err)
		}
		if err := s.step("close c"); err != nil {
			t.Error(err)
		}
	}
}

func TestBadSteps(t *testing.T) {
	s := New(t, "s")
	for _, step := range []string{"dance s", "wait x", "send s Z", "expect c1 Z"} {
		if err := s.step(step); err == nil {
			t.Errorf("%s: no error", step)
		}
	}
	s.Shut("s")
	if conn, err := net.Dial("tcp", s.Addr("s")); err == nil {
		conn.Close()
		t.Error("a server that was shut listens")
	}
}
