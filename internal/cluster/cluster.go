// Package cluster holds the replica of jobs, tasks, machines and partitions, the rules by
// which they change, and the log by which changes are committed.
//
// It is pure: it does no input or output, reads no clock and starts no goroutine.
package cluster

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"spurmoor/internal/coordination"
	"spurmoor/internal/records"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// State is the replica of partitions, jobs and machines. It changes by what the
// watch cache reads, in the order of the revisions, by our own writes once they were
// answered, and by what is decided of our partitions and still to be committed.
type State struct {
	*coordination.Environment
	cache *coordination.WatchCache

	Partitions      []*Partition
	Machines        map[string]*Machine
	MachinesByName  []*Machine              // in the order of their names
	tombstones      map[string]RecordOrigin // machines deleted, while some log still names them
	logReferences   map[string]int          // how many entries of all logs name a machine
	adoptionVersion uint64                  // of the key that every adoption changes
	Jobs            map[string]*Job
	TeamUsage       map[string]*scheduler.Resources
}

// NewState makes a replica that knows nothing yet.
func NewState(env *coordination.Environment, cache *coordination.WatchCache, roles *coordination.RoleManager) *State {
	c := &State{Environment: env, cache: cache, Machines: map[string]*Machine{}, tombstones: map[string]RecordOrigin{},
		logReferences: map[string]int{}, Jobs: map[string]*Job{}, TeamUsage: map[string]*scheduler.Resources{}}
	for i := range env.Settings.Operators.Partitions {
		c.Partitions = append(c.Partitions, &Partition{RoleState: roles.PartitionRole(i), Index: i, ChangedJobs: map[string]bool{}})
	}
	for _, team := range env.Settings.Deployment.Teams {
		c.TeamUsage[team.Name] = &scheduler.Resources{}
	}
	return c
}

// Reset forgets all jobs and machines, before everything is read again.
func (c *State) Reset() {
	clear(c.Machines)
	clear(c.Jobs)
	clear(c.tombstones)
	clear(c.logReferences)
	c.MachinesByName = nil
	for _, u := range c.TeamUsage {
		*u = scheduler.Resources{}
	}
}

// LedPartition gives a machine's partition if we hold it.
func (c *State) LedPartition(m *Machine) *Partition {
	if m.Record.Partition < 0 || m.Record.Partition >= len(c.Partitions) || !c.Partitions[m.Record.Partition].Leads() {
		return nil
	}
	return c.Partitions[m.Record.Partition]
}

// FencingToken is what a machine's worker must obey: the later of the partition's
// take-over and the record's floor. Revisions only rise.
func (c *State) FencingToken(m *Machine) uint64 {
	return max(c.Partitions[m.Record.Partition].Term, m.Record.MinToken)
}

// AddJob makes a job of which nothing was known.
func (c *State) AddJob(id string, spec api.Job) *Job {
	j := &Job{ID: id, Chunks: map[int][]Task{}, FailedMachines: map[string]bool{}, TasksPerZone: map[string]int{},
		Request: scheduler.ResourcesOf(spec.CPUs, spec.GPUs, spec.MemoryGB), Partition: c.Settings.TeamPartition[spec.Team]}
	c.Jobs[id] = j
	return j
}

// RemoveJob forgets a job whose key is gone.
func (c *State) RemoveJob(j *Job) {
	delete(c.Jobs, j.ID)
	delete(c.Partitions[j.Partition].ChangedJobs, j.ID)
}

// addMachine makes a machine of which the first record was read. Its age is taken from
// there: the record's time is of the clock of whoever rented it, which is not compared
// with ours. By one that is hours off a machine that boots would be overdue at once. The
// cloud's list tells its age.
func (c *State) addMachine(r records.MachineRecord) *Machine {
	m := &Machine{Name: r.Name, DepartedJobs: map[string]bool{}, Failures: FailureEvidence{Unattributed: map[string]bool{}}, LaunchedAt: c.Now, AwaitingHeartbeatSince: c.Now, MoveToPartition: -1}
	m.Record = r
	c.Machines[r.Name] = m
	at, _ := slices.BinarySearchFunc(c.MachinesByName, m.Name, func(o *Machine, name string) int { return strings.Compare(o.Name, name) })
	c.MachinesByName = slices.Insert(c.MachinesByName, at, m)
	// Another controller may have told its worker 200 until now.
	m.LeaseExpiresAt = c.Now + c.Settings.FormerLeaderLeaseBound()
	if !c.cache.Synced { // else a start is committed after its machine's record
		for _, id := range slices.Sorted(maps.Keys(c.Jobs)) {
			c.countTasksOn(c.Jobs[id], m)
		}
	}
	return m
}

