package core

import (
	"math/rand/v2"
	"slices"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
	"spurmoor/internal/settings"

	"github.com/go-json-experiment/json"
)

// Names used in the fixtures.
const (
	testNode    = "nodo-0"
	testJob     = "wk-000001"
	testTask    = "wk-000001/0"
	testMachine = "n-1"
)

// syncedFixture is a controller whose replica is synchronized and holds one job, which was
// accepted at revision 3.
type syncedFixture struct {
	*Controller
	submission []byte    // body of the request that submits the job
	jobPut     api.Event // watch event that added the job
}

func newSyncedFixture(t *testing.T) *syncedFixture {
	t.Helper()
	controller := New(testSettings(), 1, rand.New(rand.NewPCG(1, 1)))
	controller.cache.Synced = true
	controller.catalog.MachineTypes = []api.MachineType{{Name: "g4", CPUs: 24, GPUs: 4, MemoryGB: 100, Zones: []string{"alta"}}}
	spec := api.Job{
		ID: testJob, Class: "c", Team: "norte", Kind: api.KindArray, Priority: "standard", Tasks: 1, CPUs: 1, Image: "i", EstimateS: 5,
	}
	record := records.MustMarshal(records.Job{Spec: spec, AcceptedAt: 1})
	fixture := &syncedFixture{
		Controller: controller,
		submission: submissionOf(t, spec),
		jobPut:     api.Event{Put: records.JobPrefix + spec.ID, Value: record, Version: 3},
	}
	fixture.applyWatchReply(3, fixture.jobPut)
	return fixture
}

// testSettings returns the settings of a service with one controller, two partitions and one
// team.
func testSettings() *settings.Settings {
	set := &settings.Settings{
		Operators: settings.DefaultOperators(), TeamPartition: map[string]int{"norte": 0}, Nodes: []string{testNode},
	}
	set.Node = testNode
	set.Operators.Parts = 2
	set.Deployment.Teams = []settings.Team{{Name: "norte"}}
	set.Deployment.Store = settings.State{RPS: 200, WriteRPS: 20, ValueKB: 8, MaxTransactionOps: 12}
	return set
}

// submissionOf returns the body of a request that submits a job.
func submissionOf(t *testing.T, spec api.Job) []byte {
	t.Helper()
	body := map[string]any{}
	if err := json.Unmarshal(records.MustMarshal(spec), &body); err != nil {
		t.Fatal(err)
	}
	body["Zona"] = nil
	body["PlazoS"] = nil
	return records.MustMarshal(body)
}

// applyWatchReply applies the reply to a watch that was sent at time 0 to the watch cache.
func (f *syncedFixture) applyWatchReply(revision api.Revision, events ...api.Event) {
	reply := &message.StoreReply{Status: message.StatusOK, Watch: api.WatchResponse{Revision: revision, Events: events}}
	f.cache.ApplyWatchReply(reply, 0)
}

// leaderFixture is a controller that leads a partition with one machine. One task of a job is
// placed on the machine, and that is committed.
type leaderFixture struct {
	*syncedFixture
	partition *cluster.Partition
	machine   *cluster.Machine
	job       *cluster.Job
}

func newLeaderFixture(t *testing.T) *leaderFixture {
	t.Helper()
	fixture := &leaderFixture{syncedFixture: newSyncedFixture(t)}
	workers := &fixture.Settings.Deployment.Workers
	workers.ReportS, workers.LeaseS, workers.CancelS = 3, 20, 45
	fixture.Now = 100 * micros.Second
	fixture.storeLease.Lease.ID = 7
	fixture.renewLease()
	fixture.partition = fixture.cluster.Partitions[0]
	fixture.acquirePartition(10)
	fixture.recordMachine(testMachine)
	fixture.machine = fixture.cluster.Machines[testMachine]
	fixture.job = fixture.cluster.Jobs[testJob]
	fixture.cluster.SetTask(fixture.job, 0, cluster.TaskRecord{State: records.TaskPlaced, Attempt: 1, Machine: testMachine})
	task := fixture.job.Task(0)
	task.Committed = task.TaskRecord
	if !fixture.partition.Leads() || fixture.machine == nil || len(fixture.machine.TaskIDs) != 1 {
		t.Fatalf("got leads %t, machine %v, want a leader of a machine with one task", fixture.partition.Leads(), fixture.machine)
	}
	return fixture
}

// renewLease makes the lease on the store renewed, and the replica current, as of now.
func (f *leaderFixture) renewLease() {
	f.storeLease.Lease.RenewalSentAt = f.Now
	f.cache.CurrentAsOf = f.Now
}

// acquirePartition applies a claim that makes the controller the leader of the partition.
// The term is the revision of the claim.
func (f *leaderFixture) acquirePartition(term leadership.Term) {
	claim := leadership.Claim{Node: f.Settings.Node, Incarnation: f.Incarnation}
	f.applier.ApplyPut(f.partition.Key(), records.MustMarshal(claim), api.Revision(term))
}

// recordMachine applies a log entry of the partition that contains a machine.
func (f *leaderFixture) recordMachine(name string) {
	record := records.Machine{Name: name, Type: "g4", Zone: "alta", Partition: 0, Epoch: 1, MinToken: 11}
	f.registry.ApplyRecord(record, cluster.RecordOrigin{Epoch: 1, Partition: 0, Sequence: 1}, 11)
}

