package message

import (
	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/peer"
)

// Input is what Step takes: a request of a user, worker, health check or other
// controller, the reply to an effect, or a tick.
type Input interface{ input() }

// Tick lets time pass.
type Tick struct{}

// Submit is POST /work: a user submits a job.
type Submit struct {
	RequestID uint64
	Body      []byte
}

// GetStatus is GET /work/{id}: a user asks for a job's status.
type GetStatus struct {
	RequestID uint64
	ID        string
}

// Cancel is POST /work/{id}/cancel: a user cancels a job.
type Cancel struct {
	RequestID uint64
	ID        string
}

// Explain is GET /why/{id}: a user asks what a job waits for.
type Explain struct {
	RequestID uint64
	ID        string
}

// Ready is GET /ready, the health check.
type Ready struct{ RequestID uint64 }

// ListRoles is GET /duties: an operator asks who leads which role.
type ListRoles struct{ RequestID uint64 }

// WorkerHeartbeat is a worker's heartbeat, with the states of its tasks.
type WorkerHeartbeat struct {
	RequestID uint64
	Heartbeat *api.Heartbeat
}

// CommandReply is the reply to SendCommands.
type CommandReply struct {
	Machine      string
	FencingToken api.FencingToken // of the commands
	StartsTasks  bool             // the commands start tasks
	Unsent       bool             // too many were in flight: nothing left this process
	Status       int
	Heartbeat    *api.Heartbeat
}

// StoreReply is the reply to a StoreCall. Of its results only that of the call's
// operation is set.
type StoreReply struct {
	Call        uint64
	Status      int
	Unsent      bool // its grant had ended: nothing left this process
	Item        api.KeyValue
	Page        api.KeyValuePage
	Transaction api.TransactionResult
	Watch       api.WatchResponse
	Lease       uint64
}

// CloudReply is the reply to a CloudCall. Of its results only that of the call's
// operation is set.
type CloudReply struct {
	Call      uint64
	Status    int
	Unsent    bool // its grant had ended: nothing left this process
	Catalog   api.Catalog
	Launched  []string // names of the machines
	Instances api.InstancePage
}

// PeerHeartbeat is a heartbeat of another controller.
type PeerHeartbeat struct{ Heartbeat *peer.Heartbeat }

// OrderRefused reports an order that did not leave this process because its grant no
// longer permitted it.
type OrderRefused struct {
	Role   string
	Action leadership.Action
	Reason leadership.Reason
}

// Stop has the controller resign its roles and then end.
type Stop struct{}

func (Tick) input()            {}
func (Submit) input()          {}
func (GetStatus) input()       {}
func (Cancel) input()          {}
func (Explain) input()         {}
func (Ready) input()           {}
func (ListRoles) input()       {}
func (WorkerHeartbeat) input() {}
func (CommandReply) input()    {}
func (*StoreReply) input()     {}
func (*CloudReply) input()     {}
func (PeerHeartbeat) input()   {}
func (OrderRefused) input()    {}
func (Stop) input()            {}
