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

// Names in the fixtures.
const (
	testNode    = "nodo-0"
	testJob     = "wk-000001"
	testTask    = "wk-000001/0"
	testMachine = "n-1"
)

// syncedFixture is a controller whose replica holds one job, accepted at revision 3.
type syncedFixture struct {
	*Controller
	submission []byte    // the body that submits the job
	jobPut     api.Event // the event that told of the job
}

func newSyncedFixture(t *testing.T) *syncedFixture {
	t.Helper()
	controller := New(testSettings(), 1, rand.New(rand.NewPCG(1, 1)))
	controller.cache.Synced = true
	controller.catalog.MachineTypes = []api.MachineType{{Name: "g4", CPUs: 24, GPUs: 4, MemoryGB: 100, Zones: []string{"alta"}}}
	spec := api.Job{
		ID: testJob, Class: "c", Team: "norte", Kind: api.Array, Priority: "standard", Tasks: 1, CPUs: 1, Image: "i", EstimateS: 5,
	}
	record := records.MustMarshal(records.Job{Spec: spec, AcceptedAt: 1})
	fixture := &syncedFixture{
		Controller: controller,
		submission: submissionOf(t, spec),
		jobPut:     api.Event{Put: records.JobPrefix + spec.ID, Value: record, Version: 3},
	}
	fixture.watchReply(3, fixture.jobPut)
	return fixture
}

// testSettings are those of a service of one controller, two partitions and one team.
func testSettings() *settings.Settings {
	set := &settings.Settings{
		Operators: settings.Defaults(), TeamPartition: map[string]int{"norte": 0}, Nodes: []string{testNode},
	}
	set.Node = testNode
	set.Operators.Parts = 2
	set.Deployment.Teams = []settings.Team{{Name: "norte"}}
	set.Deployment.Store = settings.State{RPS: 200, WriteRPS: 20, ValueKB: 8, MaxTransactionOps: 12}
	return set
}

// submissionOf gives the body that submits a job.
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

// watchReply has the watch cache take in the reply to a watch that was sent at time 0.
func (f *syncedFixture) watchReply(revision api.Revision, events ...api.Event) {
	reply := &message.StoreReply{Status: message.StatusOK, Watch: api.WatchResponse{Revision: revision, Events: events}}
	f.cache.ApplyWatchReply(reply, 0)
}

// leaderFixture is a controller that leads a partition with one machine, on which one task
// of a job is placed and committed.
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
	fixture.renewLeaseNow()
	fixture.partition = fixture.cluster.Partitions[0]
	fixture.lead(10)
	fixture.recordMachine(testMachine)
	fixture.machine = fixture.cluster.Machines[testMachine]
	fixture.job = fixture.cluster.Jobs[testJob]
	fixture.cluster.SetTask(fixture.job, 0, cluster.TaskRecord{State: records.TaskPlaced, Attempt: 1, Machine: testMachine})
	task := fixture.job.Task(0)
	task.Committed = task.TaskRecord
	if !fixture.partition.Leads() || fixture.machine == nil || len(fixture.machine.TaskIDs) != 1 {
		t.Fatalf("leads %t, machine %v", fixture.partition.Leads(), fixture.machine)
	}
	return fixture
}

// renewLeaseNow has the lease on the store renewed, and the replica complete, as of now.
func (f *leaderFixture) renewLeaseNow() {
	f.storeLease.Lease.RenewalSentAt = f.Now
	f.cache.CurrentAsOf = f.Now
}

// lead has the store tell that the controller leads the partition since a revision.
func (f *leaderFixture) lead(term leadership.Term) {
	claim := leadership.Claim{Node: f.Settings.Node, Incarnation: f.Incarnation}
	f.applier.ApplyPut(f.partition.Key(), records.MustMarshal(claim), api.Revision(term))
}

// recordMachine has the partition's log tell of a machine.
func (f *leaderFixture) recordMachine(name string) {
	record := records.Machine{Name: name, Type: "g4", Zone: "alta", Partition: 0, Epoch: 1, MinToken: 11}
	f.registry.ApplyRecord(record, cluster.RecordOrigin{Epoch: 1, Partition: 0, Sequence: 1}, 11)
}

// clearTask takes the job's task off its machine, as committed.
func (f *leaderFixture) clearTask() {
	f.cluster.SetTask(f.job, 0, cluster.TaskRecord{})
	f.job.Task(0).Committed = cluster.TaskRecord{}
}

