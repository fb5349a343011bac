package coordination

import (
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// PeerTracker is what the other controllers said of themselves, and when they are to
// hear of us next.
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

type peerStatus struct {
	healthySince    micros.Micros
	LastHeartbeatAt micros.Micros
	healthy         bool
	IdleMachines    map[string]bool
	schemaVersion   int
	WriteRate       float64 // changes that it makes a second
	// stopping: it gives up what it holds, and ends.
	stopping bool
}

// ObservePeer takes in what another controller says of itself.
func (p *PeerTracker) ObservePeer(h *peer.Heartbeat) {
	status := p.ByNode[h.Node]
	if status == nil || p.Now > status.LastHeartbeatAt+4*micros.Second || !status.healthy {
		status = &peerStatus{healthySince: p.Now}
		p.ByNode[h.Node] = status
	}
	status.LastHeartbeatAt, status.healthy, status.stopping = p.Now, h.Healthy, h.Stopping
	status.schemaVersion, status.WriteRate = h.SchemaVersion, h.WriteRate
	status.IdleMachines = map[string]bool{}
	for _, idle := range h.IdleMachines {
		status.IdleMachines[idle.Machine] = true
	}
}

// RequestBroadcast has the next heartbeat sent at once.
func (p *PeerTracker) RequestBroadcast() { p.NextHeartbeatAt = p.Now }

// HealthyPeerKnown tells whether another controller lately said that it is well. What
// it said before it can have noticed an outage that we noticed does not count:
// all controllers once left the users' balancer at the start of each outage.
func (p *PeerTracker) HealthyPeerKnown() bool {
	for _, h := range p.ByNode {
		if h.healthy && p.Now < h.LastHeartbeatAt+3*micros.Second && (p.storeHealth.UnavailableSince == 0 || h.LastHeartbeatAt > p.storeHealth.UnavailableSince+3*micros.Second/2) {
			return true
		}
	}
	return false
}

// AnyPeerAlive tells whether another controller was heard of late; one without others
// hears all that there are.
func (p *PeerTracker) AnyPeerAlive() bool {
	for _, h := range p.ByNode {
		if p.Now < h.LastHeartbeatAt+4*micros.Second {
			return true
		}
	}
	return len(p.Settings.Nodes) == 1
}
