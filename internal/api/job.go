package api

import (
	"regexp"

	"github.com/go-json-experiment/json"
)

// JobKind says how a job's tasks run together.
type JobKind string

// Kinds of jobs; the values are the protocol's.
const (
	KindArray   JobKind = "array"  // tasks that run independently of each other
	KindGang    JobKind = "group"  // tasks that must all run at the same time
	KindService JobKind = "daemon" // tasks that run until the job is cancelled
)

func (k JobKind) valid() bool { return k == KindArray || k == KindGang || k == KindService }

// JobState is a job's state as users see it.
type JobState string

// States of jobs; the values are the protocol's.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "withdrawn"
)

// Priority is the importance that a user gives to a job.
type Priority string

// Priorities, lowest first; the values are the protocol's.
const (
	PriorityBestEffort Priority = "best_effort"
	PriorityStandard   Priority = "standard"
	PriorityUrgent     Priority = "urgent"
	PriorityProduction Priority = "production"
)

// Tiers of the priorities, on a scale from 1 to 10.
const (
	tierBestEffort = 1
	tierStandard   = 4
	tierUrgent     = 7
	tierProduction = 10
)

// tiers has an entry for each valid priority.
var tiers = map[Priority]int{
	PriorityBestEffort: tierBestEffort,
	PriorityStandard:   tierStandard,
	PriorityUrgent:     tierUrgent,
	PriorityProduction: tierProduction,
}

// Tier returns the priority's tier, from 1 to 10, or 0 if the priority is not valid.
func (p Priority) Tier() int { return tiers[p] }

// Job is a submitted job. The key-value store holds it in the same JSON.
type Job struct {
	ID                  string   `json:"Id"`
	Class               string   `json:"Clase"`
	Team                string   `json:"Dueno"`
	Kind                JobKind  `json:"Forma"`
	Priority            Priority `json:"Prelacion"`
	Tasks               int      `json:"Tareas"`
	CPUs                float64  `json:"Vcpus"` // for each task, like GPUs and MemoryGB
	GPUs                float64  `json:"Accelerators"`
	MemoryGB            float64  `json:"MemoryGb"`
	Image               string   `json:"Imagen"`
	ImageGB             float64  `json:"SizeGb"`
	Types               []string `json:"Tipos,omitzero"` // machine types; nil: any, which JSON leaves out; empty: none
	Zone                string   `json:"Zona"`           // "": any
	OneZone             bool     `json:"Together"`       // all tasks run in the same zone
	Spread              bool     `json:"Apart"`          // the tasks are spread evenly over the zones
	Spot                bool     `json:"Prestadas"`      // tasks may run on spot instances
	EstimateS           float64  `json:"EstimadoS"`
	CheckpointIntervalS float64  `json:"RespaldoS"`
	CheckpointSaveS     float64  `json:"GuardadoS"`
	DeadlineS           float64  `json:"PlazoS"`          // 0: none
	Dependencies        []string `json:"Espera,omitzero"` // ids of jobs that must be done first, without duplicates
}

var jobIDPattern = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidJobID reports whether id has the format of a job id.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// ParseJobID returns the job id of a submission that ParseJob may reject, or "" if the body
// has no valid id.
func ParseJobID(body []byte) string {
	var submitted struct {
		ID string `json:"Id"`
	}
	if json.Unmarshal(body, &submitted) != nil || !ValidJobID(submitted.ID) {
		return ""
	}
	return submitted.ID
}

// JobStatus is the answer to users' requests about a job.
type JobStatus struct {
	ID      string   `json:"Id"`
	State   JobState `json:"Estado"`
	Done    *int     `json:"done,omitempty"`    // number of tasks that are done; nil: left out
	Running *int     `json:"running,omitempty"` // number of running tasks; nil: left out
}
