package budget

import "testing"

// Connections to data servers must leave room for clients.
func TestReserve(t *testing.T) {
	b := New(own + 80)
	dialled := 0
	for b.Dial() {
		dialled++
	}
	accepted := 0
	for b.Accept() {
		accepted++
	}
	if dialled != 70 || accepted != 10 || b.Used() != 80 {
		t.Errorf("%d dialled, %d accepted, %d used", dialled, accepted, b.Used())
	}
	b.Free()
	<-b.Freed()
	if b.Dial() || !b.Accept() {
		t.Error("the freed descriptor is not a client's")
	}
}
