package invariant

import "testing"

func TestCheck(t *testing.T) {
	defer func() {
		if panicked := recover(); (panicked != nil) != Debug {
			t.Errorf("recovered %v, debug build: %v", panicked, Debug)
		}
	}()
	if !Check(true, "holds") || Counts()["holds"] != 0 {
		t.Error("counted an invariant that holds")
	}
	for range 3 {
		if Check(false, "broken on purpose", "a", 1) {
			t.Error("Check returned true for a violated invariant")
		}
	}
	if count := Counts()["broken on purpose"]; count != 3 {
		t.Errorf("counted %d violations, want 3", count)
	}
}
