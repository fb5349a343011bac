// Package clock provides a monotonic clock that advances while the host is suspended.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"spurmoor/internal/micros"
)

// Steady is a monotonic clock in whole microseconds. It starts at the time of day and
// ignores later changes to that. It counts the time for which the host was suspended: by a
// clock that stops with the host, a lease that expired meanwhile would still seem valid.
//
// Go's monotonic clock leaves suspensions out, and reading the system's clock that counts
// them (CLOCK_BOOTTIME) costs a system call. So Now adds the suspensions known so far to
// Go's clock, and Refresh looks for new ones first. A Steady may be used by several
// goroutines at once.
type Steady struct {
	start           time.Time
	bootAtStart     micros.Micros // CLOCK_BOOTTIME at start
	suspendedMicros atomic.Int64  // all suspensions known so far, in microseconds
	sinceBoot       bootClock
}

// bootClock returns the time since the host booted, suspensions included. ok is false if
// the system has no such clock.
type bootClock func() (sinceBoot micros.Micros, ok bool)

// maxReadingSkew is how far the two clocks may differ without a suspension, because they
// can't be read at the same instant.
const maxReadingSkew = 10 * micros.Millisecond

// New returns a Steady that starts at the time of day.
func New() *Steady { return newSteady(readBootClock) }

func newSteady(sinceBoot bootClock) *Steady {
	boot, _ := sinceBoot()
	return &Steady{start: time.Now(), bootAtStart: boot, sinceBoot: sinceBoot}
}

// Now returns the time. It misses suspensions since the last call of Refresh.
func (s *Steady) Now() micros.Micros {
	running := time.Since(s.start).Microseconds()
	return micros.Micros(s.start.UnixMicro() + running + s.suspendedMicros.Load())
}

// Refresh looks for new suspensions and returns the time with all of them.
func (s *Steady) Refresh() micros.Micros {
	if boot, ok := s.sinceBoot(); ok {
		running := micros.Micros(time.Since(s.start).Microseconds())
		s.raiseSuspended(boot - s.bootAtStart - running)
	}
	return s.Now()
}

// raiseSuspended raises the known time of suspension to a measured one. A measured time
// that is longer by less than maxReadingSkew may be an artifact, and is ignored.
func (s *Steady) raiseSuspended(measured micros.Micros) {
	for {
		known := s.suspendedMicros.Load()
		if measured < micros.Micros(known)+maxReadingSkew {
			return
		}
		if s.suspendedMicros.CompareAndSwap(known, int64(measured)) {
			return
		}
	}
}

// CountsSuspension reports whether the system has a clock that counts suspensions.
func (s *Steady) CountsSuspension() bool {
	_, ok := s.sinceBoot()
	return ok
}

// readBootClock is a bootClock that reads CLOCK_BOOTTIME.
func readBootClock() (sinceBoot micros.Micros, ok bool) {
	var reading unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading) != nil {
		return 0, false
	}
	return micros.Micros(reading.Nano() / int64(time.Microsecond)), true
}
