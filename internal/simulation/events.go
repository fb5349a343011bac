package simulation

import (
	"container/heap"

	"spurmoor/internal/micros"
)

// event is an action due at an instant. Events of the same instant happen in the order
// in which they were scheduled.
type event struct {
	at       micros.Micros
	sequence int
	action   func()
}

// eventQueue is a heap of events, the next one first.
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

// schedule has an action happen at an instant, or now if that is past.
func (s *Simulation) schedule(at micros.Micros, action func()) {
	s.eventSequence++
	heap.Push(&s.events, event{max(at, s.now), s.eventSequence, action})
}

// after has an action happen after a span.
func (s *Simulation) after(span micros.Micros, action func()) { s.schedule(s.now+span, action) }

// every repeats an action with a period, first after one period.
func (s *Simulation) every(period micros.Micros, action func()) {
	var repeat func()
	repeat = func() {
		action()
		s.after(period, repeat)
	}
	s.after(period, repeat)
}

// runUntil performs all events that are due until an instant, and advances the clock to it.
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
