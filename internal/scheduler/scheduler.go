// Package scheduler plans which tasks run on which machines of a partition. It ranks the
// jobs by a weighted score and places them in that order, with reservations and backfill.
// For the jobs that find no room it selects tasks to preempt and machines to borrow or
// launch. It does no I/O and keeps no state between plans: MakePlan turns a Snapshot into
// a Plan.
package scheduler

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// Snapshot is the input of MakePlan, which uses the machines, jobs and quotas as its
// working state and modifies them.
type Snapshot struct {
	Now              micros.Micros
	MachineTypes     []api.MachineType
	Machines         []*Machine
	Jobs             []*Job
	Quotas           map[string]*Quota     // by team
	UnavailableKinds map[InstanceKind]bool // the cloud recently refused to launch these
	Operators        *settings.Operators
	Objectives       map[string][]settings.Objective // by class
}

// Binding places tasks of a job on a machine.
type Binding struct {
	Job     *Job
	Machine *Machine
	Tasks   int
}

// Preemption stops the tasks in Victims so that ForJob can run on their machine.
type Preemption struct {
	ForJob          *Job
	Machine         *Machine
	Victims         []Allocation
	WithinGuarantee bool // the guarantee of ForJob's team covers it
}

// ScaleOut requests Count machines of one kind from the cloud.
type ScaleOut struct {
	Kind  InstanceKind
	Count int
}

// Plan holds the actions of one scheduling cycle.
type Plan struct {
	Bindings         []Binding
	Preemptions      []Preemption
	ScaleOuts        []ScaleOut
	MachinesToBorrow []*Machine
	BlockedReasons   map[string]string        // by job ID: why the job waits
	ExpectedEnds     map[string]micros.Micros // by job ID: estimated end of the job's last task
}

// Reasons why a job waits. Users see them in the job's status.
const (
	reasonTeamLimit     = "the team's limit is used up"
	reasonNoRoomForGang = "no room for the whole gang at once"
	reasonNoMachine     = "no machine with room that the job may use"
	reasonLaunching     = "waits for a rented machine to boot"

	// ReasonNothingToLaunch is the reason of a job that has no room and for which no
	// machine can be launched.
	ReasonNothingToLaunch = "no room, and no machine to rent for it"
)

// MakePlan plans one scheduling cycle. It sorts the jobs of the snapshot by rank and adds
// the planned tasks to its machines, jobs and quotas.
func MakePlan(snapshot *Snapshot) *Plan {
	state := newPlanState(snapshot)
	newRanker(state).rankJobs()
	blocked := newPlacer(state).placeJobs()
	newPreemptor(state).preemptFor(blocked)
	newDemandPlanner(state).provisionFor(blocked)
	return &state.plan
}
