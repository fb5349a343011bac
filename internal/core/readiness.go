package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// unreadyTimeout is how long the store must not answer this controller alone before it
// asks for its users to be sent elsewhere.
const unreadyTimeout = micros.Second

// readinessHandler answers the health checks of the load balancer.
type readinessHandler struct {
	*coordination.Environment
	cache       *coordination.WatchCache
	condition   *conditionTracker
	peers       *coordination.PeerTracker
	roles       *coordination.RoleManager
	storeHealth *coordination.StoreHealth
}

func newReadinessHandler(
	env *coordination.Environment,
	cache *coordination.WatchCache,
	condition *conditionTracker,
	peers *coordination.PeerTracker,
	roles *coordination.RoleManager,
	health *coordination.StoreHealth,
) *readinessHandler {
	return &readinessHandler{
		Environment: env, cache: cache, condition: condition, peers: peers, roles: roles, storeHealth: health,
	}
}

// handleReady answers GET /ready: whether users should be sent here.
func (h *readinessHandler) handleReady(request message.Ready) {
	current := h.condition.currentCondition()
	if !h.isReady() {
		refuse(h.Environment, request.RequestID, refusalNotReady(current))
		return
	}
	h.Answer(request.RequestID, message.StatusOK, api.Readiness{Condition: string(current)})
}

// isReady tells whether this controller can serve users. Where the store answers no
// controller, all stay ready: leaving the load balancer would only delay the return.
func (h *readinessHandler) isReady() bool {
	if !h.cache.Synced || h.roles.Stopping {
		return false
	}
	since := h.storeHealth.UnavailableSince
	unavailable := since > 0 && h.Now > since+unreadyTimeout
	return !unavailable || !h.peers.HealthyPeerKnown()
}
