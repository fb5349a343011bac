package core

// finals keeps the states of jobs lately over; the oldest give way.
type finals struct {
	state map[string]finalRecord
	ring  []string
	next  int
}

func newFinals(n int) *finals {
	return &finals{state: map[string]finalRecord{}, ring: make([]string, 0, n)}
}

func (f *finals) add(id string, rec finalRecord) {
	if _, ok := f.state[id]; ok {
		return
	}
	f.state[id] = rec
	if len(f.ring) < cap(f.ring) {
		f.ring = append(f.ring, id)
		return
	}
	delete(f.state, f.ring[f.next])
	f.ring[f.next] = id
	f.next = (f.next + 1) % len(f.ring)
}
