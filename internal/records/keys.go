package records

import "fmt"

// Keys of the store. Everything that the watch cache follows lies below LivePrefix; the
// terminal states of jobs lie apart and are read one by one.
const (
	// LivePrefix is the prefix of all keys that the watch cache follows.
	LivePrefix = "live/"
	// AdoptionKey changes with every adoption of orphaned instances.
	AdoptionKey = LivePrefix + "a"
	// CatalogKey holds the first page of the catalog of machine types; further pages lie
	// below it at CatalogKey/1, CatalogKey/2 and so on. Prices are as of some time.
	CatalogKey = LivePrefix + "c"
	// JobPrefix is the prefix of the records of unfinished jobs, one a job.
	JobPrefix = LivePrefix + "j/"
	// LogPrefix is the prefix of the partitions' logs; see SlotKey.
	LogPrefix = LivePrefix + "l/"
	// PartitionPrefix is the prefix of the leadership keys of the partitions.
	PartitionPrefix = LivePrefix + "p/"
	// SchemaPrefix is the prefix, followed by a node's name, of what schema that node reads.
	SchemaPrefix = LivePrefix + "v/"
	// FleetRolePrefix is the prefix, followed by a role, of the leadership keys of the fleet's
	// roles.
	FleetRolePrefix = LivePrefix + "d/"
	// RequestsPrefix is the prefix, followed by a partition's index, of its leader's open
	// requests for machines.
	RequestsPrefix = LivePrefix + "r/"
	// TerminalPrefix is the prefix of the terminal states of jobs.
	TerminalPrefix = "over/"
)

// SlotKey returns the key of a slot of a partition's log.
func SlotKey(partition, slot int) string { return fmt.Sprintf("%s%d/%04d", LogPrefix, partition, slot) }
