package message

import (
	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/peer"
)

// Input is an event that Step handles: a request of a user, worker, operator or health check,
// a message of another controller, the reply to an effect, or a tick.
type Input interface{ input() }

// Tick has no content. It causes periodic work to be done when there are no other inputs.
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

// CheckReadiness is GET /ready: a health check asks whether users should be sent here.
type CheckReadiness struct{ RequestID uint64 }

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
	FencingToken api.FencingToken // token that the commands were sent under
	StartsTasks  bool             // at least one of the commands starts a task
	// Unsent means that nothing left this process: too many commands were in flight, the
	// commands were decided too long ago, or their grant no longer permitted them.
	Unsent    bool
	Status    int
	Heartbeat *api.Heartbeat
}

// StoreReply is the reply to a StoreCall. Only the result of the call's operation is set.
type StoreReply struct {
	CallID      uint64
	Status      int
	Unsent      bool // its grant no longer permitted it: nothing left this process
	Item        api.KeyValue
	Page        api.KeyValuePage
	Transaction api.TransactionResult
	Watch       api.WatchResponse
	LeaseID     uint64
}

// CloudReply is the reply to a CloudCall. Only the result of the call's operation is set.
type CloudReply struct {
	CallID    uint64
	Status    int
	Unsent    bool // its grant no longer permitted it: nothing left this process
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

// Stop makes the controller resign its roles. Stopped reports when it has done so.
type Stop struct{}

func (Tick) input()            {}
func (Submit) input()          {}
func (GetStatus) input()       {}
func (Cancel) input()          {}
func (Explain) input()         {}
func (CheckReadiness) input()  {}
func (ListRoles) input()       {}
func (WorkerHeartbeat) input() {}
func (CommandReply) input()    {}
func (*StoreReply) input()     {}
func (*CloudReply) input()     {}
func (PeerHeartbeat) input()   {}
func (OrderRefused) input()    {}
func (Stop) input()            {}
