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

// TestExplanationOfSuspectJob guards that the owner of a job with a mistake is told so, and
// how often it failed.
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
		t.Fatalf("answered %+v", answer)
	}
	for _, part := range []string{"fails on every machine", "3 failures", "tried again in"} {
		if !strings.Contains(explanation.Reason, part) {
			t.Errorf("the owner is told %q, without %q", explanation.Reason, part)
		}
	}
}
