package message

import (
	"log/slog"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/peer"
)

// Effect is what Step returns: something to send, write, answer or log.
type Effect interface{ effect() }

// Answer answers a request of a user, worker or health check. One that renews a
// worker's lease has a leadership.Order[api.HeartbeatResponse] as its body.
type Answer struct {
	RequestID   uint64
	Status      int
	Body        any
	RetryAfterS int // seconds; 0: the answer has no Retry-After
}

// StoreCall is a request to the key-value store.
type StoreCall struct {
	Call        uint64
	Op          StoreOp
	Key         string       // of OpGet; of OpList, the last key of the page before
	Since       api.Revision // of OpWatch: the revision after which changes are wanted
	WaitMs      int          // of OpWatch: how long to wait for a change, in milliseconds
	Lease       uint64       // of OpRenewLease
	TTLMs       int64        // of OpGrantLease, in milliseconds
	Transaction leadership.Order[*api.Transaction]
	Urgent      bool // not held back by the budget of requests, as lease renewals
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
)

// CloudCall is a request to the cloud.
type CloudCall struct {
	Call   uint64
	Op     CloudOp
	Launch leadership.Order[*api.LaunchRequest]
	Delete leadership.Order[[]string] // names of machines
	After  string                     // of OpListInstances: the last name of the page before
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

// SendCommands sends commands to a worker directly, instead of with the answer to its
// next heartbeat.
type SendCommands struct {
	Machine     string
	Addr        string
	StartsTasks bool
	Body        leadership.Order[api.CommandRequest]
}

// Broadcast sends a heartbeat to every other controller.
type Broadcast struct{ Heartbeat *peer.Heartbeat }

// Stopped reports that a controller that was told to stop leads nothing any more.
type Stopped struct{}

// Log is a line for the log.
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

// ProbeCommand asks a worker for a sign of life: it carries no command and no fencing
// token, so the worker changes nothing.
func ProbeCommand(machine, addr string, incarnation api.Incarnation) SendCommands {
	grant := leadership.SharedGrant(leadership.ForProbe, leadership.Command)
	body := api.CommandRequest{Incarnation: incarnation, Commands: []api.Command{}}
	return SendCommands{Machine: machine, Addr: addr, Body: leadership.NewOrder(grant, body)}
}
