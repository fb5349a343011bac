package core

import (
	"slices"

	"github.com/go-json-experiment/json"

	"spurmoor/internal/wire"
)

// Jobs that wait for jobs. Whether a job may start, or is withdrawn with one
// that it needs, follows from the state service alone: every controller works
// it out from the replica, so nobody has to be told and a take-over changes
// nothing. A need whose key is gone was done or withdrawn; which of the two, the
// order of the changes says, or its final record.

// outcome is what became of a job that others need.
type outcome uint8

const (
	outcomeUnknown   outcome = iota // over; its final record is being read
	unfinished                      // neither
	outcomeDone                     // done
	outcomeWithdrawn                // cancelled, or needs one that is
)

// dependency is a job that unfinished others dependency.
type dependency struct {
	outcome
	at int64 // when it was done
	by []*job
}

// maxReads bounds the final records being read at a time for needs.
const maxReads = 32

// link notes what a job needs.
func (c *Core) link(j *job) {
	for _, id := range j.needs {
		n := c.needs[id]
		if n == nil {
			n = &dependency{}
			if n.outcome, n.at = c.knownOutcome(id); n.outcome == outcomeUnknown {
				c.needsToRead = append(c.needsToRead, id)
			}
			c.needs[id] = n
		}
		n.by = append(n.by, j)
	}
	c.review(j)
}

// unlink forgets what a job that is over needed.
func (c *Core) unlink(j *job) {
	for _, id := range j.needs {
		n := c.needs[id]
		if n == nil {
			continue
		}
		if n.by = slices.DeleteFunc(n.by, func(o *job) bool { return o == j }); len(n.by) == 0 {
			delete(c.needs, id)
		}
	}
}

// knownOutcome tells what became of a job, as far as no read is needed for it.
func (c *Core) knownOutcome(id string) (outcome, int64) {
	if rec, ok := c.finals.state[id]; ok {
		return rec.outcome(), rec.At
	}
	switch j := c.jobs[id]; {
	case j == nil:
		return outcomeUnknown, 0
	case j.cancelled:
		return outcomeWithdrawn, 0
	}
	return unfinished, 0
}

func (r finalRecord) outcome() outcome {
	if r.State == wire.Done {
		return outcomeDone
	}
	return outcomeWithdrawn
}

// settleNeed takes in what became of a job, and what follows for those that need it.
func (c *Core) settleNeed(id string, o outcome, at int64) {
	n := c.needs[id]
	if n == nil || n.outcome == o || n.outcome >= outcomeDone {
		return
	}
	if n.outcome, n.at = o, at; o == outcomeUnknown {
		c.needsToRead = append(c.needsToRead, id)
	}
	for _, j := range n.by {
		c.review(j)
	}
}

// review works out anew whether a job must wait, and whether it is withdrawn.
func (c *Core) review(j *job) {
	had := j.openNeeds
	j.openNeeds, j.unsure, j.needed = 0, 0, 0
	for _, id := range j.needs {
		switch n := c.needs[id]; n.outcome {
		case outcomeDone:
			j.needed = max(j.needed, n.at)
			continue
		case outcomeUnknown:
			j.unsure++
		case outcomeWithdrawn:
			j.needWithdrawn = true
		}
		j.openNeeds++
	}
	if had > 0 && j.openNeeds == 0 {
		c.debug("all that the job needs is done", "job", j.id, "after_s", (c.now-j.at)/Second)
		c.planWithin(0)
	}
	if j.needWithdrawn && !j.cancelled {
		j.cancelled = true
		c.debug("job withdrawn with one that it needs", "job", j.id)
		c.mark(j)
		c.settleNeed(j.id, outcomeWithdrawn, 0)
	}
}

// from is when a job could have started: its times count from there.
func (j *job) from() int64 { return max(j.at, j.needed) }

// begun tells whether some task was started, so that all it needs is done.
func (j *job) begun() bool { return j.nPlaced+j.nDone > 0 }

// final tells what a job that vanished from the replica had become, if that is
// known. A cancellation changes the job's key before its end does, and a final
// state guards the version that it follows: without one the job was done.
func (c *Core) final(j *job) (finalRecord, bool) {
	if rec, ok := c.finals.state[j.id]; ok {
		return rec, true
	}
	switch {
	case j.cancelled:
		return finalRecord{State: wire.Cancelled, Done: j.nDone}, true
	case j.unsure > 0 && !j.begun():
		return finalRecord{}, false
	}
	return finalRecord{State: wire.Done, Done: j.spec.Tasks, At: c.now}, true
}

