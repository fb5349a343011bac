package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// readinessStoreTimeout is how long the store must be unavailable to this controller, but not
// to all others, before the controller reports that it is not ready.
const readinessStoreTimeout = micros.Second

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

// handleReady answers GET /ready: whether the load balancer should send users here.
func (h *readinessHandler) handleReady(request message.CheckReadiness) {
	current := h.condition.currentCondition()
	if !h.isReady() {
		refuse(h.Environment, request.RequestID, refusalNotReady(current))
		return
	}
	h.Answer(request.RequestID, message.StatusOK, api.Readiness{Condition: string(current)})
}

// isReady reports whether this controller can serve users. If the store answers no
// controller, all of them stay ready: if they left the load balancer, it would only take
// them longer to serve users again after the outage.
func (h *readinessHandler) isReady() bool {
	if !h.cache.Synced || h.roles.Stopping {
		return false
	}
	since := h.storeHealth.UnavailableSince
	unavailable := since > 0 && h.Now > since+readinessStoreTimeout
	return !unavailable || !h.peers.AnyPeerHealthy()
}
