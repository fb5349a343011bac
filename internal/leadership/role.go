// Package leadership says what only one controller at a time may do, who does it, under
// which term and until when, and what an order made under a duty must carry.
//
// It is pure: it reads no clock and does no input or output. All times are whole
// microseconds of the holder's own steady clock.
package leadership

import (
	"fmt"
	"strconv"
	"strings"
)

// RoleKind is a sort of duty.
type RoleKind uint8

// Kinds of duties. A partition's duty is to rent, return, reclaim and lend its
// machines, to command their workers and to write its log. The others are the
// fleet's: each exists once.
const (
	PartitionLeader RoleKind = iota + 1
	// OrphanAdopter is to record machines that no record is known of.
	OrphanAdopter
	// InstanceSweeper is to read the cloud's list of machines regularly, and to tell of those
	// that failed, went or are unknown.
	InstanceSweeper
	// CatalogKeeper is to keep the cloud's catalogue in the state service.
	CatalogKeeper
)

// partitionPrefix begins the name of a partition's duty.
const partitionPrefix = "partition/"

var fleetRoleNames = map[RoleKind]string{OrphanAdopter: "strays", InstanceSweeper: "sweep", CatalogKeeper: "catalogue"}

// String gives the name of a kind.
func (k RoleKind) String() string {
	if k == PartitionLeader {
		return "partition"
	}
	return fleetRoleNames[k]
}

// Role names one duty.
type Role struct {
	Kind  RoleKind
	Index int // of a partition; 0 for the fleet's
}

// PartitionRole names the duty of a partition.
func PartitionRole(index int) Role { return Role{PartitionLeader, index} }

// FleetRoles lists the duties that exist once for the whole fleet.
func FleetRoles() []Role {
	return []Role{{Kind: OrphanAdopter}, {Kind: InstanceSweeper}, {Kind: CatalogKeeper}}
}

// String gives the duty's name, as operators read it.
func (id Role) String() string {
	if id.Kind == PartitionLeader {
		return partitionPrefix + strconv.Itoa(id.Index)
	}
	return id.Kind.String()
}

// FleetRoleNames lists the names of the fleet's duties.
func FleetRoleNames() []string {
	var names []string
	for _, id := range FleetRoles() {
		names = append(names, id.String())
	}
	return names
}

// ParseFleetRole reads the name of one of the fleet's duties.
func ParseFleetRole(name string) (Role, error) {
	for _, id := range FleetRoles() {
		if id.String() == name {
			return id, nil
		}
	}
	return Role{}, fmt.Errorf("%q is no duty; allowed are %s", name, strings.Join(FleetRoleNames(), ", "))
}
