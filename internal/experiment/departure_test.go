package experiment

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"lotushook/internal/faultinject"
	"lotushook/internal/pgwire"
)

// TestUnreadQueriesOfDepartedClient guards against queries that are still unread when their client disconnects and are
// sent to data servers afterwards (operators' picture (c)): no attempt may begin later than 0.1 s after its client has
// disconnected. The router is held up while the client sends its queries and leaves.
func TestUnreadQueriesOfDepartedClient(t *testing.T) {
	const (
		queries     = 40
		heldUp      = 300 * time.Millisecond
		observation = time.Second
	)
	read := func(number int) []byte {
		return (&request{id: fmt.Sprintf("r%d", number), class: "katalog-lesen", objectID: "a", group: 1, timeout: 20 * time.Second}).query()
	}
	write := func(number int) []byte {
		return (&request{id: fmt.Sprintf("w%d", number), class: "ausleihe", key: fmt.Sprintf("k%d", number), objectID: "a", group: 1, timeout: 20 * time.Second}).query()
	}
	for _, test := range []struct {
		name  string
		query func(number int) []byte
	}{
		{"reads", read},
		{"writes", write},
		{"reads behind ignored messages", func(number int) []byte {
			return append(pgwire.Append(nil, pgwire.Flush, nil), read(number)...)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			running, router := startAsShipped(t, 64, 512)
			conn := dialRouter(t, router, startTimeout)
			if _, err := conn.query(read(queries), time.Now().Add(startTimeout)); err != nil {
				t.Fatal(err)
			}
			sent := running.Audit().Requests
			resume := faultinject.Pause(router.pid())
			defer resume()
			for number := range queries {
				if _, err := conn.conn.Write(test.query(number)); err != nil {
					t.Fatal(err)
				}
			}
			conn.conn.Close()
			time.Sleep(heldUp)
			resume()
			time.Sleep(observation)
			if later := running.Audit().Requests - sent; later > 0 {
				t.Errorf("%d of %d queries were sent later than %v after their client had disconnected", later, queries, heldUp)
			}
		})
	}
}

// TestDepartedClientWithMuchUnread guards against a client that disconnects with more unread than the system takes for
// the router, so that the end of its connection can't arrive (operators' picture (c)): all data servers hang while it
// sends its queries and leaves, and none of them may be sent after that.
func TestDepartedClientWithMuchUnread(t *testing.T) {
	const (
		queries     = 200
		valueBytes  = 60_000
		hang        = time.Second
		beforeLeave = 300 * time.Millisecond
		grace       = 150 * time.Millisecond // 0.1 s, and 50 ms for the sockets
	)
	running, router := startAsShipped(t, 64, 512)
	conn := dialRouter(t, router, startTimeout)
	for _, server := range running.Servers() {
		server.Hang(hang)
	}
	var sending sync.WaitGroup
	sending.Go(func() {
		for range queries {
			if _, err := conn.conn.Write(longWrite(valueBytes)); err != nil {
				return
			}
		}
	})
	time.Sleep(beforeLeave)
	conn.conn.Close()
	sending.Wait()
	time.Sleep(grace)
	received := running.Audit().Requests
	time.Sleep(2 * hang)
	if later := running.Audit().Requests - received; later > 0 {
		t.Errorf("%d queries were sent later than %v after their client had disconnected, %d before", later, grace, received)
	}
}
