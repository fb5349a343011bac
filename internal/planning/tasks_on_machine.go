package planning

import (
	"spurmoor/internal/cluster"
)

// tasksOn goes through the tasks recorded on a machine, with their jobs. Tasks may be
// changed meanwhile, also so that they leave the machine.
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
