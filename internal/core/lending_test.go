package core

import (
	"strconv"
	"testing"
)

// TestEmptiedLooksAtAll guards against a decision that depends on the order of a
// map: of the jobs whose tasks left a machine all that are committed are
// forgotten at once, whatever stands before them.
func TestEmptiedLooksAtAll(t *testing.T) {
	c := faultsOf(t)
	m := c.cluster.machines["m-0"]
	m.departedJobs = map[string]bool{"a": true}
	c.cluster.jobs["a"].changedTasks = 1
	for i := range 30 {
		id := strconv.Itoa(i)
		c.cluster.jobs[id] = &job{id: id}
		m.departedJobs[id] = true
	}
	if c.cluster.isEmptyAndCommitted(m) {
		t.Error("a task's leaving is not committed, and the machine counts as empty")
	}
	for i := range 30 {
		c.cluster.jobs[strconv.Itoa(i)].changedTasks = 1 // something else of them is being committed
	}
	c.cluster.jobs["a"].changedTasks = 0
	if !c.cluster.isEmptyAndCommitted(m) {
		t.Error("what left was committed, and the machine does not count as empty")
	}
}
