package coordination

import (
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
)

const (
	// pauseThreshold is the shortest gap between two inputs that counts as a pause of the
	// process. Without a pause a tick arrives every tenth of a second.
	pauseThreshold = 2 * micros.Second

	// peerGracePeriod is how long after a pause a controller waits for the heartbeats of
	// the other controllers before it concludes from their absence that none is healthy.
	peerGracePeriod = 3 * micros.Second
)

// DetectPause checks whether the process was paused since the previous input while its
// clock went on, as when a virtual machine is suspended. After a pause, the time since which
// we can answer heartbeats starts again. previous is the time of the previous input, or 0 if
// there was none.
func (l *StoreLease) DetectPause(previous micros.Micros) {
	if previous == 0 || l.Now-previous < pauseThreshold {
		return
	}
	l.answeringSince = 0
	l.resumedAt = l.Now
	l.LogWarn("process was paused", logkey.ForS, (l.Now - previous).WholeSeconds(), logkey.LeaseValid, l.Valid())
}

// justResumed reports whether the process resumed so recently that it may not have received
// the heartbeats of the other controllers since. A process that resumes after its lease
// expired, but before its answer deadline, has no recent heartbeats because of its own
// pause. Without this check it would assume an outage for all controllers and answer
// workers that another controller commands by then.
func (l *StoreLease) justResumed() bool {
	return l.resumedAt > 0 && l.Now < l.resumedAt+peerGracePeriod
}
