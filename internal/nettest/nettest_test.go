package nettest

import (
	"net"
	"testing"
)

// An expected message that does not arrive must be an error: otherwise tests in this language would prove nothing.
func TestExpectationsCanFail(t *testing.T) {
	for _, tc := range []struct {
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
		network := New(t, "s")
		network.SetClients("c", network.Addr("s"))
		for _, step := range []string{"send c " + tc.send, "wait s"} {
			if err := network.step(step); err != nil {
				t.Fatalf("%s: %v", step, err)
			}
		}
		if err := network.step("expect s " + tc.expect); (err == nil) != tc.ok {
			t.Errorf("sent %s, expected %s: %v", tc.send, tc.expect, err)
		}
		if err := network.step("close c"); err != nil {
			t.Error(err)
		}
	}
}

func TestBadSteps(t *testing.T) {
	network := New(t, "s")
	for _, step := range []string{"dance s", "wait x", "send s Z", "expect c1 Z"} {
		if err := network.step(step); err == nil {
			t.Errorf("%s: no error", step)
		}
	}
	network.CloseListener("s")
	if conn, err := net.Dial("tcp", network.Addr("s")); err == nil {
		conn.Close()
		t.Error("a server still listens after CloseListener")
	}
}
