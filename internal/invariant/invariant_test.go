package invariant

import "testing"

func TestCheck(t *testing.T) {
	defer func() {
		if p := recover(); (p != nil) != Debug {
			t.Errorf("panic %v, in a debug build: %v", p, Debug)
		}
	}()
	if !Check(true, "holds") || Counts()["holds"] != 0 {
		t.Error("what holds was counted")
	}
	for range 3 {
		if Check(false, "broken on purpose", "a", 1) {
			t.Error("what is broken was said to hold")
		}
	}
	if n := Counts()["broken on purpose"]; n != 3 {
		t.Errorf("counted %d times", n)
	}
}
