package cluster

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
	"spurmoor/internal/scheduler"
)

// State is the replica of partitions, jobs and machines. It changes by what the watch
// cache reads, in the order of the revisions, by our own writes once they were answered,
// and by what is decided of the partitions that we lead and still to be committed.
type State struct {
	*coordination.Environment
	cache *coordination.WatchCache

	Partitions []*Partition
	Jobs       map[string]*Job                 // by id
	TeamUsage  map[string]*scheduler.Resources // of tasks placed, by team

	Machines       map[string]*Machine
	MachinesByName []*Machine // in the order of their names
	// tombstones are the records by which machines were deleted, while some log still
	// names the machines; logReferences counts the entries of all logs that do.
	tombstones    map[string]RecordOrigin
	logReferences map[string]int
	// adoptionVersion is of the key that every adoption changes.
	adoptionVersion api.Revision
}

// NewState returns a replica that knows nothing yet.
func NewState(env *coordination.Environment, cache *coordination.WatchCache, roles *coordination.RoleManager) *State {
	state := &State{
		Environment: env, cache: cache,
		Jobs: map[string]*Job{}, TeamUsage: map[string]*scheduler.Resources{},
		Machines: map[string]*Machine{}, tombstones: map[string]RecordOrigin{}, logReferences: map[string]int{},
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

// Reset forgets all jobs and machines, before everything is read again.
func (s *State) Reset() {
	clear(s.Machines)
	clear(s.Jobs)
	clear(s.tombstones)
	clear(s.logReferences)
	s.MachinesByName = nil
	for _, usage := range s.TeamUsage {
		*usage = scheduler.Resources{}
	}
}

// LedPartition returns a machine's partition, or nil unless we lead it.
func (s *State) LedPartition(machine *Machine) *Partition {
	index := machine.Record.Partition
	if index < 0 || index >= len(s.Partitions) || !s.Partitions[index].Leads() {
		return nil
	}
	return s.Partitions[index]
}

// FencingToken returns the token that a machine's worker must obey: the later of the term
// of its partition's leader and the lowest that its record permits. Both are revisions of
// the store, which only rise.
func (s *State) FencingToken(machine *Machine) api.FencingToken {
	return max(api.FencingToken(s.Partitions[machine.Record.Partition].Term), machine.Record.MinToken)
}

// AddJob adds a job of which nothing was known.
func (s *State) AddJob(id string, spec api.Job) *Job {
	job := &Job{
		ID:             id,
		Request:        scheduler.NewResources(spec.CPUs, spec.GPUs, spec.MemoryGB),
		Partition:      s.Settings.TeamPartition[spec.Team],
		Chunks:         map[int][]Task{},
		TasksPerZone:   map[string]int{},
		FailedMachines: map[string]bool{},
	}
	s.Jobs[id] = job
	return job
}

// RemoveJob forgets a job whose key is gone.
func (s *State) RemoveJob(job *Job) {
	delete(s.Jobs, job.ID)
	delete(s.Partitions[job.Partition].ChangedJobs, job.ID)
}

// addMachine adds a machine of which the first record was read. Its age counts from now:
// the record's launch time is by the clock of the controller that launched it, which is
// not compared with ours. By a clock that is hours off, a machine that boots would be
// overdue at once. The cloud's list corrects its age later.
func (s *State) addMachine(record records.MachineRecord) *Machine {
	machine := &Machine{
		Name:                   record.Name,
		Record:                 record,
		DepartedJobs:           map[string]bool{},
		LaunchedAt:             s.Now,
		AwaitingHeartbeatSince: s.Now,
		Failures:               FailureEvidence{Unattributed: map[string]bool{}},
		MoveToPartition:        noPartition,
	}
	s.Machines[record.Name] = machine
	at, _ := slices.BinarySearchFunc(s.MachinesByName, machine.Name, compareMachineName)
	s.MachinesByName = slices.Insert(s.MachinesByName, at, machine)
	// Another leader may have renewed its worker's lease until now.
	machine.LeaseExpiresAt = s.Now + s.Settings.FormerLeaderLeaseBound()
	if !s.cache.Synced { // once it is, a start is committed after its machine's record
		for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
			s.countTasksOn(s.Jobs[id], machine)
		}
	}
	return machine
}

func compareMachineName(machine *Machine, name string) int {
	return strings.Compare(machine.Name, name)
}

// forgetMachine forgets a machine whose record is deleted.
func (s *State) forgetMachine(machine *Machine) {
	delete(s.Machines, machine.Name)
	s.MachinesByName = slices.DeleteFunc(s.MachinesByName, func(other *Machine) bool { return other == machine })
}

// ResetObservations starts over with a machine that came to us from another leader, which
// may have renewed its worker's lease until now.
func (s *State) ResetObservations(machine *Machine) {
	machine.TokenConfirmed = false
	machine.NextCommandAt, machine.CommandInFlight = s.Now, false
	machine.LeaseExpiresAt = max(machine.LeaseExpiresAt, s.Now+s.Settings.FormerLeaderLeaseBound())
	machine.LastSeenAt = max(machine.LastSeenAt, s.Now)
	machine.AwaitingHeartbeatSince = s.Now
	machine.IdleSince = s.Now
	// The former leader may have started them anew, in an incarnation of the worker that we
	// know nothing of. Had we gone on taking them for observed, that incarnation would have
	// proven them gone while they ran (found by random scenarios).
	for _, id := range machine.TaskIDs {
		task := s.Jobs[id.Job].Task(id.Index)
		task.Observed, task.ReportedState = false, ""
	}
	machine.DeleteSent, machine.DeleteConfirmed = false, false
	machine.lastCommands, machine.IgnoringSince = nil, 0
	machine.PendingChange = NoRecordChange
	machine.MoveToPartition = noPartition
}

// setTombstone notes that a machine is deleted by a record in some log.
func (s *State) setTombstone(name string, origin RecordOrigin) { s.tombstones[name] = origin }

// clearTombstone notes that a machine has a record again.
func (s *State) clearTombstone(name string) { delete(s.tombstones, name) }

// ObserveAdoption records the version of the key that every adoption changes.
func (s *State) ObserveAdoption(version api.Revision) {
	s.adoptionVersion = max(s.adoptionVersion, version)
}

// RecordLogEntry adds an entry to a partition's log, in the place of the one that its slot
// held before.
func (s *State) RecordLogEntry(partition *Partition, entry LogEntry) {
	// The new entry's machines are counted first, so that those which both entries name
	// keep their tombstones.
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

// releaseLogReferences notes that an entry is overwritten. A tombstone is kept only while
// some entry could still bring its machine back.
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

// RequestRecordChange requests a change of a machine's record, to be committed.
func (s *State) RequestRecordChange(machine *Machine, kind RecordChangeKind) {
	machine.PendingChange = kind
	partition := s.Partitions[machine.Record.Partition]
	partition.RecordChanges = append(partition.RecordChanges, machine)
}

// IsEmptyAndCommitted reports whether a machine has no tasks and that is committed. A
// machine that was transferred while the log still named a task on it started that task
// for its new leader, after its old one had placed the task elsewhere.
//
// Every job whose tasks left is examined: stopping at the first that is not committed
// left it to the order of a map which of them were examined later (found by random
// scenarios).
func (s *State) IsEmptyAndCommitted(machine *Machine) bool {
	if len(machine.TaskIDs) > 0 {
		return false
	}
	for id := range machine.DepartedJobs {
		if job := s.Jobs[id]; job == nil || job.Terminal || job.ChangedTasks == 0 {
			delete(machine.DepartedJobs, id)
		}
	}
	return len(machine.DepartedJobs) == 0
}

// delayedHeartbeatAllowance is how much later than usual a heartbeat may come: two
// controllers that are cut off may hold it up for five seconds each.
const delayedHeartbeatAllowance = 10 * micros.Second

// HeartbeatsMissing reports whether a machine's heartbeats, which came once, have long
// failed to come. Its lease will expire, even if it answers direct commands.
func (s *State) HeartbeatsMissing(machine *Machine) bool {
	if machine.LastHeartbeatAt <= 0 {
		return false
	}
	return s.Now > machine.LastHeartbeatAt+s.Settings.ContactTimeout()+delayedHeartbeatAllowance
}
