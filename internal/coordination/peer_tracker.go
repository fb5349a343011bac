package coordination

import (
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// Timeouts for the heartbeats of other controllers, which come every second.
const (
	// peerTimeout is the maximum age of another controller's last heartbeat at which that
	// controller counts as running.
	peerTimeout = 4 * micros.Second

	// healthyPeerTimeout is the maximum age of another controller's last heartbeat at
	// which that controller counts as healthy if the heartbeat says so.
	healthyPeerTimeout = 3 * micros.Second

	// outageNoticeDelay is how much later than us another controller may notice an outage
	// of the store.
	outageNoticeDelay = 3 * micros.Second / 2
)

// PeerTracker tracks the state that the other controllers report in their heartbeats, and
// the time of our next heartbeat to them.
type PeerTracker struct {
	*Environment
	storeHealth *StoreHealth

	ByNode          map[string]*peerStatus
	NextHeartbeatAt micros.Micros
}

// NewPeerTracker returns a peer tracker that has seen no heartbeat yet.
func NewPeerTracker(env *Environment, health *StoreHealth) *PeerTracker {
	return &PeerTracker{Environment: env, storeHealth: health, ByNode: map[string]*peerStatus{}}
}

// peerStatus is the state of another controller by its last heartbeat.
type peerStatus struct {
	LastHeartbeatAt micros.Micros
	IdleMachines    map[string]bool
	WriteRate       float64 // writes to the store per second

	healthy       bool
	healthySince  micros.Micros
	schemaVersion int
	stopping      bool // it is resigning its roles before it exits
}

// Observe applies a heartbeat of another controller. The time since which that controller
// is healthy restarts if it was unhealthy or not heard from for peerTimeout.
func (p *PeerTracker) Observe(heartbeat *peer.Heartbeat) {
	status := p.ByNode[heartbeat.Node]
	if status == nil || p.Now > status.LastHeartbeatAt+peerTimeout || !status.healthy {
		status = &peerStatus{healthySince: p.Now}
		p.ByNode[heartbeat.Node] = status
	}
	status.LastHeartbeatAt = p.Now
	status.healthy, status.stopping = heartbeat.Healthy, heartbeat.Stopping
	status.schemaVersion, status.WriteRate = heartbeat.SchemaVersion, heartbeat.WriteRate
	status.IdleMachines = map[string]bool{}
	for _, idle := range heartbeat.IdleMachines {
		status.IdleMachines[idle.Machine] = true
	}
}

// RequestBroadcast makes our next heartbeat due now.
func (p *PeerTracker) RequestBroadcast() { p.NextHeartbeatAt = p.Now }

// AnyPeerHealthy reports whether another controller recently said that it is healthy. While
// the store is unavailable to us, only heartbeats that are recent enough to reflect that
// count.
func (p *PeerTracker) AnyPeerHealthy() bool {
	for _, status := range p.ByNode {
		if status.healthy && p.Now < status.LastHeartbeatAt+healthyPeerTimeout && p.mayKnowOfOutage(status) {
			return true
		}
	}
	return false
}

// mayKnowOfOutage reports whether another controller's last heartbeat is recent enough to
// reflect an outage of the store that we noticed. Earlier heartbeats must not count: at the
// start of each outage, each controller would assume that the others are healthy, and all of
// them would withdraw from the load balancer for users.
func (p *PeerTracker) mayKnowOfOutage(status *peerStatus) bool {
	outageSince := p.storeHealth.UnavailableSince
	return outageSince == 0 || status.LastHeartbeatAt > outageSince+outageNoticeDelay
}

// AnyPeerAlive reports whether a heartbeat of another controller arrived recently. It
// returns true if there is only one controller.
func (p *PeerTracker) AnyPeerAlive() bool {
	for _, status := range p.ByNode {
		if p.Now < status.LastHeartbeatAt+peerTimeout {
			return true
		}
	}
	return len(p.Settings.Nodes) == 1
}
