// Package leadership defines the roles that only one controller at a time may lead, the
// state of each role's leadership, and the grants that permit a leader's orders.
//
// A role's leader is the controller that wrote the role's key in the key-value store.
// The key is attached to that controller's lease, and its version is the term. A Grant
// permits the leader one kind of order until its lease may have expired. Every Order
// carries a Grant, which is checked again right before the order is sent.
//
// The package is pure: it reads no clock and does no input or output. All times are in
// whole microseconds by the controller's own monotonic clock.
package leadership

import (
	"fmt"
	"strconv"
	"strings"
)

// RoleKind is the kind of a role. The zero value is no kind.
type RoleKind uint8

// Kinds of roles. PartitionLeader exists once for each partition. The others are fleet
// roles, which exist once for the whole fleet.
const (
	// PartitionLeader launches, deletes and lends a partition's machines, commands
	// their workers and writes the partition's log.
	PartitionLeader RoleKind = iota + 1
	// OrphanAdopter creates the missing records of running instances.
	OrphanAdopter
	// InstanceSweeper regularly lists the cloud's instances and reports those that failed,
	// are no longer listed or have no record.
	InstanceSweeper
	// CatalogUpdater writes the cloud's catalogue of machine types to the key-value store.
	CatalogUpdater
)

// The names of roles are used in keys of the store, in settings and in what operators read.
const (
	partitionName   = "partition"
	partitionPrefix = partitionName + "/" // followed by the partition's index
)

var fleetRoleNames = map[RoleKind]string{
	OrphanAdopter:   "strays",
	InstanceSweeper: "sweep",
	CatalogUpdater:  "catalogue",
}

// String returns the kind's name. For a fleet role that is the role's name.
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

// PartitionRole returns the role of the leader of the partition with the given index.
func PartitionRole(index int) Role { return Role{PartitionLeader, index} }

// FleetRoles returns the fleet roles in a fixed order, by which their default leaders are
// assigned.
func FleetRoles() []Role {
	return []Role{{Kind: OrphanAdopter}, {Kind: InstanceSweeper}, {Kind: CatalogUpdater}}
}

// String returns the role's name as used in keys, in settings and for operators.
func (r Role) String() string {
	if r.Kind == PartitionLeader {
		return partitionPrefix + strconv.Itoa(r.Index)
	}
	return r.Kind.String()
}

// FleetRoleNames returns the names of the fleet roles, in the order of FleetRoles.
func FleetRoleNames() []string {
	var names []string
	for _, role := range FleetRoles() {
		names = append(names, role.String())
	}
	return names
}

// UnknownRoleError is returned for a name that is not the name of a fleet role.
type UnknownRoleError struct{ Name string }

// Error returns the text that operators see if their settings name an unknown role.
func (e *UnknownRoleError) Error() string {
	return fmt.Sprintf("%q is no duty; allowed are %s", e.Name, strings.Join(FleetRoleNames(), ", "))
}

// ParseFleetRole returns the fleet role with the given name. It returns an
// *UnknownRoleError if there is none.
func ParseFleetRole(name string) (Role, error) {
	for _, role := range FleetRoles() {
		if role.String() == name {
			return role, nil
		}
	}
	return Role{}, &UnknownRoleError{Name: name}
}