// removeTask removes the job's task from its machine, as if that were committed.
func (f *leaderFixture) removeTask() {
	f.cluster.SetTask(f.job, 0, cluster.TaskRecord{})
	f.job.Task(0).Committed = cluster.TaskRecord{}
}

// sendHeartbeat sends a heartbeat of the machine and returns the answer.
func (f *leaderFixture) sendHeartbeat(sequence uint64, token api.FencingToken, tasks ...api.TaskStatus) message.Answer {
	heartbeat := &api.Heartbeat{
		Machine: testMachine, Address: "10.1.0.1:9000", Type: "g4", Zone: "alta",
		Incarnation: 1, Sequence: sequence, FencingToken: token, Tasks: tasks,
	}
	requestID := 50 + sequence
	effects := f.Step(f.Now, message.WorkerHeartbeat{RequestID: requestID, Heartbeat: heartbeat})
	answer, _ := answerTo(effects, requestID)
	return answer
}

// newProvisioningFixture returns a leader that records its provisioning requests before it
// sends them, in a fleet whose roles have one leader each.
func newProvisioningFixture(t *testing.T) *leaderFixture {
	t.Helper()
	fixture := newLeaderFixture(t)
	fixture.Settings.Operators.Duties.Exclusive = leadership.FleetRoleNames()
	fixture.Settings.Operators.Duties.RecordRentals = true
	fixture.Settings.Deployment.Cloud.RPS = 6
	// Prevents requests for the cloud's catalog and list of instances.
	fixture.catalog.NextReadAt = 1 << 60
	fixture.instances.NextReadAt = 1 << 60
	fixture.provisioning.RecordingRequests = true
	fixture.roles.Exclusive = true
	fixture.Effects = nil
	return fixture
}

// newMachinesFixture returns a controller with machines m-0 to m-4 and array jobs a to d, none
// of which has a history of successes or failures.
func newMachinesFixture(t *testing.T) *Controller {
	t.Helper()
	controller := New(&settings.Settings{Operators: settings.DefaultOperators()}, 1, rand.New(rand.NewPCG(1, 1)))
	for _, name := range []string{"m-0", "m-1", "m-2", "m-3", "m-4"} {
		failures := cluster.MachineFailures{Unattributed: map[string]bool{}}
		controller.cluster.Machines[name] = &cluster.Machine{Name: name, Failures: failures}
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		spec := api.Job{Kind: api.KindArray, Tasks: 20}
		controller.cluster.Jobs[id] = &cluster.Job{ID: id, Spec: spec, FailedMachines: map[string]bool{}}
	}
	return controller
}

// effectsOf returns the effects of type T.
func effectsOf[T message.Effect](effects []message.Effect) []T {
	var list []T
	for _, effect := range effects {
		if typed, ok := effect.(T); ok {
			list = append(list, typed)
		}
	}
	return list
}

// storeCallsOf returns the calls to the store for one operation.
func storeCallsOf(effects []message.Effect, op message.StoreOp) []message.StoreCall {
	return slices.DeleteFunc(effectsOf[message.StoreCall](effects), func(call message.StoreCall) bool { return call.Op != op })
}

// transactionWriting returns the transaction among the effects that puts a key, or nil if
// there is none.
func transactionWriting(effects []message.Effect, key string) *message.StoreCall {
	for _, call := range storeCallsOf(effects, message.OpTransaction) {
		if slices.ContainsFunc(call.Transaction.Body().Writes, func(write api.Write) bool { return write.Put == key }) {
			return &call
		}
	}
	return nil
}

// transactionDeleting returns the transaction among the effects whose first write deletes a
// key, or nil if there is none.
func transactionDeleting(effects []message.Effect, key string) *message.StoreCall {
	for _, call := range storeCallsOf(effects, message.OpTransaction) {
		if call.Transaction.Body().Writes[0].Delete == key {
			return &call
		}
	}
	return nil
}

// launchCallsOf returns the calls to the cloud that launch instances.
func launchCallsOf(effects []message.Effect) []message.CloudCall {
	return slices.DeleteFunc(effectsOf[message.CloudCall](effects), func(call message.CloudCall) bool {
		return call.Op != message.OpLaunch
	})
}

// answerTo returns the answer to a request among the effects, and whether there is one.
func answerTo(effects []message.Effect, requestID uint64) (message.Answer, bool) {
	for _, answer := range effectsOf[message.Answer](effects) {
		if answer.RequestID == requestID {
			return answer, true
		}
	}
	return message.Answer{}, false
}

// answerReads replies to all reads of the latest changes among the effects that there are no
// changes, and returns the effects of these replies.
func (f *syncedFixture) answerReads(now micros.Micros, effects []message.Effect) []message.Effect {
	var answered []message.Effect
	for _, call := range storeCallsOf(effects, message.OpWatch) {
		if call.WaitMs != 0 {
			continue // this is a watch that waits for changes
		}
		reply := &message.StoreReply{CallID: call.CallID, Status: message.StatusOK, Watch: api.WatchResponse{Revision: f.cache.Revision}}
		answered = append(answered, f.Step(now, reply)...)
	}
	return answered
}
