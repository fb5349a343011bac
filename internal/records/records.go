// Package records defines the records in the key-value store and their keys. Other versions of
// the program read them, so the names in the JSON tags and the keys never change.
package records

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// Job is the record of an unfinished job.
type Job struct {
	Spec       api.Job       `json:"j"`
	AcceptedAt micros.Micros `json:"a"`
	Cancelled  bool          `json:"x,omitzero"`
	// PackedDependencies holds the job's dependencies if the list in Spec would be too long for
	// a value of the store; see PackDependencies.
	PackedDependencies []byte `json:"w,omitzero"`
}

// CatalogPage is a page of the catalog of machine types, with as many types as fit into a value
// of the store. All pages are written in one transaction.
type CatalogPage struct {
	Types []api.MachineType `json:"Tipos"`
	// Pages is how many pages follow. It is set only on the first page.
	Pages int `json:"p,omitzero"`
}

// TerminalJob is the terminal record of a job that has ended. Its key is not watched.
type TerminalJob struct {
	State     api.JobState `json:"s"`
	DoneTasks int          `json:"n"`
	// EndedAt is when the job ended; 0 means that it is not known, as in records of the first
	// versions.
	EndedAt micros.Micros `json:"t,omitzero"`
}

// LogEntry is an entry of a partition's log: the new states of the tasks and machines that it
// changed. Its slot is overwritten only after everything that no later entry holds was logged
// again.
type LogEntry struct {
	Sequence uint64    `json:"q"`
	Runs     []TaskRun `json:"r,omitzero"`
	Machines []Machine `json:"m,omitzero"`
}

// Machine is the record of a machine. A transfer to another partition and the deletion of the
// machine each begin a new epoch. Of two records in different logs the one with the later epoch
// applies. If the epochs are equal, the one in the log of the machine's current partition
// applies.
type Machine struct {
	Name          string `json:"n"`
	Type          string `json:"t,omitzero"`
	Zone          string `json:"z,omitzero"`
	Spot          bool   `json:"s,omitzero"`
	HomePartition int    `json:"h,omitzero"`
	Partition     int    `json:"c,omitzero"`
	// LaunchedAt is when the machine was launched, by the wall clock of the controller that
	// requested it.
	LaunchedAt micros.Micros `json:"a,omitzero"`
	// MarkedForDeletion reports whether the machine is to be deleted and never used again.
	MarkedForDeletion bool `json:"d,omitzero"`
	// Deleted reports whether the machine no longer exists.
	Deleted bool   `json:"x,omitzero"`
	Epoch   uint64 `json:"e"`
	// MinToken is the lowest fencing token that the machine's worker may obey; 0 stands for the
	// revision of the write of this record.
	MinToken api.FencingToken `json:"k,omitzero"`
}

// TaskRun is a run of consecutive tasks of one job with the same state, attempt and machine.
type TaskRun struct {
	Job   string `json:"j"`
	First int    `json:"f,omitzero"`
	// Tasks is the number of tasks in the run; 0 stands for 1. See TaskCount.
	Tasks   int         `json:"n,omitzero"`
	State   TaskState   `json:"s,omitzero"`
	Attempt api.Attempt `json:"a,omitzero"`
	Machine string      `json:"m,omitzero"`
}

// TaskCount returns the number of tasks in the run.
func (r TaskRun) TaskCount() int { return max(1, r.Tasks) }
