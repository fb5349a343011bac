// Package peer holds the heartbeats that controllers send each other, in msgpack.
//
// The names in the field tags are the wire between two versions of the program: a Go
// field may be renamed, its tag never.
package peer

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Version of the message; one of another version is refused. Fields may be added under
// the same version: a receiver that does not know them passes them over.
const Version = 3

// Heartbeat is sent to every other controller about once a second. No invariant rests on
// what it says: each move of a machine is a compare-and-swap.
type Heartbeat struct {
	Version         int              `msgpack:"V"`
	Node            string           `msgpack:"Node"`    // the sender
	Healthy         bool             `msgpack:"StoreOK"` // the sender could lead more partitions
	IdleMachines    []IdleMachine    `msgpack:"Idle"`
	MachineRequests []MachineRequest `msgpack:"Asks"`
	// WriteRate is the sender's recent changes of the key-value store a second; 0: its
	// version does not say.
	WriteRate float64 `msgpack:"Writes"`
	// CancelledJobs are jobs whose cancellation the sender confirmed to users in the last
	// seconds.
	CancelledJobs []string `msgpack:"Cancelled"`
	// SchemaVersion is that of what the sender reads and writes in the key-value store;
	// 0: one of the first versions.
	SchemaVersion int `msgpack:"Form"`
	// Stopping: the sender resigns from its roles, and ends.
	Stopping bool `msgpack:"Stopping,omitempty"`
	// What the sender found in the cloud's list: machines that failed, that are not
	// listed any more, and that there is no record of.
	Failed   []string `msgpack:"Failed,omitempty"`
	Unlisted []string `msgpack:"Unlisted,omitempty"`
	Orphans  []Orphan `msgpack:"Strays,omitempty"`
}

// IdleMachine is a machine that its partition's leader would lend.
type IdleMachine struct {
	Machine string `msgpack:"Machine"`
}

// MachineRequest wants a machine moved to a partition: an idle one borrowed, a home machine
// reclaimed as its tasks end, or one all of whose tasks may be preempted for a
// job of this tier, within its team's guarantee or not, or of an inherited tier.
type MachineRequest struct {
	Machine    string `msgpack:"Machine"`
	Partition  int    `msgpack:"Part"` // that the machine is wanted for
	Reclaim    bool   `msgpack:"Reclaim"`
	Tier       int    `msgpack:"Tier"`
	Guaranteed bool   `msgpack:"Guaranteed"`
	// Spare: wanted for a job that waits although the machine has room beside its tasks;
	// it is to be given as those end.
	Spare bool `msgpack:"Spare"`
	// InheritedTier is the tier that the job has from one that depends on it, where that
	// is higher.
	InheritedTier int `msgpack:"Lent"`
}

// Orphan is a machine that the cloud lists and that there is no record of.
type Orphan struct {
	Machine string `msgpack:"Machine"`
	Type    string `msgpack:"Type"`
	Zone    string `msgpack:"Zone"`
	Spot    bool   `msgpack:"Spot"`
}

// HeaderError is a message of another version, or one that names no sender.
type HeaderError struct {
	Version int
	Node    string
}

func (e *HeaderError) Error() string {
	return fmt.Sprintf("peer message: version %d, from %q", e.Version, e.Node)
}

// Encode gives the message's bytes; it sets the message's version.
func Encode(heartbeat *Heartbeat) ([]byte, error) {
	heartbeat.Version = Version
	encoded, err := msgpack.Marshal(heartbeat)
	if err != nil {
		return nil, fmt.Errorf("peer message: %w", err)
	}
	return encoded, nil
}

// Decode reads a message. One of another version is a *HeaderError.
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
