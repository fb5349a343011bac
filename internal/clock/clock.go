// Package clock gives a monotonic clock that goes on while the host is suspended.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"spurmoor/internal/micros"
)

// Steady is a clock in whole microseconds: the time of day at its start plus what has
// passed since. It never runs backwards, is not moved by changes of the time of day,
// and counts the time for which the host was suspended: by a clock that stops with the
// host a lease that expired meanwhile would still seem to hold.
//
// Go's monotonic clock does not count that, and the system's that does (CLOCK_BOOTTIME)
// costs a system call. So Now adds the suspensions known so far to Go's clock, and Refresh
// looks for new ones first. A Steady may be used by several goroutines at once.
type Steady struct {
	start       time.Time
	bootAtStart micros.Micros // CLOCK_BOOTTIME at start
	suspended   atomic.Int64  // all suspensions known so far, in microseconds
	sinceBoot   bootClock
}

// bootClock gives the time since the host booted, suspensions included; ok is false where
// the system has no such clock.
type bootClock func() (sinceBoot micros.Micros, ok bool)

// readingSkew is how far the two clocks may differ without a suspension: they can't be
// read at the same instant.
const readingSkew = 10 * micros.Millisecond

// New starts a clock.
func New() *Steady { return newSteady(readBootClock) }

func newSteady(sinceBoot bootClock) *Steady {
	boot, _ := sinceBoot()
	return &Steady{start: time.Now(), bootAtStart: boot, sinceBoot: sinceBoot}
}

// Now gives the time, less any suspension since Refresh was called last.
func (s *Steady) Now() micros.Micros {
	running := time.Since(s.start).Microseconds()
	return micros.Micros(s.start.UnixMicro() + running + s.suspended.Load())
}

// Refresh looks for suspensions and gives the time with all of them.
func (s *Steady) Refresh() micros.Micros {
	if boot, ok := s.sinceBoot(); ok {
		running := micros.Micros(time.Since(s.start).Microseconds())
		s.noteSuspension(boot - s.bootAtStart - running)
	}
	return s.Now()
}

// noteSuspension raises the time that the host was suspended to a measured one.
func (s *Steady) noteSuspension(measured micros.Micros) {
	for {
		known := s.suspended.Load()
		if measured < micros.Micros(known)+readingSkew {
			return
		}
		if s.suspended.CompareAndSwap(known, int64(measured)) {
			return
		}
	}
}

// CountsSuspension tells whether the system has a clock that counts suspensions.
func (s *Steady) CountsSuspension() bool {
	_, ok := s.sinceBoot()
	return ok
}

// readBootClock reads CLOCK_BOOTTIME.
func readBootClock() (sinceBoot micros.Micros, ok bool) {
	var reading unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading) != nil {
		return 0, false
	}
	return micros.Micros(reading.Nano() / int64(time.Microsecond)), true
}
