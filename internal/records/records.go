// Package records holds the forms of what is kept in the key-value store, and the keys
// that it is kept under. The names in the JSON tags, and the keys, are read by other
// versions of the program and never change.
package records

import (
	"fmt"
	"strconv"

	"github.com/go-json-experiment/json"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// Keys. Everything that is followed lies below Live; the final states of
// jobs lie apart and are read one by one.
const (
	// LivePrefix is the prefix of what the replica follows.
	LivePrefix   = "live/"
	AdoptionKey  = LivePrefix + "a"  // changes with every adoption of a stray machine
	CatalogKey   = LivePrefix + "c"  // the cloud's catalogue, prices as of some time; its further pages below
	JobKey       = LivePrefix + "j/" // one for each unfinished job
	LogKey       = LivePrefix + "l/" // PART/SLOT: a partition's log of tasks and machines
	PartitionKey = LivePrefix + "p/"
	SchemaKey    = LivePrefix + "v/" // NODE: the form that its controllers read and write
	FleetRoleKey = LivePrefix + "d/" // DUTY: who holds one of the fleet's duties
	RequestsKey  = LivePrefix + "r/" // PART: rentals that a partition's holder has asked for
	TerminalKey  = "over/"
)

// JobRecord is an unfinished job, under its own key.
type JobRecord struct {
	Spec               api.Job       `json:"j"`
	AcceptedAt         micros.Micros `json:"a"`
	Cancelled          bool          `json:"x,omitzero"`
	PackedDependencies []byte        `json:"w,omitzero"` // what the job needs, where the list would be too long
}

// CatalogRecord is a page of the catalogue: as many types as a value holds. All
// pages are written at once.
type CatalogRecord struct {
	Types []api.MachineType `json:"Tipos"`
	Pages int               `json:"p,omitzero"` // of the first: how many follow
}

// TerminalRecord is how a job ended, under a key that is not watched.
type TerminalRecord struct {
	State     api.JobState  `json:"s"`
	DoneTasks int           `json:"n"`
	EndedAt   micros.Micros `json:"t,omitzero"` // when; 0: written by the first versions
}

// LogRecord is one entry of a partition's log: tasks and machines as they became
// by it. A slot is written again once all that it alone held was logged anew.
type LogRecord struct {
	Sequence uint64          `json:"q"`
	Runs     []TaskRun       `json:"r,omitzero"`
	Machines []MachineRecord `json:"m,omitzero"`
}

// MachineRecord is a machine's record. Each transfer begins a new epoch, and so
// does its end: of two rows in different logs the one with the later epoch
// holds, of the same epoch the one in the log of its current partition.
type MachineRecord struct {
	Name          string        `json:"n"`
	Type          string        `json:"t,omitzero"`
	Zone          string        `json:"z,omitzero"`
	Spot          bool          `json:"s,omitzero"`
	HomePartition int           `json:"h,omitzero"`
	Partition     int           `json:"c,omitzero"`
	LaunchedAt    micros.Micros `json:"a,omitzero"` // rented, by the time of day
	Condemned     bool          `json:"d,omitzero"` // to be deleted, never used again
	Deleted       bool          `json:"x,omitzero"` // deleted: there is no such machine
	Epoch         uint64        `json:"e"`
	MinToken      uint64        `json:"k,omitzero"` // the least token; 0: the revision of this write
}

// TaskRun is a run of neighbouring tasks of one job that have become the same.
type TaskRun struct {
	Job     string `json:"j"`
	First   int    `json:"f,omitzero"`
	Tasks   int    `json:"n,omitzero"` // 0 stands for 1
	State   uint8  `json:"s,omitzero"`
	Attempt uint64 `json:"a,omitzero"`
	Machine string `json:"m,omitzero"`
}

// TaskCount is how many tasks a run has.
func (r TaskRun) TaskCount() int { return max(1, r.Tasks) }

// SchemaVersion is the newest form of records that this version reads and writes in
// the state service. Nothing of a form is written before every controller is known
// to read it.
const SchemaVersion = SchemaRoles

// Forms of the records.
const (
	// SchemaDependencies knows jobs that wait for jobs, and catalogues of several pages.
	// The first versions, of form 0, drop what a job needs when they accept it.
	SchemaDependencies = 1
	// SchemaRoles knows the keys of the fleet's duties and of open rentals.
	SchemaRoles = 2
)

// Version is the release, as the log and the state service name it.
const Version = "2.1"

// SchemaRecord says what a controller's versions read. A controller goes from
// one version to a later one only, so what was written once holds on.
type SchemaRecord struct {
	SchemaVersion int    `json:"f"`
	Release       string `json:"v,omitzero"`
}

// MustMarshal encodes one of our own plain records, which cannot fail.
func MustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // our own plain records: cannot fail
	}
	return b
}

// SlotKey gives the key of a slot of a partition's log.
func SlotKey(part, slot int) string { return fmt.Sprintf("%s%d/%04d", LogKey, part, slot) }

// EncodedSize is how many bytes a row takes in an entry.
func (r MachineRecord) EncodedSize() int { return len(MustMarshal(r)) + 1 }

// EncodedSize is how many bytes a run takes in an entry.
func (r TaskRun) EncodedSize() int {
	n := len(`{"j":""},`) + len(r.Job)
	for _, v := range []uint64{uint64(r.First), uint64(r.Tasks), uint64(r.State), r.Attempt} {
		if v > 0 {
			n += len(`,"f":`) + len(strconv.FormatUint(v, 10))
		}
	}
	if r.Machine != "" {
		n += len(`,"m":""`) + len(r.Machine)
	}
	return n
}
