// Package leadership says which roles only one controller at a time may have, who leads
// each, under which term and until when, and what an order made under a role carries.
//
// A role's leader is the controller that wrote the role's key in the key-value store.
// The key is attached to that controller's lease; its version is the term. A Grant is
// the leader's permission for one kind of order until its lease may have expired, and
// every Order carries one, so that it is checked again right before it is sent.
//
// The package is pure: it reads no clock and does no input or output. All times are in
// whole microseconds by the controller's own steady clock.
package leadership

import (
	"fmt"
	"strconv"
	"strings"
)

// RoleKind is a kind of role.
type RoleKind uint8

// Kinds of roles. There is one PartitionLeader for each partition; the other roles are
// the fleet's and exist once.
const (
	// PartitionLeader launches, deletes and lends a partition's machines, commands
	// their workers and writes the partition's log.
	PartitionLeader RoleKind = iota + 1
	// OrphanAdopter records instances of which there is no record.
	OrphanAdopter
	// InstanceSweeper lists the cloud's instances regularly, and reports those that
	// failed, are gone or are unknown.
	InstanceSweeper
	// CatalogKeeper keeps the cloud's catalogue in the key-value store.
	CatalogKeeper
)

// The names of roles are part of keys in the store and of what operators read and set.
const (
	partitionName   = "partition"
	partitionPrefix = partitionName + "/" // followed by the partition's index
)

var fleetRoleNames = map[RoleKind]string{
	OrphanAdopter:   "strays",
	InstanceSweeper: "sweep",
	CatalogKeeper:   "catalogue",
}

// String returns the kind's name.
func (k RoleKind) String() string {
	if k == PartitionLeader {
		return partitionName
	}
	return fleetRoleNames[k]
}

// Role identifies one role.
type Role struct {
	Kind  RoleKind
	Index int // of the partition; 0 for a fleet role
}

// PartitionRole returns the role of a partition's leader.
func PartitionRole(index int) Role { return Role{PartitionLeader, index} }

// FleetRoles lists the roles that exist once for the whole fleet.
func FleetRoles() []Role {
	return []Role{{Kind: OrphanAdopter}, {Kind: InstanceSweeper}, {Kind: CatalogKeeper}}
}

// String returns the role's name as operators read it.
func (r Role) String() string {
	if r.Kind == PartitionLeader {
		return partitionPrefix + strconv.Itoa(r.Index)
	}
	return r.Kind.String()
}

// FleetRoleNames lists the names of the fleet roles.
func FleetRoleNames() []string {
	var names []string
	for _, role := range FleetRoles() {
		names = append(names, role.String())
	}
	return names
}

// UnknownRoleError reports a name that is no fleet role's.
type UnknownRoleError struct{ Name string }

// Error returns the text that operators read when their settings name no role.
func (e *UnknownRoleError) Error() string {
	return fmt.Sprintf("%q is no duty; allowed are %s", e.Name, strings.Join(FleetRoleNames(), ", "))
}

// ParseFleetRole returns the fleet role of a name, or an *UnknownRoleError.
func ParseFleetRole(name string) (Role, error) {
	for _, role := range FleetRoles() {
		if role.String() == name {
			return role, nil
		}
	}
	return Role{}, &UnknownRoleError{Name: name}
}
