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

// maxSubmissionsInFlight bounds the submissions that are being recorded or wait for a lookup
// of their dependencies.
const maxSubmissionsInFlight = 100

// admissionStoreTimeout is how long the store must be unavailable before submissions are
// refused without a request to it.
const admissionStoreTimeout = 2 * micros.Second

// admissionControl decides which submissions are refused and for what reason.
type admissionControl struct {
	*coordination.Environment
	catalog      *provisioning.MachineCatalog
	cluster      *cluster.State
	dependencies *cluster.DependencyGraph
	schema       *coordination.SchemaTracker
	storeHealth  *coordination.StoreHealth

	inFlight int // submissions being recorded or waiting for a lookup of their dependencies
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

// storeUnavailable reports whether the store has not answered for so long that another
// request to it would only keep the user waiting.
func (a *admissionControl) storeUnavailable() bool {
	since := a.storeHealth.UnavailableSince
	return since > 0 && a.Now > since+admissionStoreTimeout
}

// check reports whether a job may be accepted, as far as that is known without a request to
// the store. If not, it returns the refusal.
func (a *admissionControl) check(spec *api.Job) (refusal, bool) {
	if len(a.catalog.MachineTypes) == 0 {
		return refusalCatalogUnknown, false
	}
	if reason, ok := a.checkSchedulable(spec); !ok {
		return reason, false
	}
	record := records.Job{Spec: withoutDependencies(*spec), AcceptedAt: a.Now}
	if len(records.MustMarshal(record)) > a.Settings.MaxValueBytes() {
		return refusalJobTooLong, false
	}
	if outcome, _ := a.dependencies.KnownOutcome(spec.ID); outcome != cluster.OutcomeUnknown {
		// The replica has the job, so a transaction is certain to fail, yet it would
		// count against the store's write limit. The user gets the job's state instead
		// of this refusal.
		return refusalStoreBusy, false
	}
	if len(a.cluster.Jobs) >= a.Settings.MaxUnfinishedJobs() || a.inFlight >= maxSubmissionsInFlight {
		return refusalTooManyJobs, false
	}
	return refusal{}, true
}

// checkDependencies reports whether a job with these dependencies may be accepted, as far
// as that is known without looking them up. If not, it returns the refusal.
func (a *admissionControl) checkDependencies(spec *api.Job) (refusal, bool) {
	if slices.Contains(spec.Dependencies, spec.ID) {
		return refusalDependsOnItself, false
	}
	if !a.schema.AllRead(records.SchemaDependencies) {
		return refusalDependenciesUnsupported, false
	}
	return refusal{}, true
}

// checkSchedulable reports whether a job can ever run. If not, it returns the refusal.
func (a *admissionControl) checkSchedulable(spec *api.Job) (refusal, bool) {
	if _, ok := a.Settings.TeamPartition[spec.Team]; !ok {
		return refusalUnknownTeam, false
	}
	task := scheduler.TaskRequest(spec)
	if !a.fitsSomeMachineType(spec, task) {
		return refusalFitsNoMachine, false
	}
	if a.exceedsTeamLimit(spec, task) {
		return refusalExceedsTeamLimit, false
	}
	return refusal{}, true
}

// fitsSomeMachineType reports whether one task fits an on-demand machine that the job allows.
func (a *admissionControl) fitsSomeMachineType(spec *api.Job, task scheduler.Resources) bool {
	return slices.ContainsFunc(a.catalog.MachineTypes, func(machineType api.MachineType) bool {
		capacity := scheduler.MachineCapacity(&machineType)
		return capacity.Fits(task) && slices.ContainsFunc(machineType.Zones, func(zone string) bool {
			return scheduler.ConstraintsAllow(spec, machineType.Name, zone, false)
		})
	})
}

// exceedsTeamLimit reports whether the tasks of a job that must run at the same time need
// more than its team's limit. For an array that is one task, for other jobs all tasks.
func (a *admissionControl) exceedsTeamLimit(spec *api.Job, task scheduler.Resources) bool {
	concurrentTasks := int64(1)
	if spec.Kind != api.KindArray {
		concurrentTasks = int64(spec.Tasks)
	}
	for _, team := range a.Settings.Deployment.Teams {
		if team.Name != spec.Team {
			continue
		}
		limit := scheduler.NewResources(team.MaxCPUs, team.MaxGPUs, 0)
		if limit.MilliCPU > 0 && task.MilliCPU*concurrentTasks > limit.MilliCPU ||
			limit.MilliGPU > 0 && task.MilliGPU*concurrentTasks > limit.MilliGPU {
			return true
		}
	}
	return false
}

// withoutDependencies returns a copy of a job without its dependencies.
func withoutDependencies(spec api.Job) api.Job {
	spec.Dependencies = nil
	return spec
}
