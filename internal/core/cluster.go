package core

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// clusterState is the replica of partitions, jobs and machines. It changes by what the
// watch cache reads, in the order of the revisions, by our own writes once they were
// answered, and by what is decided of our partitions and still to be committed.
type clusterState struct {
	*environment
	cache *watchCache

	partitions      []*partition
	machines        map[string]*machine
	machinesByName  []*machine              // in the order of their names
	tombstones      map[string]recordOrigin // machines deleted, while some log still names them
	logReferences   map[string]int          // how many entries of all logs name a machine
	adoptionVersion uint64                  // of the key that every adoption changes
	jobs            map[string]*job
	teamUsage       map[string]*scheduler.Resources
}

func newClusterState(env *environment, cache *watchCache, roles *roleManager) *clusterState {
	c := &clusterState{environment: env, cache: cache, machines: map[string]*machine{}, tombstones: map[string]recordOrigin{},
		logReferences: map[string]int{}, jobs: map[string]*job{}, teamUsage: map[string]*scheduler.Resources{}}
	for i := range env.settings.Operators.Partitions {
		c.partitions = append(c.partitions, &partition{RoleState: roles.partitionRole(i), index: i, changedJobs: map[string]bool{}})
	}
	for _, team := range env.settings.Deployment.Teams {
		c.teamUsage[team.Name] = &scheduler.Resources{}
	}
	return c
}

// resetCluster forgets all jobs and machines, before everything is read again.
func (c *clusterState) resetCluster() {
	clear(c.machines)
	clear(c.jobs)
	clear(c.tombstones)
	clear(c.logReferences)
	c.machinesByName = nil
	for _, u := range c.teamUsage {
		*u = scheduler.Resources{}
	}
}

// ledPartition gives a machine's partition if we hold it.
func (c *clusterState) ledPartition(m *machine) *partition {
	if m.record.Partition < 0 || m.record.Partition >= len(c.partitions) || !c.partitions[m.record.Partition].Leads() {
		return nil
	}
	return c.partitions[m.record.Partition]
}

// fencingToken is what a machine's worker must obey: the later of the partition's
// take-over and the record's floor. Revisions only rise.
func (c *clusterState) fencingToken(m *machine) uint64 {
	return max(c.partitions[m.record.Partition].Term, m.record.MinToken)
}

// addJob makes a job of which nothing was known.
func (c *clusterState) addJob(id string, spec api.Job) *job {
	j := &job{id: id, chunks: map[int][]task{}, failedMachines: map[string]bool{}, tasksPerZone: map[string]int{},
		request: scheduler.ResourcesOf(spec.CPUs, spec.GPUs, spec.MemoryGB), partition: c.settings.TeamPartition[spec.Team]}
	c.jobs[id] = j
	return j
}

// removeJob forgets a job whose key is gone.
func (c *clusterState) removeJob(j *job) {
	delete(c.jobs, j.id)
	delete(c.partitions[j.partition].changedJobs, j.id)
}

// addMachine makes a machine of which the first record was read. Its age is taken from
// there: the record's time is of the clock of whoever rented it, which is not compared
// with ours. By one that is hours off a machine that boots would be overdue at once. The
// cloud's list tells its age.
func (c *clusterState) addMachine(r machineRecord) *machine {
	m := &machine{name: r.Name, departedJobs: map[string]bool{}, failures: failureEvidence{unattributed: map[string]bool{}}, launchedAt: c.now, awaitedSince: c.now, moveToPartition: -1}
	m.record = r
	c.machines[r.Name] = m
	at, _ := slices.BinarySearchFunc(c.machinesByName, m.name, func(o *machine, name string) int { return strings.Compare(o.name, name) })
	c.machinesByName = slices.Insert(c.machinesByName, at, m)
	// Another controller may have told its worker 200 until now.
	m.leaseExpiresAt = c.now + c.settings.formerLeaderLeaseBound()
	if !c.cache.synced { // else a start is committed after its machine's record
		for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
			c.countTasksOn(c.jobs[id], m)
		}
	}
	return m
}

