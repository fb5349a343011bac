package simulation

import (
	"container/heap"

	"spurmoor/internal/micros"
)

// event is an action that is due at a simulated time. Events that are due at the same time run
// in the order in which they were scheduled.
type event struct {
	at       micros.Micros
	sequence int
	action   func()
}

// eventQueue is a min-heap of events, ordered by time and then by sequence.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	scheduled, ok := x.(event)
	if !ok {
		panic("simulation: only events are queued")
	}
	*q = append(*q, scheduled)
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule schedules an action to run at the given time, or now if that has passed.
func (s *Simulation) schedule(at micros.Micros, action func()) {
	s.eventSequence++
	heap.Push(&s.events, event{max(at, s.now), s.eventSequence, action})
}

// after schedules an action to run after a delay.
func (s *Simulation) after(delay micros.Micros, action func()) { s.schedule(s.now+delay, action) }

// every runs an action periodically, for the first time after one period.
func (s *Simulation) every(period micros.Micros, action func()) {
	var repeat func()
	repeat = func() {
		action()
		s.after(period, repeat)
	}
	s.after(period, repeat)
}

// runUntil runs all events that are due until the given time, and advances simulated time to it.
func (s *Simulation) runUntil(until micros.Micros) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next, ok := heap.Pop(&s.events).(event)
		if !ok {
			panic("simulation: only events are queued")
		}
		s.now = next.at
		next.action()
	}
	s.now = until
}
