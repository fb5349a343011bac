package cluster

import (
	"cmp"
	"slices"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
	"spurmoor/internal/scheduler"
)

// State is the replica of partitions, jobs and machines. Three kinds of changes are applied
// to it: changes that the watch cache reads, in the order of their revisions; this
// controller's own writes, once the store has answered them; and decisions about the
// partitions that this controller leads, before they are committed.
type State struct {
	*coordination.Environment
	cache *coordination.WatchCache

	Partitions []*Partition
	Jobs       map[string]*Job                 // by id
	TeamUsage  map[string]*scheduler.Resources // resources of placed tasks, by team

	Machines       map[string]*Machine
	MachinesByName []*Machine // sorted by name
	// tasksOfUnread holds the placed tasks whose machine has no record yet, by machine name. While
	// the cache is being filled, tasks may be read before their machine's record. Once it is synced,
	// a start is always committed after that record.
	tasksOfUnread map[string][]TaskID
	// tombstones holds the origin of the record that marks a machine as deleted, by machine
	// name. A tombstone is kept while some log entry still names the machine. logReferences
	// counts these entries in all logs, by machine name.
	tombstones    map[string]RecordOrigin
	logReferences map[string]int
	// adoptionVersion is the version of records.AdoptionKey, which every adoption changes.
	adoptionVersion api.Revision
}

// NewState returns a replica without jobs or machines.
func NewState(env *coordination.Environment, cache *coordination.WatchCache, roles *coordination.RoleManager) *State {
	state := &State{
		Environment: env, cache: cache,
		Jobs: map[string]*Job{}, TeamUsage: map[string]*scheduler.Resources{},
		Machines: map[string]*Machine{}, tombstones: map[string]RecordOrigin{}, logReferences: map[string]int{},
		tasksOfUnread: map[string][]TaskID{},
	}
	for i := range env.Settings.Operators.Parts {
		partition := &Partition{RoleState: roles.PartitionRole(i), Index: i, ChangedJobs: map[string]bool{}}
		state.Partitions = append(state.Partitions, partition)
	}
	for _, team := range env.Settings.Deployment.Teams {
		state.TeamUsage[team.Name] = &scheduler.Resources{}
	}
	return state
}

// Reset removes all jobs and machines, before everything is read again.
func (s *State) Reset() {
	clear(s.Machines)
	clear(s.Jobs)
	clear(s.tombstones)
	clear(s.logReferences)
	clear(s.tasksOfUnread)
	s.MachinesByName = nil
	for _, usage := range s.TeamUsage {
		*usage = scheduler.Resources{}
	}
}

// LedPartition returns a machine's partition, or nil if this controller does not lead it.
func (s *State) LedPartition(machine *Machine) *Partition {
	index := machine.Record.Partition
	if index < 0 || index >= len(s.Partitions) || !s.Partitions[index].Leads() {
		return nil
	}
	return s.Partitions[index]
}

// FencingToken returns the token of the commands that a machine's worker must obey. It is
// the higher of the term of its partition's leader and the minimum token of its record.
// Both are revisions of the store, which never decrease.
func (s *State) FencingToken(machine *Machine) api.FencingToken {
	return max(api.FencingToken(s.Partitions[machine.Record.Partition].Term), machine.Record.MinToken)
}

// AddJob adds a job that the replica does not have. It takes only the resources and the team
// from spec: the caller sets the job's Spec and the rest of its record.
func (s *State) AddJob(id string, spec api.Job) *Job {
	job := &Job{
		ID:             id,
		Request:        scheduler.TaskRequest(&spec),
		Partition:      s.Settings.TeamPartition[spec.Team],
		TasksPerZone:   map[string]int{},
		FailedMachines: map[string]bool{},
	}
	s.Jobs[id] = job
	return job
}

// RemoveJob removes a job whose key was deleted from the store.
func (s *State) RemoveJob(job *Job) {
	delete(s.Jobs, job.ID)
	delete(s.Partitions[job.Partition].ChangedJobs, job.ID)
}

// addMachine adds a machine whose first record was read. Its age counts from now, since the
// launch time in the record is by the clock of the controller that launched it, which is not
// compared with ours. If that clock is hours off, a booting machine would be overdue at once.
// The cloud's list corrects the age later.
func (s *State) addMachine(record records.Machine) *Machine {
	machine := &Machine{
		Name:                   record.Name,
		Record:                 record,
		UncommittedRemovals:    map[string]bool{},
		LaunchedAt:             s.Now,
		AwaitingHeartbeatSince: s.Now,
		Failures:               MachineFailures{Unattributed: map[string]bool{}},
		TransferToPartition:    noPartition,
	}
	s.Machines[record.Name] = machine
	at, _ := slices.BinarySearchFunc(s.MachinesByName, machine.Name, compareMachineName)
	s.MachinesByName = slices.Insert(s.MachinesByName, at, machine)
	// Another leader may have renewed the worker's lease until now.
	machine.LeaseExpiresAt = s.Now + s.Settings.FormerLeaderLeaseBound()
	if !s.cache.Synced {
		s.addTasksReadBefore(machine)
	}
	return machine
}

