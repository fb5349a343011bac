package scheduler

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// TestRankJobs checks which of two jobs is ranked first.
func TestRankJobs(t *testing.T) {
	t.Parallel()
	const now = 10000 * micros.Second
	standard := func(kind api.JobKind) *Job {
		return &Job{
			Spec: &api.Job{Kind: kind, Priority: "standard", Tasks: 1, EstimateS: 60}, Tier: 4,
			EligibleAt: now - 10*micros.Second, PendingTasks: 1, Request: NewResources(1, 0, 0),
		}
	}
	for _, tc := range []struct {
		name          string
		better, worse *Job
		change        func(better, worse *Job)
	}{
		{"the higher tier", standard(api.KindArray), standard(api.KindArray), func(better, _ *Job) { better.Tier = 10 }},
		{"the longer wait", standard(api.KindArray), standard(api.KindArray), func(better, _ *Job) {
			better.EligibleAt -= 100 * micros.Second
		}},
		{"of equal scores, the lower ID", standard(api.KindArray), standard(api.KindArray), func(_, _ *Job) {}},
		{"not a job that fails everywhere, whatever its tier", standard(api.KindArray), standard(api.KindArray), func(_, worse *Job) {
			worse.Tier, worse.Deprioritized = 10, true
		}},
		{"an overdue gang before a longer wait", standard(api.KindGang), standard(api.KindGang), func(better, worse *Job) {
			better.EligibleAt, worse.EligibleAt = 0, 0
			worse.Started = true
		}},
		{"in a backlog, the smaller array", standard(api.KindArray), standard(api.KindArray), func(_, worse *Job) {
			worse.PendingTasks = 1000
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			operators := settings.DefaultOperators()
			tc.better.ID, tc.worse.ID = "a", "b"
			tc.change(tc.better, tc.worse)
			state := newPlanState(&Snapshot{
				Now: now, Operators: &operators, Jobs: []*Job{tc.worse, tc.better},
				Machines: []*Machine{{Type: &api.MachineType{}, Total: NewResources(100, 0, 0)}},
			})
			newRanker(state).rankJobs()
			if state.Jobs[0] != tc.better {
				t.Errorf("first job: got the one with score %v, want the one with score %v", tc.worse.score, tc.better.score)
			}
		})
	}
}

// TestMissedObjectiveShare checks the share of its class's objectives that a job can no
// longer meet.
func TestMissedObjectiveShare(t *testing.T) {
	t.Parallel()
	objectives := map[string][]settings.Objective{
		"batch": {
			{Kind: settings.ObjectiveWait, Class: "batch", WithinS: 100},
			{Kind: settings.ObjectiveFinished, Class: "batch", WithinS: 500},
		},
		"urgent": {{Kind: settings.ObjectiveDeadline, Class: "urgent", DeadlineFactor: 1}},
	}
	for _, tc := range []struct {
		name     string
		class    string
		ageS     float64 // seconds since the job was eligible and the job with the deadline was submitted
		started  bool
		deadline Deadline
		want     float64
	}{
		{"all can be met", "batch", 50, false, Deadline{}, 0},
		{"has waited too long", "batch", 150, false, Deadline{}, 0.5},
		{"started in time", "batch", 150, true, Deadline{}, 0},
		{"cannot finish in time either", "batch", 450, false, Deadline{}, 1},
		{"in time for its deadline", "urgent", 450, false, Deadline{WithinS: 600, Class: "urgent"}, 0},
		{"late for its deadline", "urgent", 550, false, Deadline{WithinS: 600, Class: "urgent"}, 1},
		{"late for the jobs that depend on it", "urgent", 450, false, Deadline{WithinS: 600, Class: "urgent", DownstreamS: 100}, 1},
		{"without a deadline", "urgent", 550, false, Deadline{}, 0},
		{"in a class without objectives", "other", 1e6, false, Deadline{}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			jobRanker := &ranker{planState: newPlanState(&Snapshot{Now: micros.FromSeconds(tc.ageS), Objectives: objectives})}
			job := &Job{Spec: &api.Job{Class: tc.class, EstimateS: 100}, Started: tc.started, Deadline: tc.deadline}
			if got := jobRanker.missedObjectiveShare(job); got != tc.want {
				t.Errorf("missed objective share: got %v, want %v", got, tc.want)
			}
		})
	}
}
