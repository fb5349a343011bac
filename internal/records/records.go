// Package records holds the forms of what is kept in the key-value store, and the keys
// that it is kept under. The names in the JSON tags, and the keys, are read by other
// versions of the program and never change.
package records

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// JobRecord is an unfinished job, under its own key.
type JobRecord struct {
	Spec       api.Job       `json:"j"`
	AcceptedAt micros.Micros `json:"a"`
	Cancelled  bool          `json:"x,omitzero"`
	// PackedDependencies holds the job's dependencies where the list in its Spec would be
	// too long for a value; see PackDependencies.
	PackedDependencies []byte `json:"w,omitzero"`
}

// CatalogRecord is a page of the catalog of machine types: as many types as a value
// holds. All pages are written in one transaction.
type CatalogRecord struct {
	Types []api.MachineType `json:"Tipos"`
	// Pages is how many pages follow; it is set on the first page alone.
	Pages int `json:"p,omitzero"`
}

// TerminalRecord is how a job ended, under a key that is not watched.
type TerminalRecord struct {
	State     api.JobState `json:"s"`
	DoneTasks int          `json:"n"`
	// EndedAt is when the job ended; 0: not known, the record is of one of the first
	// versions.
	EndedAt micros.Micros `json:"t,omitzero"`
}

// LogRecord is one entry of a partition's log: the tasks and machines that it changed, as
// they became. The slot that holds it is written again once all that this entry alone
// held was logged anew.
type LogRecord struct {
	Sequence uint64          `json:"q"`
	Runs     []TaskRun       `json:"r,omitzero"`
	Machines []MachineRecord `json:"m,omitzero"`
}

// MachineRecord is a machine's record. Each transfer begins a new epoch, and so does the
// machine's deletion: of two records in different logs the one of the later epoch holds,
// of the same epoch the one in the log of the machine's current partition.
type MachineRecord struct {
	Name          string `json:"n"`
	Type          string `json:"t,omitzero"`
	Zone          string `json:"z,omitzero"`
	Spot          bool   `json:"s,omitzero"`
	HomePartition int    `json:"h,omitzero"`
	Partition     int    `json:"c,omitzero"`
	// LaunchedAt is when the machine was launched, by the wall clock of the controller
	// that asked for it.
	LaunchedAt micros.Micros `json:"a,omitzero"`
	// Condemned says that the machine is to be deleted and never used again.
	Condemned bool `json:"d,omitzero"`
	// Deleted says that there is no such machine any more.
	Deleted bool   `json:"x,omitzero"`
	Epoch   uint64 `json:"e"`
	// MinToken is the lowest fencing token that the machine's worker may obey; 0: the
	// revision of the write that holds this record.
	MinToken api.FencingToken `json:"k,omitzero"`
}

// TaskRun is a run of neighbouring tasks of one job that share their state, attempt and
// machine.
type TaskRun struct {
	Job   string `json:"j"`
	First int    `json:"f,omitzero"`
	// Tasks is how many tasks the run has; 0 stands for 1. See TaskCount.
	Tasks   int         `json:"n,omitzero"`
	State   TaskState   `json:"s,omitzero"`
	Attempt api.Attempt `json:"a,omitzero"`
	Machine string      `json:"m,omitzero"`
}

// TaskCount returns how many tasks a run has.
func (r TaskRun) TaskCount() int { return max(1, r.Tasks) }
