package core

import (
	"slices"

	"spurmoor/internal/provisioning"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
	"spurmoor/internal/scheduler"
)

// maxSubmissionsInFlight bounds the submissions that are being recorded at a time.
const maxSubmissionsInFlight = 100

// storeUnavailableTimeout is how long the store must not answer before submissions are
// refused without asking it.
const storeUnavailableTimeout = 2 * micros.Second

// admissionControl decides which submissions are refused, and why.
type admissionControl struct {
	*coordination.Environment
	catalog      *provisioning.MachineCatalog
	cluster      *cluster.State
	dependencies *cluster.DependencyGraph
	schema       *coordination.SchemaTracker
	storeHealth  *coordination.StoreHealth

	inFlight int // submissions whose dependencies are looked up or that are being recorded
}

func newAdmissionControl(
	env *coordination.Environment,
	catalog *provisioning.MachineCatalog,
	cluster *cluster.State,
	dependencies *cluster.DependencyGraph,
	schema *coordination.SchemaTracker,
	health *coordination.StoreHealth,
) *admissionControl {
	return &admissionControl{
		Environment: env, catalog: catalog, cluster: cluster, dependencies: dependencies, schema: schema, storeHealth: health,
	}
}

// storeIsUnavailable tells whether the store has not answered for so long that asking it
// would only keep the user waiting.
func (a *admissionControl) storeIsUnavailable() bool {
	since := a.storeHealth.UnavailableSince
	return since > 0 && a.Now > since+storeUnavailableTimeout
}

// check tells whether a job may be accepted as far as that can be said without asking the
// store; if not, it gives the refusal.
func (a *admissionControl) check(spec *api.Job) (refusal, bool) {
	if len(a.catalog.MachineTypes) == 0 {
		return refusalCatalogUnknown, false
	}
	if why, ok := a.checkSchedulable(spec); !ok {
		return why, false
	}
	record := records.Job{Spec: withoutDependencies(*spec), AcceptedAt: a.Now}
	if len(records.MustMarshal(record)) > a.Settings.MaxValueBytes() {
		return refusalTooLong, false
	}
	if outcome, _ := a.dependencies.KnownOutcome(spec.ID); outcome != cluster.OutcomeUnknown {
		// The replica knows the job: a transaction that is sure to fail would count
		// against the store's budget of changes all the same. A repeated submission
		// is answered as such instead of with this refusal.
		return refusalStoreBusy, false
	}
	if len(a.cluster.Jobs) >= a.Settings.MaxUnfinishedJobs() || a.inFlight >= maxSubmissionsInFlight {
		return refusalTooManyJobs, false
	}
	return refusal{}, true
}

// checkDependencies tells whether a job with these dependencies may be accepted as far as
// that can be said without looking them up; if not, it gives the refusal.
func (a *admissionControl) checkDependencies(spec *api.Job) (refusal, bool) {
	if slices.Contains(spec.Dependencies, spec.ID) {
		return refusalDependsOnItself, false
	}
	if !a.schema.AllReadSchema(records.SchemaDependencies) {
		return refusalDependenciesUnreadable, false
	}
	return refusal{}, true
}

// checkSchedulable tells whether a job can ever run; if not, it gives the refusal.
func (a *admissionControl) checkSchedulable(spec *api.Job) (refusal, bool) {
	if _, ok := a.Settings.TeamPartition[spec.Team]; !ok {
		return refusalUnknownTeam, false
	}
	task := scheduler.NewResources(spec.CPUs, spec.GPUs, spec.MemoryGB)
	if !a.fitsSomeMachineType(spec, task) {
		return refusalFitsNoMachine, false
	}
	if a.exceedsTeamLimit(spec, task) {
		return refusalExceedsTeamLimit, false
	}
	return refusal{}, true
}

// fitsSomeMachineType tells whether one task fits an on-demand machine that the job allows.
func (a *admissionControl) fitsSomeMachineType(spec *api.Job, task scheduler.Resources) bool {
	return slices.ContainsFunc(a.catalog.MachineTypes, func(machineType api.MachineType) bool {
		capacity := scheduler.NewResources(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)
		return capacity.Fits(task) && slices.ContainsFunc(machineType.Zones, func(zone string) bool {
			return scheduler.ConstraintsAllow(spec, machineType.Name, zone, false)
		})
	})
}

// exceedsTeamLimit tells whether the tasks of a job that must run together, of an array
// one alone, need more than its team may ever use.
func (a *admissionControl) exceedsTeamLimit(spec *api.Job, task scheduler.Resources) bool {
	together := int64(1)
	if spec.Kind != api.Array {
		together = int64(spec.Tasks)
	}
	for _, team := range a.Settings.Deployment.Teams {
		if team.Name != spec.Team {
			continue
		}
		limit := scheduler.NewResources(team.MaxCPUs, team.MaxGPUs, 0)
		if limit.MilliCPU > 0 && task.MilliCPU*together > limit.MilliCPU || limit.MilliGPU > 0 && task.MilliGPU*together > limit.MilliGPU {
			return true
		}
	}
	return false
}

// withoutDependencies gives a job without its dependencies.
func withoutDependencies(spec api.Job) api.Job {
	spec.Dependencies = nil
	return spec
}
