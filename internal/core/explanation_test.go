package core

import (
	"fmt"
	"strings"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/message"
	"spurmoor/internal/records"
)

// TestExplanationOfSuspectJob checks that the owner of a job that fails on every machine is
// told so, with the number of failures and the time of the next attempt.
func TestExplanationOfSuspectJob(t *testing.T) {
	fixture := newLeaderFixture(t)
	fixture.cluster.SetTask(fixture.job, 0, cluster.TaskRecord{})
	for i := range 3 {
		name := fmt.Sprintf("n-%d", 2+i)
		attempt := api.Attempt(i + 1)
		fixture.recordMachine(name)
		fixture.cluster.SetTask(fixture.job, 0, cluster.TaskRecord{State: records.TaskPlaced, Attempt: attempt, Machine: name})
		exited := api.TaskStatus{Task: testTask, Attempt: attempt, State: api.TaskExited, ExitReason: api.ExitFailed}
		fixture.tasks.HandleExit(fixture.job, 0, fixture.job.Task(0), fixture.cluster.Machines[name], exited)
	}
	effects := fixture.answerReads(fixture.Now, fixture.Step(fixture.Now, message.Explain{RequestID: 9, ID: fixture.job.ID}))
	answer, _ := answerTo(effects, 9)
	explanation, ok := answer.Body.(api.Explanation)
	if !ok {
		t.Fatalf("got answer %+v, want an explanation", answer)
	}
	for _, part := range []string{"fails on every machine", "3 failures", "tried again in"} {
		if !strings.Contains(explanation.Reason, part) {
			t.Errorf("got reason %q, want it to contain %q", explanation.Reason, part)
		}
	}
}
