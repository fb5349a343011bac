package api

import (
	"regexp"

	"github.com/go-json-experiment/json"
)

// JobKind is how a job's tasks belong together.
type JobKind string

// Kinds of jobs, with the protocol's words.
const (
	Array   JobKind = "array"  // tasks that run one by one
	Gang    JobKind = "group"  // tasks that run all at once
	Service JobKind = "daemon" // tasks that run until the job is cancelled
)

// valid tells whether there is such a kind.
func (k JobKind) valid() bool { return k == Array || k == Gang || k == Service }

// JobState is a job's state as users see it.
type JobState string

// States of jobs, with the protocol's words.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "withdrawn"
)

// Priority is how important a job is to its owner.
type Priority string

// Priorities, lowest first.
const (
	PriorityBestEffort Priority = "best_effort"
	PriorityStandard   Priority = "standard"
	PriorityUrgent     Priority = "urgent"
	PriorityProduction Priority = "production"
)

// Tiers of the priorities.
const (
	tierBestEffort = 1
	tierStandard   = 4
	tierUrgent     = 7
	tierProduction = 10
)

// tiers are the tiers of the priorities that there are.
var tiers = map[Priority]int{
	PriorityBestEffort: tierBestEffort,
	PriorityStandard:   tierStandard,
	PriorityUrgent:     tierUrgent,
	PriorityProduction: tierProduction,
}

// Tier is the priority's tier, from 1 to 10; 0: there is no such priority.
func (p Priority) Tier() int { return tiers[p] }

// Job is a submitted job. It is recorded in the key-value store in this form too.
type Job struct {
	ID                  string   `json:"Id"`
	Class               string   `json:"Clase"`
	Team                string   `json:"Dueno"`
	Kind                JobKind  `json:"Forma"`
	Priority            Priority `json:"Prelacion"`
	Tasks               int      `json:"Tareas"`
	CPUs                float64  `json:"Vcpus"` // of each task, as are GPUs and memory
	GPUs                float64  `json:"Accelerators"`
	MemoryGB            float64  `json:"MemoryGb"`
	Image               string   `json:"Imagen"`
	ImageGB             float64  `json:"SizeGb"`
	Types               []string `json:"Tipos,omitzero"` // nil: any; in JSON absent, never []
	Zone                string   `json:"Zona"`           // "": any
	OneZone             bool     `json:"Together"`
	Spread              bool     `json:"Apart"`
	Spot                bool     `json:"Prestadas"`
	EstimateS           float64  `json:"EstimadoS"`
	CheckpointIntervalS float64  `json:"RespaldoS"`
	CheckpointSaveS     float64  `json:"GuardadoS"`
	DeadlineS           float64  `json:"PlazoS"`          // 0: none
	Dependencies        []string `json:"Espera,omitzero"` // jobs that must be done first, each named once
}

var idForm = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidID tells whether id has the form of a job's id.
func ValidID(id string) bool { return idForm.MatchString(id) }

// JobID reads only the id out of a body; "" where there is no valid one.
func JobID(body []byte) string {
	var submitted struct {
		ID string `json:"Id"`
	}
	if json.Unmarshal(body, &submitted) != nil || !ValidID(submitted.ID) {
		return ""
	}
	return submitted.ID
}

// JobStatus answers users' questions about a job.
type JobStatus struct {
	ID      string   `json:"Id"`
	State   JobState `json:"Estado"`
	Done    *int     `json:"done,omitempty"`    // tasks that are done
	Running *int     `json:"running,omitempty"` // tasks that run
}
