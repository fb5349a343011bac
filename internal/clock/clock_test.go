package clock

import (
	"testing"
	"time"

	"spurmoor/internal/micros"
)

// TestSteady guards against a clock that starts far from the time of day or runs
// backwards.
func TestSteady(t *testing.T) {
	steady := New()
	if offset := steady.Now() - micros.Micros(time.Now().UnixMicro()); offset < -micros.Second || offset > micros.Second {
		t.Errorf("got a start %d us from the time of day, want at most a second", offset)
	}
	last := steady.Now()
	for i := range 100_000 {
		at := steady.Now()
		if i%100 == 0 {
			at = steady.Refresh()
		}
		if at < last {
			t.Fatalf("after %d us, got %d us, want a time that is no earlier", last, at)
		}
		last = at
	}
}

// TestSuspension guards against a lease that seems valid after the host was suspended for
// longer than the lease lasts: Go's clock does not advance meanwhile.
func TestSuspension(t *testing.T) {
	const minute = 60_000_000
	startedAt := time.Now()
	suspended := micros.Micros(0)
	steady := newSteady(func() (micros.Micros, bool) {
		return 5*micros.Second + micros.Micros(time.Since(startedAt).Microseconds()) + suspended, true
	})
	before := steady.Refresh()
	suspended = 10 * minute
	if got := steady.Refresh() - before; got < 10*minute || got > 11*minute {
		t.Errorf("got %d us for ten minutes of suspension, want 10 to 11 minutes", got)
	}
	if got := steady.Now() - before; got < 10*minute {
		t.Errorf("got %d us from Now after Refresh, want 10 minutes or more", got)
	}
	withoutBootClock := newSteady(func() (micros.Micros, bool) { return 0, false })
	if withoutBootClock.CountsSuspension() || withoutBootClock.Refresh() < before {
		t.Errorf("without a clock that counts suspensions: got counts suspension %t and time %d, want false and %d or later",
			withoutBootClock.CountsSuspension(), withoutBootClock.Refresh(), before)
	}
}
