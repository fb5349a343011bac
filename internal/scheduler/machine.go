package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// never is the time of an event that is not expected to happen.
const never micros.Micros = math.MaxInt64

// plannedTaskIndex is the task index of an allocation that this plan adds. The actual task of
// the job is chosen when the plan is executed.
const plannedTaskIndex = -1

// Allocation holds the resources that a task uses on a machine, or that several tasks of a job
// will use which the plan adds there with the same expected end.
type Allocation struct {
	Job             *Job // nil for a task of a cancelled job
	TaskIndex       int
	Tasks           int           // number of tasks; 0 stands for 1, see taskCount
	Request         Resources     // of each task
	ExpectedEnd     micros.Micros // according to the owner's estimate
	LostWork        micros.Micros // work lost if the task is preempted now
	Stopping        bool          // a stop of the task was already requested
	StartedRecently bool          // so recently that a preemption would undo the start
}

// taskCount returns the number of tasks.
func (a *Allocation) taskCount() int64 { return int64(max(1, a.Tasks)) }

// InstanceKind identifies the machines that one request to the cloud can ask for.
type InstanceKind struct {
	Type string
	Zone string
	Spot bool
}

// String returns the kind as it is written to the log.
func (k InstanceKind) String() string {
	return fmt.Sprintf("%s/%s/spot=%t", k.Type, k.Zone, k.Spot)
}

// Machine is a machine that a plan may use. It belongs to the partition, or it belongs to
// another partition and may be requested from it.
type Machine struct {
	Name                 string
	Type                 *api.MachineType
	Zone                 string
	Spot                 bool
	Total                Resources
	Free                 Resources
	Schedulable          bool                // accepts tasks now
	ReadyAt              micros.Micros       // when a machine that is not schedulable is expected to accept tasks
	Borrowable           bool                // idle machine of another partition, may be requested
	HeldByOtherPartition bool                // in use there, may be requested if all its tasks may be preempted
	LentOut              bool                // in use by another partition, but this one is its home
	BorrowerIsLarge      bool                // lent out to a partition whose machines cost far more than those of this one
	ClaimedBy            string              // ID of the job for which tasks are being preempted on it
	Reservation          *AdvanceReservation // for a gang of any partition that has waited long
	CachedImages         []string            // cached or being fetched
	Allocations          []Allocation

	// sortedByEnd is set once Allocations is a copy owned by the plan, sorted by
	// expected end.
	sortedByEnd bool
	// lastRejectedStart is the time at which this machine would have had room for the last
	// job that could not wait that long. Jobs that must start earlier skip the machine.
	lastRejectedStart micros.Micros
}

// HasImage reports whether the image is in the machine's cache or already being fetched.
func (m *Machine) HasImage(image string) bool { return slices.Contains(m.CachedImages, image) }

func (m *Machine) kind() InstanceKind { return InstanceKind{m.Type.Name, m.Zone, m.Spot} }

// allocate adds tasks of the job that are expected to end at end. It keeps the allocations
// sorted by expected end.
func (m *Machine) allocate(job *Job, tasks int, end micros.Micros) {
	m.Free = m.Free.AddScaled(job.Request, -int64(tasks))
	m.sortAllocations()
	at, _ := slices.BinarySearchFunc(m.Allocations, end, func(other Allocation, end micros.Micros) int {
		return cmp.Compare(other.ExpectedEnd, end)
	})
	allocation := Allocation{Job: job, TaskIndex: plannedTaskIndex, Tasks: tasks, Request: job.Request, ExpectedEnd: end}
	m.Allocations = slices.Insert(m.Allocations, at, allocation)
}

// sortAllocations sorts the allocations by expected end, once per plan.
func (m *Machine) sortAllocations() {
	if m.sortedByEnd {
		return
	}
	m.sortedByEnd = true
	m.Allocations = slices.Clone(m.Allocations)
	slices.SortStableFunc(m.Allocations, func(a, b Allocation) int {
		return cmp.Compare(a.ExpectedEnd, b.ExpectedEnd)
	})
}

// schedulableAt returns when the machine is expected to accept tasks.
func (m *Machine) schedulableAt(now micros.Micros) micros.Micros {
	if m.Schedulable {
		return now
	}
	return max(now, m.ReadyAt)
}

// freeAt returns when the machine is expected to have room for the request, or never.
func (m *Machine) freeAt(request Resources, now micros.Micros) micros.Micros {
	forecast := newRoomForecast(m, now)
	return forecast.advanceTo(request)
}

// roomForecast follows how the resources of a machine become free over time as its tasks end.
type roomForecast struct {
	machine *Machine
	free    Resources
	at      micros.Micros // when free is available
	next    int           // index of the allocation that ends next
}

// newRoomForecast returns a forecast that begins when the machine accepts tasks.
func newRoomForecast(machine *Machine, now micros.Micros) roomForecast {
	return roomForecast{machine: machine, free: machine.Free, at: machine.schedulableAt(now)}
}

// advanceTo advances to the time at which there is room for the request, and returns that time
// or never. Services do not end, so the resources that they use are not counted on.
func (f *roomForecast) advanceTo(request Resources) micros.Micros {
	if !f.machine.Total.Fits(request) {
		return never
	}
	if f.free.Fits(request) {
		return f.at
	}
	f.machine.sortAllocations()
	for f.next < len(f.machine.Allocations) {
		allocation := &f.machine.Allocations[f.next]
		f.next++
		if allocation.Job != nil && allocation.Job.Spec.Kind == api.KindService {
			continue
		}
		f.free = f.free.AddScaled(allocation.Request, allocation.taskCount())
		if f.free.Fits(request) {
			f.at = max(f.at, allocation.ExpectedEnd)
			return f.at
		}
	}
	return never
}

// allocate adds tasks of the job to the machine, which use room that is free at f.at. They must
// not end before that. Tasks that take no time leave the room free, unless they are of a service.
func (f *roomForecast) allocate(job *Job, tasks int, end micros.Micros) {
	f.machine.allocate(job, tasks, end)
	if end == f.at {
		f.next++ // their allocation was inserted among those that have ended
	}
	if end > f.at || job.Spec.Kind == api.KindService {
		f.free = f.free.AddScaled(job.Request, -int64(tasks))
	}
}
