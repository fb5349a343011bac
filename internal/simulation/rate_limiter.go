package simulation

import "spurmoor/internal/micros"

// rateLimiter is a token bucket. It holds at most the tokens of one second.
type rateLimiter struct {
	rate       float64 // tokens per second
	tokens     float64
	refilledAt micros.Micros
	admitted   int // units
	refused    int // calls
}

// admit takes units from the bucket and reports whether it did. It takes none if the bucket
// holds fewer.
func (l *rateLimiter) admit(now micros.Micros, units int) bool {
	l.tokens = min(l.rate, l.tokens+l.rate*(now-l.refilledAt).Seconds())
	l.refilledAt = now
	if float64(units) > l.tokens {
		l.refused++
		return false
	}
	l.tokens -= float64(units)
	l.admitted += units
	return true
}
