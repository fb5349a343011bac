package coordination

import (
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
)

const (
	// pauseThreshold is the gap between two inputs that counts as a pause of the
	// process. Ticks come every tenth of a second.
	pauseThreshold = 2 * micros.Second

	// peerGracePeriod is how long after a pause a controller waits for the others'
	// heartbeats before it concludes from their absence that they are not healthy.
	peerGracePeriod = 3 * micros.Second
)

// DetectPause logs that the process did not run for a while although its clock did, as
// after a virtual machine was suspended.
func (l *StoreLease) DetectPause(previous micros.Micros) {
	if previous == 0 || l.Now-previous < pauseThreshold {
		return
	}
	l.answeringSince = 0
	l.resumedAt = l.Now
	l.LogWarn("process was paused", logkey.ForS, (l.Now - previous).WholeSeconds(), logkey.LeaseValid, l.LeaseValid())
}

// justResumed reports whether the process resumed so lately that it can't have received
// the others' heartbeats since. One that resumed after its lease's end, but before its
// answer deadline, once took the absence of heartbeats during its own pause for an
// outage of all, and answered workers that another controller commanded by then.
func (l *StoreLease) justResumed() bool {
	return l.resumedAt > 0 && l.Now < l.resumedAt+peerGracePeriod
}
