package requestmemory

import (
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// budgetModel draws queries, answers and their sizes in any order.
type budgetModel struct {
	budget   *Budget
	capacity int
	expected []*modelQuery // answers that are not known yet
	held     []*modelQuery
}

type modelQuery struct {
	reservation Reservation
	isNext      bool
}

func (model *budgetModel) expect(t *rapid.T) {
	query := &modelQuery{isNext: rapid.IntRange(0, 3).Draw(t, "next") == 0}
	size := rapid.IntRange(0, max(2*ShortQuery, model.capacity)).Draw(t, "size")
	usedBefore := model.budget.used
	var verdict Verdict
	query.reservation, verdict = model.budget.Take(size, query.isNext)
	switch {
	case verdict == Taken:
		model.expected = append(model.expected, query)
		if size > ShortQuery && usedBefore+size > model.capacity {
			t.Fatalf("a query of %d bytes was taken with %d of %d used", size, usedBefore, model.capacity)
		}
		if !query.isNext && model.budget.Reserved() > model.capacity {
			t.Fatalf("a pipelined query was taken: %d of %d reserved", model.budget.Reserved(), model.capacity)
		}
	case query.isNext && (size <= ShortQuery || verdict == MustWait):
		t.Fatal("the only query of a client was not taken")
	case !query.isNext && verdict == NoMemory:
		t.Fatal("a pipelined query was rejected and not made to wait")
	}
}

func (model *budgetModel) releaseQuery(t *rapid.T) {
	if len(model.held) == 0 {
		t.Skip("no answer is held")
	}
	model.budget.ReleaseQuery(&model.held[0].reservation)
}

func (model *budgetModel) hold(t *rapid.T) {
	if len(model.expected) == 0 {
		t.Skip("no query is open")
	}
	query := model.expected[0]
	model.expected = model.expected[1:]
	size := rapid.IntRange(0, model.capacity).Draw(t, "size")
	ok := model.budget.Hold(&query.reservation, size, query.isNext)
	mustHold := query.isNext || size <= SmallAnswer
	if mustHold && !ok {
		t.Fatal("an answer was dropped though it could be sent or is small")
	}
	if !mustHold && ok && model.budget.Reserved() > model.capacity {
		t.Fatalf("a waiting answer of %d bytes was accepted with %d of %d reserved", size, model.budget.Reserved(), model.capacity)
	}
	model.held = append(model.held, query)
}

func (model *budgetModel) release(t *rapid.T) {
	if len(model.held) == 0 {
		t.Skip("no answer is held")
	}
	model.budget.Release(&model.held[0].reservation)
	model.held = model.held[1:]
}

// check compares the sum with the reservations.
func (model *budgetModel) check(t *rapid.T) {
	sum := 0
	for _, query := range slices.Concat(model.expected, model.held) {
		sum += query.reservation.query + query.reservation.answer + query.reservation.expected
	}
	if model.budget.Reserved() != sum {
		t.Fatalf("%d bytes reserved, the reservations add up to %d", model.budget.Reserved(), sum)
	}
}

// Whatever the order of queries, answers and their sizes, pipelined queries and the answers that wait for their turn stay within the budget;
// the next answer of a client is never refused memory; and all memory is returned in the end.
func TestRequestsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &budgetModel{capacity: rapid.IntRange(1000, 100_000).Draw(t, "capacity")}
		var err error
		if model.budget, err = New(model.capacity, rapid.IntRange(1, 2000).Draw(t, "expected")); err != nil {
			t.Fatal(err)
		}
		t.Repeat(map[string]func(*rapid.T){"expect": model.expect, "hold": model.hold, "release query": model.releaseQuery, "release": model.release, "": model.check})
		for _, query := range slices.Concat(model.expected, model.held) {
			model.budget.Release(&query.reservation)
			model.budget.Release(&query.reservation)
		}
		if model.budget.Reserved() != 0 {
			t.Fatalf("%d bytes reserved after all were released", model.budget.Reserved())
		}
	})
}

// After a change of the sizes, so many queries are taken as their answers fit into the budget.
func TestExpectedSizeFollowsAnswers(t *testing.T) {
	const capacity = 1 << 20
	budget, err := New(capacity, 64<<10)
	if err != nil {
		t.Fatal(err)
	}
	accepted := func() (count int) {
		var taken []Reservation
		for {
			reservation, verdict := budget.Take(0, false)
			if verdict != Taken {
				break
			}
			taken = append(taken, reservation)
		}
		for i := range taken {
			budget.Release(&taken[i])
		}
		return len(taken)
	}
	for _, step := range []struct{ size, answers, minAccepted, maxAccepted int }{
		{size: 1 << 10, answers: 1000, minAccepted: 75, maxAccepted: 1024 / 9},
		{size: 64 << 10, answers: 20, minAccepted: 10, maxAccepted: 16},
	} {
		for range step.answers {
			reservation, _ := budget.Take(0, true)
			budget.Hold(&reservation, step.size, true)
			budget.Release(&reservation)
		}
		if count := accepted(); count < step.minAccepted || count > step.maxAccepted {
			t.Errorf("after answers of %d bytes %d queries are taken, want %d to %d", step.size, count, step.minAccepted, step.maxAccepted)
		}
	}
}

func TestNewRejectsInvalidCapacity(t *testing.T) {
	for _, arguments := range [][2]int{{0, 1}, {1, 0}, {-1, 1}} {
		if _, err := New(arguments[0], arguments[1]); !errors.Is(err, ErrCapacity) {
			t.Errorf("New(%d, %d): %v", arguments[0], arguments[1], err)
		}
	}
}
