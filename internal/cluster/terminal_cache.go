package cluster

import "spurmoor/internal/records"

// terminalCache holds the terminal states of jobs that ended recently. When it is full, each
// new one evicts the one that was added first.
type terminalCache struct {
	Records map[string]records.TerminalJob // by job id
	order   []string                       // ids as a ring buffer, in the order they were added
	oldest  int                            // index of the oldest id in order, once it is full
}

// newTerminalCache returns a cache of at most capacity terminal states.
func newTerminalCache(capacity int) *terminalCache {
	return &terminalCache{Records: map[string]records.TerminalJob{}, order: make([]string, 0, capacity)}
}

// add adds a job's terminal state. It has no effect if the cache has one for the job, since a
// terminal state never changes.
func (c *terminalCache) add(id string, record records.TerminalJob) {
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
