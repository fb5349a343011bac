package core

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
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
