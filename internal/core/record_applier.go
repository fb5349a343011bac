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

// newJobPlanDelay is how soon after a job was seen a scheduling cycle is to run: late
// enough that jobs submitted together are planned together.
const newJobPlanDelay = micros.Second / 20

// recordApplier takes in the keys that the watch cache reads, each by its kind.
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

// keyKind is a kind of key of the store: what all its keys begin with, and what takes them
// in. The functions get the rest of the key, which may not be a valid name of its kind.
type keyKind struct {
	prefix      string
	applyPut    func(name string, value []byte, version api.Revision) error
	applyDelete func(name string, version api.Revision) // nil: its keys are never deleted, or that tells nothing
}

// keyKinds lists the kinds in the order in which all keys are taken in when everything is
// read again. Jobs come before the logs, which tell of their tasks. Partitions come last:
// a log is applied as long as its partition is not led by us.
func (a *recordApplier) keyKinds() []keyKind {
	return []keyKind{
		{prefix: records.AdoptionKey, applyPut: a.putAdoption},
		{prefix: records.CatalogKey, applyPut: a.putCatalogPage},
		{prefix: records.SchemaPrefix, applyPut: a.putSchema},
		{prefix: records.JobPrefix, applyPut: a.putJob, applyDelete: a.deleteJob},
		{prefix: records.LogPrefix, applyPut: a.putLogSlot},
		{prefix: records.RequestsPrefix, applyPut: a.provisioning.ApplyRequests},
		{prefix: records.FleetRolePrefix, applyPut: a.roles.ApplyFleetRole, applyDelete: a.roles.DeleteFleetRole},
		{prefix: records.PartitionPrefix, applyPut: a.putPartition, applyDelete: a.deletePartition},
	}
}

// ReplaceAll takes in all live keys in place of what was known, kind by kind. The slots of
// a log come in no order: its entries say which is later.
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

// resetReplica forgets the replica, and with it all that was not committed.
func (a *recordApplier) resetReplica() {
	for _, partition := range a.cluster.Partitions {
		if partition.Leads() {
			a.roles.LoseRole(partition.RoleState, "everything is listed again")
			// Roles are taken under a term of their own then: a copy of a commit that
			// is forgotten here may still be carried out under this term.
			a.Incarnation++
		}
		partition.Forget(a.Now)
		partition.Log = nil
	}
	a.roles.ForgetFleetRoles()
	a.cluster.Reset()
	a.dependencies.Reset()
}

// Synchronized logs that the replica is complete.
func (a *recordApplier) Synchronized(revision api.Revision, keys int) {
	a.LogInfo("watch cache synchronized",
		logkey.Revision, revision,
		logkey.Keys, keys,
		logkey.Jobs, len(a.cluster.Jobs),
		logkey.Machines, len(a.cluster.Machines))
}

// ApplyPut takes in a key's value unless a newer one is known. A value that cannot be read
// is logged and left out, and a key of no known kind is left alone: a later version wrote it.
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

// ApplyDelete takes in that a key was deleted.
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

// decodeRecord reads a record. Of one that cannot be read it gives what could be.
func decodeRecord[T any](value []byte) (T, error) {
	var record T
	err := json.Unmarshal(value, &record)
	return record, err //nolint:wrapcheck // ApplyPut, the only reader, logs it beside the key.
}

// putAdoption takes in the key that every adoption of orphaned instances changes. Its
// value tells nothing.
func (a *recordApplier) putAdoption(name string, _ []byte, version api.Revision) error {
	if name == "" {
		a.cluster.ObserveAdoption(version)
	}
	return nil
}

// putCatalogPage takes in a page of the catalog. The first page has the kind's bare
// prefix as its key, the others follow it after a slash.
func (a *recordApplier) putCatalogPage(name string, value []byte, version api.Revision) error {
	page, isFurther := strings.CutPrefix(name, "/")
	if name != "" && !isFurther {
		return nil // not a page
	}
	record, err := decodeRecord[records.CatalogPage](value)
	if err != nil {
		return err
	}
	a.catalog.ObserveCatalogPage(page, record, version)
	return nil
}

// putSchema takes in which schema a controller announces to read.
func (a *recordApplier) putSchema(node string, value []byte, version api.Revision) error {
	if node == a.Settings.Node {
		a.schema.ObserveSchemaKey(version)
	}
	record, err := decodeRecord[records.NodeSchema](value)
	if err != nil {
		return err
	}
	a.schema.ObserveSchema(node, record.SchemaVersion)
	return nil
}

// putPartition takes in who leads a partition. A claim that cannot be read names no
// leader, but the partition counts as led until the lease must have expired.
func (a *recordApplier) putPartition(name string, value []byte, version api.Revision) error {
	partition := a.partitionNamed(name)
	if partition == nil || partition.Term >= leadership.Term(version) {
		return nil // not one of ours, or older than what is known
	}
	claim, err := decodeRecord[leadership.Claim](value)
	a.roles.ObserveRole(partition.RoleState, claim, version)
	return err
}

// deletePartition takes in that a partition's leader gave it up or lost its lease.
func (a *recordApplier) deletePartition(name string, version api.Revision) {
	partition := a.partitionNamed(name)
	if partition != nil && partition.Term < leadership.Term(version) {
		a.roles.ObserveRole(partition.RoleState, leadership.Claim{}, 0)
	}
}

// partitionNamed gives the partition with an index as in a key; nil: there is none.
func (a *recordApplier) partitionNamed(name string) *cluster.Partition {
	index, err := strconv.Atoi(name)
	if err != nil || index < 0 || index >= len(a.cluster.Partitions) {
		return nil
	}
	return a.cluster.Partitions[index]
}

// putJob takes in the record of an unfinished job: that it was accepted, or cancelled.
func (a *recordApplier) putJob(id string, value []byte, version api.Revision) error {
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

// addJob adds a job of which nothing was known to the replica.
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

// deleteJob takes in that a job ended: its terminal record took the place of its key.
func (a *recordApplier) deleteJob(id string, version api.Revision) {
	job := a.cluster.Jobs[id]
	if job == nil || job.Version >= version {
		return
	}
	a.clearTasks(job)
	record, isKnown := a.dependencies.TerminalOutcome(job)
	a.cluster.RemoveJob(job)
	a.dependencies.Unlink(job)
	if isKnown {
		a.dependencies.RecordTerminalState(job.ID, record)
		return
	}
	a.dependencies.SetOutcome(job.ID, cluster.OutcomeUnknown, 0)
}

// clearTasks takes a job's tasks off their machines and out of all counts.
func (a *recordApplier) clearTasks(job *cluster.Job) {
	for _, chunk := range job.ChunkIndexes() {
		for offset := range job.Chunks[chunk] {
			a.cluster.SetTask(job, chunk*cluster.TasksPerChunk+offset, cluster.TaskRecord{})
		}
	}
}
