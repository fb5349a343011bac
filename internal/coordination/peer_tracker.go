package coordination

import (
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// Controllers send each other a heartbeat every second.
const (
	// peerTimeout is how old the last heartbeat of another controller may be while it
	// counts as running.
	peerTimeout = 4 * micros.Second

	// healthyPeerTimeout is how old the last heartbeat of another controller may be
	// while that controller's word that it is healthy still counts.
	healthyPeerTimeout = 3 * micros.Second

	// outageNoticeDelay is how long after us another controller may notice an outage
	// of the store.
	outageNoticeDelay = 3 * micros.Second / 2
)

// PeerTracker is what the other controllers said of themselves in their heartbeats, and
// when they are to be sent our next one.
type PeerTracker struct {
	*Environment
	storeHealth *StoreHealth

	ByNode          map[string]*peerStatus
	NextHeartbeatAt micros.Micros
}

// NewPeerTracker makes a peer tracker.
func NewPeerTracker(env *Environment, health *StoreHealth) *PeerTracker {
	return &PeerTracker{Environment: env, storeHealth: health, ByNode: map[string]*peerStatus{}}
}

// peerStatus is what is known of another controller.
type peerStatus struct {
	LastHeartbeatAt micros.Micros
	IdleMachines    map[string]bool
	WriteRate       float64 // changes that it makes, a second

	healthy       bool
	healthySince  micros.Micros
	schemaVersion int
	stopping      bool // it resigns its roles and ends
}

// ObservePeer takes in another controller's heartbeat.
func (p *PeerTracker) ObservePeer(heartbeat *peer.Heartbeat) {
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

// RequestBroadcast has our next heartbeat sent at once.
func (p *PeerTracker) RequestBroadcast() { p.NextHeartbeatAt = p.Now }

// HealthyPeerKnown reports whether another controller lately said that it is healthy.
func (p *PeerTracker) HealthyPeerKnown() bool {
	for _, status := range p.ByNode {
		if status.healthy && p.Now < status.LastHeartbeatAt+healthyPeerTimeout && p.mayKnowOfOutage(status) {
			return true
		}
	}
	return false
}

// mayKnowOfOutage reports whether another controller's last heartbeat is recent enough
// to tell of an outage of the store that we noticed. One from before says nothing of
// it: all controllers once left the users' load balancer at the start of each outage.
func (p *PeerTracker) mayKnowOfOutage(status *peerStatus) bool {
	outageSince := p.storeHealth.UnavailableSince
	return outageSince == 0 || status.LastHeartbeatAt > outageSince+outageNoticeDelay
}

// AnyPeerAlive reports whether a heartbeat of another controller came of late; it is
// true for a controller that has no others.
func (p *PeerTracker) AnyPeerAlive() bool {
	for _, status := range p.ByNode {
		if p.Now < status.LastHeartbeatAt+peerTimeout {
			return true
		}
	}
	return len(p.Settings.Nodes) == 1
}
