package scheduler

import (
	"cmp"

	"spurmoor/internal/api"
)

// onDemandSurchargeS puts the cheap spot machines first, unless fetching the image there
// takes so many seconds more than on an on-demand machine.
const onDemandSurchargeS = 4

// machineOrder is what the machines for a task are ordered by, the first field first;
// the least is the best.
type machineOrder struct {
	zoneTasks  int64 // services spread over zones: how many of the job's tasks are in this one
	startCostS int64 // seconds to fetch the image, and the surcharge of an on-demand machine
	freeGPU    int64 // that are left with the task: the tightest room is filled first
	freeCPU    int64 // that are left with the task
}

func newMachineOrder(job *Job, machine *Machine) machineOrder {
	var order machineOrder
	if job.Spec.Kind == api.Service {
		order.zoneTasks = int64(job.TasksPerZone[machine.Zone])
	}
	if !machine.HasImage(job.Spec.Image) {
		order.startCostS = job.fetchTime(machine.Type).WholeSeconds()
	}
	if !machine.Spot {
		order.startCostS += onDemandSurchargeS
	}
	free := machine.Free.Add(job.Request, -1)
	order.freeGPU, order.freeCPU = free.GPU, free.CPU
	return order
}

// compare is negative if o is better than other, positive if it is worse.
func (o *machineOrder) compare(other *machineOrder) int {
	return cmp.Or(
		cmp.Compare(o.zoneTasks, other.zoneTasks),
		cmp.Compare(o.startCostS, other.startCostS),
		cmp.Compare(o.freeGPU, other.freeGPU),
		cmp.Compare(o.freeCPU, other.freeCPU),
	)
}
