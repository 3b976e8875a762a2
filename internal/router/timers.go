package router

import "lotushook/policy/clock"

// timer is a timer that the decision module has set: when it fires, the module receives an event with its ID.
type timer struct {
	at clock.Nanos
	id int64
}

// timers is a heap of timers, the earliest first.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(value any) { *t = append(*t, value.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	queue := *t
	value := queue[len(queue)-1]
	*t = queue[:len(queue)-1]
	return value
}
