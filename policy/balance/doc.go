// Package balance decides, for one router instance, which endpoint of a replication group serves each request, when a
// request is retried, and which requests are rejected. It performs no input or output: New takes the settings, and
// Step turns a batch of events into actions.
//
// The algorithm is RSI-PC of the Ganymed paper: updates go to the primary. Every other read goes to the replica with
// the fewest pending requests (least pending requests first) among those whose last known log position covers the
// read. If no replica does, the read is delayed and then sent to the primary. Each deviation from the paper is marked
// "Departure:" and listed in docs/design.md.
package balance
