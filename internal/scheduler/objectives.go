package scheduler

import (
	"math"

	"spurmoor/internal/settings"
)

// objectiveCount counts the objectives that apply to a job, and those among them that the
// job can no longer meet.
type objectiveCount struct{ applicable, missed int }

func (c *objectiveCount) add(missed bool) {
	c.applicable++
	if missed {
		c.missed++
	}
}

// missedObjectiveShare returns the share of the objectives applying to the job that it can
// no longer meet. Under overload, the wait term alone would rank the jobs first that are
// late already, and thereby make all jobs late.
func (r *ranker) missedObjectiveShare(job *Job) float64 {
	if job.Spec.EstimateS <= 0 {
		return 0
	}
	var count objectiveCount
	for _, objective := range r.Objectives[job.Spec.Class] {
		r.countObjective(&count, job, objective)
	}
	// Deadline objectives are those of the class of the job that states the deadline.
	for _, objective := range r.Objectives[job.Deadline.Class] {
		if objective.Kind == settings.ObjectiveDeadline {
			sinceSubmittedS := (r.Now - job.Deadline.SubmittedAt).Seconds()
			untilDoneS := sinceSubmittedS + job.Spec.EstimateS + job.Deadline.DownstreamS
			count.add(untilDoneS > objective.DeadlineFactor*job.Deadline.WithinS)
		}
	}
	return float64(count.missed) / math.Max(1, float64(count.applicable))
}

// countObjective counts an objective of the job's own class. For a job without a deadline, a
// deadline objective counts as met. For a job with one, missedObjectiveShare counts it.
func (r *ranker) countObjective(count *objectiveCount, job *Job, objective settings.Objective) {
	ageS := (r.Now - job.EligibleAt).Seconds()
	switch objective.Kind {
	case settings.ObjectiveWait:
		count.add(!job.Started && ageS > objective.WithinS)
	case settings.ObjectiveFinished:
		count.add(ageS+job.Spec.EstimateS > objective.WithinS)
	case settings.ObjectiveDeadline:
		if job.Deadline.WithinS == 0 {
			count.add(false)
		}
	}
}
