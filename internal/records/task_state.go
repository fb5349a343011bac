package records

import "strconv"

// TaskState is the state of a task as the log records it: a number, whose values are read
// by other versions of the program and never change.
//
//	pending ──placed on a machine──▶ placed ──exited with success──▶ done
//	   ▲                               │
//	   └──gone, failed or stopped──────┘
type TaskState uint8

// States of tasks.
const (
	// TaskPending is the state of a task that waits to be placed.
	TaskPending TaskState = iota
	// TaskPlaced is the state of a task bound to a machine. It holds until the task is
	// proven to be gone from there, whether or not it has started.
	TaskPlaced
	// TaskDone is the state of a task that has succeeded. It is terminal.
	TaskDone
)

// CanBecome reports whether a partition's leader may decide that a task goes from one
// state to the next. It speaks of decisions alone: the replica of a partition that
// another controller leads may skip states, since a slot of a log that is written again
// tells the latest of a task only, and a leader that discards what was not committed goes
// back to what was.
func (s TaskState) CanBecome(next TaskState) bool {
	switch s {
	case TaskPending:
		return next == TaskPlaced
	case TaskPlaced:
		return next == TaskPending || next == TaskDone
	default:
		return false
	}
}

// String returns the name of a state, for test failures and debugging.
func (s TaskState) String() string {
	switch s {
	case TaskPending:
		return "pending"
	case TaskPlaced:
		return "placed"
	case TaskDone:
		return "done"
	default:
		return "unknown state " + strconv.Itoa(int(s))
	}
}
