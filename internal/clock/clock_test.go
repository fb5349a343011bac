package clock

import (
	"testing"
	"time"

	"spurmoor/internal/micros"
)

// TestSteady guards against a clock that is far from the time of day at its start, or
// runs backwards.
func TestSteady(t *testing.T) {
	c := New()
	if off := c.Now() - micros.Micros(time.Now().UnixMicro()); off < -micros.Second || off > micros.Second {
		t.Errorf("%d us from the time of day", off)
	}
	last := c.Now()
	for i := range 100_000 {
		at := c.Now()
		if i%100 == 0 {
			at = c.Fresh()
		}
		if at < last {
			t.Fatalf("ran back from %d to %d", last, at)
		}
		last = at
	}
}

// TestSuspension guards against a lease that seems to hold after the host was suspended
// for longer than it lasts: Go's clock stands still meanwhile.
func TestSuspension(t *testing.T) {
	const minute = 60_000_000
	begun := time.Now()
	suspended := micros.Micros(0)
	c := start(func() (micros.Micros, bool) {
		return 5*micros.Second + micros.Micros(time.Since(begun).Microseconds()) + suspended, true
	})
	before := c.Fresh()
	suspended = 10 * minute
	if got := c.Fresh() - before; got < 10*minute || got > 11*minute {
		t.Errorf("ten minutes of suspension count as %d us", got)
	}
	if got := c.Now() - before; got < 10*minute {
		t.Errorf("once seen, %d us of it are known", got)
	}
	none := start(func() (micros.Micros, bool) { return 0, false })
	if none.CountsSuspension() || none.Fresh() < before {
		t.Error("without such a clock there is no time at all")
	}
}
