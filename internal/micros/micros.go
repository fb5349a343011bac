// Package micros defines the unit of all times in this program: whole microseconds. A
// Micros is either an instant, counted from the start of 1970 by a controller's own steady
// clock, or a span between two instants. The difference of two instants is a span.
package micros

import "math/rand/v2"

// Micros is an instant or a span in whole microseconds.
type Micros int64

// Common spans.
const (
	Microsecond Micros = 1
	Millisecond        = 1000 * Microsecond
	Second             = 1000 * Millisecond
)

// FromSeconds converts a number of seconds to a span, rounded towards zero.
func FromSeconds(seconds float64) Micros { return Micros(seconds * float64(Second)) }

// FromMilliseconds converts a number of milliseconds to a span.
func FromMilliseconds(milliseconds int) Micros { return Micros(milliseconds) * Millisecond }

// Seconds returns a span in seconds, with fractions.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }

// WholeSeconds returns a span in whole seconds, rounded towards zero.
func (m Micros) WholeSeconds() int64 { return int64(m / Second) }

// Milliseconds returns a span in whole milliseconds, rounded towards zero.
func (m Micros) Milliseconds() int64 { return int64(m / Millisecond) }

// Random returns a random span from zero to just below limit. It panics unless limit is
// positive.
func Random(random *rand.Rand, limit Micros) Micros {
	return Micros(random.Int64N(int64(limit)))
}
