package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// Keys. Everything that is followed lies below Live; the final states of
// jobs lie apart and are read one by one.
const (
	// LivePrefix is the prefix of what the replica follows.
	LivePrefix   = "live/"
	adoptionKey  = LivePrefix + "a"  // changes with every adoption of a stray machine
	catalogKey   = LivePrefix + "c"  // the cloud's catalogue, prices as of some time; its further pages below
	jobKey       = LivePrefix + "j/" // one for each unfinished job
	logKey       = LivePrefix + "l/" // PART/SLOT: a partition's log of tasks and machines
	partitionKey = LivePrefix + "p/"
	schemaKey    = LivePrefix + "v/" // NODE: the form that its controllers read and write
	fleetRoleKey = LivePrefix + "d/" // DUTY: who holds one of the fleet's duties
	requestsKey  = LivePrefix + "r/" // PART: rentals that a partition's holder has asked for
	terminalKey  = "over/"
)

type jobRecord struct {
	Spec               api.Job       `json:"j"`
	AcceptedAt         micros.Micros `json:"a"`
	Cancelled          bool          `json:"x,omitzero"`
	PackedDependencies []byte        `json:"w,omitzero"` // what the job needs, where the list would be too long
}

// catalogRecord is a page of the catalogue: as many types as a value holds. All
// pages are written at once.
type catalogRecord struct {
	Types []api.MachineType `json:"Tipos"`
	Pages int               `json:"p,omitzero"` // of the first: how many follow
}

type terminalRecord struct {
	State     string        `json:"s"`
	DoneTasks int           `json:"n"`
	EndedAt   micros.Micros `json:"t,omitzero"` // when; 0: written by the first versions
}

// logRecord is one entry of a partition's log: tasks and machines as they became
// by it. A slot is written again once all that it alone held was logged anew.
type logRecord struct {
	Sequence uint64          `json:"q"`
	Runs     []taskRun       `json:"r,omitzero"`
	Machines []machineRecord `json:"m,omitzero"`
}

// machineRecord is a machine's record. Each transfer begins a new epoch, and so
// does its end: of two rows in different logs the one with the later epoch
// holds, of the same epoch the one in the log of its current partition.
type machineRecord struct {
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

type taskRun struct {
	Job     string `json:"j"`
	First   int    `json:"f,omitzero"`
	Tasks   int    `json:"n,omitzero"` // 0 stands for 1
	State   uint8  `json:"s,omitzero"`
	Attempt uint64 `json:"a,omitzero"`
	Machine string `json:"m,omitzero"`
}

func (r taskRun) taskCount() int { return max(1, r.Tasks) }
