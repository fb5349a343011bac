// Package scheduler decides what runs where in a partition: it ranks the jobs by a
// weighted sum, places them in that order with reservations and backfill, chooses what
// to preempt, and works out which machines to borrow or launch. It is pure: a Snapshot
// in, a Plan out.
package scheduler

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// Snapshot is what a plan is made from. The plan is worked out on its machines, jobs and
// quotas, which it changes.
type Snapshot struct {
	Now              micros.Micros
	MachineTypes     []api.MachineType
	Machines         []*Machine
	Jobs             []*Job
	Quotas           map[string]*Quota     // by team
	UnavailableKinds map[InstanceKind]bool // refused by the cloud lately
	Operators        *settings.Operators
	Objectives       map[string][]settings.Objective // by class
}

// Binding places one task of a job on a machine.
type Binding struct {
	Job     *Job
	Machine *Machine
}

// Preemption stops tasks so that a job gets their machine.
type Preemption struct {
	For             *Job
	Machine         *Machine
	Victims         []Allocation
	WithinGuarantee bool // the team of the job has a claim to it by its guarantee
}

// ScaleOut is a demand for machines.
type ScaleOut struct {
	Kind  InstanceKind
	Count int
}

// Plan is what to do in one cycle.
type Plan struct {
	Bindings         []Binding
	Preemptions      []Preemption
	ScaleOuts        []ScaleOut
	MachinesToBorrow []*Machine
	BlockedReasons   map[string]string        // by job: why it waits
	ExpectedEnds     map[string]micros.Micros // by job: when its last task should end, by the estimates
}

// Reasons why a job waits, as its status shows them to users.
const (
	reasonQuota     = "the team's limit is used up"
	reasonGang      = "no room for the whole gang at once"
	reasonNoMachine = "no machine with room that the job may use"
	reasonLaunching = "waits for a rented machine to boot"

	// ReasonNothingToLaunch is why a job waits for which no machine can be launched.
	ReasonNothingToLaunch = "no room, and no machine to rent for it"
)

// MakePlan plans one cycle.
func MakePlan(snapshot *Snapshot) *Plan {
	state := newPlanState(snapshot)
	newRanker(state).rankJobs()
	blocked := newPlacer(state).placeJobs()
	newPreemptor(state).preemptFor(blocked)
	newDemandPlanner(state).serveJobs(blocked)
	return &state.plan
}
