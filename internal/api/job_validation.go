package api

import (
	"errors"
	"fmt"
	"math"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// Limits on a submission's fields. The reasons in FieldError repeat them as text.
const (
	maxTasks     = 100_000
	maxTypes     = 100
	maxTextBytes = 200
	maxAmount    = 1e9 // in the unit of the field
)

// Errors for a body as a whole.
var (
	errBodyTooLarge = errors.New("body over 64 KiB")
	errNotObject    = errors.New("not a JSON object")
)

// Reasons that several fields share.
const (
	reasonMissing   = "is missing"
	reasonTextBytes = "must have 1 to 200 bytes"
	reasonAmount    = "must be between 0 and 1e9"
)

// FieldError reports a field of a submission that is missing or not valid. Users see its
// text.
type FieldError struct {
	Field  string // the field's name in JSON
	Value  any    // the value that was sent; nil if the field is missing
	Reason string
}

func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Reason) }

// submission is a job as users send it. Its pointers are nil for fields that are missing or
// null.
type submission struct {
	ID                  *string   `json:"Id"`
	Class               *string   `json:"Clase"`
	Team                *string   `json:"Dueno"`
	Kind                *string   `json:"Forma"`
	Priority            *string   `json:"Prelacion"`
	Tasks               *int      `json:"Tareas"`
	CPUs                *float64  `json:"Vcpus"`
	GPUs                *float64  `json:"Accelerators"`
	MemoryGB            *float64  `json:"MemoryGb"`
	Image               *string   `json:"Imagen"`
	ImageGB             *float64  `json:"SizeGb"`
	Types               *[]string `json:"Tipos"`
	Zone                *string   `json:"Zona"`
	OneZone             *bool     `json:"Together"`
	Spread              *bool     `json:"Apart"`
	Spot                *bool     `json:"Prestadas"`
	EstimateS           *float64  `json:"EstimadoS"`
	CheckpointIntervalS *float64  `json:"RespaldoS"`
	CheckpointSaveS     *float64  `json:"GuardadoS"`
	DeadlineS           *float64  `json:"PlazoS"`
	Dependencies        []string  `json:"Espera"`
}

// ParseJob decodes and validates a submission. For fields that are missing or not valid it
// returns a *FieldError about the first of them, in the order of the struct's fields. It
// ignores unknown fields.
func ParseJob(body []byte) (*Job, error) {
	if len(body) > MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	if jsontext.Value(body).Kind() != jsontext.KindBeginObject {
		return nil, errNotObject
	}
	var submitted submission
	if err := json.Unmarshal(body, &submitted); err != nil {
		return nil, fmt.Errorf("not a valid job: %w", err)
	}
	job, checker := &Job{}, &fieldChecker{}
	checker.identity(&submitted, job)
	checker.requirements(&submitted, job)
	checker.times(&submitted, job)
	job.Dependencies = checker.dependencies("Espera", submitted.Dependencies)
	if checker.err != nil {
		return nil, checker.err
	}
	return job, nil
}

// fieldChecker keeps the first error among the fields that it checks. Its methods for single
// fields return the field's value if it is valid; otherwise only err counts.
type fieldChecker struct{ err error }

// identity checks the fields that say whose job it is and of what kind, and copies them to job.
func (c *fieldChecker) identity(submitted *submission, job *Job) {
	job.ID = c.id("Id", submitted.ID)
	job.Class = c.text("Clase", submitted.Class)
	job.Team = c.text("Dueno", submitted.Team)
	job.Kind = c.kind("Forma", submitted.Kind)
	job.Priority = c.priority("Prelacion", submitted.Priority)
	job.Tasks = c.tasks("Tareas", submitted.Tasks)
}

