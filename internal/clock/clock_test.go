package clock

import (
	"testing"
	"time"

	"spurmoor/internal/micros"
)

// TestSteady guards against a clock that is far from the time of day at its start, or
// runs backwards.
func TestSteady(t *testing.T) {
	steady := New()
	if off := steady.Now() - micros.Micros(time.Now().UnixMicro()); off < -micros.Second || off > micros.Second {
		t.Errorf("%d us from the time of day", off)
	}
	last := steady.Now()
	for i := range 100_000 {
		at := steady.Now()
		if i%100 == 0 {
			at = steady.Refresh()
		}
		if at < last {
			t.Fatalf("ran back from %d to %d", last, at)
		}
		last = at
	}
}

// TestSuspension guards against a lease that seems to hold after the host was suspended
// for longer than it lasts: Go's clock does not advance meanwhile.
func TestSuspension(t *testing.T) {
	const minute = 60_000_000
	begun := time.Now()
	suspended := micros.Micros(0)
	steady := newSteady(func() (micros.Micros, bool) {
		return 5*micros.Second + micros.Micros(time.Since(begun).Microseconds()) + suspended, true
	})
	before := steady.Refresh()
	suspended = 10 * minute
	if got := steady.Refresh() - before; got < 10*minute || got > 11*minute {
		t.Errorf("ten minutes of suspension count as %d us", got)
	}
	if got := steady.Now() - before; got < 10*minute {
		t.Errorf("once noticed, %d us of it are known", got)
	}
	without := newSteady(func() (micros.Micros, bool) { return 0, false })
	if without.CountsSuspension() || without.Refresh() < before {
		t.Error("without a clock that counts suspensions there is no time at all")
	}
}
