package scheduler

import (
	"math"

	"spurmoor/internal/settings"
)

// Kinds of service-level objectives, as the platform's settings name them.
const (
	objectiveWait     = "wait"     // begun within so many seconds
	objectiveFinished = "finished" // done within so many seconds
	objectiveDeadline = "deadline" // done within a multiple of its deadline
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
		if objective.Kind == objectiveDeadline {
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
	case objectiveWait:
		count.add(!job.Started && age > objective.WithinS)
	case objectiveFinished:
		count.add(age+job.Spec.EstimateS > objective.WithinS)
	case objectiveDeadline:
		if job.Deadline.WithinS == 0 {
			count.add(false)
		}
	}
}
