// Package cluster holds the replica of jobs, tasks, machines and partitions, the rules by
// which they change, and the log by which changes are committed.
//
// State is the replica. TaskLifecycle decides what becomes of tasks, MachineRegistry
// applies machines' records, DependencyGraph relates jobs to the jobs that they depend
// on, and PartitionLog commits what was decided of the partitions that this controller
// leads. Machine and Job name, for each group of their fields, the component that writes
// it.
//
// The package is pure: it does no input or output, reads no clock and starts no
// goroutine.
package cluster
