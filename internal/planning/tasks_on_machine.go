package planning

import (
	"spurmoor/internal/cluster"
)

// tasksOn iterates over the tasks recorded on a machine, with their jobs. The loop may
// change the tasks, and may take them off the machine.
func tasksOn(state *cluster.State, machine *cluster.Machine) func(yield func(*cluster.Job, *cluster.Task) bool) {
	return func(yield func(*cluster.Job, *cluster.Task) bool) {
		for _, id := range machine.TaskIDsCopy() {
			job := state.Jobs[id.Job]
			if !yield(job, job.Task(id.Index)) {
				return
			}
		}
	}
}
