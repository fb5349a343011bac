package core

import (
	"strconv"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/provisioning"
	"spurmoor/internal/records"

	"github.com/go-json-experiment/json"
)

// newJobPlanDelay is the longest time from reading a new or changed record of a job to the
// next scheduling cycle. The delay lets jobs that are submitted together be planned together.
const newJobPlanDelay = micros.Second / 20

// recordApplier applies the records that the watch cache reads to the replica and to the
// other components, each by the kind of its key.
type recordApplier struct {
	*coordination.Environment
	cache        *coordination.WatchCache
	catalog      *provisioning.MachineCatalog
	cluster      *cluster.State
	dependencies *cluster.DependencyGraph
	partitionLog *cluster.PartitionLog
	provisioning *provisioning.Provisioner
	registry     *cluster.MachineRegistry
	roles        *coordination.RoleManager
	schema       *coordination.SchemaTracker
	trigger      *cluster.CycleTrigger

	kinds []keyKind
}

func newRecordApplier(
	env *coordination.Environment,
	cache *coordination.WatchCache,
	catalog *provisioning.MachineCatalog,
	cluster *cluster.State,
	dependencies *cluster.DependencyGraph,
	partitionLog *cluster.PartitionLog,
	provisioning *provisioning.Provisioner,
	registry *cluster.MachineRegistry,
	roles *coordination.RoleManager,
	schema *coordination.SchemaTracker,
	trigger *cluster.CycleTrigger,
) *recordApplier {
	applier := &recordApplier{
		Environment: env, cache: cache, catalog: catalog, cluster: cluster, dependencies: dependencies,
		partitionLog: partitionLog, provisioning: provisioning, registry: registry, roles: roles, schema: schema,
		trigger: trigger,
	}
	applier.kinds = applier.keyKinds()
	return applier
}

// keyKind is a kind of key in the store: the prefix of its keys, and the functions that
// apply changes to them. The functions get the rest of the key, which may be invalid.
type keyKind struct {
	prefix      string
	applyPut    func(name string, value []byte, version api.Revision) error
	applyDelete func(name string, version api.Revision) // nil if deletions are ignored
}

// keyKinds returns the kinds in the order in which ReplaceAll applies them. Jobs come before
// the logs, because task states of unknown jobs are skipped. Partitions come last: if a claim
// makes this controller the leader of a partition, it needs the jobs, machines and
// provisioning requests of the partition at once.
func (a *recordApplier) keyKinds() []keyKind {
	return []keyKind{
		{prefix: records.AdoptionKey, applyPut: a.applyAdoption},
		{prefix: records.CatalogKey, applyPut: a.applyCatalogPage},
		{prefix: records.SchemaPrefix, applyPut: a.applySchema},
		{prefix: records.JobPrefix, applyPut: a.applyJob, applyDelete: a.applyJobDeletion},
		{prefix: records.LogPrefix, applyPut: a.applyLogSlot},
		{prefix: records.RequestsPrefix, applyPut: a.provisioning.ApplyRequestsRecord},
		{prefix: records.FleetRolePrefix, applyPut: a.roles.ApplyFleetRolePut, applyDelete: a.roles.ApplyFleetRoleDelete},
		{prefix: records.PartitionPrefix, applyPut: a.applyPartition, applyDelete: a.applyPartitionDeletion},
	}
}

// ReplaceAll replaces the replica with the given pairs, which are all live keys of the store.
// They are applied kind by kind. The slots of a log may come in any order, because their
// entries have sequence numbers.
func (a *recordApplier) ReplaceAll(pairs []api.KeyValue) {
	a.resetReplica()
	for _, kind := range a.kinds {
		for _, pair := range pairs {
			if strings.HasPrefix(pair.Key, kind.prefix) {
				a.ApplyPut(pair.Key, pair.Value, pair.Version)
			}
		}
	}
}

// resetReplica discards the replica, including all uncommitted changes.
func (a *recordApplier) resetReplica() {
	for _, partition := range a.cluster.Partitions {
		if partition.Leads() {
			a.roles.StopLeading(partition.RoleState, "all keys are listed again")
			// The new incarnation makes this controller acquire its roles under new
			// terms: a copy of a commit that is discarded here may still be carried
			// out under the current term.
			a.Incarnation++
		}
		partition.ClearClaim(a.Now)
		partition.Log = nil
	}
	a.roles.ClearFleetRoles()
	a.cluster.Reset()
	a.dependencies.Reset()
}

// Synced logs that the replica is complete and current as of a revision.
func (a *recordApplier) Synced(revision api.Revision, keys int) {
	a.LogInfo("watch cache synchronized",
		logkey.Revision, revision,
		logkey.Keys, keys,
		logkey.Jobs, len(a.cluster.Jobs),
		logkey.Machines, len(a.cluster.Machines))
}

// ApplyPut applies a key's value unless a newer one is known. An unreadable value is logged.
// A key of an unknown kind is ignored: a later version of the program wrote it.
func (a *recordApplier) ApplyPut(key string, value []byte, version api.Revision) {
	for _, kind := range a.kinds {
		name, ok := strings.CutPrefix(key, kind.prefix)
		if !ok {
			continue
		}
		if err := kind.applyPut(name, value, version); err != nil {
			a.LogError("unreadable value in the store", logkey.Key, key, logkey.Error, err)
		}
		return
	}
}

