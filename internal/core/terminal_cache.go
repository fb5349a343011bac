package core

// terminalCache keeps the states of jobs lately over; the oldest give way.
type terminalCache struct {
	records map[string]terminalRecord
	order   []string
	oldest  int
}

func newTerminalCache(n int) *terminalCache {
	return &terminalCache{records: map[string]terminalRecord{}, order: make([]string, 0, n)}
}

func (f *terminalCache) add(id string, rec terminalRecord) {
	if _, ok := f.records[id]; ok {
		return
	}
	f.records[id] = rec
	if len(f.order) < cap(f.order) {
		f.order = append(f.order, id)
		return
	}
	delete(f.records, f.order[f.oldest])
	f.order[f.oldest] = id
	f.oldest = (f.oldest + 1) % len(f.order)
}
