// Package balance decides, for one router instance, which endpoint of a replication group serves each request, when a
// request is retried, and which requests are rejected. It performs no input or output: New takes the settings, and
// Step turns a batch of events into actions.
//
// The work of a class is the typical time that an endpoint takes for one of its requests. An endpoint's load is its
// recent response time as a share of the latency objective. An endpoint that fails is ejected: until a canary request
// succeeds there, it gets other requests only if no other endpoint is usable. An endpoint that has started recently is
// in slow start: it is cold, with only part of its capacity, and warms up. A zone is in outage if several of its
// endpoints are silent and none answers. If no primary is known, a primary search tries one endpoint after another
// with a write.
//
// The algorithm is RSI-PC of the Ganymed paper: updates go to the primary. Every other read goes to the replica with
// the fewest pending requests (least pending requests first) among those whose last known log position covers the
// read. If no replica does, the read is delayed and then sent to the primary. Each deviation from the paper is marked
// "Departure:" and listed in docs/design.md.
package balance
