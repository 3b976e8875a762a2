package router

import (
	"sync"
	"time"

	"lotushook/policy/inputpacing"
)

// inputPacer paces the input of all clients. It is safe for concurrent use.
type inputPacer struct {
	mu    sync.Mutex // guards pacer and the pacing state of all clients
	pacer *inputpacing.Pacer
}

func newInputPacer(cores float64) (*inputPacer, error) {
	pacer, err := inputpacing.New(cores)
	return &inputPacer{pacer: pacer}, err
}

// paceInput charges input that the reader has received and waits, if the client sends too much, before more is handled.
// It returns an error if the client has disconnected or an answer could not be written.
func (client *client) paceInput(messages, bytes int) error {
	wait := client.router.inputPacer.charge(client, messages, bytes)
	if wait == 0 {
		return nil
	}
	return client.pause(wait, client.router.shutdown.over)
}

func (pacer *inputPacer) charge(client *client, messages, bytes int) time.Duration {
	now := client.router.clock.now()
	pacer.mu.Lock()
	defer pacer.mu.Unlock()
	return time.Duration(pacer.pacer.Charge(&client.pacing, messages, bytes, now))
}
