// Package api holds the JSON forms of PROTOCOL and their validation. The
// names used on the wire live only here.
package api

import (
	"errors"
	"fmt"
	"regexp"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// MaxBody is the largest request body taken, in bytes.
const MaxBody = 64 << 10

// JobKind is how a job's tasks belong together.
type JobKind string

// Kinds of jobs, with the protocol's words.
const (
	Array   JobKind = "array"  // tasks that run one by one
	Gang    JobKind = "group"  // tasks that run all at once
	Service JobKind = "daemon" // tasks that run until the job is cancelled
)

// JobState is what users are told of a job.
type JobState string

// States of jobs, with the protocol's words.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "withdrawn"
)

// TaskState is what a worker says of a task.
type TaskState string

// States of tasks in workers' heartbeats, with the protocol's words.
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

// CommandOp is what a command has a worker do.
type CommandOp string

// Operations of commands, with the protocol's words.
const (
	CommandStart  CommandOp = "run"
	CommandStop   CommandOp = "halt"
	CommandForget CommandOp = "forget"
)

// InstanceState is what the cloud says of a machine.
type InstanceState string

// States of machines in the cloud's list, with the protocol's words.
const (
	InstanceBooting InstanceState = "starting"
	InstanceRunning InstanceState = "running"
	InstanceFailed  InstanceState = "failed"
)

// Priority is how important a job's owner says it is.
type Priority string

// Priorities, lowest first.
const (
	PriorityBestEffort Priority = "best_effort"
	PriorityStandard   Priority = "standard"
	PriorityUrgent     Priority = "urgent"
	PriorityProduction Priority = "production"
)

// tiers are the tiers of the priorities that there are.
var tiers = map[Priority]int{PriorityBestEffort: 1, PriorityStandard: 4, PriorityUrgent: 7, PriorityProduction: 10}

// Tier is the priority's tier, from 1 to 10; 0: there is no such priority.
func (p Priority) Tier() int { return tiers[p] }

// Job is a submitted job.
type Job struct {
	ID                  string   `json:"Id"`
	Class               string   `json:"Clase"`
	Team                string   `json:"Dueno"`
	Kind                JobKind  `json:"Forma"`
	Priority            Priority `json:"Prelacion"`
	Tasks               int      `json:"Tareas"`
	CPUs                float64  `json:"Vcpus"`
	GPUs                float64  `json:"Accelerators"`
	MemoryGB            float64  `json:"MemoryGb"`
	Image               string   `json:"Imagen"`
	ImageGB             float64  `json:"SizeGb"`
	Types               []string `json:"Tipos,omitzero"` // nil: any; in JSON absent, never []
	Zone                string   `json:"Zona"`
	OneZone             bool     `json:"Together"`
	Spread              bool     `json:"Apart"`
	Spot                bool     `json:"Prestadas"`
	EstimateS           float64  `json:"EstimadoS"`
	CheckpointIntervalS float64  `json:"RespaldoS"`
	CheckpointSaveS     float64  `json:"GuardadoS"`
	DeadlineS           float64  `json:"PlazoS"`
	Dependencies        []string `json:"Espera,omitzero"` // jobs that must be done first, each named once
}

var idForm = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidID tells whether id has the form of a job's id.
func ValidID(id string) bool { return idForm.MatchString(id) }

// JobID reads only the id out of a body; "" where there is no valid one.
func JobID(body []byte) string {
	var v struct {
		ID string `json:"Id"`
	}
	if json.Unmarshal(body, &v) != nil || !ValidID(v.ID) {
		return ""
	}
	return v.ID
}

// JobStatus answers users' questions about a job.
type JobStatus struct {
	ID      string   `json:"Id"`
	State   JobState `json:"Estado"`
	Done    *int     `json:"done,omitempty"`
	Running *int     `json:"running,omitempty"`
}

