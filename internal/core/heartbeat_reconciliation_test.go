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

// stopsTask tells whether an answer to a heartbeat has the worker stop the task.
func stopsTask(answer message.Answer) bool {
	order, ok := answer.Body.(leadership.Order[api.HeartbeatResponse])
	return ok && slices.ContainsFunc(order.Body().Commands, func(command api.Command) bool {
		return command.Op == api.CommandStop && command.Task == testTask
	})
}

// TestFirstAnswerStopsCancelledTasks guards against a lease that a new leader renews
// without telling the worker to stop what is cancelled: a worker that hears nothing after
// that answer would run it for a lease more, past cancel_s.
func TestFirstAnswerStopsCancelledTasks(t *testing.T) {
	fixture := newLeaderFixture(t)
	running := api.TaskStatus{Task: testTask, Attempt: 1, State: api.TaskRunning}
	if answer := fixture.sendHeartbeat(1, 4, running); answer.Status != message.StatusOK || stopsTask(answer) {
		t.Fatalf("nothing is cancelled, answer %+v", answer)
	}
	fixture.job.CancelledElsewhere = true // another controller said so; the store says it later
	if answer := fixture.sendHeartbeat(2, 4, running); answer.Status != message.StatusOK || !stopsTask(answer) {
		t.Errorf("the lease is renewed without a stop: %+v", answer)
	}
	if answer := fixture.sendHeartbeat(3, 11, running); answer.Status != message.StatusOK || !stopsTask(answer) {
		t.Errorf("with our token the answer is %+v", answer)
	}
}

// TestUnansweredStartLetsLeaseExpire guards against a direct start without an answer that
// is carried out long after its job was cancelled, while the store is away and the fencing
// token cannot be raised: the machine's lease is not renewed any more.
func TestUnansweredStartLetsLeaseExpire(t *testing.T) {
	fixture := newLeaderFixture(t)
	fixture.sendHeartbeat(1, 4) // its incarnation is known
	fixture.job.Task(0).DirectStartToken = fixture.cluster.FencingToken(fixture.machine)
	fixture.job.CancelledElsewhere = true
	fixture.job.StopRequiredSince = fixture.Now
	fixture.renewLeaseNow()
	if answer := fixture.sendHeartbeat(2, 11); answer.Status != message.StatusOK {
		t.Fatalf("within the answer window the answer is %+v", answer)
	}
	fixture.Now += fixture.Settings.AnswerWindow() + 1
	fixture.renewLeaseNow()
	if answer := fixture.sendHeartbeat(3, 11); answer.Status != message.StatusServiceUnavailable {
		t.Errorf("past the answer window the answer is %+v", answer)
	}
	fixture.machine.Record.MinToken = 12
	fixture.partition.Term = 12
	if fixture.cluster.FencingToken(fixture.machine) != 12 {
		t.Fatal("the token was not raised")
	}
	if answer := fixture.sendHeartbeat(4, 11); answer.Status != message.StatusOK {
		t.Errorf("ruled out by a higher token, the answer is %+v", answer)
	}
}

// TestUnansweredStartRaisesToken guards against a direct start that had no answer and comes
// minutes late: its machine's record is written anew, with that write's revision as the
// least fencing token.
func TestUnansweredStartRaisesToken(t *testing.T) {
	fixture := newLeaderFixture(t)
	fixture.sendHeartbeat(1, 11)
	token := fixture.cluster.FencingToken(fixture.machine)
	fixture.Step(fixture.Now, message.CommandReply{Machine: fixture.machine.Name, FencingToken: token, StartsTasks: true})
	for range 3 { // a tick comes each tenth of a second
		fixture.Step(fixture.Now+micros.Second/10, message.Tick{})
	}
	commit := fixture.partition.CommitInFlight
	if commit == nil || !slices.ContainsFunc(commit.Entries, fixture.raisesToken) {
		t.Fatalf("no new token is recorded: %+v", commit)
	}
	fixture.partitionLog.HandleCommitted(fixture.partition, 40)
	if fixture.cluster.FencingToken(fixture.machine) != 40 {
		t.Errorf("the token is %d, was %d", fixture.cluster.FencingToken(fixture.machine), token)
	}
}

// raisesToken tells whether a log entry has the revision of its write as the machine's token.
func (f *leaderFixture) raisesToken(entry cluster.LogEntry) bool {
	return slices.ContainsFunc(entry.Machines, func(record records.Machine) bool {
		return record.Name == f.machine.Name && record.MinToken == 0
	})
}

// TestIncarnationUnderAnotherLeader guards against an incarnation that began under another
// leader and is news to us: what that one started in it still runs. Only what was observed
// since our failover, in an earlier incarnation, is proven gone.
func TestIncarnationUnderAnotherLeader(t *testing.T) {
	for _, tc := range []struct {
		name     string
		lost     bool // the partition is lost and acquired again meanwhile
		wantGone bool
	}{
		{name: "led throughout", lost: false, wantGone: true},
		{name: "led by another meanwhile", lost: true, wantGone: false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fixture := newLeaderFixture(t)
			fixture.sendHeartbeat(1, 11, api.TaskStatus{Task: testTask, Attempt: 1, State: api.TaskRunning})
			if !fixture.job.Task(0).Observed {
				t.Fatal("the task was not observed")
			}
			if tc.lost {
				fixture.roles.LoseRole(fixture.partition.RoleState, "test")
				fixture.lead(20)
			}
			fixture.workers.observeIncarnation(fixture.machine, 2)
			if gone := len(fixture.machine.TaskIDs) == 0; gone != tc.wantGone {
				t.Errorf("taken for gone: %t", gone)
			}
		})
	}
}
