package scheduler

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// lowestTier is the tier of the lowest priority. A job of this tier cannot preempt other
// jobs by tier.
var lowestTier = api.PriorityBestEffort.Tier()

// minSpreadZones is the minimum number of zones for a job with Spread.
const minSpreadZones = 2

// anyZone is the group of all machines for a job that need not stay in one zone.
const anyZone = ""

// Job is an unfinished job. A job that is known only through an Allocation, such as one of
// another partition, has just ID, Spec, Request and Tier.
type Job struct {
	ID             string
	Spec           *api.Job
	Request        Resources       // of each task
	Tier           int             // effective tier: its own, or a higher one inherited from a job that depends on it
	EligibleAt     micros.Micros   // when it was accepted and all its dependencies were done
	Deadline       Deadline        // its own, or inherited from a job that depends on it
	PendingTasks   int             // tasks to place, without those in back-off
	TasksPerZone   map[string]int  // tasks already placed
	FailedMachines map[string]bool // by name: machines where a task of the job failed
	Started        bool            // some of its tasks have started
	Deprioritized  bool            // fails on every machine, so it must not get room before other jobs

	// Results of the planning steps, for the later ones.
	score        float64 // jobs are ranked by descending score
	blockedTasks int     // tasks that found no room
	launchZone   string  // the only zone where blocked tasks get room or machines are launched; "": any zone
}

// Deadline is a job's own deadline, or one that it inherits from a job that depends on it.
// An inherited one must be met DownstreamS earlier, so that the dependent jobs have time
// to run. WithinS is 0 if there is no deadline.
type Deadline struct {
	SubmittedAt micros.Micros // when the job that states the deadline was submitted
	WithinS     float64       // seconds after SubmittedAt
	Class       string        // of the job that states the deadline
	DownstreamS float64       // estimated seconds that the dependent jobs take after this one
}

// LatestEnd returns the time by which the job must be done. WithinS must not be 0.
func (d Deadline) LatestEnd() micros.Micros {
	return d.SubmittedAt + micros.FromSeconds(d.WithinS-d.DownstreamS)
}

// ConstraintsAllow reports whether the constraints of a job permit a machine type and zone,
// and spot machines if spot is set.
func ConstraintsAllow(spec *api.Job, machineType, zone string, spot bool) bool {
	if spec.Types != nil && !slices.Contains(spec.Types, machineType) {
		return false
	}
	if spec.Zone != "" && spec.Zone != zone {
		return false
	}
	return spec.Spot || !spot
}

// ownTier returns the tier of the job's own priority, without an inherited tier.
func (j *Job) ownTier() int { return j.Spec.Priority.Tier() }

// estimatedRuntime returns the owner's estimate of how long a task runs.
func (j *Job) estimatedRuntime() micros.Micros { return micros.FromSeconds(j.Spec.EstimateS) }

// tasksAllowedIn returns how many more tasks of the job may be placed in the zone. It is
// negative if a spread job already has more than its share of tasks there.
func (j *Job) tasksAllowedIn(zone string) int {
	if j.launchZone != "" && zone != j.launchZone {
		return 0
	}
	if j.Spec.OneZone && j.hasTasksOutside(zone) {
		return 0
	}
	if j.Spec.Spread {
		return (j.Spec.Tasks+minSpreadZones-1)/minSpreadZones - j.TasksPerZone[zone]
	}
	return j.Spec.Tasks
}

// hasTasksOutside reports whether a task of the job is in another zone.
func (j *Job) hasTasksOutside(zone string) bool {
	for other, tasks := range j.TasksPerZone {
		if tasks > 0 && other != zone {
			return true
		}
	}
	return false
}

// zoneGroup returns the key by which machines are grouped when a set of machines is
// searched for the whole job. It is the zone if the job must stay in one, else anyZone.
func (j *Job) zoneGroup(machine *Machine) string {
	if j.Spec.OneZone {
		return machine.Zone
	}
	return anyZone
}

// allowsMachine reports whether the next task of the job may run on the machine, by the
// job's constraints, its tasks per zone and its earlier failures.
func (j *Job) allowsMachine(machine *Machine) bool {
	return !j.FailedMachines[machine.Name] && j.tasksAllowedIn(machine.Zone) > 0 &&
		ConstraintsAllow(j.Spec, machine.Type.Name, machine.Zone, machine.Spot)
}

// otherJobClaims reports whether tasks are being preempted on the machine for another job.
func (j *Job) otherJobClaims(machine *Machine) bool {
	return machine.ClaimedBy != "" && machine.ClaimedBy != j.ID
}

// couldRunOn reports whether the job allows the machine and no other job claims it. The
// machine need not have room.
func (j *Job) couldRunOn(machine *Machine) bool {
	return !j.otherJobClaims(machine) && j.allowsMachine(machine)
}

// imageFetchTime returns how long a machine of the type takes to fetch the job's image. It
// is 0 if the type or its rate is unknown.
func (j *Job) imageFetchTime(machineType *api.MachineType) micros.Micros {
	if machineType == nil || machineType.FetchGBPerS <= 0 {
		return 0
	}
	return micros.FromSeconds(j.Spec.ImageGB / machineType.FetchGBPerS)
}

// expectedEnd returns the estimated end of a task that is placed on the machine now,
// including the time to fetch the image.
func (j *Job) expectedEnd(machine *Machine, now micros.Micros) micros.Micros {
	end := now + j.estimatedRuntime()
	if !machine.HasImage(j.Spec.Image) {
		end += j.imageFetchTime(machine.Type)
	}
	return end
}