// Explanation says why a job waits and when it should be done. It is an
// interface of our own, for owners and operators.
type Explanation struct {
	ID          string   `json:"id"`
	State       JobState `json:"state"`
	Leader      string   `json:"holder,omitempty"` // the controller that plans it
	Reason      string   `json:"why,omitempty"`
	WaitedS     float64  `json:"since_submission_s"`
	ExpectedInS float64  `json:"done_in_s,omitzero"` // expected
	EarliestS   float64  `json:"earliest_s,omitzero"`
	LatestS     float64  `json:"latest_s,omitzero"`
	// Of a job that waits for others: which of them are not over yet.
	WaitsFor []string `json:"waits_for,omitzero"`
	// Of a job with a deadline: how far off it is, and whether the job, with
	// all that it waits for, should be done by then.
	DeadlineInS float64 `json:"deadline_in_s,omitzero"`
	InTime      string  `json:"in_time,omitzero"`
}

// Roles answers GET /duties.
type Roles struct {
	Node string `json:"node"` // who answers
	// Exclusive: the fleet's duties that the settings name have one holder each.
	Exclusive bool `json:"one_holder"`
	// RecordsRequests: requests for machines are recorded before they are sent.
	RecordsRequests bool         `json:"records_rentals"`
	Roles           []RoleStatus `json:"duties"`
	// RefusedOrders counts orders of no single holder's that did not leave this process.
	RefusedOrders map[string]int `json:"orders_refused,omitzero"`
}

// RoleStatus tells of one duty, as the controller that answers knows it.
type RoleStatus struct {
	Role   string  `json:"duty"`
	Leader string  `json:"holder,omitzero"`
	Term   uint64  `json:"term,omitzero"`
	SinceS float64 `json:"since_s,omitzero"` // when it learned of the term
	// RemainingS is how long its grants still hold; only the holder knows.
	RemainingS *float64 `json:"remaining_s,omitzero"`
	// RefusedOrders counts orders under the duty that did not leave this process, by action
	// and reason.
	RefusedOrders map[string]int `json:"orders_refused,omitzero"`
}

// What Explanation.InTime says.
const (
	InTimeYes     = "yes"     // even at the latest
	InTimePerhaps = "perhaps" // by the estimates, or nearly
	InTimeNo      = "no"      // not even at the earliest
)

// Readiness is what a health check is told beside its status.
type Readiness struct {
	Condition string `json:"condition"`
}

// Error is the body of a refusal.
type Error struct {
	Error string `json:"error"`
}

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task             string     `json:"Tarea"`
	Attempt          uint64     `json:"Intento"`
	State            TaskState  `json:"Estado"`
	ExitReason       ExitReason `json:"Causa,omitempty"`
	CheckpointStored bool       `json:"Stored,omitempty"`
}

// Heartbeat is what a worker tells of itself.
type Heartbeat struct {
	Machine             string       `json:"Maquina"`
	Address             string       `json:"Endpoint"`
	Type                string       `json:"Tipo"`
	Zone                string       `json:"Zona"`
	Spot                bool         `json:"Prestadas"`
	Incarnation         uint64       `json:"Jornada"`
	Sequence            uint64       `json:"Folio"`
	FencingToken        uint64       `json:"Baston"`
	InterruptionNoticeS *float64     `json:"AvisoS"`
	Tasks               []TaskStatus `json:"Tareas"`
}

// ParseHeartbeat reads and checks a report.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	r := &Heartbeat{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if r.Machine == "" || len(r.Machine) > 150 || r.Incarnation == 0 {
		return nil, errors.New("report: machine or session is missing")
	}
	return r, nil
}

// Command is one order to a worker.
type Command struct {
	Op      CommandOp `json:"Accion"`
	Task    string    `json:"Tarea"`
	Attempt uint64    `json:"Intento"`
	GraceS  *float64  `json:"GraciaS,omitempty"`
}

