package message

import (
	"log/slog"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/peer"
)

// Effect is an action that Step returns to be carried out: a message to send, a request to
// the store or the cloud, an answer or a log line.
type Effect interface{ effect() }

// Answer answers a request of a user, worker, operator or health check. The body of an answer
// that renews a worker's lease is a leadership.Order[api.HeartbeatResponse].
type Answer struct {
	RequestID   uint64
	Status      int
	Body        any
	RetryAfterS int // seconds; 0 means that the answer has no Retry-After header
}

// StoreCall is a request to the key-value store.
type StoreCall struct {
	CallID      uint64
	Op          StoreOp
	Key         string       // for OpGet, the key; for the lists, the page begins after this key
	Since       api.Revision // for OpWatch: changes after this revision are returned
	WaitMs      int          // for OpWatch: how long to wait for a change, in milliseconds
	LeaseID     uint64       // for OpRenewLease
	TTLMs       int64        // for OpGrantLease, in milliseconds
	Transaction leadership.Order[*api.Transaction]
	// Urgent calls are not delayed by the rate limit on requests. They grant or renew the lease,
	// or read the latest changes.
	Urgent bool
}

// StoreOp is an operation of the key-value store.
type StoreOp int

// Operations of the key-value store.
const (
	OpGet StoreOp = iota
	OpList
	OpTransaction
	OpGrantLease
	OpRenewLease
	OpWatch
	// OpListTerminal lists the terminal records of jobs, OpList all live keys.
	OpListTerminal
)

// CloudCall is a request to the cloud.
type CloudCall struct {
	CallID uint64
	Op     CloudOp
	Launch leadership.Order[*api.LaunchRequest]
	Delete leadership.Order[[]string] // names of machines
	After  string                     // for OpListInstances: the last name of the previous page
}

// CloudOp is an operation of the cloud.
type CloudOp int

// Operations of the cloud.
const (
	OpReadCatalog CloudOp = iota
	OpLaunch
	OpDelete
	OpListInstances
)

// SendCommands sends commands directly to a worker, instead of with the answer to its next
// heartbeat. The reply is a CommandReply.
type SendCommands struct {
	Machine     string
	Addr        string
	StartsTasks bool
	Body        leadership.Order[api.CommandRequest]
}

// Broadcast sends a heartbeat to every other controller.
type Broadcast struct{ Heartbeat *peer.Heartbeat }

// Stopped reports that a controller that was told to stop has resigned all its roles.
type Stopped struct{}

// Log writes a line to the log.
type Log struct {
	Level   slog.Level
	Message string
	Args    []any // keys of package logkey, each followed by its value
}

func (Answer) effect()       {}
func (StoreCall) effect()    {}
func (CloudCall) effect()    {}
func (SendCommands) effect() {}
func (Broadcast) effect()    {}
func (Stopped) effect()      {}
func (Log) effect()          {}

// NewProbe returns a request that only checks whether a worker replies. It has no commands and
// no fencing token, so the worker's state does not change.
func NewProbe(machine, addr string, incarnation api.Incarnation) SendCommands {
	grant := leadership.SharedGrant(leadership.ForProbe, leadership.ActionCommand)
	body := api.CommandRequest{Incarnation: incarnation, Commands: []api.Command{}}
	return SendCommands{Machine: machine, Addr: addr, Body: leadership.NewOrder(grant, body)}
}
