package core

import (
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// peerTracker is what the other controllers said of themselves, and when they are to
// hear of us next.
type peerTracker struct {
	*environment
	storeHealth *storeHealth

	byNode          map[string]*peerStatus
	nextHeartbeatAt micros.Micros
}

func newPeerTracker(env *environment, health *storeHealth) *peerTracker {
	return &peerTracker{environment: env, storeHealth: health, byNode: map[string]*peerStatus{}}
}

type peerStatus struct {
	healthySince    micros.Micros
	lastHeartbeatAt micros.Micros
	healthy         bool
	idleMachines    map[string]bool
	schemaVersion   int
	writeRate       float64 // changes that it makes a second
	// stopping: it gives up what it holds, and ends.
	stopping bool
}

// observePeer takes in what another controller says of itself.
func (p *peerTracker) observePeer(h *peer.Heartbeat) {
	status := p.byNode[h.Node]
	if status == nil || p.now > status.lastHeartbeatAt+4*micros.Second || !status.healthy {
		status = &peerStatus{healthySince: p.now}
		p.byNode[h.Node] = status
	}
	status.lastHeartbeatAt, status.healthy, status.stopping = p.now, h.Healthy, h.Stopping
	status.schemaVersion, status.writeRate = h.SchemaVersion, h.WriteRate
	status.idleMachines = map[string]bool{}
	for _, idle := range h.IdleMachines {
		status.idleMachines[idle.Machine] = true
	}
}

// requestBroadcast has the next heartbeat sent at once.
func (p *peerTracker) requestBroadcast() { p.nextHeartbeatAt = p.now }

// healthyPeerKnown tells whether another controller lately said that it is well. What
// it said before it can have noticed an outage that we noticed does not count:
// all controllers once left the users' balancer at the start of each outage.
func (p *peerTracker) healthyPeerKnown() bool {
	for _, h := range p.byNode {
		if h.healthy && p.now < h.lastHeartbeatAt+3*micros.Second && (p.storeHealth.unavailableSince == 0 || h.lastHeartbeatAt > p.storeHealth.unavailableSince+3*micros.Second/2) {
			return true
		}
	}
	return false
}

// hearsAnyPeer tells whether another controller was heard of late; one without others
// hears all that there are.
func (p *peerTracker) hearsAnyPeer() bool {
	for _, h := range p.byNode {
		if p.now < h.lastHeartbeatAt+4*micros.Second {
			return true
		}
	}
	return len(p.settings.Nodes) == 1
}