// HeartbeatResponse answers a report.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"Baston"`
	Commands     []Command `json:"Ordenes"`
}

// CommandRequest is the body of a direct command to a worker.
type CommandRequest struct {
	FencingToken uint64    `json:"Baston"`
	Incarnation  uint64    `json:"Jornada"`
	Commands     []Command `json:"Ordenes"`
}

// Redirect sends a worker to another controller.
type Redirect struct {
	To string `json:"ReportaA,omitempty"`
}

// MachineType is one type the cloud rents.
type MachineType struct {
	Name      string   `json:"Label"`
	CPUs      float64  `json:"Vcpus"`
	GPUs      float64  `json:"Accelerators"`
	MemoryGB  float64  `json:"MemoryGb"`
	CacheGB   float64  `json:"LocalGb"`
	FetchGBs  float64  `json:"FetchGbPerS"`
	Price     float64  `json:"Price"`
	SpotPrice float64  `json:"MarketPrice"`
	BootS     float64  `json:"BootS"`
	Zones     []string `json:"Zonas"`
}

// Catalog lists the machine types.
type Catalog struct {
	Types []MachineType `json:"Tipos"`
}

// LaunchRequest asks the cloud for machines.
type LaunchRequest struct {
	Name  string `json:"Pedido"`
	Type  string `json:"Tipo"`
	Zone  string `json:"Zona"`
	Spot  bool   `json:"Prestadas"`
	Count int    `json:"HowMany"`
}

// InstanceNames lists machines by name.
type InstanceNames struct {
	Machines []string `json:"Maquinas"`
}

// Instance is one machine in the cloud's list.
type Instance struct {
	ID      string        `json:"Id"`
	Address string        `json:"Endpoint"`
	Type    string        `json:"Tipo"`
	Zone    string        `json:"Zona"`
	Spot    bool          `json:"Prestadas"`
	State   InstanceState `json:"Estado"`
	AgeS    float64       `json:"AgeS"`
}

// InstancePage is a page of the cloud's list.
type InstancePage struct {
	Instances []Instance `json:"Maquinas"`
	More      bool       `json:"Truncated"`
}

// KeyValue is a key of the state service.
type KeyValue struct {
	Key     string         `json:"K"`
	Value   jsontext.Value `json:"Data"`
	Version uint64         `json:"Edicion"`
}

// KeyValuePage is a page of keys.
type KeyValuePage struct {
	Pairs    []KeyValue `json:"Pairs"`
	More     bool       `json:"Truncated"`
	Revision uint64     `json:"Revision"`
}

// Compare is a condition of a transaction.
type Compare struct {
	Key     string `json:"K"`
	Version uint64 `json:"Edicion"`
}

// Write is a put or a delete in a transaction.
type Write struct {
	Put    string         `json:"Write,omitempty"`
	Value  jsontext.Value `json:"Data,omitempty"`
	Lease  uint64         `json:"Arriendo,omitzero"`
	Delete string         `json:"Drop,omitempty"`
}

// Transaction is a conditional transaction.
type Transaction struct {
	Compares []Compare `json:"Guards"`
	Writes   []Write   `json:"Writes,omitempty"`
}

// TransactionResult answers a transaction.
type TransactionResult struct {
	Revision   uint64   `json:"Revision"`
	FailedKeys []string `json:"failed"`
	Error      string   `json:"error"`
}

// Event is one change in a follow's log.
type Event struct {
	Put     string         `json:"Write"`
	Value   jsontext.Value `json:"Data"`
	Delete  string         `json:"Drop"`
	Version uint64         `json:"Edicion"`
}

// WatchResponse answers a watch.
type WatchResponse struct {
	Revision uint64  `json:"Revision"`
	Events   []Event `json:"Log"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMs int64 `json:"TtlMs"`
}

// LeaseResponse answers with the lease.
type LeaseResponse struct {
	Lease uint64 `json:"Arriendo"`
}
