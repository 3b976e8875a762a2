// Package balance decides, for one router instance, which member of a replication group answers each request, when a
// request is retried, and what is rejected. It performs no input or output: New takes the settings, and Step turns a
// batch of events into actions.
//
// The mechanism is RSI-PC of the Ganymed paper: updates go to the primary, other reads to a replica whose last known log
// position covers them, least pending requests first; without such a replica the read is delayed, then diverted. Each
// departure is marked "Departure:" and listed in docs/design.md.
package balance
