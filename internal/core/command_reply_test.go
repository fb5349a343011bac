package core

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// reportIncarnation passes the refusal of direct commands to the controller by which a worker
// shows that it is in another incarnation. The worker numbers its messages anew in each.
func (f *leaderFixture) reportIncarnation(incarnation api.Incarnation) {
	token := f.cluster.FencingToken(f.machine)
	heartbeat := &api.Heartbeat{
		Machine: testMachine, Address: "10.1.0.1:9000", Type: "g4", Zone: "alta",
		Incarnation: incarnation, Sequence: 1, FencingToken: token,
	}
	f.Step(f.Now, message.CommandReply{
		Machine: testMachine, FencingToken: token, Status: message.StatusConflict, Heartbeat: heartbeat,
	})
}

// placeTask places the job's task on the machine in a further attempt, as if that were committed.
func (f *leaderFixture) placeTask(attempt api.Attempt) {
	f.cluster.SetTask(f.job, 0, cluster.TaskRecord{State: records.TaskPlaced, Attempt: attempt, Machine: testMachine})
	task := f.job.Task(0)
	task.Committed = task.TaskRecord
}

// tickAt advances the controller's clock to a time at which its store lease is valid.
func (f *leaderFixture) tickAt(now micros.Micros) {
	f.Now = now
	f.renewLease()
	f.Step(now, message.Tick{})
}

// TestNewIncarnationHasLeaseOfItsOwn guards against a task that is released, and started on
// another machine, while it runs in an incarnation of its worker that only the refusal of direct
// commands has shown. That incarnation may last for a whole lease from then on, however soon the
// lease of the incarnation before it would have expired.
func TestNewIncarnationHasLeaseOfItsOwn(t *testing.T) {
	fixture := newLeaderFixture(t)
	lease := fixture.Settings.WorkerLease()
	fixture.sendHeartbeat(88, 11, api.TaskStatus{Task: testTask, Attempt: 1, State: api.TaskRunning})
	fixture.tickAt(fixture.Now + lease)
	fixture.reportIncarnation(2)
	if len(fixture.machine.TaskIDs) != 0 {
		t.Fatalf("after the next incarnation began: got tasks %v on the machine, want none", fixture.machine.TaskIDs)
	}
	began := fixture.Now
	fixture.placeTask(2)
	for ; fixture.Now < began+lease; fixture.tickAt(fixture.Now + micros.Second) {
		if len(fixture.machine.TaskIDs) != 1 {
			t.Fatalf("%v after the incarnation began: got a task that was released, want it on the machine", fixture.Now-began)
		}
	}
	fixture.tickAt(began + lease + 2*workerLeaseMargin)
	if len(fixture.machine.TaskIDs) != 0 {
		t.Error("after the lease of the incarnation: got a task on the machine, want it released")
	}
}

// TestNewIncarnationCountsItsOwnMessages guards against a worker whose heartbeats are all
// refused as outdated, and whose lease expires again and again, because the numbers of its
// messages are compared with those of an earlier incarnation.
func TestNewIncarnationCountsItsOwnMessages(t *testing.T) {
	fixture := newLeaderFixture(t)
	fixture.removeTask()
	fixture.sendHeartbeat(88, 11)
	fixture.reportIncarnation(2)
	heartbeat := &api.Heartbeat{
		Machine: testMachine, Address: "10.1.0.1:9000", Type: "g4", Zone: "alta",
		Incarnation: 2, Sequence: 2, FencingToken: fixture.cluster.FencingToken(fixture.machine),
	}
	effects := fixture.Step(fixture.Now, message.WorkerHeartbeat{RequestID: 9, Heartbeat: heartbeat})
	if answer, _ := answerTo(effects, 9); answer.Status != message.StatusOK {
		t.Errorf("second message of the incarnation: got answer %+v, want status 200", answer)
	}
}