// requirements checks the fields that say which resources a task needs and where it may run,
// and copies them to job.
func (c *fieldChecker) requirements(submitted *submission, job *Job) {
	job.CPUs = c.amount("Vcpus", submitted.CPUs)
	job.GPUs = c.amount("Accelerators", submitted.GPUs)
	job.MemoryGB = c.amount("MemoryGb", submitted.MemoryGB)
	job.Image = c.text("Imagen", submitted.Image)
	job.ImageGB = c.amount("SizeGb", submitted.ImageGB)
	job.Types = c.types("Tipos", submitted.Types)
	if submitted.Zone != nil {
		job.Zone = c.text("Zona", submitted.Zone)
	}
	job.OneZone = c.flag("Together", submitted.OneZone)
	job.Spread = c.flag("Apart", submitted.Spread)
	job.Spot = c.flag("Prestadas", submitted.Spot)
}

// times checks the estimated run time, the times of checkpoints and the deadline, and copies
// them to job.
func (c *fieldChecker) times(submitted *submission, job *Job) {
	job.EstimateS = c.amount("EstimadoS", submitted.EstimateS)
	job.CheckpointIntervalS = c.amount("RespaldoS", submitted.CheckpointIntervalS)
	job.CheckpointSaveS = c.amount("GuardadoS", submitted.CheckpointSaveS)
	if submitted.DeadlineS != nil {
		job.DeadlineS = c.amount("PlazoS", submitted.DeadlineS)
	}
}

// fail sets the error, unless an earlier field has set it.
func (c *fieldChecker) fail(field string, value any, reason string) {
	if c.err == nil {
		c.err = &FieldError{Field: field, Value: value, Reason: reason}
	}
}

// text returns a text field.
func (c *fieldChecker) text(field string, value *string) string {
	switch {
	case value == nil:
		c.fail(field, nil, reasonMissing)
	case *value == "" || len(*value) > maxTextBytes:
		c.fail(field, *value, reasonTextBytes)
	default:
		return *value
	}
	return ""
}

// id returns a job id.
func (c *fieldChecker) id(field string, value *string) string {
	id := c.text(field, value)
	if !ValidJobID(id) {
		c.fail(field, id, "must look like wk-000412")
	}
	return id
}

func (c *fieldChecker) kind(field string, value *string) JobKind {
	kind := JobKind(c.text(field, value))
	if !kind.valid() {
		c.fail(field, kind, "must be array, group or daemon")
	}
	return kind
}

func (c *fieldChecker) priority(field string, value *string) Priority {
	priority := Priority(c.text(field, value))
	if priority.Tier() == 0 {
		c.fail(field, priority, "must be production, urgent, standard or best_effort")
	}
	return priority
}

// tasks returns the number of a job's tasks.
func (c *fieldChecker) tasks(field string, value *int) int {
	switch {
	case value == nil:
		c.fail(field, nil, reasonMissing)
	case *value < 1 || *value > maxTasks:
		c.fail(field, *value, "must be between 1 and 100000")
	default:
		return *value
	}
	return 0
}

// amount returns an amount or a time in seconds.
func (c *fieldChecker) amount(field string, value *float64) float64 {
	switch {
	case value == nil:
		c.fail(field, nil, reasonMissing)
	case !(*value >= 0) || math.IsInf(*value, 0) || *value > maxAmount: // also rejects NaN
		c.fail(field, *value, reasonAmount)
	default:
		return *value
	}
	return 0
}

// flag returns a Boolean field.
func (c *fieldChecker) flag(field string, value *bool) bool {
	if value == nil {
		c.fail(field, nil, reasonMissing)
		return false
	}
	return *value
}

// types returns the machine types that a job may use; nil means any.
func (c *fieldChecker) types(field string, value *[]string) []string {
	switch {
	case value == nil:
		return nil
	case *value == nil:
		return []string{}
	case len(*value) > maxTypes:
		c.fail(field, *value, "names more than 100 types")
	}
	return *value
}

// dependencies returns the ids of the jobs that a job waits for, without duplicates. Each must
// have the format of a job id.
func (c *fieldChecker) dependencies(field string, ids []string) []string {
	var dependencies []string
	seen := map[string]bool{}
	for _, id := range ids {
		if !ValidJobID(id) {
			c.fail(field, id, fmt.Sprintf("%.40q does not look like wk-000412", id))
		}
		if !seen[id] {
			seen[id] = true
			dependencies = append(dependencies, id)
		}
	}
	return dependencies
}
