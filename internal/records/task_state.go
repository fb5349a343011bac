package records

import "strconv"

// TaskState is the state of a task in the log. Other versions of the program read the numbers,
// so they never change.
//
//	pending ──placed on a machine──▶ placed ──exited with success──▶ done
//	   ▲                               │
//	   └──gone, failed or stopped──────┘
type TaskState uint8

// States of tasks.
const (
	// TaskPending is the state of a task that waits to be placed.
	TaskPending TaskState = iota
	// TaskPlaced is the state of a task that is assigned to a machine, whether or not it has
	// started. The task stays in it until it is proven that it is no longer on the machine.
	TaskPlaced
	// TaskDone is the state of a task that has succeeded. It is terminal.
	TaskDone
)

// CanBecome reports whether the leader of a partition may move a task from one state to the
// next. It does not apply to two other changes of a replica. The replica of a partition that
// another controller leads may skip states, since an overwritten slot of the log holds only the
// latest state of a task. A leader that discards uncommitted changes returns to earlier states.
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

// String returns the name of the state, for test failures and debugging.
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
