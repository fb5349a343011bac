package settings

import (
	"fmt"
	"strings"

	"spurmoor/internal/leadership"
)

// Bounds of queue_jobs if it is not 0.
const (
	minQueueJobs = 10
	maxQueueJobs = 1_000_000
)

// validate returns a *FieldError for the first key that is not valid.
func (o *Operators) validate() error {
	return firstError(
		o.validateRanges(),
		o.validateQueueJobs(),
		o.Duties.validate(),
		o.validatePartitions(),
	)
}

// validateRanges checks the numbers that have a minimum and a maximum.
func (o *Operators) validateRanges() error {
	for _, setting := range []struct {
		key       string
		value     float64
		low, high float64
	}{
		{"parts", float64(o.Parts), 0, 64},
		{"cycle_s", o.CycleS, 0.5, 60},
		{"reference_wait_s", o.ReferenceWaitS, 1, 86400},
		{"idle_return_s", o.IdleReturnS, 0, 86400},
		{"silent_s", o.SilentS, 5, 600},
		{"hold_ttl_s", o.HoldTTLS, 2, 60},
		{"refusal_memory_s", o.RefusalS, 1, 600},
		{"late_penalty", o.LatePenalty, 0, 10},
		{"large_penalty", o.LargePenalty, 0, 10},
		{"price_ceiling", o.PriceCeiling, 1, 1000},
		{"idle_price_ceiling", o.IdlePriceCeiling, 1, 1000},
		{"ceiling_growth_s", o.CeilingGrowthS, 1, 86400},
		{"begin_within_s", o.BeginWithinS, 1, 86400},
		{"weights.priority", o.Weights.Priority, 0, 1},
		{"weights.wait", o.Weights.Wait, 0, 1},
		{"weights.deficit", o.Weights.Deficit, 0, 1},
		{"weights.zone_fit", o.Weights.ZoneFit, 0, 1},
		{"weights.readiness", o.Weights.Readiness, 0, 1},
		{"weights.backlog", o.Weights.Backlog, 0, 1},
	} {
		if err := inRange(setting.key, setting.value, setting.low, setting.high); err != nil {
			return err
		}
	}
	return nil
}

// validateQueueJobs checks the limit on unfinished jobs; 0 means that none is set.
func (o *Operators) validateQueueJobs() error {
	jobs := o.QueueJobs
	if jobs == 0 || jobs >= minQueueJobs && jobs <= maxQueueJobs {
		return nil
	}
	allowed := fmt.Sprintf("%d to %d, or 0 for as many as memory holds", minQueueJobs, maxQueueJobs)
	return newFieldError("queue_jobs", jobs, allowed, "queue_jobs = %v is out of range %s", jobs, allowed)
}

// validatePartitions rejects a single partition, which the range of parts does not
// exclude because 0 is allowed.
func (o *Operators) validatePartitions() error {
	if o.Parts == 0 || o.Parts >= minPartitions {
		return nil
	}
	const allowed = "at least two, or 0 for one per controller"
	return newFieldError("parts", o.Parts, allowed, "parts = %d is out of range: %s", o.Parts, allowed)
}

// exclusiveKey is the key of Duties.Exclusive.
const exclusiveKey = "duties.exclusive"

// validate checks that each name is that of a fleet role and appears once, and that the
// instance sweeper is exclusive only together with the orphan adopter. With one sweeper
// but several adopters, every controller would adopt the instances that the sweeper finds.
func (d *Duties) validate() error {
	seen := map[string]bool{}
	for _, name := range d.Exclusive {
		if err := validateRoleName(name, seen); err != nil {
			return err
		}
		seen[name] = true
	}
	sweeper, adopter := leadership.InstanceSweeper, leadership.OrphanAdopter
	if !seen[sweeper.String()] || seen[adopter.String()] {
		return nil
	}
	allowed := fmt.Sprintf("%q beside it or neither", adopter)
	return newFieldError(exclusiveKey, d.Exclusive, allowed,
		"duties.exclusive = %q without %q: every controller would adopt what the one finds; allowed is %s", sweeper, adopter, allowed)
}

// validateRoleName checks that a name is that of a fleet role and not in seen.
func validateRoleName(name string, seen map[string]bool) error {
	names := strings.Join(leadership.FleetRoleNames(), ", ")
	if _, err := leadership.ParseFleetRole(name); err != nil {
		return &FieldError{
			Field: exclusiveKey, Value: name, Allowed: names, Cause: err,
			text: fmt.Sprintf("duties.exclusive = %q: %v", name, err),
		}
	}
	if !seen[name] {
		return nil
	}
	allowed := fmt.Sprintf("each of %s once", names)
	return newFieldError(exclusiveKey, name, allowed, "duties.exclusive = %q is given twice; allowed is %s", name, allowed)
}
