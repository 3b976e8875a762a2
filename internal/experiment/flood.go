package experiment

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"lotushook/internal/pgwire"
)

// flood opens the connections of a flood, each again after it ends.
func (run *armRun) flood(ctx context.Context, settings Flood, part *partStats) {
	if sleep(ctx, time.Until(run.from.Add(seconds(settings.FromS)))) != nil && settings.FromS > 0 {
		return
	}
	if settings.ToS > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, run.from.Add(seconds(settings.ToS)))
		defer stop()
	}
	deadline, _ := ctx.Deadline()
	startup := pgwire.AppendStartup(nil, "worker", "catalog")
	payload := map[string][]byte{"half": startup[:len(startup)/2], "startup": startup}[settings.Payload]
	var connections sync.WaitGroup
	for number := range settings.Connections {
		connections.Go(func() {
			rng := rand.New(rand.NewPCG(run.options.Seed, uint64(number)))
			buffer := make([]byte, 512)
			for ctx.Err() == nil {
				addr, err := run.loadBalancer.Pick(time.Now())
				if err != nil {
					return
				}
				startedAt := time.Now()
				dialer := net.Dialer{Deadline: deadline, LocalAddr: &net.TCPAddr{IP: net.ParseIP(settings.Address)}}
				conn, err := dialer.DialContext(ctx, "tcp", addr)
				if err == nil {
					conn.SetDeadline(deadline)
					_, _ = conn.Write(payload)
					rejected := false
					for err == nil {
						var count int
						count, err = conn.Read(buffer)
						rejected = rejected || count > 0 && buffer[0] == pgwire.ErrorResponse
					}
					if !errors.Is(err, os.ErrDeadlineExceeded) {
						part.ended(startedAt, rejected)
					}
					conn.Close()
				}
				_ = sleep(ctx, max(milliseconds(settings.PauseMS*(0.5+rng.Float64())), time.Millisecond))
			}
		})
	}
	connections.Wait()
}
