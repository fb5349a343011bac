package scheduler

import (
	"cmp"

	"spurmoor/internal/api"
)

// onDemandPenaltyS is added to the start cost of an on-demand machine, so that spot
// machines, which cost less, come first. An on-demand machine comes first if the task
// starts more than this many seconds sooner there.
const onDemandPenaltyS = 4

// machineSortKey orders the candidate machines for a task by its fields, the first field
// first. The smallest key is the best.
type machineSortKey struct {
	zoneTasks    int64 // of a service: its tasks in the machine's zone, so that it spreads over zones
	startCostS   int64 // seconds to fetch the image, plus onDemandPenaltyS
	freeMilliGPU int64 // left once the task is placed: the tightest fit is best
	freeMilliCPU int64 // left once the task is placed
}

func newMachineSortKey(job *Job, machine *Machine) machineSortKey {
	var key machineSortKey
	if job.Spec.Kind == api.KindService {
		key.zoneTasks = int64(job.TasksPerZone[machine.Zone])
	}
	key.startCostS = startCostS(job, machine, machine.HasImage(job.Spec.Image))
	key.setFree(machine.Free.AddScaled(job.Request, -1))
	return key
}

// startCostS returns the seconds to fetch the image, unless the machine has it, plus
// onDemandPenaltyS for an on-demand machine.
func startCostS(job *Job, machine *Machine, hasImage bool) int64 {
	cost := int64(0)
	if !hasImage {
		cost = job.imageFetchTime(machine.Type).WholeSeconds()
	}
	if !machine.Spot {
		cost += onDemandPenaltyS
	}
	return cost
}

// setFree sets what is left on the machine once the task is placed.
func (k *machineSortKey) setFree(free Resources) {
	k.freeMilliGPU, k.freeMilliCPU = free.MilliGPU, free.MilliCPU
}

// compare returns a negative number if k is better than other and a positive one if it is
// worse.
func (k *machineSortKey) compare(other *machineSortKey) int {
	return cmp.Or(
		cmp.Compare(k.zoneTasks, other.zoneTasks),
		cmp.Compare(k.startCostS, other.startCostS),
		cmp.Compare(k.freeMilliGPU, other.freeMilliGPU),
		cmp.Compare(k.freeMilliCPU, other.freeMilliCPU),
	)
}
