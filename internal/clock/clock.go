// Package clock gives a steady clock that goes on while the host is suspended.
package clock

import (
	"sync/atomic"
	"time"

	"spurmoor/internal/micros"

	"golang.org/x/sys/unix"
)

// Steady is a clock in whole microseconds: the time of day at its start plus what has
// passed since. It never runs backwards, is not moved by changes of the time of day,
// and counts the time for which the host was suspended: by a clock that stops with the
// host a lease that ran out meanwhile would still seem to hold.
//
// Go's clock does not count that, and the system's that does (CLOCK_BOOTTIME) costs a
// system call. So Now adds what is known of suspensions to Go's clock, and Fresh looks
// first.
type Steady struct {
	start     time.Time
	boot      micros.Micros // CLOCK_BOOTTIME at the start
	suspended atomic.Int64  // that is known of
	sinceBoot func() (sinceBoot micros.Micros, ok bool)
}

// noise is how far the two clocks may differ between their readings without a
// suspension.
const noise = 10 * micros.Millisecond

// New starts a clock.
func New() *Steady { return start(sinceBoot) }

func start(sinceBoot func() (micros.Micros, bool)) *Steady {
	boot, _ := sinceBoot()
	return &Steady{start: time.Now(), boot: boot, sinceBoot: sinceBoot}
}

// Now gives the time, less any suspension since Fresh was called last.
func (s *Steady) Now() micros.Micros {
	return micros.Micros(s.start.UnixMicro() + time.Since(s.start).Microseconds() + s.suspended.Load())
}

// Fresh gives the time with all suspensions.
func (s *Steady) Fresh() micros.Micros {
	if boot, ok := s.sinceBoot(); ok {
		missed := boot - s.boot - micros.Micros(time.Since(s.start).Microseconds())
		for {
			known := s.suspended.Load()
			if missed < micros.Micros(known)+noise || s.suspended.CompareAndSwap(known, int64(missed)) {
				break
			}
		}
	}
	return s.Now()
}

// CountsSuspension tells whether the system has a clock that counts suspensions.
func (s *Steady) CountsSuspension() bool {
	_, ok := s.sinceBoot()
	return ok
}

// sinceBoot gives the time since the host started, suspensions included.
func sinceBoot() (passed micros.Micros, ok bool) {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0, false
	}
	return micros.Micros(t.Nano() / int64(time.Microsecond)), true
}
