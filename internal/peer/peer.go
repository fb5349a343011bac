// Package peer defines the heartbeats that controllers send each other, encoded in msgpack.
//
// The names in the field tags are the wire format, which different versions of the program
// share: a Go field may be renamed, but its tag must not change.
package peer

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Version is the version of the message. Messages of other versions are refused. Fields may
// be added without a new version: a receiver ignores fields that it does not know.
const Version = 3

// Heartbeat is sent to every other controller about once a second. No invariant depends on
// its contents: each transfer of a machine is a compare-and-swap in the store.
type Heartbeat struct {
	Version         int              `msgpack:"V"`
	Node            string           `msgpack:"Node"`    // the sender
	Healthy         bool             `msgpack:"StoreOK"` // the sender is able to acquire partitions
	IdleMachines    []IdleMachine    `msgpack:"Idle"`
	MachineRequests []MachineRequest `msgpack:"Asks"`
	// WriteRate is the sender's recent rate of writes to the key-value store, per second; 0
	// if the sender's version does not report it.
	WriteRate float64 `msgpack:"Writes"`
	// CancelledJobs are the IDs of jobs whose cancellation the sender confirmed to users in
	// the last few seconds.
	CancelledJobs []string `msgpack:"Cancelled"`
	// SchemaVersion is the version of the records that the sender reads and writes in the
	// key-value store; 0 if the sender is one of the first versions of the program.
	SchemaVersion int `msgpack:"Form"`
	// Stopping means that the sender is resigning its roles and will exit.
	Stopping bool `msgpack:"Stopping,omitempty"`
	// The sender's findings in the cloud's list of instances: machines that failed, machines
	// that are no longer listed, and instances without a record.
	FailedMachines   []string `msgpack:"Failed,omitempty"`
	UnlistedMachines []string `msgpack:"Unlisted,omitempty"`
	Orphans          []Orphan `msgpack:"Strays,omitempty"`
}

// IdleMachine is a machine that the leader of its partition offers to lend.
type IdleMachine struct {
	Machine string `msgpack:"Machine"`
}

// MachineRequest asks for a machine to be transferred to another partition. The machine may
// be idle, a home machine of that partition that is reclaimed once its tasks end, or one
// whose tasks are all preempted. Tier, Guaranteed and InheritedTier describe the requesting
// job and determine whether it may preempt the tasks.
type MachineRequest struct {
	Machine    string `msgpack:"Machine"`
	Partition  int    `msgpack:"Part"`    // index of the partition that requests the machine
	Reclaim    bool   `msgpack:"Reclaim"` // the machine's home is the requesting partition
	Tier       int    `msgpack:"Tier"`
	Guaranteed bool   `msgpack:"Guaranteed"`
	// Spare means that a waiting job needs the machine, which has room for it beside its
	// current tasks. The machine is to be transferred once those end.
	Spare bool `msgpack:"Spare"`
	// InheritedTier is the job's tier, or the tier of a job that depends on it if that is
	// higher.
	InheritedTier int `msgpack:"Lent"`
}

// Orphan is an instance that the cloud lists but that has no record.
type Orphan struct {
	Machine string `msgpack:"Machine"`
	Type    string `msgpack:"Type"`
	Zone    string `msgpack:"Zone"`
	Spot    bool   `msgpack:"Spot"`
}

// HeaderError reports a message of another version, or one that does not name its sender.
type HeaderError struct {
	Version int
	Node    string
}

func (e *HeaderError) Error() string {
	return fmt.Sprintf("peer message: version %d, from %q", e.Version, e.Node)
}

// Encode returns the encoded message. It sets the heartbeat's Version field.
func Encode(heartbeat *Heartbeat) ([]byte, error) {
	heartbeat.Version = Version
	encoded, err := msgpack.Marshal(heartbeat)
	if err != nil {
		return nil, fmt.Errorf("peer message: %w", err)
	}
	return encoded, nil
}

// Decode decodes a message. It returns a *HeaderError if the message has another version or
// does not name its sender.
func Decode(encoded []byte) (*Heartbeat, error) {
	heartbeat := &Heartbeat{}
	if err := msgpack.Unmarshal(encoded, heartbeat); err != nil {
		return nil, fmt.Errorf("peer message: %w", err)
	}
	if heartbeat.Version != Version || heartbeat.Node == "" {
		return nil, &HeaderError{Version: heartbeat.Version, Node: heartbeat.Node}
	}
	return heartbeat, nil
}