// keepNeeds reads the final records of needs that were over before the replica
// could show how, a few at a time.
func (c *Core) keepNeeds() {
	if !c.synced || c.now < c.unsureAt {
		return
	}
	for len(c.needsToRead) > 0 && c.needReads < maxReads/2 {
		id := c.needsToRead[0]
		c.needsToRead = c.needsToRead[1:]
		if n := c.needs[id]; n == nil || n.outcome != outcomeUnknown {
			continue
		}
		if o, at := c.knownOutcome(id); o != outcomeUnknown {
			c.settleNeed(id, o, at)
			continue
		}
		c.readNeed(id, func(f found) {
			if n := c.needs[id]; f != known && n != nil && n.outcome == outcomeUnknown {
				if f == never {
					c.fault("no trace of a job that others need", "job", id)
				}
				c.needsToRead, c.unsureAt = append(c.needsToRead, id), c.now+c.jitter(Second/2)
			}
		})
	}
}

// readNeed is readFinal for a need, of which so many are read at a time; what
// users ask of jobs that are over does not count.
func (c *Core) readNeed(id string, f func(found)) {
	c.needReads++
	c.readFinal(id, func(found found) {
		c.needReads--
		f(found)
	})
}

// readFinal reads a job's final record, and notes what it says.
func (c *Core) readFinal(id string, f func(found)) {
	c.callStore(StoreCall{Op: OpGet, Key: overKey + id}, func(r *StoreReply) {
		var rec finalRecord
		switch {
		case r.Status == 404:
			f(never)
		case r.Status == 200 && json.Unmarshal(r.Item.Value, &rec) == nil && rec.State != "":
			c.finals.add(id, rec)
			c.settleNeed(id, rec.outcome(), rec.At)
			f(known)
		default:
			f(unknown)
		}
	})
}

// checkNeeds makes sure that all jobs that a submission names were accepted, from a
// read begun after it arrived where the replica doesn't know one. It gives 0, or
// the status of a refusal.
func (c *Core) checkNeeds(spec *wire.Job, f func(status int, why string)) {
	if len(c.unknownNeeds(spec)) == 0 {
		f(c.judgeNeeds(spec))
		return
	}
	c.read(func(ok bool) {
		if !ok {
			f(503, "the state service did not answer")
			return
		}
		// What is left is over or was never accepted. A long list is read in
		// several tries of its user, each of which finds more of it known.
		list := c.unknownNeeds(spec)
		if len(list) == 0 {
			f(c.judgeNeeds(spec))
			return
		}
		most := max(0, maxReads-c.needReads)
		if most == 0 {
			f(503, "too many submissions that name others at a time")
			return
		}
		all := len(list) <= most
		c.readNeeds(list[:min(len(list), most)], func(missing string, failed bool) {
			switch {
			case missing != "":
				f(422, missing+" was never accepted")
			case failed || !all:
				f(503, "not all jobs that it names could be looked up")
			default:
				f(c.judgeNeeds(spec))
			}
		})
	})
}

// unknownNeeds lists the jobs a submission names of which nothing is known.
func (c *Core) unknownNeeds(spec *wire.Job) []string {
	var list []string
	for _, id := range spec.Needs {
		if o, _ := c.knownOutcome(id); o == outcomeUnknown {
			list = append(list, id)
		}
	}
	return list
}

// judgeNeeds tells whether accepted jobs may be waited for.
func (c *Core) judgeNeeds(spec *wire.Job) (status int, why string) {
	for _, id := range spec.Needs {
		if j := c.jobs[id]; j != nil && j.spec.Kind == wire.Daemon {
			return 422, id + " is a service: it is never done"
		}
	}
	return 0, ""
}

// readNeeds reads the final records of jobs, and tells which was never accepted,
// if any, and whether some could not be read.
func (c *Core) readNeeds(list []string, f func(missing string, failed bool)) {
	left, missing, failed := len(list), "", false
	for _, id := range list {
		c.readNeed(id, func(found found) {
			left--
			switch found {
			case never:
				missing = id
			case unknown:
				failed = true
			}
			if left == 0 {
				f(missing, failed)
			}
		})
	}
}

// shorten leaves of what a job needs only what is not over: the rest says
// nothing any more. One that needs a withdrawn job is withdrawn itself.
func (c *Core) shorten(rec *jobRecord) {
	var left []string
	for _, id := range rec.Spec.Needs {
		switch o, _ := c.knownOutcome(id); o {
		case outcomeDone:
		case outcomeWithdrawn:
			rec.Spec.Needs, rec.Cancelled = nil, true
			return
		default:
			left = append(left, id)
		}
	}
	rec.Spec.Needs = left
}
