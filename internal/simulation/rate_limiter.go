package simulation

import "spurmoor/internal/micros"

// rateLimiter is a token bucket: it admits so many a second, with bursts of one second's
// worth.
type rateLimiter struct {
	rate       float64 // per second
	level      float64
	refilledAt micros.Micros
	admitted   int
	refused    int // calls, not units
}

// admit takes units from the bucket, or refuses if it holds fewer.
func (l *rateLimiter) admit(now micros.Micros, units int) bool {
	l.level = min(l.rate, l.level+l.rate*(now-l.refilledAt).Seconds())
	l.refilledAt = now
	if float64(units) > l.level {
		l.refused++
		return false
	}
	l.level -= float64(units)
	l.admitted += units
	return true
}