// ApplyDelete applies the deletion of a key.
func (a *recordApplier) ApplyDelete(key string, version api.Revision) {
	for _, kind := range a.kinds {
		name, ok := strings.CutPrefix(key, kind.prefix)
		if !ok {
			continue
		}
		if kind.applyDelete != nil {
			kind.applyDelete(name, version)
		}
		return
	}
}

// decodeRecord decodes a record. With an error it returns the part that could be decoded.
func decodeRecord[T any](value []byte) (T, error) {
	var record T
	err := json.Unmarshal(value, &record)
	return record, err //nolint:wrapcheck // Only ApplyPut reads it, and logs it beside the key.
}

// applyAdoption applies a change of the key that is written with every adoption of orphaned
// instances. Only the key's version matters, not its value.
func (a *recordApplier) applyAdoption(name string, _ []byte, version api.Revision) error {
	if name == "" {
		a.cluster.ObserveAdoption(version)
	}
	return nil
}

// applyCatalogPage applies a page of the catalog. The key of the first page is the kind's
// prefix alone. The keys of other pages continue with a slash and the name of the page.
func (a *recordApplier) applyCatalogPage(name string, value []byte, version api.Revision) error {
	page, isFurther := strings.CutPrefix(name, "/")
	if name != "" && !isFurther {
		return nil // not a page
	}
	record, err := decodeRecord[records.CatalogPage](value)
	if err != nil {
		return err
	}
	a.catalog.ObservePage(page, record, version)
	return nil
}

// applySchema applies a controller's announcement of the schema version that it can read.
func (a *recordApplier) applySchema(node string, value []byte, version api.Revision) error {
	if node == a.Settings.Node {
		a.schema.ObserveKey(version)
	}
	record, err := decodeRecord[records.NodeSchema](value)
	if err != nil {
		return err
	}
	a.schema.Observe(node, record.SchemaVersion)
	return nil
}

// applyPartition applies a claim to lead a partition. Of an unreadable claim only the part that
// could be decoded is used, which may name no leader. The partition still counts as led until
// its key is deleted, at the latest when the leader's lease expires.
func (a *recordApplier) applyPartition(name string, value []byte, version api.Revision) error {
	partition := a.partitionByName(name)
	if partition == nil || partition.Term >= leadership.Term(version) {
		return nil // no such partition, or an older claim than the known one
	}
	claim, err := decodeRecord[leadership.Claim](value)
	a.roles.Observe(partition.RoleState, claim, version)
	return err
}

// applyPartitionDeletion applies the deletion of a partition's key: its leader resigned or
// lost its lease.
func (a *recordApplier) applyPartitionDeletion(name string, version api.Revision) {
	partition := a.partitionByName(name)
	if partition != nil && partition.Term < leadership.Term(version) {
		a.roles.Observe(partition.RoleState, leadership.Claim{}, 0)
	}
}

// partitionByName returns the partition whose index is the given decimal number, or nil if
// there is none.
func (a *recordApplier) partitionByName(name string) *cluster.Partition {
	index, err := strconv.Atoi(name)
	if err != nil || index < 0 || index >= len(a.cluster.Partitions) {
		return nil
	}
	return a.cluster.Partitions[index]
}

// applyJob applies the record of an unfinished job, which was accepted or cancelled.
func (a *recordApplier) applyJob(id string, value []byte, version api.Revision) error {
	job := a.cluster.Jobs[id]
	if job != nil && job.Version >= version {
		return nil
	}
	record, err := decodeRecord[records.Job](value)
	if err != nil {
		return err
	}
	if job == nil {
		job = a.addJob(id, record.Spec)
	}
	wasCancelled := job.Cancelled
	job.Spec = record.Spec
	job.AcceptedAt = record.AcceptedAt
	job.Cancelled = record.Cancelled || job.DependencyCancelled
	job.Version = version
	if job.Dependencies == nil && !record.Cancelled {
		job.Dependencies = record.Dependencies()
		a.dependencies.Link(job)
	}
	if job.Cancelled && !wasCancelled {
		a.cluster.RequestJobStop(job)
		a.dependencies.SetOutcome(id, cluster.OutcomeCancelled, 0)
	}
	a.cluster.MarkChanged(job)
	a.trigger.RequestWithin(newJobPlanDelay)
	return nil
}

// addJob adds an unknown job to the replica.
func (a *recordApplier) addJob(id string, spec api.Job) *cluster.Job {
	job := a.cluster.AddJob(id, spec)
	a.LogDebug("job observed",
		logkey.Job, id,
		logkey.Kind, spec.Kind,
		logkey.Team, spec.Team,
		logkey.Tasks, spec.Tasks,
		logkey.Partition, job.Partition)
	return job
}

// applyJobDeletion applies the deletion of a job's key: the job has ended, and the
// transaction that deleted the key wrote the terminal record.
func (a *recordApplier) applyJobDeletion(id string, version api.Revision) {
	job := a.cluster.Jobs[id]
	if job == nil || job.Version >= version {
		return
	}
	record, isKnown := a.dependencies.TerminalOutcome(job)
	a.cluster.ClearTasks(job)
	a.cluster.RemoveJob(job)
	a.dependencies.Unlink(job)
	if isKnown {
		a.dependencies.RecordTerminalState(job.ID, record)
		return
	}
	a.dependencies.SetOutcome(job.ID, cluster.OutcomeUnknown, 0)
}
