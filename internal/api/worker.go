package api

import (
	"errors"
	"fmt"

	"github.com/go-json-experiment/json"
)

// TaskState is a task's state in a worker's heartbeat.
type TaskState string

// States of tasks, with the protocol's words.
const (
	TaskFetching      TaskState = "pulling" // its image
	TaskWaiting       TaskState = "waiting" // for the rest of its gang
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "flushing"
	TaskExited        TaskState = "ended"
)

// ExitReason is why a task ended.
type ExitReason string

// Reasons of a task's exit, with the protocol's words.
const (
	ExitDone      ExitReason = "done"
	ExitStopped   ExitReason = "halted"
	ExitMatesGone ExitReason = "mates_gone" // the rest of its gang ended
	ExitAlone     ExitReason = "alone"      // the rest of its gang did not come
	ExitFailed    ExitReason = "error"
	ExitNoRoom    ExitReason = "no_room"
	ExitBusy      ExitReason = "busy"
	ExitNoSuch    ExitReason = "no_such"
)

// Attempt numbers the times that a task was placed, from 1. A worker acts on a command
// only for the attempt that it names.
type Attempt uint64

// FencingToken tells a worker whether who commands it still leads: it obeys none lower
// than the highest that it has seen.
type FencingToken uint64

// Incarnation numbers a worker's processes on one machine: a later one knows nothing of
// the tasks of those before. 0 is none.
type Incarnation uint64

// TaskStatus is one task in a worker's heartbeat.
type TaskStatus struct {
	Task             string     `json:"Tarea"`
	Attempt          Attempt    `json:"Intento"`
	State            TaskState  `json:"Estado"`
	ExitReason       ExitReason `json:"Causa,omitempty"`
	CheckpointStored bool       `json:"Stored,omitempty"`
}

// Heartbeat is a worker's heartbeat, with the status of its tasks.
type Heartbeat struct {
	Machine     string      `json:"Maquina"`
	Address     string      `json:"Endpoint"`
	Type        string      `json:"Tipo"`
	Zone        string      `json:"Zona"`
	Spot        bool        `json:"Prestadas"`
	Incarnation Incarnation `json:"Jornada"` // of the worker's process; 0 is none
	Sequence    uint64      `json:"Folio"`   // of the heartbeat within the incarnation
	// FencingToken is the highest that the worker has seen.
	FencingToken FencingToken `json:"Baston"`
	// InterruptionNoticeS is the time until a spot instance is interrupted; nil: no notice.
	InterruptionNoticeS *float64     `json:"AvisoS"`
	Tasks               []TaskStatus `json:"Tareas"`
}

// maxMachineNameBytes is how long a machine's name may be.
const maxMachineNameBytes = 150

// errNoSender is a heartbeat that does not name the machine, or the process on it, that
// sent it.
var errNoSender = errors.New("report: machine or session is missing")

// ParseHeartbeat reads and checks a worker's heartbeat.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	heartbeat := &Heartbeat{}
	if err := json.Unmarshal(body, heartbeat); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if heartbeat.Machine == "" || len(heartbeat.Machine) > maxMachineNameBytes || heartbeat.Incarnation == 0 {
		return nil, errNoSender
	}
	return heartbeat, nil
}

// CommandOp is what a command has a worker do.
type CommandOp string

// Operations of commands, with the protocol's words.
const (
	CommandStart  CommandOp = "run"
	CommandStop   CommandOp = "halt"
	CommandForget CommandOp = "forget"
)

// Command is one command to a worker, about one attempt of a task.
type Command struct {
	Op      CommandOp `json:"Accion"`
	Task    string    `json:"Tarea"`
	Attempt Attempt   `json:"Intento"`
	GraceS  *float64  `json:"GraciaS,omitempty"` // of a stop: time to save a checkpoint
}

// HeartbeatResponse answers a heartbeat; it renews the lease on which the worker's tasks
// run.
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

// Redirect sends a worker to another controller.
type Redirect struct {
	To string `json:"ReportaA,omitempty"` // "": the worker is to try the others
}
