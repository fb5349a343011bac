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

// Operators holds what operators may tune; docs/operations.md lists it. Times are in
// seconds. The names of the fields are part of the errors that operators read: those of
// values of a wrong type.
type Operators struct {
	Parts          int     `toml:"parts"`            // 0: one per controller, at least two
	CycleS         float64 `toml:"cycle_s"`          // a scheduling cycle at least this often
	ReferenceWaitS float64 `toml:"reference_wait_s"` // a wait that counts log 2 in a job's score
	IdleReturnS    float64 `toml:"idle_return_s"`    // idle time after which a machine is returned
	SilentS        float64 `toml:"silent_s"`         // time without heartbeats after which a machine is lost
	HoldTTLS       float64 `toml:"hold_ttl_s"`       // of a controller's lease in the key-value store
	RefusalS       float64 `toml:"refusal_memory_s"` // how long what the cloud refused is not requested again
	QueueJobs      int     `toml:"queue_jobs"`       // 0: as many as memory holds
	LatePenalty    float64 `toml:"late_penalty"`     // off the score of a job whose objectives are all out of reach
	LargePenalty   float64 `toml:"large_penalty"`    // off the score of an array that asks for much, in a backlog
	PriceCeiling   float64 `toml:"price_ceiling"`    // times the cheapest machine type that a job may use
	// IdlePriceCeiling is PriceCeiling for idle-time work.
	IdlePriceCeiling float64 `toml:"idle_price_ceiling"`
	CeilingGrowthS   float64 `toml:"ceiling_growth_s"` // wait after which the ceilings have doubled
	BeginWithinS     float64 `toml:"begin_within_s"`   // every job should have begun by then
	Weights          Weights `toml:"weights"`
	Duties           Duties  `toml:"duties"`
}

// Weights weigh the terms of a job's score, each from 0 to 1; docs/design.md has the
// terms.
type Weights struct {
	Priority  float64 `toml:"priority"`
	Wait      float64 `toml:"wait"`
	Deficit   float64 `toml:"deficit"`
	ZoneFit   float64 `toml:"zone_fit"`
	Readiness float64 `toml:"readiness"`
	Backlog   float64 `toml:"backlog"`
}

// Duties holds which of the fleet's roles have one leader at a time, and whether
// requests for machines are recorded before they are sent.
type Duties struct {
	Exclusive     []string `toml:"exclusive"`
	RecordRentals bool     `toml:"record_rentals"`
}

// IsExclusive tells whether a role has one leader at a time.
func (r *Duties) IsExclusive(role leadership.Role) bool {
	return slices.Contains(r.Exclusive, role.String())
}

// Values where the operators set nothing; docs/operations.md lists them.
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

// Defaults returns the operators' settings where nothing is set.
func Defaults() Operators {
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

// ParseOperators reads the operators' TOML over the defaults. Unlike in the
// platform's settings, a key that is not known is an error: it is misspelt, and what was
// meant by it would not hold. Errors are *FieldError, but for those of the syntax.
func ParseOperators(text []byte) (Operators, error) {
	operators := Defaults()
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&operators); err != nil {
		return operators, decodeError(err)
	}
	return operators, operators.validate()
}

// decodeError names the key at fault in an error of the TOML package, which leaves it
// out. An error of the syntax has none.
func decodeError(err error) error {
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
