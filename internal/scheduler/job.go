package scheduler

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// lowestTier is the tier of the lowest priority: a job of it can preempt nothing by its
// tier.
var lowestTier = api.PriorityBestEffort.Tier()

// spreadZones is how many zones a job that asks to be spread must use at least.
const spreadZones = 2

// anyZone is the one group of machines for a job that need not stay in one zone.
const anyZone = ""

// Job is an unfinished job of the partition.
type Job struct {
	ID             string
	Spec           *api.Job
	Request        Resources       // of one task
	Tier           int             // that it is ranked with: its own, or a higher one lent by a job that needs it
	EligibleAt     micros.Micros   // accepted, and all its dependencies done
	Deadline       Deadline        // its own, or that of a job that needs it
	PendingTasks   int             // tasks to place, those held back by a back-off not counted
	TasksPerZone   map[string]int  // placed already
	FailedMachines map[string]bool // by name: a task of the job failed there
	Started        bool            // some of its tasks were started
	Deprioritized  bool            // failing everywhere: it must not take room first

	// What the steps of a plan note for the later ones.
	score        float64 // its rank
	blockedTasks int     // tasks that found no room
	launchZone   string  // where its machines are to be launched, if all in one zone
}

// Deadline is the deadline of a job itself, or of the last of those that need it, before
// which it must be done so much earlier. WithinS is 0 where there is none.
type Deadline struct {
	SubmittedAt micros.Micros // when the job that has it was submitted
	WithinS     float64       // seconds from then
	Class       string        // of that job
	DownstreamS float64       // seconds that the jobs behind this one take, by the estimates
}

// Latest is when a job must be done.
func (d Deadline) Latest() micros.Micros {
	return d.SubmittedAt + micros.FromSeconds(d.WithinS-d.DownstreamS)
}

// Allowed tells whether a job may run on machines of a type, zone and kind at all.
func Allowed(spec *api.Job, machineType, zone string, spot bool) bool {
	if spec.Types != nil && !slices.Contains(spec.Types, machineType) {
		return false
	}
	if spec.Zone != "" && spec.Zone != zone {
		return false
	}
	return spec.Spot || !spot
}

// ownTier is the job's tier without what was lent to it.
func (j *Job) ownTier() int { return j.Spec.Priority.Tier() }

// estimate is how long a task runs, by the owner's estimate.
func (j *Job) estimate() micros.Micros { return micros.FromSeconds(j.Spec.EstimateS) }

// zoneCapacity is how many more of the job's tasks a zone may take; it may be negative
// where a zone has more than its share already.
func (j *Job) zoneCapacity(zone string) int {
	if j.launchZone != "" && zone != j.launchZone {
		return 0
	}
	if j.Spec.OneZone && j.hasTasksOutside(zone) {
		return 0
	}
	if j.Spec.Spread {
		return (j.Spec.Tasks+spreadZones-1)/spreadZones - j.TasksPerZone[zone]
	}
	return j.Spec.Tasks
}

// hasTasksOutside tells whether a task of the job is in another zone.
func (j *Job) hasTasksOutside(zone string) bool {
	for other, tasks := range j.TasksPerZone {
		if tasks > 0 && other != zone {
			return true
		}
	}
	return false
}

// zoneGroup is the key to group machines by when a set of them is sought for the whole
// job: the zone for a job that must stay in one, else one group for all.
func (j *Job) zoneGroup(machine *Machine) string {
	if j.Spec.OneZone {
		return machine.Zone
	}
	return anyZone
}

// permits tells whether the job's terms let its next task run on a machine.
func (j *Job) permits(machine *Machine) bool {
	return !j.FailedMachines[machine.Name] && j.zoneCapacity(machine.Zone) > 0 &&
		Allowed(j.Spec, machine.Type.Name, machine.Zone, machine.Spot)
}

// isClaimedByOther tells whether a machine is being emptied for another job.
func (j *Job) isClaimedByOther(machine *Machine) bool {
	return machine.ClaimedBy != "" && machine.ClaimedBy != j.ID
}

// couldRunOn tells whether the job's next task may be on a machine at all: the job's
// terms permit it and no other job has a claim to it.
func (j *Job) couldRunOn(machine *Machine) bool {
	return !j.isClaimedByOther(machine) && j.permits(machine)
}

// fetchTime is how long a machine of a type takes to fetch the job's image.
func (j *Job) fetchTime(machineType *api.MachineType) micros.Micros {
	if machineType == nil || machineType.FetchGBPerS <= 0 {
		return 0
	}
	return micros.FromSeconds(j.Spec.ImageGB / machineType.FetchGBPerS)
}

// expectedEnd is when a task that starts on a machine now should end: by the owner's
// estimate, after the image is fetched.
func (j *Job) expectedEnd(machine *Machine, now micros.Micros) micros.Micros {
	end := now + j.estimate()
	if !machine.HasImage(j.Spec.Image) {
		end += j.fetchTime(machine.Type)
	}
	return end
}