func compareMachineName(machine *Machine, name string) int {
	return strings.Compare(machine.Name, name)
}

// removeMachine removes a machine whose record was deleted.
func (s *State) removeMachine(machine *Machine) {
	delete(s.Machines, machine.Name)
	s.MachinesByName = slices.DeleteFunc(s.MachinesByName, func(other *Machine) bool { return other == machine })
}

// ResetObservations discards what was observed of a machine that comes from another leader,
// and the requested change of its record. The former leader may have renewed the lease of the
// machine's worker until now.
func (s *State) ResetObservations(machine *Machine) {
	machine.TokenConfirmed = false
	machine.NextCommandAt, machine.CommandInFlight = s.Now, false
	machine.LeaseExpiresAt = max(machine.LeaseExpiresAt, s.Now+s.Settings.FormerLeaderLeaseBound())
	machine.LastSeenAt = max(machine.LastSeenAt, s.Now)
	machine.AwaitingHeartbeatSince = s.Now
	machine.IdleSince = s.Now
	// The former leader may have restarted the tasks in an incarnation of the worker that
	// this controller has not seen. If they still counted as observed, a report of that
	// incarnation would seem to prove them gone while they run.
	for _, id := range machine.TaskIDs {
		job := s.Jobs[id.Job]
		job.forgetObservation(job.Task(id.Index))
	}
	machine.DeleteSent, machine.DeleteConfirmed = false, false
	machine.lastCommands, machine.IgnoringCommandsSince = nil, 0
	machine.PendingChange = NoRecordChange
	machine.TransferToPartition = noPartition
}

// setTombstone records that a machine was deleted by the record of that origin.
func (s *State) setTombstone(name string, origin RecordOrigin) { s.tombstones[name] = origin }

// clearTombstone removes the tombstone of a machine that has a record again.
func (s *State) clearTombstone(name string) { delete(s.tombstones, name) }

// ObserveAdoption records a version of the adoption key. Older versions are ignored.
func (s *State) ObserveAdoption(version api.Revision) {
	s.adoptionVersion = max(s.adoptionVersion, version)
}

// AddLogEntry adds an entry to a partition's log. It replaces the entry that its slot held
// before.
func (s *State) AddLogEntry(partition *Partition, entry LogEntry) {
	// The machines of the new entry are counted first, so that the tombstones of machines
	// that both entries name are kept.
	for _, record := range entry.Machines {
		s.logReferences[record.Name]++
	}
	partition.Log = slices.DeleteFunc(partition.Log, func(old LogEntry) bool {
		if old.Slot != entry.Slot {
			return false
		}
		s.releaseLogReferences(old)
		return true
	})
	at, _ := slices.BinarySearchFunc(partition.Log, entry.Sequence, compareEntrySequence)
	partition.Log = slices.Insert(partition.Log, at, entry)
}

// releaseLogReferences drops the references of an entry that is overwritten. A tombstone is
// kept only while some entry could still recreate its machine.
func (s *State) releaseLogReferences(entry LogEntry) {
	for _, record := range entry.Machines {
		s.logReferences[record.Name]--
		if s.logReferences[record.Name] == 0 {
			delete(s.logReferences, record.Name)
			delete(s.tombstones, record.Name)
		}
	}
}

func compareEntrySequence(entry LogEntry, sequence uint64) int {
	return cmp.Compare(entry.Sequence, sequence)
}

// RequestRecordChange queues a change of a machine's record for the next commit of its
// partition.
func (s *State) RequestRecordChange(machine *Machine, kind RecordChangeKind) {
	machine.PendingChange = kind
	partition := s.Partitions[machine.Record.Partition]
	partition.RecordChanges = append(partition.RecordChanges, machine)
}

// IsEmptyAndCommitted reports whether a machine has no tasks and the removal of its last
// tasks is committed. If a machine is transferred while the log still names a task on it,
// its new leader starts that task, although the former leader has placed it elsewhere.
//
// The loop examines every job: stopping at the first uncommitted one would make the
// remaining set depend on the iteration order of the map.
func (s *State) IsEmptyAndCommitted(machine *Machine) bool {
	if len(machine.TaskIDs) > 0 {
		return false
	}
	for id := range machine.UncommittedRemovals {
		if job := s.Jobs[id]; job == nil || job.Terminal || job.UncommittedTasks == 0 {
			delete(machine.UncommittedRemovals, id)
		}
	}
	return len(machine.UncommittedRemovals) == 0
}

// delayedHeartbeatAllowance is how much later than usual a heartbeat may arrive: two
// controllers that are cut off may delay it by five seconds each, if its worker tries them
// first.
const delayedHeartbeatAllowance = 10 * micros.Second

// HeartbeatsMissing reports whether a machine that has sent heartbeats has stopped sending
// them for longer than the contact timeout and the allowance for delays. Its lease will
// expire, even if it answers direct commands.
func (s *State) HeartbeatsMissing(machine *Machine) bool {
	if machine.LastHeartbeatAt <= 0 {
		return false
	}
	return s.Now > machine.LastHeartbeatAt+s.Settings.ContactTimeout()+delayedHeartbeatAllowance
}
