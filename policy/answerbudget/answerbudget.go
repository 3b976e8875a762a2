// Package answerbudget limits the memory of answers that a router holds until their clients have received them.
//
// A client receives its answers in the order of its queries. The answer whose turn it is can be sent at once, but one
// behind a slow query has to wait, and a client may send many queries without waiting. Memory is therefore reserved
// before such a query is taken: as much as its answer is expected to need. A query that finds no memory is not taken
// until memory is released or until it is its client's only one. So each client makes progress however little memory is
// left, and a client that sends one query at a time never waits.
package answerbudget

import "errors"

const (
	// expectationsDivisor: expected answers may use all but 1/expectationsDivisor of the budget. The rest is for answers
	// that are larger than expected.
	expectationsDivisor = 4

	// The expected size rises quickly and falls slowly, as an answer that is larger than expected may find no memory.
	riseWeight = 1.0 / 4
	fallWeight = 1.0 / 64

	// SmallAnswer is the size in bytes up to which an answer is never dropped: the error in its place would need as much.
	SmallAnswer = 1 << 10
)

// ErrCapacity reports a budget or an expectation that is not positive.
var ErrCapacity = errors.New("answer budget: capacity and expected size must be positive")

// Budget is the memory for the answers of all clients. It is not safe for concurrent use.
type Budget struct {
	capacity     int     // bytes
	reserved     int     // bytes, the sum of all reservations
	expectedSize float64 // bytes of an answer
}

// Reservation is the part of the budget that one query's answer has. The zero value has none.
type Reservation struct {
	bytes int
}

// New returns a budget of a capacity in bytes. Until answers are known, they are expected to have expectedSize bytes.
func New(capacity, expectedSize int) (*Budget, error) {
	if capacity <= 0 || expectedSize <= 0 {
		return nil, ErrCapacity
	}
	return &Budget{capacity: capacity, expectedSize: float64(expectedSize)}, nil
}

// Reserved returns the sum of all reservations in bytes.
func (budget *Budget) Reserved() int { return budget.reserved }

// Capacity returns the capacity in bytes.
func (budget *Budget) Capacity() int { return budget.capacity }

// Expect reserves memory for the answer to a query that is about to be taken. It returns false, and reserves nothing, if
// there is none. isNext reports that no query of the same client is open, so that the answer can be sent at once; such a
// query is always taken.
func (budget *Budget) Expect(isNext bool) (Reservation, bool) {
	size := int(budget.expectedSize)
	if !isNext && budget.reserved+size > budget.capacity-budget.capacity/expectationsDivisor {
		return Reservation{}, false
	}
	budget.reserved += size
	return Reservation{bytes: size}, true
}

// Hold replaces an expectation by the size of the answer in bytes, which is now known. It returns false if the answer
// has to wait for its turn and there is no memory for it: the caller must drop the answer. isNext reports that it is the
// answer's turn; it is never dropped then, and neither is an answer of up to SmallAnswer bytes.
func (budget *Budget) Hold(reservation *Reservation, size int, isNext bool) bool {
	budget.learn(float64(size))
	budget.Release(reservation)
	if !isNext && size > SmallAnswer && budget.reserved+size > budget.capacity {
		return false
	}
	budget.reserved += size
	reservation.bytes = size
	return true
}

// Release returns a reservation to the budget. A second call has no effect.
func (budget *Budget) Release(reservation *Reservation) {
	budget.reserved -= reservation.bytes
	reservation.bytes = 0
}

// learn adjusts the expected size to that of an answer.
func (budget *Budget) learn(size float64) {
	weight := riseWeight
	if size < budget.expectedSize {
		weight = fallWeight
	}
	budget.expectedSize += weight * (size - budget.expectedSize)
}
