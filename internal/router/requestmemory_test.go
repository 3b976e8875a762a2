package router

import (
	"strings"
	"testing"
	"time"

	"lotushook/internal/nettest"
	"lotushook/internal/ringbuffer"
	"lotushook/policy/requestmemory"
)

// startWithPipeline starts a router with a data server for each of two clusters, and a client that has sent a query to
// each without waiting. useUpMemory is called before the client sends them.
func startWithPipeline(t *testing.T, useUpMemory func(*Router)) (*nettest.Network, *Router) {
	t.Helper()
	stage, router, _, _ := startRouterWithTimeouts(t, noTimeouts, "h-1 {s1} 1 SERVING", "h-2 {s2} 2 SERVING")
	useUpMemory(router)
	stage.Run(`
		send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A" | Q "/* id=02,c=read,d=20000,cluster=2 */ A"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"`)
	return stage, router
}

// useUpRequestMemory reserves all memory for requests.
func useUpRequestMemory(router *Router) (reservation requestmemory.Reservation) {
	router.requestMemory.hold(&reservation, router.requestMemory.budget.Capacity(), true)
	return reservation
}

const secondQueryArrives = `
	wait s2
	expect s2 startup
	send s2 welcome
	expect s2 Q "/* id=02,c=read,d=#,cluster=2 */ A"`

// Guards against pipelined queries that are run without memory for their answers: such a query waits until there is
// memory, or until it is its client's only one.
func TestPipelinedQueryWaitsForMemory(t *testing.T) {
	for _, isReleased := range []bool{true, false} {
		var reservation requestmemory.Reservation
		stage, router := startWithPipeline(t, func(router *Router) { reservation = useUpRequestMemory(router) })
		waitUntil(t, "the second query waits for memory", func() bool {
			return anyClient(router, func(client *client) bool {
				client.mu.Lock()
				defer client.mu.Unlock()
				return len(client.slots) == 2 && client.openQueries == 1
			})
		})
		if stage.HasPendingConnection("s2") {
			t.Error("the second query was sent without memory for its answer")
		}
		if isReleased {
			router.requestMemory.release(&reservation)
			stage.Run(secondQueryArrives)
		}
		stage.Run(`
			send s1 T | D "v" | C | S rank=copy | Z
			expect c1 welcome | T | D "v" | C | Z`)
		if !isReleased {
			stage.Run(secondQueryArrives)
		}
		stage.Run(`
			send s2 T | D "w" | C | S rank=copy | Z
			expect c1 T | D "w" | C | Z`)
	}
}

// Guards against answers that are held without memory for them: one that has to wait for its turn is dropped, and its
// client gets an error in its place and order. One whose turn it is is delivered.
func TestAnswerWithoutMemoryIsDropped(t *testing.T) {
	stage, router := startWithPipeline(t, func(*Router) {})
	stage.Run(secondQueryArrives)
	stage.Define("value", strings.Repeat("v", 2*requestmemory.SmallAnswer))
	reservation := useUpRequestMemory(router)
	capacity := router.requestMemory.budget.Capacity()
	stage.Run(`send s2 T | D "{value}" | C | S rank=copy | Z`)
	waitUntil(t, "the second answer is dropped", func() bool {
		return router.requestMemory.reserved() < capacity+2*initialAnswerSize
	})
	stage.Run(`
		send s1 T | D "{value}" | C | S rank=copy | Z
		expect c1 welcome | T | D "{value}" | C | Z | E 53200 | Z`)
	router.requestMemory.release(&reservation)
	waitUntil(t, "all memory is released", func() bool { return router.requestMemory.reserved() == 0 })
}

// Guards against an answer that says that a query may have run which was not forwarded: a query whose time is over when
// it is taken, as it waited for memory, is rejected with a Retry-After time.
func TestQueryThatWaitedTooLongIsRejected(t *testing.T) {
	stage, router, _, _ := startRouterWithTimeouts(t, noTimeouts, "h-1 {s1} 1 SERVING", "h-2 {s2} 2 SERVING")
	useUpRequestMemory(router)
	stage.Run(`
		send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A" | Q "/* id=02,c=read,d=1,cluster=2 */ A"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"`)
	time.Sleep(10 * time.Millisecond) // more than the second query's time
	stage.Run(`
		send s1 T | D "v" | C | S rank=copy | Z
		expect c1 welcome | T | D "v" | C | Z | E 53300 1000 | Z`)
}

// Guards against long queries that are taken without memory (review/8): the only query of a client is rejected, and not
// run, if it is long and other requests use up the memory. A short one is served.
func TestLongQueryWithoutMemoryIsRejected(t *testing.T) {
	stage, router, _, _ := startRouterWithTimeouts(t, noTimeouts)
	reservation := useUpRequestMemory(router)
	stage.Define("long", strings.Repeat("v", requestmemory.ShortQuery))
	stage.Run(`
		send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ '{long}'"
		expect c1 welcome | E 53300 1000 | Z
		send c1 Q "/* id=02,c=read,d=20000,cluster=1 */ A"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=02,c=read,d=#,cluster=1 */ A"
		send s1 T | D "v" | C | S rank=copy | Z
		expect c1 T | D "v" | C | Z`)
	router.requestMemory.release(&reservation)
	stage.Run(`
		send c1 Q "/* id=03,c=read,d=20000,cluster=1 */ '{long}'"
		expect s1 Q "/* id=03,c=read,d=#,cluster=1 */ '{long}'"
		send s1 T | D "w" | C | S rank=copy | Z
		expect c1 T | D "w" | C | Z`)
	waitUntil(t, "all memory is released", func() bool { return router.requestMemory.reserved() == 0 })
}

// Guards against clients whose half messages use up the memory for incomplete messages: another client's long query
// waits for memory, and the client whose message has been incomplete for longest makes room. One with a short half
// message takes no memory from others and stays.
func TestLongQueryWaitsForInputMemory(t *testing.T) {
	timeouts := noTimeouts
	timeouts.evictableIdle = 20 * time.Millisecond
	stage, router, _, _ := startRouterWithTimeouts(t, timeouts)
	stage.Define("long", strings.Repeat("v", 6<<10))
	stage.Run(`send c0 startup | raw "Q\x00\x00\x00\xffhalf"
		expect c0 welcome`)
	stage.Run(`send c1 startup | raw "Q\x00\x00\xff\xff{long}"
		expect c1 welcome`)
	waitUntil(t, "the half message is read", func() bool { return router.readQuota.Available() < newMemoryPlan(router.config.Limits).clientInput })
	for err := error(nil); err == nil; { // use up what is left
		_, err = ringbuffer.New(1 << 20).WithQuota(router.readQuota).Write(make([]byte, 2*ringbuffer.MinSize))
	}
	stage.Run(`
		send c2 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ '{long}'"
		expect c1 FATAL 53300 | EOF
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ '{long}'"
		send s1 T | D "v" | C | S rank=copy | Z
		expect c2 welcome | T | D "v" | C | Z`)
	if !anyClient(router, func(client *client) bool { _, partial := client.partialState(); return partial }) {
		t.Error("the client with the short half message was rejected too")
	}
}
