// Package peer holds what controllers tell each other, in msgpack.
//
// The names in the field tags are the wire between two versions of the program: a Go
// field may be renamed, its tag never.
package peer

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Version of the form; a message of another version is refused. Fields may be
// added under the same version: who does not know them passes them over.
const Version = 3

// IdleMachine is a machine its holder would lend.
type IdleMachine struct {
	Machine string `msgpack:"Machine"`
}

// MachineRequest wants a machine moved to a partition: an idle one borrowed, a home machine
// reclaimed as its tasks end, or one all of whose tasks may be stopped for a
// job of this tier, within its team's guarantee or not, or of a lent tier.
type MachineRequest struct {
	Machine       string `msgpack:"Machine"`
	Partition     int    `msgpack:"Part"`
	Reclaim       bool   `msgpack:"Reclaim"`
	Tier          int    `msgpack:"Tier"`
	Guaranteed    bool   `msgpack:"Guaranteed"`
	Spare         bool   `msgpack:"Spare"` // for a job that waits beside its room: to be given as its tasks end
	InheritedTier int    `msgpack:"Lent"`  // tier lent to the job by one that needs it, where that is higher
}

// Orphan is a machine that the cloud lists and no record is known of.
type Orphan struct {
	Machine string `msgpack:"Machine"`
	Type    string `msgpack:"Type"`
	Zone    string `msgpack:"Zone"`
	Spot    bool   `msgpack:"Spot"`
}

// Heartbeat is sent to every other controller about once a second. It says
// nothing that safety rests on: each move is a conditional write.
type Heartbeat struct {
	Version         int              `msgpack:"V"`
	Node            string           `msgpack:"Node"`
	Healthy         bool             `msgpack:"StoreOK"`
	IdleMachines    []IdleMachine    `msgpack:"Idle"`
	MachineRequests []MachineRequest `msgpack:"Asks"`
	WriteRate       float64          `msgpack:"Writes"` // changes of the state service a second, of late; 0: of a version that does not say
	// CancelledJobs are jobs whose users this controller told so in the last seconds.
	CancelledJobs []string `msgpack:"Cancelled"`
	SchemaVersion int      `msgpack:"Form"` // of what the sender reads and writes in the state service; 0: of the first versions
	// Stopping: the sender gives up what it holds, and ends.
	Stopping bool `msgpack:"Stopping,omitempty"`
	// What the sender found in the cloud's list: machines that failed, that are not
	// listed any more, and that no record is known of.
	Failed   []string `msgpack:"Failed,omitempty"`
	Unlisted []string `msgpack:"Unlisted,omitempty"`
	Orphans  []Orphan `msgpack:"Strays,omitempty"`
}

// Encode gives the message's bytes.
func Encode(h *Heartbeat) ([]byte, error) {
	h.Version = Version
	return msgpack.Marshal(h)
}

// Decode reads a message.
func Decode(b []byte) (*Heartbeat, error) {
	h := &Heartbeat{}
	if err := msgpack.Unmarshal(b, h); err != nil {
		return nil, fmt.Errorf("peer message: %w", err)
	}
	if h.Version != Version || h.Node == "" {
		return nil, fmt.Errorf("peer message: version %d, from %q", h.Version, h.Node)
	}
	return h, nil
}
