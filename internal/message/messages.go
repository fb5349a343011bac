// Package message holds the inputs and effects of the controller's state machine: what
// Step takes, and what it gives to be sent, written, answered or logged.
package message

import (
	"log/slog"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/peer"
)

// Input is what Step takes: a request of a user, worker, health check or other
// controller, the answer to an effect, or a tick. Of an answer, Status 0 means that
// none came.
type Input interface{ input() }

// Inputs to Step.
type (
	// Tick lets time pass.
	Tick struct{}
	// Submit is POST /work.
	Submit struct {
		RequestID uint64
		Body      []byte
	}
	// GetStatus is GET /work/{id}.
	GetStatus struct {
		RequestID uint64
		ID        string
	}
	// Cancel is POST /work/{id}/cancel.
	Cancel struct {
		RequestID uint64
		ID        string
	}
	// Explain is GET /why/{id}.
	Explain struct {
		RequestID uint64
		ID        string
	}
	// Ready is GET /ready.
	Ready struct{ RequestID uint64 }
	// WorkerHeartbeat is a worker's report.
	WorkerHeartbeat struct {
		RequestID uint64
		Heartbeat *api.Heartbeat
	}
	// CommandReply answers SendCommands.
	CommandReply struct {
		Machine   string
		FencingToken     uint64
		StartsTasks    bool
		Unsent    bool // too many were out: nothing left this process
		Status    int
		Heartbeat *api.Heartbeat
	}
	// StoreReply answers a StoreCall.
	StoreReply struct {
		Call        uint64
		Status      int
		Unsent      bool // its grant had ended: nothing left this process
		Item        api.KeyValue
		Page        api.KeyValuePage
		Transaction api.TransactionResult
		Watch       api.WatchResponse
		Lease       uint64
	}
	// CloudReply answers a CloudCall.
	CloudReply struct {
		Call      uint64
		Status    int
		Unsent    bool // its grant had ended: nothing left this process
		Catalog   api.Catalog
		Launched  []string
		Instances api.InstancePage
	}
	// PeerHeartbeat is a message of another controller.
	PeerHeartbeat struct{ Heartbeat *peer.Heartbeat }
	// ListRoles is GET /duties.
	ListRoles struct{ RequestID uint64 }
	// OrderRefused tells that an order did not leave this process, for its grant
	// did not permit it any more.
	OrderRefused struct {
		Role   string
		Action leadership.Action
		Reason leadership.Reason
	}
	// Stop has the controller give up what it holds, in good order.
	Stop struct{}
)

// Effect is what Step gives: something to send, write, answer or log.
type Effect interface{ effect() }

// Effects of Step.
type (
	// Answer answers a request of a user, worker or health check. The answer that
	// renews a worker's lease is a duty.Order[wire.ReportResponse].
	Answer struct {
		RequestID   uint64
		Status      int
		Body        any
		RetryAfterS int
	}
	// StoreCall is a request to the state service.
	StoreCall struct {
		Call        uint64
		Op          StoreOp
		Key         string // get, list (after), extend (unused)
		Since       uint64
		WaitMs      int
		Lease       uint64
		TTLMs       int64
		Transaction leadership.Order[*api.Transaction]
		Urgent      bool // lease renewals: not held back by the budget
	}
	// CloudCall is a request to the cloud.
	CloudCall struct {
		Call   uint64
		Op     CloudOp
		Launch leadership.Order[*api.LaunchRequest]
		Delete leadership.Order[[]string] // to be deleted
		After  string
	}
	// SendCommands sends commands to a worker directly.
	SendCommands struct {
		Machine string
		Addr    string
		StartsTasks  bool // it starts tasks
		Body    leadership.Order[api.CommandRequest]
	}
	// Broadcast sends a message to every other controller.
	Broadcast struct{ Heartbeat *peer.Heartbeat }
	// Stopped tells that a controller that was told to stop holds nothing more.
	Stopped struct{}
	// Log is a line for the log.
	Log struct {
		Level   slog.Level
		Message string
		Args    []any
	}
)

// StoreOp names a request to the state service.
type StoreOp int

// Requests to the state service.
const (
	OpGet StoreOp = iota
	OpList
	OpTransaction
	OpGrantLease
	OpRenewLease
	OpWatch
)

// CloudOp names a request to the cloud.
type CloudOp int

// Requests to the cloud.
const (
	OpReadCatalog CloudOp = iota
	OpLaunch
	OpDelete
	OpListInstances
)

func (Tick) input()            {}
func (Submit) input()          {}
func (GetStatus) input()       {}
func (Cancel) input()          {}
func (Explain) input()         {}
func (Ready) input()           {}
func (WorkerHeartbeat) input() {}
func (CommandReply) input()    {}
func (*StoreReply) input()     {}
func (*CloudReply) input()     {}
func (PeerHeartbeat) input()   {}
func (ListRoles) input()       {}
func (OrderRefused) input()    {}
func (Stop) input()            {}

func (Answer) effect()       {}
func (StoreCall) effect()    {}
func (CloudCall) effect()    {}
func (SendCommands) effect() {}
func (Broadcast) effect()    {}
func (Stopped) effect()      {}
func (Log) effect()          {}

// ProbeCommand asks a worker whether it is there. Token 0 has nothing done.
func ProbeCommand(machine, addr string, session uint64) SendCommands {
	body := api.CommandRequest{Incarnation: session, Commands: []api.Command{}}
	return SendCommands{Machine: machine, Addr: addr, Body: leadership.NewOrder(leadership.SharedGrant(leadership.ForProbe, leadership.Command), body)}
}
