// Package cluster holds the in-memory replica of jobs, tasks, machines and partitions, the
// rules by which they change, and the log that commits the changes.
//
// State is the replica. TaskLifecycle decides the state transitions of tasks.
// MachineRegistry applies machine records. DependencyGraph tracks which jobs depend on
// which. PartitionLog commits the changes to the partitions that this controller leads.
// The comments in Machine and Job name, for each group of fields, the component that writes
// it.
//
// The package does no input or output, reads no clock and starts no goroutine.
package cluster
