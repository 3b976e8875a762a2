package fdlimit

import "testing"

// Clients can't use the descriptors of data servers, nor data servers those of clients.
func TestSides(t *testing.T) {
	budget := New(otherDescriptors + 80)
	clients := 0
	for budget.ReserveClient() {
		clients++
	}
	servers := 0
	for budget.ReserveServer() {
		servers++
	}
	if servers != 30 || clients != 50 || budget.Used() != 80 {
		t.Errorf("%d server descriptors, %d client descriptors, %d used", servers, clients, budget.Used())
	}
	budget.ReleaseServer()
	if budget.ReserveClient() || !budget.ReserveServer() {
		t.Error("a data server's descriptor was reserved for a client")
	}
	budget.ReleaseClient()
	<-budget.ClientReleased()
	if budget.ReserveServer() || !budget.ReserveClient() {
		t.Error("a client's descriptor was reserved for a data server")
	}
}

// The limit of client descriptors can be lowered, and raised again up to the original limit.
func TestLimitClients(t *testing.T) {
	budget := New(otherDescriptors + 80)
	if limit := budget.LimitClients(20); limit != 20 {
		t.Errorf("limit %d", limit)
	}
	clients := 0
	for budget.ReserveClient() {
		clients++
	}
	if clients != 20 {
		t.Errorf("%d clients", clients)
	}
	if low, high := budget.LimitClients(1), budget.LimitClients(1000); low != 8 || high != 50 {
		t.Errorf("limits %d, %d", low, high)
	}
}
