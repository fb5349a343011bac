package scheduler

import (
	"math"

	"spurmoor/internal/settings"
)

// objectiveCount counts the objectives that apply to a job and those of them that it can
// no longer meet.
type objectiveCount struct{ stated, missed int }

func (c *objectiveCount) add(missed bool) {
	c.stated++
	if missed {
		c.missed++
	}
}

// missedObjectives is the share of the stated objectives of a job's class that it can no
// longer meet. In an overload, the wait term alone would rank first the jobs that are late
// already, and so make all late.
func (r *ranker) missedObjectives(job *Job) float64 {
	if job.Spec.EstimateS <= 0 {
		return 0
	}
	var count objectiveCount
	for _, objective := range r.Objectives[job.Spec.Class] {
		r.countObjective(&count, job, objective)
	}
	// Objectives for the deadline are those of the class of the job that has it.
	for _, objective := range r.Objectives[job.Deadline.Class] {
		if objective.Kind == settings.ObjectiveDeadline {
			sinceSubmitted := (r.Now - job.Deadline.SubmittedAt).Seconds()
			untilDone := sinceSubmitted + job.Spec.EstimateS + job.Deadline.DownstreamS
			count.add(untilDone > objective.DeadlineFactor*job.Deadline.WithinS)
		}
	}
	return float64(count.missed) / math.Max(1, float64(count.stated))
}

// countObjective counts an objective of the job's own class.
func (r *ranker) countObjective(count *objectiveCount, job *Job, objective settings.Objective) {
	age := (r.Now - job.EligibleAt).Seconds()
	switch objective.Kind {
	case settings.ObjectiveWait:
		count.add(!job.Started && age > objective.WithinS)
	case settings.ObjectiveFinished:
		count.add(age+job.Spec.EstimateS > objective.WithinS)
	case settings.ObjectiveDeadline:
		if job.Deadline.WithinS == 0 {
			count.add(false)
		}
	}
}
