package planning

import (
	"math/rand/v2"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
	"spurmoor/internal/scheduler"
	"spurmoor/internal/settings"
)

// bootS is the boot time of the machines in these tests, in seconds.
const bootS = 30

// fixture holds the components of a controller that leads the first of two partitions, as
// far as the tests of this package need them. Its time is 1,000 s.
type fixture struct {
	env          *coordination.Environment
	state        *cluster.State
	peers        *coordination.PeerTracker
	lender       *MachineLender
	reservations *ReservationPlanner
	manager      *MachineManager
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	operators := settings.DefaultOperators()
	operators.Parts = 2
	config := &settings.Settings{Operators: operators}
	config.Node = "nodo-1"
	config.Deployment.Workers.ReportS = 3
	config.Deployment.Workers.LeaseS = 20
	config.Deployment.Teams = []settings.Team{{Name: "team", GuaranteedGPUs: 8}}
	env := coordination.NewEnvironment(config, 1, rand.New(rand.NewPCG(1, 1)))
	env.Now = 1000 * micros.Second

	roles := coordination.NewRoleManager(env, nil, nil, nil, nil, nil, nil, nil)
	lease := coordination.NewStoreLease(env, nil, nil)
	trigger := cluster.NewCycleTrigger(env)
	state := cluster.NewState(env, nil, roles)
	own := leadership.Claim{Node: "nodo-1", Incarnation: 1}
	if !state.Partitions[0].Observe(env.Now, own, 5, own, true) {
		t.Fatal("first partition led: got false, want true")
	}
	peers := coordination.NewPeerTracker(env, nil)
	tasks := cluster.NewTaskLifecycle(env, state, lease, trigger)
	boots := cluster.NewBootStatistics(env)
	urgencies := NewUrgencyIndex(env, nil, state, nil)
	view := NewSchedulerView(env, state, tasks, urgencies)
	reservations := NewReservationPlanner(env, boots, state, nil, tasks, urgencies, view)
	return &fixture{
		env:          env,
		state:        state,
		peers:        peers,
		reservations: reservations,
		lender:       NewMachineLender(env, state, peers, nil, reservations, urgencies, view),
		manager:      NewMachineManager(env, boots, state, nil, nil, reservations, lease, tasks),
	}
}

// addIdleMachine adds a machine of the first partition that has been up for a long time,
// was heard from just now, and has nothing to do.
func (f *fixture) addIdleMachine(t *testing.T) *cluster.Machine {
	t.Helper()
	longAgo := f.env.Now - 300*micros.Second
	machine := &cluster.Machine{
		Name:                   "n-1",
		Record:                 records.Machine{Name: "n-1", Type: "g4", Zone: "alta"},
		MachineType:            &api.MachineType{Name: "g4", GPUs: 4, BootS: bootS},
		TokenConfirmed:         true,
		LaunchedAt:             longAgo,
		AwaitingHeartbeatSince: longAgo,
		FirstHeartbeatAt:       longAgo,
		IdleSince:              longAgo,
		LastSeenAt:             f.env.Now,
		LastHeartbeatAt:        f.env.Now,
		TransferToPartition:    noPartition,
	}
	f.state.Machines[machine.Name] = machine
	f.state.MachinesByName = append(f.state.MachinesByName, machine)
	return machine
}

// placeTask adds a job of the second partition with one task, which was placed on the
// machine long ago.
func (f *fixture) placeTask(machine *cluster.Machine, id string, spec api.Job) *cluster.Task {
	spec.Team = "team"
	spec.Tasks = 1
	job := f.state.AddJob(id, spec)
	job.Spec = spec
	job.Request = scheduler.NewResources(0, 4, 0)
	job.Partition = 1
	task := job.EnsureTask(0)
	task.PlacedAt = f.env.Now - 300*micros.Second
	machine.TaskIDs = append(machine.TaskIDs, cluster.TaskID{Job: id, Index: 0})
	return task
}
