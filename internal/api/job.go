package api

import (
	"errors"
	"fmt"
	"math"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// Bounds of a submission's fields.
const (
	maxTasks  = 100_000
	maxTypes  = 100
	maxText   = 200
	maxAmount = 1e9
)

type rawJob struct {
	ID          *string   `json:"Id"`
	Class       *string   `json:"Clase"`
	Team        *string   `json:"Dueno"`
	Kind        *JobKind  `json:"Forma"`
	Priority    *Priority `json:"Prelacion"`
	Tasks       *int      `json:"Tareas"`
	CPUs        *float64  `json:"Vcpus"`
	GPUs        *float64  `json:"Accelerators"`
	MemoryGB    *float64  `json:"MemoryGb"`
	Image       *string   `json:"Imagen"`
	ImageGB     *float64  `json:"SizeGb"`
	Types       *[]string `json:"Tipos"`
	Zone        *string   `json:"Zona"`
	OneZone     *bool     `json:"Together"`
	Spread      *bool     `json:"Apart"`
	Spot        *bool     `json:"Prestadas"`
	EstimateS   *float64  `json:"EstimadoS"`
	CheckpointS *float64  `json:"RespaldoS"`
	SaveS       *float64  `json:"GuardadoS"`
	DeadlineS   *float64  `json:"PlazoS"`
	Needs       []string  `json:"Espera"`
}

// ParseJob reads and checks a submission.
func ParseJob(body []byte) (*Job, error) {
	if len(body) > MaxBody {
		return nil, errors.New("body over 64 KiB")
	}
	if k := jsontext.Value(body).Kind(); k != '{' {
		return nil, errors.New("not a JSON object")
	}
	var r rawJob
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("not a valid job: %w", err)
	}
	j, check := &Job{}, &fieldCheck{}
	check.identity(&r, j)
	check.placement(&r, j)
	check.timing(&r, j)
	check.needs(r.Needs, j)
	if check.err != nil {
		return nil, check.err
	}
	return j, nil
}

// fieldCheck copies fields that are valid and keeps the first error.
type fieldCheck struct{ err error }

// identity checks who sends what kind of job.
func (c *fieldCheck) identity(r *rawJob, j *Job) {
	text(c, "Id", r.ID, &j.ID)
	if c.err == nil && !ValidID(j.ID) {
		c.fail("Id", "must look like wk-000412")
	}
	text(c, "Clase", r.Class, &j.Class)
	text(c, "Dueno", r.Team, &j.Team)
	text(c, "Forma", r.Kind, &j.Kind)
	if c.err == nil && j.Kind != Array && j.Kind != Gang && j.Kind != Service {
		c.fail("Forma", "must be array, group or daemon")
	}
	text(c, "Prelacion", r.Priority, &j.Priority)
	if c.err == nil && j.Priority.Tier() == 0 {
		c.fail("Prelacion", "must be production, urgent, standard or best_effort")
	}
	switch {
	case r.Tasks == nil:
		c.fail("Tareas", "is missing")
	case *r.Tasks < 1 || *r.Tasks > maxTasks:
		c.fail("Tareas", "must be between 1 and 100000")
	default:
		j.Tasks = *r.Tasks
	}
}

// placement checks what a task takes and where it may run.
func (c *fieldCheck) placement(r *rawJob, j *Job) {
	c.amount("Vcpus", r.CPUs, &j.CPUs)
	c.amount("Accelerators", r.GPUs, &j.GPUs)
	c.amount("MemoryGb", r.MemoryGB, &j.MemoryGB)
	text(c, "Imagen", r.Image, &j.Image)
	c.amount("SizeGb", r.ImageGB, &j.ImageGB)
	if r.Types != nil {
		if len(*r.Types) > maxTypes {
			c.fail("Tipos", "names more than 100 types")
		}
		j.Types = *r.Types
		if j.Types == nil {
			j.Types = []string{}
		}
	}
	if r.Zone != nil {
		text(c, "Zona", r.Zone, &j.Zone)
	}
	c.flag("Together", r.OneZone, &j.OneZone)
	c.flag("Apart", r.Spread, &j.Spread)
	c.flag("Prestadas", r.Spot, &j.Spot)
}

// timing checks run time, checkpoints and deadline.
func (c *fieldCheck) timing(r *rawJob, j *Job) {
	c.amount("EstimadoS", r.EstimateS, &j.EstimateS)
	c.amount("RespaldoS", r.CheckpointS, &j.CheckpointIntervalS)
	c.amount("GuardadoS", r.SaveS, &j.CheckpointSaveS)
	if r.DeadlineS != nil {
		c.amount("PlazoS", r.DeadlineS, &j.DeadlineS)
	}
}

// needs checks the jobs that this one waits for; each counts once.
func (c *fieldCheck) needs(ids []string, j *Job) {
	named := map[string]bool{}
	for _, id := range ids {
		if !ValidID(id) {
			c.fail("Espera", fmt.Sprintf("%.40q does not look like wk-000412", id))
		}
		if !named[id] {
			named[id] = true
			j.Dependencies = append(j.Dependencies, id)
		}
	}
}

func (c *fieldCheck) fail(field, why string) {
	if c.err == nil {
		c.err = fmt.Errorf("field %s: %s", field, why)
	}
}

// text copies a field of text.
func text[T ~string](c *fieldCheck, field string, from, to *T) {
	switch {
	case from == nil:
		c.fail(field, "is missing")
	case *from == "" || len(*from) > maxText:
		c.fail(field, "must have 1 to 200 bytes")
	default:
		*to = *from
	}
}

func (c *fieldCheck) amount(field string, from, to *float64) {
	switch {
	case from == nil:
		c.fail(field, "is missing")
	case !(*from >= 0) || math.IsInf(*from, 0) || *from > maxAmount:
		c.fail(field, "must be between 0 and 1e9")
	default:
		*to = *from
	}
}

func (c *fieldCheck) flag(field string, from, to *bool) {
	if from == nil {
		c.fail(field, "is missing")
		return
	}
	*to = *from
}
