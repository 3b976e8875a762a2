// Package requestmemory limits the memory that the requests of clients take in a router: the queries that are open, with
// their text, and the answers that clients have not received yet.
//
// A client receives its answers in the order of its queries. The answer whose turn it is can be sent at once, but one
// behind a slow query has to wait, and a client may send many queries without waiting. Memory is therefore reserved
// before a query is taken: for the query, and for the answer that is expected. A query that finds no memory is not taken
// until memory is released or until it is its client's only one. Its client's only query is taken if it is short, and
// otherwise rejected if the memory is used up. So each client makes progress however little memory is left, and a client
// that sends one query at a time never waits.
package requestmemory

import "errors"

const (
	// Queries and expected answers may use all but 1/expectationsDivisor of the budget. The rest is for answers that are
	// larger than expected, and for clients that send one query at a time.
	expectationsDivisor = 4

	// The expected size rises quickly and falls slowly, as an answer that is larger than expected may find no memory.
	riseWeight = 1.0 / 4
	fallWeight = 1.0 / 64

	// pipelinedOverhead is the memory in bytes that an open query needs beside its text. That of a client's only query is
	// part of the memory of its connection.
	pipelinedOverhead = 8 << 10

	// ShortQuery is the size in bytes up to which the only query of a client is always taken.
	ShortQuery = 2 << 10

	// SmallAnswer is the size in bytes up to which an answer is never dropped: the error in its place would need as much.
	SmallAnswer = 1 << 10
)

// ErrCapacity reports a budget or an expectation that is not positive.
var ErrCapacity = errors.New("request memory: capacity and expected size must be positive")

// Verdict says whether a query can be taken.
type Verdict int

// The verdicts.
const (
	Taken    Verdict = iota
	MustWait         // until memory is released or the client's earlier queries are answered
	NoMemory         // the query must be rejected
)

// Budget is the memory for the requests of all clients. It is not safe for concurrent use.
type Budget struct {
	capacity     int     // bytes
	used         int     // bytes of open queries and of answers that are known
	expected     int     // bytes of answers that are not known yet
	expectedSize float64 // bytes of an answer
}

// Reservation is the part of the budget that one query and its answer have. The zero value has none.
type Reservation struct {
	query, answer, expected int // bytes
}

// New returns a budget of a capacity in bytes. Until answers are known, they are expected to have expectedSize bytes.
func New(capacity, expectedSize int) (*Budget, error) {
	if capacity <= 0 || expectedSize <= 0 {
		return nil, ErrCapacity
	}
	return &Budget{capacity: capacity, expectedSize: float64(expectedSize)}, nil
}

// Reserved returns the sum of all reservations in bytes.
func (budget *Budget) Reserved() int { return budget.used + budget.expected }

// Capacity returns the capacity in bytes.
func (budget *Budget) Capacity() int { return budget.capacity }

// Take reserves memory for a query whose text has size bytes and for its answer. Unless the verdict is Taken, it reserves
// nothing. isNext reports that no query of the same client is open.
func (budget *Budget) Take(size int, isNext bool) (Reservation, Verdict) {
	reservation := Reservation{query: size, expected: int(budget.expectedSize)}
	if !isNext {
		reservation.query += pipelinedOverhead
	}
	switch {
	case isNext && size > ShortQuery && budget.used+size > budget.capacity:
		return Reservation{}, NoMemory
	case !isNext && budget.Reserved()+reservation.query+reservation.expected > budget.capacity-budget.capacity/expectationsDivisor:
		return Reservation{}, MustWait
	}
	budget.used += reservation.query
	budget.expected += reservation.expected
	return reservation, Taken
}

// Hold replaces an expectation by the size of the answer in bytes, which is now known. It returns false if the answer
// has to wait for its turn and there is no memory for it: the caller must drop the answer. isNext reports that it is the
// answer's turn; it is never dropped then, and neither is an answer of up to SmallAnswer bytes.
func (budget *Budget) Hold(reservation *Reservation, size int, isNext bool) bool {
	budget.learn(float64(size))
	budget.expected -= reservation.expected
	budget.used -= reservation.answer
	reservation.expected, reservation.answer = 0, 0
	if !isNext && size > SmallAnswer && budget.Reserved()+size > budget.capacity {
		return false
	}
	budget.used += size
	reservation.answer = size
	return true
}

// ReleaseQuery returns the memory of the query, whose text is no longer needed. A second call has no effect.
func (budget *Budget) ReleaseQuery(reservation *Reservation) {
	budget.used -= reservation.query
	reservation.query = 0
}

// Release returns a reservation to the budget. A second call has no effect.
func (budget *Budget) Release(reservation *Reservation) {
	budget.used -= reservation.query + reservation.answer
	budget.expected -= reservation.expected
	*reservation = Reservation{}
}

// learn adjusts the expected size to that of an answer.
func (budget *Budget) learn(size float64) {
	weight := riseWeight
	if size < budget.expectedSize {
		weight = fallWeight
	}
	budget.expectedSize += weight * (size - budget.expectedSize)
}
