package settings

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"spurmoor/internal/leadership"
)

// Operators holds the operators' settings; docs/operations.md lists them. Times are in
// seconds. If a value has the wrong type, the error that operators read contains the
// name of the Go field.
type Operators struct {
	Parts          int     `toml:"parts"`            // number of partitions; 0: one per controller, at least two
	CycleS         float64 `toml:"cycle_s"`          // maximum time between two scheduling cycles, unless many machines or jobs need longer
	ReferenceWaitS float64 `toml:"reference_wait_s"` // wait at which the wait term of a job's score is ln 2
	IdleReturnS    float64 `toml:"idle_return_s"`    // idle time after which a machine is returned
	SilentS        float64 `toml:"silent_s"`         // time without heartbeats after which a machine counts as failed
	HoldTTLS       float64 `toml:"hold_ttl_s"`       // time to live of a controller's lease in the key-value store
	RefusalS       float64 `toml:"refusal_memory_s"` // time for which an instance kind that the cloud refused is not requested again
	QueueJobs      int     `toml:"queue_jobs"`       // maximum number of unfinished jobs; 0: as many as memory holds
	LatePenalty    float64 `toml:"late_penalty"`     // subtracted from the score of a job that can meet none of its objectives
	LargePenalty   float64 `toml:"large_penalty"`    // subtracted from the score of a large array while there is a backlog
	// PriceCeiling is the maximum price per task for a job that has not waited yet, as a
	// multiple of that of the cheapest instance kind that the job may use.
	PriceCeiling float64 `toml:"price_ceiling"`
	// IdlePriceCeiling is PriceCeiling for idle-time work.
	IdlePriceCeiling float64 `toml:"idle_price_ceiling"`
	CeilingGrowthS   float64 `toml:"ceiling_growth_s"` // wait after which both price ceilings have doubled
	BeginWithinS     float64 `toml:"begin_within_s"`   // time within which every job should have begun
	Weights          Weights `toml:"weights"`
	Duties           Duties  `toml:"duties"`
}

// Weights holds the weights of the terms of a job's score, each from 0 to 1.
// docs/design.md describes the terms.
type Weights struct {
	Priority  float64 `toml:"priority"`
	Wait      float64 `toml:"wait"`
	Deficit   float64 `toml:"deficit"`
	ZoneFit   float64 `toml:"zone_fit"`
	Readiness float64 `toml:"readiness"`
	Backlog   float64 `toml:"backlog"`
}

// Duties holds the names of the fleet roles that only one controller leads at a time, and
// whether requests for machines are recorded before they are sent.
type Duties struct {
	Exclusive     []string `toml:"exclusive"`
	RecordRentals bool     `toml:"record_rentals"`
}

// IsExclusive reports whether the operators want a fleet role to have one leader at a
// time.
func (d *Duties) IsExclusive(role leadership.Role) bool {
	return slices.Contains(d.Exclusive, role.String())
}

// Values of settings that the operators leave out; docs/operations.md lists them.
const (
	defaultCycleIntervalS   = 5
	defaultReferenceWaitS   = 60
	defaultIdleReturnS      = 15
	defaultSilenceS         = 12
	defaultLeaseTTLS        = 6
	defaultRefusalMemoryS   = 15
	defaultLatePenalty      = 0.6
	defaultLargePenalty     = 1.2
	defaultPriceCeiling     = 2.5
	defaultIdlePriceCeiling = 1.5
	defaultCeilingGrowthS   = 900
	defaultBeginWithinS     = 240

	defaultPriorityWeight  = 0.20
	defaultWaitWeight      = 0.20
	defaultDeficitWeight   = 0.20
	defaultZoneFitWeight   = 0.15
	defaultReadinessWeight = 0.10
	defaultBacklogWeight   = 0.05
)

// DefaultOperators returns the settings that hold if the operators set nothing.
func DefaultOperators() Operators {
	return Operators{
		CycleS:           defaultCycleIntervalS,
		ReferenceWaitS:   defaultReferenceWaitS,
		IdleReturnS:      defaultIdleReturnS,
		SilentS:          defaultSilenceS,
		HoldTTLS:         defaultLeaseTTLS,
		RefusalS:         defaultRefusalMemoryS,
		LatePenalty:      defaultLatePenalty,
		LargePenalty:     defaultLargePenalty,
		PriceCeiling:     defaultPriceCeiling,
		IdlePriceCeiling: defaultIdlePriceCeiling,
		CeilingGrowthS:   defaultCeilingGrowthS,
		BeginWithinS:     defaultBeginWithinS,
		Weights: Weights{
			Priority:  defaultPriorityWeight,
			Wait:      defaultWaitWeight,
			Deficit:   defaultDeficitWeight,
			ZoneFit:   defaultZoneFitWeight,
			Readiness: defaultReadinessWeight,
			Backlog:   defaultBacklogWeight,
		},
	}
}

// ParseOperators parses the operators' TOML; keys that are left out keep their defaults.
// Unlike in the platform's settings, an unknown key is an error: it is probably misspelt,
// and the setting that was meant would silently have no effect. Except for syntax errors,
// errors are *FieldError.
func ParseOperators(text []byte) (Operators, error) {
	operators := DefaultOperators()
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&operators); err != nil {
		return operators, wrapDecodeError(err)
	}
	return operators, operators.validate()
}

// wrapDecodeError adds the key to an error of the TOML package, whose text leaves it out.
// Syntax errors have no key and are returned unchanged.
func wrapDecodeError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		key := strings.Join(unknown.Errors[0].Key(), ".")
		return &FieldError{Field: key, Allowed: "no such key", Cause: err, text: "unknown key " + key}
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) && len(wrong.Key()) > 0 {
		key := strings.Join(wrong.Key(), ".")
		return &FieldError{Field: key, Allowed: "a value of the key's type", Cause: err, text: fmt.Sprintf("key %s: %v", key, err)}
	}
	return err
}
