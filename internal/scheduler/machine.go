package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// never is the instant of what is not expected to happen at all.
const never micros.Micros = math.MaxInt64

// plannedTask is the index of an allocation that this plan made itself: which of the
// job's tasks it is for is settled when the plan is carried out.
const plannedTask = -1

// Allocation is a task on a machine.
type Allocation struct {
	Job             *Job
	TaskIndex       int
	Request         Resources
	ExpectedEnd     micros.Micros // by the owner's estimate
	LostWork        micros.Micros // work lost if it is preempted now
	Stopping        bool          // its stop was requested already
	StartedRecently bool          // started so lately that preempting it undoes the start
}

// InstanceKind is what a machine is requested as from the cloud.
type InstanceKind struct {
	Type string
	Zone string
	Spot bool
}

// String names a kind in the log.
func (k InstanceKind) String() string {
	return fmt.Sprintf("%s/%s/spot=%t", k.Type, k.Zone, k.Spot)
}

// Machine is a machine that a plan may use: one of the partition, or one of another
// partition that may be asked for.
type Machine struct {
	Name                 string
	Type                 *api.MachineType
	Zone                 string
	Spot                 bool
	Total                Resources
	Free                 Resources
	Schedulable          bool                // may be given tasks now
	ReadyAt              micros.Micros       // of a booting machine: when it is expected
	Borrowable           bool                // another partition's idle machine: may be asked for
	HeldByOtherPartition bool                // at work there: may be asked for if all its tasks may be preempted
	LentOut              bool                // its home is this partition, at work for another
	BorrowerOverShare    bool                // of one lent out: its borrower uses far more than this partition
	ClaimedBy            string              // id of the job that it is being emptied for
	Reservation          *AdvanceReservation // for a gang that is due, of whatever partition
	CachedImages         []string            // in its cache, or being fetched
	Allocations          []Allocation

	// sortedByEnd: Allocations are in the order of their ends, and the plan's own copy.
	sortedByEnd bool
	// freeSoonAt is when the job that last found no room here in time would have had some.
	// Jobs that cannot wait that long skip the machine.
	freeSoonAt micros.Micros
}

// HasImage tells whether the machine need not fetch an image.
func (m *Machine) HasImage(image string) bool { return slices.Contains(m.CachedImages, image) }

func (m *Machine) kind() InstanceKind { return InstanceKind{m.Type.Name, m.Zone, m.Spot} }

// allocate takes room for one more task of a job, and keeps the allocations in the order
// of their ends.
func (m *Machine) allocate(job *Job, end micros.Micros) {
	m.Free = m.Free.Add(job.Request, -1)
	m.sortAllocations()
	at, _ := slices.BinarySearchFunc(m.Allocations, end, func(other Allocation, end micros.Micros) int {
		return cmp.Compare(other.ExpectedEnd, end)
	})
	allocation := Allocation{Job: job, TaskIndex: plannedTask, Request: job.Request, ExpectedEnd: end}
	m.Allocations = slices.Insert(m.Allocations, at, allocation)
}

// sortAllocations puts the allocations in the order of their ends, once a plan.
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

// schedulableAt is when the machine is expected to accept tasks.
func (m *Machine) schedulableAt(now micros.Micros) micros.Micros {
	if m.Schedulable {
		return now
	}
	return max(now, m.ReadyAt)
}

// freeAt is when the machine is expected to have room for a request; services do not
// end, so their room does not count.
func (m *Machine) freeAt(request Resources, now micros.Micros) micros.Micros {
	if !m.Total.Fits(request) {
		return never
	}
	at := m.schedulableAt(now)
	free := m.Free
	if free.Fits(request) {
		return at
	}
	m.sortAllocations()
	for _, allocation := range m.Allocations {
		if allocation.Job != nil && allocation.Job.Spec.Kind == api.Service {
			continue
		}
		free = free.Add(allocation.Request, 1)
		if free.Fits(request) {
			return max(at, allocation.ExpectedEnd)
		}
	}
	return never
}

// availableAt is when the machine is expected to have room, and to be back if it is
// lent out.
func (m *Machine) availableAt(request Resources, now micros.Micros) micros.Micros {
	at := m.freeAt(request, now)
	if m.LentOut && at < never {
		at = max(at, m.ReadyAt)
	}
	return at
}
