package core

import (
	"slices"

	"github.com/go-json-experiment/json"

	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// roleState is which duties there are, who holds them, and what was refused of what
// was ordered under them.
type roleState struct {
	roles             []*leadership.RoleState // all: the partitions' first
	fleetRoles        []*leadership.RoleState // the fleet's
	exclusive         bool                    // the fleet's have one holder each; said so
	recordingRequests bool                    // rentals are recorded before they are sent; said so
	refusedOrders     refusedOrderCounts
	findings          listFindings
	stopping          bool
	stopped           bool
	observer          partitionObserver
}

func newRoleState() roleState {
	s := roleState{refusedOrders: refusedOrderCounts{total: map[refusedOrder]int{}, burst: map[refusedOrder]int{}}}
	for _, id := range leadership.FleetRoles() {
		s.fleetRoles = append(s.fleetRoles, &leadership.RoleState{Role: id})
	}
	return s
}

// fleetRole gives one of the fleet's duties.
func (c *Controller) fleetRole(kind leadership.RoleKind) *leadership.RoleState {
	at := slices.IndexFunc(c.fleetRoles, func(h *leadership.RoleState) bool { return h.Role.Kind == kind })
	return c.fleetRoles[at]
}

// isExclusive tells whether a duty of the fleet has one holder: the operators want it so,
// and every controller knows what the key means. Until then each does it, as the
// versions before did, and the guards of its writes keep that safe.
func (c *Controller) isExclusive(kind leadership.RoleKind) bool {
	return c.settings.Operators.Roles.IsExclusive(leadership.Role{Kind: kind}) && c.allReadSchema(schemaRoles)
}

// fleetGrant gives the permission for something under a duty of the fleet.
func (c *Controller) fleetGrant(kind leadership.RoleKind, action leadership.Action) leadership.Grant {
	if !c.isExclusive(kind) {
		return leadership.SharedGrant(leadership.ForFleet, action)
	}
	return c.grant(c.fleetRole(kind), action)
}

// mayPerform tells whether this controller is the one to see to a duty of the fleet now.
func (c *Controller) mayPerform(kind leadership.RoleKind) bool {
	return c.fleetGrant(kind, leadership.Write).Check(leadership.Write, c.now) == ""
}

// wantsRole tells whether we should hold a duty, or take it when it is free. Strays are
// recorded in a partition, so who adopts them must hold one.
func (c *Controller) wantsRole(h *leadership.RoleState) bool {
	switch {
	case c.stopping:
		return false
	case h.Role.Kind == leadership.PartitionLeader:
		return true
	case h.Role.Kind == leadership.OrphanAdopter && !c.leadsAnyPartition():
		return false
	}
	return c.isExclusive(h.Role.Kind)
}

// resignReason says why a duty that we hold is given up.
func (c *Controller) resignReason(h *leadership.RoleState) string {
	switch {
	case c.stopping:
		return "this controller stops"
	case c.isExclusive(h.Role.Kind):
		return "this controller holds no partition"
	}
	return "a controller does not know the fleet's duties"
}

// leadsAnyPartition tells whether we hold any partition.
func (c *Controller) leadsAnyPartition() bool {
	return slices.ContainsFunc(c.roles, func(r *leadership.RoleState) bool { return r.Role.Kind == leadership.PartitionLeader && r.Leads() })
}

// applyFleetRole takes in the key of one of the fleet's duties. One that can't be read
// names no holder but is held: until its lease has run out nobody takes it.
func (c *Controller) applyFleetRole(name string, value []byte, version uint64) error {
	id, err := leadership.ParseFleetRole(name)
	if err != nil {
		return nil // of a later version
	}
	h := c.fleetRole(id.Kind)
	if h.Term >= version {
		return nil
	}
	var claim leadership.Claim
	if err = json.Unmarshal(value, &claim); err != nil {
		claim = leadership.Claim{}
	}
	c.observeRole(h, claim, version)
	return err
}

// deleteFleetRole takes in that the key of one of the fleet's duties was deleted.
func (c *Controller) deleteFleetRole(name string, version uint64) {
	if id, err := leadership.ParseFleetRole(name); err == nil && c.fleetRole(id.Kind).Term < version {
		c.observeRole(c.fleetRole(id.Kind), leadership.Claim{}, 0)
	}
}

// forgetFleetRoles forgets who holds the fleet's duties, before everything is read again.
func (c *Controller) forgetFleetRoles() {
	for _, h := range c.fleetRoles {
		if h.Leads() {
			c.loseRole(h, "everything is read again")
		}
		h.Forget(c.now)
	}
}

// trackExclusiveRoles says when the fleet's duties begin or cease to have one holder each.
func (c *Controller) trackExclusiveRoles() {
	now := len(c.settings.Operators.Roles.Exclusive) > 0 && c.allReadSchema(schemaRoles)
	if now != c.exclusive {
		c.exclusive = now
		c.logInfo("the fleet's duties have one holder each", "exclusive", now, "duties", c.settings.Operators.Roles.Exclusive)
	}
}

// stoppingPeerTimeout is how long a controller that said that it stops is passed over when
// duties come free.
const stoppingPeerTimeout = 10 * micros.Second

// beginStop has no role wanted any more.
func (c *Controller) beginStop() {
	c.stopping = true
	c.logInfo("controller stops")
}

// completeStop tells when everything is given up.
func (c *Controller) completeStop() {
	if !c.stopping || c.stopped || !c.allTransactionsSettled() {
		return
	}
	c.stopped = true
	c.emit(Stopped{})
}
