package cluster

import "spurmoor/internal/records"

// terminalCache keeps the terminal states of jobs that ended lately. Once it is full, each
// that is added evicts the one added first.
type terminalCache struct {
	Records map[string]records.TerminalRecord // by job
	order   []string                          // a ring, in the order of adding
	oldest  int                               // index in order, once it is full
}

// newTerminalCache returns a cache of at most capacity terminal states.
func newTerminalCache(capacity int) *terminalCache {
	return &terminalCache{Records: map[string]records.TerminalRecord{}, order: make([]string, 0, capacity)}
}

// add keeps a job's terminal state, unless one is kept already: it never changes.
func (c *terminalCache) add(id string, record records.TerminalRecord) {
	if _, ok := c.Records[id]; ok {
		return
	}
	c.Records[id] = record
	if len(c.order) < cap(c.order) {
		c.order = append(c.order, id)
		return
	}
	delete(c.Records, c.order[c.oldest])
	c.order[c.oldest] = id
	c.oldest = (c.oldest + 1) % len(c.order)
}
