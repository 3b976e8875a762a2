package fdlimit

import "testing"

// Neither side can take the other's share: a flood of clients must leave the way
// to the data servers open, and the other way round.
func TestSides(t *testing.T) {
	b := New(own + 80)
	accepted := 0
	for b.Accept() {
		accepted++
	}
	dialled := 0
	for b.Dial() {
		dialled++
	}
	if dialled != 30 || accepted != 50 || b.Used() != 80 {
		t.Errorf("%d dialled, %d accepted, %d used", dialled, accepted, b.Used())
	}
	b.Hangup()
	if b.Accept() || !b.Dial() {
		t.Error("a data server's descriptor is a client's")
	}
	b.Leave()
	<-b.Left()
	if b.Dial() || !b.Accept() {
		t.Error("a client's descriptor is a data server's")
	}
}

// What clients may hold follows what the system really grants, and back.
func TestLimitClients(t *testing.T) {
	b := New(own + 80)
	if n := b.LimitClients(20); n != 20 {
		t.Errorf("%d", n)
	}
	accepted := 0
	for b.Accept() {
		accepted++
	}
	if accepted != 20 {
		t.Errorf("%d accepted", accepted)
	}
	if few, many := b.LimitClients(1), b.LimitClients(1000); few != 8 || many != 50 {
		t.Errorf("%d, %d", few, many)
	}
}