// sendHeartbeat has the machine send a heartbeat, and gives the answer.
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

// newProvisioningFixture is a leader that records its provisioning requests before it
// sends them, and whose fleet roles have one leader each.
func newProvisioningFixture(t *testing.T) *leaderFixture {
	t.Helper()
	fixture := newLeaderFixture(t)
	fixture.Settings.Operators.Duties.Exclusive = leadership.FleetRoleNames()
	fixture.Settings.Operators.Duties.RecordRentals = true
	fixture.Settings.Deployment.Cloud.RPS = 6
	// The cloud's catalog and list are not asked for here.
	fixture.catalog.NextCatalogReadAt = 1 << 60
	fixture.instances.NextListAt = 1 << 60
	fixture.provisioning.RecordingRequests = true
	fixture.roles.Exclusive = true
	fixture.Effects = nil
	return fixture
}

// newMachinesFixture makes a controller with machines m-0 to m-4 and array jobs a to d,
// of which nothing is known.
func newMachinesFixture(t *testing.T) *Controller {
	t.Helper()
	controller := New(&settings.Settings{Operators: settings.Defaults()}, 1, rand.New(rand.NewPCG(1, 1)))
	for _, name := range []string{"m-0", "m-1", "m-2", "m-3", "m-4"} {
		evidence := cluster.MachineFailures{Unattributed: map[string]bool{}}
		controller.cluster.Machines[name] = &cluster.Machine{Name: name, Failures: evidence}
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		spec := api.Job{Kind: api.Array, Tasks: 20}
		controller.cluster.Jobs[id] = &cluster.Job{ID: id, Spec: spec, FailedMachines: map[string]bool{}}
	}
	return controller
}

// effectsOf gives the effects of one kind.
func effectsOf[T message.Effect](effects []message.Effect) []T {
	var list []T
	for _, effect := range effects {
		if typed, ok := effect.(T); ok {
			list = append(list, typed)
		}
	}
	return list
}

// storeCallsOf gives the calls of the store for one operation.
func storeCallsOf(effects []message.Effect, op message.StoreOp) []message.StoreCall {
	return slices.DeleteFunc(effectsOf[message.StoreCall](effects), func(call message.StoreCall) bool { return call.Op != op })
}

// transactionWriting gives the transaction among the effects that writes a key; nil: none does.
func transactionWriting(effects []message.Effect, key string) *message.StoreCall {
	for _, call := range storeCallsOf(effects, message.OpTransaction) {
		if slices.ContainsFunc(call.Transaction.Body().Writes, func(write api.Write) bool { return write.Put == key }) {
			return &call
		}
	}
	return nil
}

// transactionDeleting gives the transaction among the effects whose first write deletes a
// key; nil: none does.
func transactionDeleting(effects []message.Effect, key string) *message.StoreCall {
	for _, call := range storeCallsOf(effects, message.OpTransaction) {
		if call.Transaction.Body().Writes[0].Delete == key {
			return &call
		}
	}
	return nil
}

// launchCallsOf gives the calls of the cloud that launch instances.
func launchCallsOf(effects []message.Effect) []message.CloudCall {
	return slices.DeleteFunc(effectsOf[message.CloudCall](effects), func(call message.CloudCall) bool {
		return call.Op != message.OpLaunch
	})
}

// answerTo gives the answer to a request among the effects; false: there is none.
func answerTo(effects []message.Effect, requestID uint64) (message.Answer, bool) {
	for _, answer := range effectsOf[message.Answer](effects) {
		if answer.RequestID == requestID {
			return answer, true
		}
	}
	return message.Answer{}, false
}

// answerReads answers all reads of the latest changes among the effects with "none", and
// gives the effects of that.
func (f *syncedFixture) answerReads(now micros.Micros, effects []message.Effect) []message.Effect {
	var answered []message.Effect
	for _, call := range storeCallsOf(effects, message.OpWatch) {
		if call.WaitMs != 0 {
			continue // a watch that waits for changes
		}
		reply := &message.StoreReply{Call: call.Call, Status: message.StatusOK, Watch: api.WatchResponse{Revision: f.cache.Revision}}
		answered = append(answered, f.Step(now, reply)...)
	}
	return answered
}
