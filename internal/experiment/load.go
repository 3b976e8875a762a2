package experiment

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// load runs the clients of a load.
func (run *armRun) load(ctx context.Context, settings Load, part *partStats) {
	hash := fnv.New64a()
	hash.Write([]byte(settings.Name))
	names := make([]string, 0, len(settings.Mix))
	for class := range settings.Mix {
		names = append(names, class)
	}
	slices.Sort(names)
	if sleep(ctx, time.Until(run.from.Add(seconds(settings.FromS)))) != nil && settings.FromS > 0 {
		return
	}
	if settings.ToS > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, run.from.Add(seconds(settings.ToS)))
		defer stop()
	}
	var clients sync.WaitGroup
	defer clients.Wait()
	newClient := func(index int) *loadClient {
		return &loadClient{armRun: run, load: &settings, part: part, names: names, reconnects: float64(index) < settings.ReconnectShare*float64(settings.Clients),
			rng: rand.New(rand.NewPCG(run.options.Seed, hash.Sum64()+uint64(index))), number: index}
	}
	if settings.PerS == 0 {
		for index := range settings.Clients {
			clients.Go(func() {
				client := newClient(index)
				defer client.disconnect()
				for ctx.Err() == nil {
					if pause := max(client.runRequest(ctx), milliseconds(settings.PauseMS)); pause > 0 {
						_ = sleep(ctx, pause)
					}
				}
			})
		}
		return
	}
	// Requests arrive independently of the answers; each is made by an idle client.
	idle := make(chan *loadClient, settings.Clients)
	for index := range settings.Clients {
		idle <- newClient(index)
	}
	rng, next := rand.New(rand.NewPCG(run.options.Seed, hash.Sum64()-1)), time.Now()
	unsent := rand.New(rand.NewPCG(run.options.Seed, hash.Sum64()-2)) // a separate generator, so that the arrivals are the same in all arms
	for ctx.Err() == nil {
		next = next.Add(seconds(rng.ExpFloat64() / settings.PerS))
		if sleep(ctx, time.Until(next)) != nil {
			break
		}
		select {
		case client := <-idle:
			clients.Go(func() {
				client.runRequest(ctx)
				idle <- client
			})
		default: // no client is idle: the request counts as a request of the mix that could not be sent
			class := settings.drawClass(names, unsent)
			part.done(class, run.experiment.Classes[class], time.Now(), waiting, "")
		}
	}
	clients.Wait()
	for range settings.Clients {
		(<-idle).disconnect()
	}
}