// forgetMachine forgets a machine whose record is deleted.
func (c *clusterState) forgetMachine(m *machine) {
	delete(c.machines, m.name)
	c.machinesByName = slices.DeleteFunc(c.machinesByName, func(o *machine) bool { return o == m })
}

// resetObservations starts over with a machine that came to us from another holder:
// that one may have told its worker 200 until now.
func (c *clusterState) resetObservations(m *machine) {
	m.tokenConfirmed, m.nextCommandAt, m.commandInFlight = false, c.now, false
	m.leaseExpiresAt = max(m.leaseExpiresAt, c.now+c.settings.formerLeaderLeaseBound())
	m.lastSeenAt, m.awaitedSince = max(m.lastSeenAt, c.now), c.now
	m.idleSince = c.now
	// Started anew perhaps, by that holder, in a session that we know nothing of:
	// taken for seen by us they were proven gone by that session (random days).
	for _, id := range m.taskIDs {
		t := c.jobs[id.job].task(id.index)
		t.observed, t.reportedState = false, ""
	}
	m.deleteSent, m.deleteConfirmed = false, false
	m.lastCommands, m.ignoringSince = nil, 0
	m.pendingChange, m.moveToPartition = noRecordChange, -1
}

// setTombstone notes that a machine's record is deleted by an entry of a log.
func (c *clusterState) setTombstone(name string, by recordOrigin) { c.tombstones[name] = by }

// clearTombstone notes that a machine has a record again.
func (c *clusterState) clearTombstone(name string) { delete(c.tombstones, name) }

// observeAdoption takes in the version of the key that every adoption changes.
func (c *clusterState) observeAdoption(version uint64) {
	c.adoptionVersion = max(c.adoptionVersion, version)
}

// recordLogEntry notes an entry in the place of what its slot held before.
func (c *clusterState) recordLogEntry(p *partition, e logEntry) {
	for _, r := range e.machines {
		c.logReferences[r.Name]++
	}
	p.log = slices.DeleteFunc(p.log, func(o logEntry) bool {
		if o.slot != e.slot {
			return false
		}
		for _, r := range o.machines {
			if c.logReferences[r.Name]--; c.logReferences[r.Name] == 0 {
				delete(c.logReferences, r.Name)
				delete(c.tombstones, r.Name)
			}
		}
		return true
	})
	at, _ := slices.BinarySearchFunc(p.log, e.sequence, func(o logEntry, seq uint64) int { return cmp.Compare(o.sequence, seq) })
	p.log = slices.Insert(p.log, at, e)
}

// requestRecordChange wants a machine's record changed.
func (c *clusterState) requestRecordChange(m *machine, op recordChangeKind) {
	m.pendingChange = op
	p := c.partitions[m.record.Partition]
	p.recordChanges = append(p.recordChanges, m)
}

// isEmptyAndCommitted tells whether a machine has no tasks and that is committed. A
// machine lent while the record still named a task on it was seen to start
// that task for the borrower, after its owner had placed it elsewhere. Every job
// whose tasks left is looked at: stopping at the first that is not committed left
// it to the order of a map which were still looked at later (random day 1026).
func (c *clusterState) isEmptyAndCommitted(m *machine) bool {
	if len(m.taskIDs) > 0 {
		return false
	}
	for id := range m.departedJobs {
		if j := c.jobs[id]; j == nil || j.terminal || j.changedTasks == 0 {
			delete(m.departedJobs, id)
		}
	}
	return len(m.departedJobs) == 0
}

// heartbeatsMissing tells whether a machine answers direct commands while its reports have
// long failed to come: its lease will run out. Two controllers that are cut off
// may hold a report up for five seconds each.
func (c *clusterState) heartbeatsMissing(m *machine) bool {
	return m.lastHeartbeatAt > 0 && c.now > m.lastHeartbeatAt+c.settings.contactTimeout()+10*micros.Second
}
