package api

import (
	"errors"
	"fmt"

	"github.com/go-json-experiment/json"
)

// TaskState is a task's state in a worker's heartbeat.
type TaskState string

// States of tasks; the values are the protocol's.
const (
	TaskFetching      TaskState = "pulling" // fetches its image
	TaskWaiting       TaskState = "waiting" // waits for the rest of its gang
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "flushing" // saves a checkpoint before it stops
	TaskExited        TaskState = "ended"
)

// ExitReason says why a task ended, or why its worker did not start it.
type ExitReason string

// Exit reasons; the values are the protocol's. After one that says "not started" the controllers
// place the task again, and count no failure of the job or the machine.
const (
	ExitDone           ExitReason = "done"
	ExitStopped        ExitReason = "halted"
	ExitGangEnded      ExitReason = "mates_gone" // the rest of its gang ended
	ExitGangIncomplete ExitReason = "alone"      // the rest of its gang did not start in time
	ExitFailed         ExitReason = "error"
	ExitNoRoom         ExitReason = "no_room" // not started: the machine lacks free resources
	ExitBusy           ExitReason = "busy"    // not started: another attempt of the task has not exited on the machine
	ExitUnknownTask    ExitReason = "no_such" // not started: the worker knows no such task
)

// Attempt numbers the placements of a task, from 1. A worker applies a command only to the
// attempt that the command names.
type Attempt uint64

// FencingToken protects a worker from commands of a former leader. The worker rejects
// commands with a token lower than the highest that it has seen.
type FencingToken uint64

// Incarnation numbers the worker processes on one machine. A process knows nothing of the
// tasks of earlier incarnations. 0 means none.
type Incarnation uint64

// TaskStatus is the status of one task in a worker's heartbeat.
type TaskStatus struct {
	Task             string     `json:"Tarea"`
	Attempt          Attempt    `json:"Intento"`
	State            TaskState  `json:"Estado"`
	ExitReason       ExitReason `json:"Causa,omitempty"`
	CheckpointStored bool       `json:"Stored,omitempty"`
}

// longestStatus is the longest status that a task can have in a heartbeat, without the task's
// name and with the comma that follows it.
const longestStatus = `{"Tarea":"","Intento":1000000,"Estado":"ended","Causa":"mates_gone","Stored":true},`

// MaxStatusBytes returns the size of the longest status of a task in a heartbeat, in bytes.
func MaxStatusBytes(task string) int { return len(longestStatus) + len(task) }

// heartbeatReserveBytes is the part of a heartbeat that is not for the statuses of tasks: its
// other fields, and spaces that a worker may put between the parts.
const heartbeatReserveBytes = 8 << 10

// MaxStatusesBytes is how much space a heartbeat has for the statuses of tasks, in bytes. A
// machine must not have more tasks: its worker could not send the heartbeat.
const MaxStatusesBytes = MaxBodyBytes - heartbeatReserveBytes

// Heartbeat is a worker's periodic report, with the status of its tasks.
type Heartbeat struct {
	Machine     string      `json:"Maquina"`
	Address     string      `json:"Endpoint"`
	Type        string      `json:"Tipo"`
	Zone        string      `json:"Zona"`
	Spot        bool        `json:"Prestadas"`
	Incarnation Incarnation `json:"Jornada"` // never 0 in a valid heartbeat
	Sequence    uint64      `json:"Folio"`   // number of the heartbeat within the incarnation
	// FencingToken is the highest token that the worker has seen.
	FencingToken FencingToken `json:"Baston"`
	// InterruptionNoticeS is the time until the cloud interrupts the spot instance; nil: the
	// cloud has given no notice.
	InterruptionNoticeS *float64     `json:"AvisoS"`
	Tasks               []TaskStatus `json:"Tareas"`
}

const maxMachineNameBytes = 150

// errMissingSender reports a heartbeat without a valid machine name or without an
// incarnation. Workers see its text.
var errMissingSender = errors.New("report: machine or session is missing")

// ParseHeartbeat decodes a worker's heartbeat and checks that it names its sender: a machine
// and an incarnation.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	heartbeat := &Heartbeat{}
	if err := json.Unmarshal(body, heartbeat); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if heartbeat.Machine == "" || len(heartbeat.Machine) > maxMachineNameBytes || heartbeat.Incarnation == 0 {
		return nil, errMissingSender
	}
	return heartbeat, nil
}

// CommandOp is the operation that a command requests from a worker.
type CommandOp string

// Operations of commands; the values are the protocol's.
const (
	CommandStart  CommandOp = "run"
	CommandStop   CommandOp = "halt"
	CommandForget CommandOp = "forget" // drops a task that has ended from the heartbeats
)

// Command is a command to a worker about one attempt of a task.
type Command struct {
	Op      CommandOp `json:"Accion"`
	Task    string    `json:"Tarea"`
	Attempt Attempt   `json:"Intento"`
	GraceS  *float64  `json:"GraciaS,omitempty"` // for CommandStop: time to save a checkpoint
}

// HeartbeatResponse is the answer to a heartbeat. It renews the lease without which the
// worker's tasks may not run.
type HeartbeatResponse struct {
	FencingToken FencingToken `json:"Baston"`
	Commands     []Command    `json:"Ordenes"`
}

// CommandRequest is the body of a direct command to a worker.
type CommandRequest struct {
	FencingToken FencingToken `json:"Baston"`
	Incarnation  Incarnation  `json:"Jornada"`
	Commands     []Command    `json:"Ordenes"`
}

// Redirect tells a worker to send its heartbeats to another controller.
type Redirect struct {
	To string `json:"ReportaA,omitempty"` // "": the worker must try the other controllers
}