// forgetMachine forgets a machine whose record is deleted.
func (c *State) forgetMachine(m *Machine) {
	delete(c.Machines, m.Name)
	c.MachinesByName = slices.DeleteFunc(c.MachinesByName, func(o *Machine) bool { return o == m })
}

// ResetObservations starts over with a machine that came to us from another holder:
// that one may have told its worker 200 until now.
func (c *State) ResetObservations(m *Machine) {
	m.TokenConfirmed, m.NextCommandAt, m.CommandInFlight = false, c.Now, false
	m.LeaseExpiresAt = max(m.LeaseExpiresAt, c.Now+c.Settings.FormerLeaderLeaseBound())
	m.LastSeenAt, m.AwaitingHeartbeatSince = max(m.LastSeenAt, c.Now), c.Now
	m.IdleSince = c.Now
	// Started anew perhaps, by that holder, in a session that we know nothing of:
	// taken for seen by us they were proven gone by that session (random days).
	for _, id := range m.TaskIDs {
		t := c.Jobs[id.Job].Task(id.Index)
		t.Observed, t.ReportedState = false, ""
	}
	m.DeleteSent, m.DeleteConfirmed = false, false
	m.lastCommands, m.IgnoringSince = nil, 0
	m.PendingChange, m.MoveToPartition = NoRecordChange, -1
}

// setTombstone notes that a machine's record is deleted by an entry of a log.
func (c *State) setTombstone(name string, by RecordOrigin) { c.tombstones[name] = by }

// clearTombstone notes that a machine has a record again.
func (c *State) clearTombstone(name string) { delete(c.tombstones, name) }

// ObserveAdoption takes in the version of the key that every adoption changes.
func (c *State) ObserveAdoption(version uint64) {
	c.adoptionVersion = max(c.adoptionVersion, version)
}

// RecordLogEntry notes an entry in the place of what its slot held before.
func (c *State) RecordLogEntry(p *Partition, e LogEntry) {
	for _, r := range e.Machines {
		c.logReferences[r.Name]++
	}
	p.Log = slices.DeleteFunc(p.Log, func(o LogEntry) bool {
		if o.Slot != e.Slot {
			return false
		}
		for _, r := range o.Machines {
			if c.logReferences[r.Name]--; c.logReferences[r.Name] == 0 {
				delete(c.logReferences, r.Name)
				delete(c.tombstones, r.Name)
			}
		}
		return true
	})
	at, _ := slices.BinarySearchFunc(p.Log, e.Sequence, func(o LogEntry, seq uint64) int { return cmp.Compare(o.Sequence, seq) })
	p.Log = slices.Insert(p.Log, at, e)
}

// RequestRecordChange wants a machine's record changed.
func (c *State) RequestRecordChange(m *Machine, op RecordChangeKind) {
	m.PendingChange = op
	p := c.Partitions[m.Record.Partition]
	p.RecordChanges = append(p.RecordChanges, m)
}

// IsEmptyAndCommitted tells whether a machine has no tasks and that is committed. A
// machine lent while the record still named a task on it was seen to start
// that task for the borrower, after its owner had placed it elsewhere. Every job
// whose tasks left is looked at: stopping at the first that is not committed left
// it to the order of a map which were still looked at later (random day 1026).
func (c *State) IsEmptyAndCommitted(m *Machine) bool {
	if len(m.TaskIDs) > 0 {
		return false
	}
	for id := range m.DepartedJobs {
		if j := c.Jobs[id]; j == nil || j.Terminal || j.ChangedTasks == 0 {
			delete(m.DepartedJobs, id)
		}
	}
	return len(m.DepartedJobs) == 0
}

// HeartbeatsMissing tells whether a machine answers direct commands while its reports have
// long failed to come: its lease will run out. Two controllers that are cut off
// may hold a report up for five seconds each.
func (c *State) HeartbeatsMissing(m *Machine) bool {
	return m.LastHeartbeatAt > 0 && c.Now > m.LastHeartbeatAt+c.Settings.ContactTimeout()+10*micros.Second
}
