package cluster

import "spurmoor/internal/records"

// tasksPerChunk is the number of tasks in a chunk, the unit in which tasks of a job are
// allocated.
const tasksPerChunk = 128

// taskChunk holds consecutive tasks of a job. A chunk is allocated when one of its tasks first
// changes. Until then a job that waits, as most arrays do for a long time, takes no memory for
// its tasks. Its counts let loops skip chunks without tasks of the state that they look for.
type taskChunk struct {
	tasks       []Task
	placed      int
	done        int
	uncommitted int // tasks with an uncommitted change
}

// hasPending reports whether a task is neither placed nor done.
func (c *taskChunk) hasPending() bool { return c.placed+c.done < len(c.tasks) }

// count adds delta to the number of tasks in a state. Pending tasks are not counted.
func (c *taskChunk) count(state records.TaskState, delta int) {
	switch state {
	case records.TaskPending:
	case records.TaskPlaced:
		c.placed += delta
	case records.TaskDone:
		c.done += delta
	}
}

// chunkCount returns the number of chunks, allocated or not.
func (j *Job) chunkCount() int { return (j.Spec.Tasks + tasksPerChunk - 1) / tasksPerChunk }

// chunkAt returns a chunk by its number, or nil if it is not allocated.
func (j *Job) chunkAt(number int) *taskChunk {
	if j.chunks == nil {
		return nil
	}
	return j.chunks[number]
}

// ensureChunk returns the chunk of a task and allocates it if necessary. All tasks of a new chunk
// are pending.
func (j *Job) ensureChunk(index int) *taskChunk {
	if j.chunks == nil {
		j.chunks = make([]*taskChunk, j.chunkCount())
	}
	number := index / tasksPerChunk
	if j.chunks[number] == nil {
		j.chunks[number] = &taskChunk{tasks: make([]Task, min(tasksPerChunk, j.Spec.Tasks-number*tasksPerChunk))}
	}
	return j.chunks[number]
}

// EnsureTask returns a task. It allocates the task's chunk if necessary.
func (j *Job) EnsureTask(index int) *Task {
	return &j.ensureChunk(index).tasks[index%tasksPerChunk]
}

// Task returns a task, or nil if its chunk is not allocated or index is past the last task. A
// task without a chunk is pending.
func (j *Job) Task(index int) *Task {
	if index >= j.Spec.Tasks {
		return nil
	}
	if chunk := j.chunkAt(index / tasksPerChunk); chunk != nil {
		return &chunk.tasks[index%tasksPerChunk]
	}
	return nil
}

// taskIterator iterates over tasks of a job, in order, with their indexes. Its type is that of an
// iter.Seq2. It is written out because the state machine may import only a few packages of the
// standard library, and iter is not among them. The loop may change the tasks.
type taskIterator func(yield func(int, *Task) bool)

// allocatedTasks returns an iterator over the tasks of the allocated chunks.
func (j *Job) allocatedTasks() taskIterator {
	return j.tasksWhere(func(*taskChunk) bool { return true }, func(*Task) bool { return true })
}

// placedTasks returns an iterator over the placed tasks.
func (j *Job) placedTasks() taskIterator {
	return j.tasksWhere(
		func(chunk *taskChunk) bool { return chunk.placed > 0 },
		func(task *Task) bool { return task.State == records.TaskPlaced },
	)
}

// uncommittedTasks returns an iterator over the tasks with an uncommitted change.
func (j *Job) uncommittedTasks() taskIterator {
	return j.tasksWhere(
		func(chunk *taskChunk) bool { return chunk.uncommitted > 0 },
		func(task *Task) bool { return task.uncommitted },
	)
}

// tasksWhere returns an iterator over the tasks that match, in the allocated chunks that may have
// such tasks.
func (j *Job) tasksWhere(mayMatch func(*taskChunk) bool, matches func(*Task) bool) taskIterator {
	return func(yield func(int, *Task) bool) {
		for number, chunk := range j.chunks {
			if chunk == nil || !mayMatch(chunk) {
				continue
			}
			for i := range chunk.tasks {
				if matches(&chunk.tasks[i]) && !yield(number*tasksPerChunk+i, &chunk.tasks[i]) {
					return
				}
			}
		}
	}
}

// setUncommitted sets whether a task has an uncommitted change.
func (j *Job) setUncommitted(index int, uncommitted bool) {
	chunk := j.ensureChunk(index)
	task := &chunk.tasks[index%tasksPerChunk]
	if task.uncommitted == uncommitted {
		return
	}
	task.uncommitted = uncommitted
	delta := 1
	if !uncommitted {
		delta = -1
	}
	chunk.uncommitted += delta
	j.UncommittedTasks += delta
}
