package cluster

import (
	"spurmoor/internal/records"
)

// terminalCache keeps the states of jobs lately over; the oldest give way.
type terminalCache struct {
	Records map[string]records.TerminalRecord
	order   []string
	oldest  int
}

func newTerminalCache(n int) *terminalCache {
	return &terminalCache{Records: map[string]records.TerminalRecord{}, order: make([]string, 0, n)}
}

func (f *terminalCache) add(id string, rec records.TerminalRecord) {
	if _, ok := f.Records[id]; ok {
		return
	}
	f.Records[id] = rec
	if len(f.order) < cap(f.order) {
		f.order = append(f.order, id)
		return
	}
	delete(f.Records, f.order[f.oldest])
	f.order[f.oldest] = id
	f.oldest = (f.oldest + 1) % len(f.order)
}
