package core

import (
	"strconv"
	"testing"

	"spurmoor/internal/cluster"
)

// TestEmptiedLooksAtAll guards against a decision that depends on the order of a
// map: of the jobs whose tasks left a machine all that are committed are
// forgotten at once, whatever stands before them.
func TestEmptiedLooksAtAll(t *testing.T) {
	c := faultsOf(t)
	m := c.cluster.Machines["m-0"]
	m.DepartedJobs = map[string]bool{"a": true}
	c.cluster.Jobs["a"].ChangedTasks = 1
	for i := range 30 {
		id := strconv.Itoa(i)
		c.cluster.Jobs[id] = &cluster.Job{ID: id}
		m.DepartedJobs[id] = true
	}
	if c.cluster.IsEmptyAndCommitted(m) {
		t.Error("a task's leaving is not committed, and the machine counts as empty")
	}
	for i := range 30 {
		c.cluster.Jobs[strconv.Itoa(i)].ChangedTasks = 1 // something else of them is being committed
	}
	c.cluster.Jobs["a"].ChangedTasks = 0
	if !c.cluster.IsEmptyAndCommitted(m) {
		t.Error("what left was committed, and the machine does not count as empty")
	}
}
