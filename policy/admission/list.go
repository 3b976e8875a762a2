package admission

// state is where a held connection stands.
type state int

const (
	silent  state = iota // has not started
	started              // has started and asked for nothing
	idle                 // has asked, and nothing of it is open
	busy                 // waits for an answer
	closing              // told to close
	states
)

// held is one connection.
type held struct {
	id      ID
	addr    *source
	prefix  *source
	reserve int // index in Settings.Reserves, -1: common
	state   state
	since   Nanos // in this state

	next, prev *held // in its queue, the longest there first
	with       *held // the next and the one before of its address, while silent
	before     *held
}

// queue is a list of connections in one state, the longest there first. Nothing
// is allocated for it, and each is taken out in one step.
type queue struct {
	first, last *held
	len         int
}

func (q *queue) push(h *held) {
	h.prev, h.next = q.last, nil
	if q.last != nil {
		q.last.next = h
	} else {
		q.first = h
	}
	q.last = h
	q.len++
}

func (q *queue) remove(h *held) {
	if h.prev != nil {
		h.prev.next = h.next
	} else {
		q.first = h.next
	}
	if h.next != nil {
		h.next.prev = h.prev
	} else {
		q.last = h.prev
	}
	h.next, h.prev = nil, nil
	q.len--
}

// mute is the list of the silent connections of one address, the longest first.
type mute struct{ first, last *held }

func (m *mute) push(h *held) {
	h.before, h.with = m.last, nil
	if m.last != nil {
		m.last.with = h
	} else {
		m.first = h
	}
	m.last = h
}

func (m *mute) remove(h *held) {
	if h.before != nil {
		h.before.with = h.with
	} else {
		m.first = h.with
	}
	if h.with != nil {
		h.with.before = h.before
	} else {
		m.last = h.before
	}
	h.with, h.before = nil, nil
}
