package core

import (
	"slices"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// stopsTask reports whether an answer to a heartbeat tells the worker to stop the task.
func stopsTask(answer message.Answer) bool {
	order, ok := answer.Body.(leadership.Order[api.HeartbeatResponse])
	return ok && slices.ContainsFunc(order.Body().Commands, func(command api.Command) bool {
		return command.Op == api.CommandStop && command.Task == testTask
	})
}

// TestFirstAnswerStopsCancelledTasks guards against a new leader that renews a lease without
// telling the worker to stop cancelled tasks. If no further answer reached the worker, it
// would run them for another lease, longer than cancel_s permits.
func TestFirstAnswerStopsCancelledTasks(t *testing.T) {
	fixture := newLeaderFixture(t)
	running := api.TaskStatus{Task: testTask, Attempt: 1, State: api.TaskRunning}
	if answer := fixture.sendHeartbeat(1, 4, running); answer.Status != message.StatusOK || stopsTask(answer) {
		t.Fatalf("without a cancellation: got answer %+v, want status 200 and no stop", answer)
	}
	fixture.job.CancelledElsewhere = true // notified by another controller; not yet in the replica
	if answer := fixture.sendHeartbeat(2, 4, running); answer.Status != message.StatusOK || !stopsTask(answer) {
		t.Errorf("with an older token: got answer %+v, want status 200 and a stop", answer)
	}
	if answer := fixture.sendHeartbeat(3, 11, running); answer.Status != message.StatusOK || !stopsTask(answer) {
		t.Errorf("with our token: got answer %+v, want status 200 and a stop", answer)
	}
}

// TestUnansweredStartLetsLeaseExpire guards against an unanswered direct start that is carried
// out long after its job was cancelled, while the store is unavailable and the fencing token
// cannot be raised. The machine's lease must not be renewed in that case.
func TestUnansweredStartLetsLeaseExpire(t *testing.T) {
	fixture := newLeaderFixture(t)
	fixture.sendHeartbeat(1, 4) // makes the machine's incarnation known
	fixture.job.Task(0).DirectStartToken = fixture.cluster.FencingToken(fixture.machine)
	fixture.job.CancelledElsewhere = true
	fixture.job.StopRequiredSince = fixture.Now
	fixture.renewLease()
	if answer := fixture.sendHeartbeat(2, 11); answer.Status != message.StatusOK {
		t.Fatalf("within the answer window: got answer %+v, want status 200", answer)
	}
	fixture.Now += fixture.Settings.AnswerWindow() + 1
	fixture.renewLease()
	if answer := fixture.sendHeartbeat(3, 11); answer.Status != message.StatusServiceUnavailable {
		t.Errorf("past the answer window: got answer %+v, want status 503", answer)
	}
	fixture.machine.Record.MinToken = 12
	fixture.partition.Term = 12
	if fixture.cluster.FencingToken(fixture.machine) != 12 {
		t.Fatalf("got fencing token %d, want 12", fixture.cluster.FencingToken(fixture.machine))
	}
	if answer := fixture.sendHeartbeat(4, 11); answer.Status != message.StatusOK {
		t.Errorf("with a higher token: got answer %+v, want status 200", answer)
	}
}

// TestUnansweredStartRaisesToken guards against an unanswered direct start that arrives
// minutes late. The machine's record must be written again, with the revision of that write
// as the lowest fencing token.
func TestUnansweredStartRaisesToken(t *testing.T) {
	fixture := newLeaderFixture(t)
	fixture.sendHeartbeat(1, 11)
	token := fixture.cluster.FencingToken(fixture.machine)
	fixture.Step(fixture.Now, message.CommandReply{Machine: fixture.machine.Name, FencingToken: token, StartsTasks: true})
	for range 3 { // ticks come every tenth of a second
		fixture.Step(fixture.Now+micros.Second/10, message.Tick{})
	}
	commit := fixture.partition.CommitInFlight
	if commit == nil || !slices.ContainsFunc(commit.Entries, fixture.raisesToken) {
		t.Fatalf("got commit %+v, want one that raises the machine's token", commit)
	}
	fixture.partitionLog.HandleCommitted(fixture.partition, 40)
	if fixture.cluster.FencingToken(fixture.machine) != 40 {
		t.Errorf("got token %d, want 40 (token before: %d)", fixture.cluster.FencingToken(fixture.machine), token)
	}
}

// raisesToken reports whether a log entry sets the machine's lowest token to the revision of
// the entry's write, which a MinToken of 0 stands for.
func (f *leaderFixture) raisesToken(entry cluster.LogEntry) bool {
	return slices.ContainsFunc(entry.Machines, func(record records.Machine) bool {
		return record.Name == f.machine.Name && record.MinToken == 0
	})
}

// TestIncarnationUnderAnotherLeader guards against treating running tasks as gone because of
// an incarnation that began under another leader: tasks that the other leader started in it
// still run. A new incarnation proves only those tasks gone that we observed in an earlier one
// since we acquired the partition.
func TestIncarnationUnderAnotherLeader(t *testing.T) {
	for _, tc := range []struct {
		name     string
		lost     bool // the partition is lost and acquired again before the new incarnation
		wantGone bool
	}{
		{name: "led throughout", lost: false, wantGone: true},
		{name: "led by another meanwhile", lost: true, wantGone: false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fixture := newLeaderFixture(t)
			fixture.sendHeartbeat(1, 11, api.TaskStatus{Task: testTask, Attempt: 1, State: api.TaskRunning})
			if !fixture.job.Task(0).Observed {
				t.Fatal("after its heartbeat: got a task that is not observed, want it observed")
			}
			if tc.lost {
				fixture.roles.StopLeading(fixture.partition.RoleState, "test")
				fixture.acquirePartition(20)
			}
			fixture.workers.observeIncarnation(fixture.machine, 2)
			if gone := len(fixture.machine.TaskIDs) == 0; gone != tc.wantGone {
				t.Errorf("task gone: got %t, want %t", gone, tc.wantGone)
			}
		})
	}
}
