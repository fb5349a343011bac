package records

import "fmt"

// Keys of the store. All keys that the watch cache follows begin with LivePrefix. The terminal
// records of jobs have another prefix and are read one by one.
const (
	// LivePrefix is the prefix of all keys that the watch cache follows.
	LivePrefix = "live/"
	// AdoptionKey changes with every adoption of orphaned instances.
	AdoptionKey = LivePrefix + "a"
	// CatalogKey holds the first page of the catalog of machine types. Further pages are at
	// CatalogKey/1, CatalogKey/2 and so on. The stored prices may be out of date.
	CatalogKey = LivePrefix + "c"
	// JobPrefix is the prefix, followed by a job's id, of the records of unfinished jobs.
	JobPrefix = LivePrefix + "j/"
	// LogPrefix is the prefix of the partitions' logs; see SlotKey.
	LogPrefix = LivePrefix + "l/"
	// PartitionPrefix is the prefix of the leadership keys of the partitions.
	PartitionPrefix = LivePrefix + "p/"
	// SchemaPrefix is the prefix, followed by a node's name, of the schemas that nodes read.
	SchemaPrefix = LivePrefix + "v/"
	// FleetRolePrefix is the prefix, followed by a role, of the leadership keys of fleet roles.
	FleetRolePrefix = LivePrefix + "d/"
	// RequestsPrefix is the prefix, followed by a partition's index, of its leader's open
	// requests for machines.
	RequestsPrefix = LivePrefix + "r/"
	// TerminalPrefix is the prefix, followed by a job's id, of the terminal records of jobs.
	TerminalPrefix = "over/"
)

// SlotKey returns the key of a slot in a partition's log.
func SlotKey(partition, slot int) string { return fmt.Sprintf("%s%d/%04d", LogPrefix, partition, slot) }
