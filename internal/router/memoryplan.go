package router

import "lotushook/internal/platformconfig"

const (
	memoryOfProcess    = 12 << 20 // bytes that a router without connections needs, with the program's own pages
	memoryOfDescriptor = 10 << 10 // bytes of a connection without long messages: stacks, states and short buffers
	minPlanDivisor     = 8        // messages get at least 1/8 of the memory limit
)

// memoryPlan divides the memory that messages may take, in bytes. The parts add up to what the memory limit leaves when
// all descriptors are in use.
type memoryPlan struct {
	clientInput int64 // incomplete messages of clients
	serverInput int64 // incomplete messages of data servers
	requests    int64 // open queries, and answers that clients have not received yet
}

func newMemoryPlan(limits platformconfig.Limits) memoryPlan {
	limit := limits.MemoryMB << 20
	available := max(limit-memoryOfProcess-int64(limits.Sockets)*memoryOfDescriptor, limit/minPlanDivisor)
	// Half of it is left to the garbage collector and to messages that are being copied.
	available /= 2
	return memoryPlan{clientInput: available / 4, serverInput: available / 4, requests: available / 2}
}
