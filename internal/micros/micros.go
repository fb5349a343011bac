// Package micros gives the one unit that all times are in: whole microseconds. A Micros
// is an instant, counted from the start of 1970 by a controller's own steady clock, or
// a span between two instants; as with integers, the difference of two instants is a
// span.
package micros

import "math/rand/v2"

// Micros is an instant or a span in whole microseconds.
type Micros int64

// Spans.
const (
	Microsecond Micros = 1
	Millisecond        = 1000 * Microsecond
	Second             = 1000 * Millisecond
)

// FromSeconds gives a span of so many seconds, rounded towards zero.
func FromSeconds(seconds float64) Micros { return Micros(seconds * float64(Second)) }

// FromMilliseconds gives a span of so many milliseconds.
func FromMilliseconds(milliseconds int) Micros { return Micros(milliseconds) * Millisecond }

// Seconds gives a span in seconds.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }

// WholeSeconds gives how many whole seconds a span holds.
func (m Micros) WholeSeconds() int64 { return int64(m / Second) }

// Milliseconds gives how many whole milliseconds a span holds.
func (m Micros) Milliseconds() int64 { return int64(m / Millisecond) }

// Random gives a span from zero to just below limit, which must be positive.
func Random(random *rand.Rand, limit Micros) Micros { return Micros(random.Int64N(int64(limit))) }
