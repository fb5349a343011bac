package core

import (
	"fmt"
	"math"
	"slices"

	"spurmoor/internal/sched"
	"spurmoor/internal/wire"
)

// found is what is known of a job.
type found int

const (
	unknown found = iota // could not be told
	never                // no such job was accepted
	known
)

// applyOwn takes in what we wrote, unless the mirror is past it already: the
// key may have been deleted since.
func (c *Core) applyOwn(key string, value []byte, rev uint64) {
	if rev > c.rev {
		c.apply(key, value, rev)
	}
}

// lookup tells a job's state, no older than any that was told before: a
// final one from memory, any other after a read begun now.
func (c *Core) lookup(id string, f func(found, wire.JobStatus)) {
	final := func(rec finalRecord) {
		zero := 0
		f(known, wire.JobStatus{ID: id, State: rec.State, Done: &rec.Done, Running: &zero})
	}
	if rec, ok := c.finals.state[id]; ok {
		final(rec)
		return
	}
	if !wire.ValidID(id) {
		f(never, wire.JobStatus{})
		return
	}
	c.read(func(ok bool) {
		if !ok {
			f(unknown, wire.JobStatus{})
			return
		}
		if j := c.jobs[id]; j != nil && !j.over {
			if j.unsure > 0 && !j.begun() && !j.cancelled {
				f(unknown, wire.JobStatus{}) // perhaps it is withdrawn
				return
			}
			f(known, j.status())
			return
		}
		c.readFinal(id, func(found found) {
			if found == known {
				final(c.finals.state[id])
				return
			}
			f(found, wire.JobStatus{})
		})
	})
}

func (j *job) status() wire.JobStatus {
	state := wire.Pending
	switch {
	case j.cancelled:
		state = wire.Cancelled
	case j.nPlaced > 0:
		state = wire.Running
	}
	d, r := j.nDone, j.nPlaced
	return wire.JobStatus{ID: j.id, State: state, Done: &d, Running: &r}
}

func (c *Core) submit(v Submit) {
	spec, err := wire.ParseJob(v.Body)
	if err != nil {
		c.unlessKnown(v.Req, wire.JobID(v.Body), 400, err.Error(), 0)
		return
	}
	if !c.synced {
		c.refuse(v.Req, 503, "the state service has not been read yet", 1)
		return
	}
	if len(c.types) == 0 {
		c.unlessKnown(v.Req, spec.ID, 503, "the machine types are not known yet", 2)
		return
	}
	if why := c.impossible(spec); why != "" {
		c.unlessKnown(v.Req, spec.ID, 422, why, 0)
		return
	}
	if len(mustJSON(jobRecord{Spec: without(*spec), At: c.now})) > c.maxValue() {
		c.unlessKnown(v.Req, spec.ID, 400, "the job's description is too long", 0)
		return
	}
	if o, _ := c.known(spec.ID); o != unsure {
		// Known by the mirror: a transaction that is sure to fail would count
		// as a change all the same.
		c.unlessKnown(v.Req, spec.ID, 503, "the state service is busy", 1)
		return
	}
	if len(c.jobs) >= c.set.Ops.QueueJobs || c.accepts >= 100 {
		c.unlessKnown(v.Req, spec.ID, 429, "too many unfinished jobs", 5)
		return
	}
	if c.storeBad > 0 && c.now > c.storeBad+2*Second {
		c.refuse(v.Req, 503, "the state service does not answer", 1)
		return
	}
	if len(spec.Needs) == 0 {
		c.accept(v.Req, mustJSON(jobRecord{Spec: *spec, At: c.now}), spec)
		return
	}
	if slices.Contains(spec.Needs, spec.ID) {
		c.unlessKnown(v.Req, spec.ID, 422, "the job waits for itself", 0)
		return
	}
	if !c.allRead() {
		c.unlessKnown(v.Req, spec.ID, 503, "not all controllers know jobs that wait for jobs yet", 2)
		return
	}
	at := c.now
	c.accepts++
	c.vouch(spec, func(status int, why string) {
		c.accepts--
		if status != 0 {
			c.unlessKnown(v.Req, spec.ID, status, why, 1)
			return
		}
		rec := jobRecord{Spec: *spec, At: at}
		c.shorten(&rec)
		value := mustJSON(rec)
		if len(value) > c.maxValue() {
			rec.pack()
			value = mustJSON(rec)
		}
		if len(value) > c.maxValue() {
			c.unlessKnown(v.Req, spec.ID, 503, "it waits for more unfinished jobs than can be recorded", 5)
			return
		}
		c.accept(v.Req, value, spec)
	})
}

// without gives a job without what it needs.
func without(spec wire.Job) wire.Job {
	spec.Needs = nil
	return spec
}

// accept records a job, and tells its user once that is durable.
func (c *Core) accept(reqID uint64, rec []byte, spec *wire.Job) {
	c.accepts++
	c.spend(1)
	req := &wire.Txn{If: []wire.Guard{{Key: jobKey + spec.ID}, {Key: overKey + spec.ID}},
		Then: []wire.Write{{Put: jobKey + spec.ID, Value: rec}}}
	sent := c.now
	c.callStore(StoreCall{Op: OpTxn, Txn: req}, func(r *StoreReply) {
		c.accepts--
		switch r.Status {
		case 200:
			c.applyOwn(jobKey+spec.ID, rec, r.Txn.Revision)
			if len(spec.Needs) == 0 && c.now < sent+readAge {
				c.answer(reqID, 201, wire.JobStatus{ID: spec.ID, State: wire.Pending})
				return
			}
			// It, or what it needs, may have been cancelled meanwhile, told by another.
			c.lookup(spec.ID, func(f found, s wire.JobStatus) {
				if f != known {
					c.refuse(reqID, 503, "the state service did not answer", 1)
					return
				}
				c.answer(reqID, 201, wire.JobStatus{ID: spec.ID, State: s.State})
			})
		case 409:
			c.unlessKnown(reqID, spec.ID, 503, "the state service is busy", 1)
		default:
			c.refuse(reqID, 503, "the state service did not answer", 1)
		}
	})
}

// unlessKnown refuses a submission, but answers 200 where the job was
// accepted before, whatever its body says now.
func (c *Core) unlessKnown(req uint64, id string, status int, why string, after int) {
	if id == "" {
		c.refuse(req, status, why, after)
		return
	}
	c.lookup(id, func(f found, s wire.JobStatus) {
		switch f {
		case known:
			c.answer(req, 200, s)
		case never:
			c.refuse(req, status, why, after)
		default:
			c.refuse(req, 503, "the state service did not answer", 1)
		}
	})
}

// impossible says why a job can never run.
func (c *Core) impossible(j *wire.Job) string {
	if _, ok := c.set.TeamPart[j.Team]; !ok {
		return "unknown team"
	}
	need := sched.ResOf(j.CPUs, j.GPUs, j.MemoryGB)
	fits := false
	for _, t := range c.types {
		for _, z := range t.Zones {
			fits = fits || sched.Allowed(j, t.Name, z, false) && sched.ResOf(t.CPUs, t.GPUs, t.MemoryGB).Fits(need)
		}
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	n := 1
	if j.Kind != wire.Array {
		n = j.Tasks
	}
	for _, t := range c.set.Facts.Teams {
		limit := sched.ResOf(t.CPUsMax, t.GPUsMax, 0)
		if t.Name == j.Team && (limit.CPU > 0 && need.CPU*int64(n) > limit.CPU || limit.GPU > 0 && need.GPU*int64(n) > limit.GPU) {
			return "the job needs more than the team's limit"
		}
	}
	return ""
}

func (c *Core) poll(v Poll) {
	c.lookup(v.ID, func(f found, s wire.JobStatus) {
		switch f {
		case known:
			c.answer(v.Req, 200, s)
		case never:
			c.refuse(v.Req, 404, "no such job", 0)
		default:
			c.refuse(v.Req, 503, "the state service did not answer", 1)
		}
	})
}

func (c *Core) cancel(v Cancel) { c.tryCancel(v, 4) }

func (c *Core) tryCancel(v Cancel, tries int) {
	away := func() { c.refuse(v.Req, 503, "the state service did not answer", 1) }
	c.lookup(v.ID, func(f found, s wire.JobStatus) {
		j := c.jobs[v.ID]
		switch {
		case f == never:
			c.refuse(v.Req, 404, "no such job", 0)
		case f == unknown:
			away()
		case s.State == wire.Done || s.State == wire.Cancelled:
			c.answer(v.Req, 200, wire.JobStatus{ID: v.ID, State: s.State})
		case j == nil || tries == 0:
			away()
		default:
			// Nobody asks any more what a cancelled job needed.
			rec := mustJSON(jobRecord{Spec: without(j.spec), At: j.at, Cancelled: true})
			req := &wire.Txn{If: []wire.Guard{{Key: jobKey + j.id, Version: j.ver}},
				Then: []wire.Write{{Put: jobKey + j.id, Value: rec}}}
			c.spend(1)
			c.callStore(StoreCall{Op: OpTxn, Txn: req}, func(r *StoreReply) {
				switch r.Status {
				case 200:
					c.applyOwn(jobKey+v.ID, rec, r.Txn.Revision)
					c.tellCancelled(v.ID)
					c.answer(v.Req, 200, wire.JobStatus{ID: v.ID, State: wire.Cancelled})
				case 409:
					c.tryCancel(v, tries-1)
				default:
					away()
				}
			})
		}
	})
}

// ready says whether users should be sent here. Where the state service is
// away for every controller, all stay: leaving would only delay the return.
func (c *Core) ready(v Ready) {
	if !c.synced || c.storeBad > 0 && c.now > c.storeBad+Second && c.othersAble() {
		c.refuse(v.Req, 503, string(c.conditionNow()), 1)
		return
	}
	c.answer(v.Req, 200, wire.Readiness{Condition: string(c.conditionNow())})
}

// explain says why a job waits and when it should be done. Estimates are often
// wrong by half, so that much is said to either side.
func (c *Core) explain(v Explain) {
	c.lookup(v.ID, func(f found, s wire.JobStatus) {
		j := c.jobs[v.ID]
		switch {
		case f == never:
			c.refuse(v.Req, 404, "no such job", 0)
		case f == unknown:
			c.refuse(v.Req, 503, "the state service did not answer", 1)
		case j == nil || j.over || j.cancelled:
			c.answer(v.Req, 200, wire.Explanation{ID: v.ID, State: s.State})
		default:
			e := wire.Explanation{ID: v.ID, State: s.State, Holder: c.parts[j.part].rec.Node, Why: c.why[v.ID],
				WaitedS: float64(c.now-j.at) / float64(Second)}
			end := c.expected(j, map[string]int64{})
			switch {
			case j.open > 0:
				e.Why = "waits for other jobs to be done"
				for _, id := range j.needs {
					if c.needs[id].outcome != ended && len(e.WaitsFor) < maxNamed {
						e.WaitsFor = append(e.WaitsFor, id)
					}
				}
			case e.Holder == "":
				e.Why = "no controller holds its team's part at the moment"
			case !c.parts[j.part].held:
				e.Why = "ask " + e.Holder + ", which plans it"
			case j.suspect:
				e.Why = fmt.Sprintf("it fails on every machine that it is tried on: %d failures so far", j.failures)
				if c.now < j.holdOff {
					e.Why += fmt.Sprintf(", tried again in %.0f s", math.Ceil(float64(j.holdOff-c.now)/float64(Second)))
				}
			}
			if end > c.now && j.spec.Kind != wire.Daemon {
				e.DoneInS = float64(end-c.now) / float64(Second)
				e.Earliest, e.Latest = e.DoneInS/2, e.DoneInS*3/2
			}
			if j.spec.DeadlineS > 0 {
				e.DeadlineInS = j.spec.DeadlineS - e.WaitedS
				switch {
				case end == 0:
				case e.Latest <= e.DeadlineInS:
					e.InTime = wire.InTimeYes
				case e.Earliest > e.DeadlineInS:
					e.InTime = wire.InTimeNo
				default:
					e.InTime = wire.InTimePerhaps
				}
			}
			c.answer(v.Req, 200, e)
		}
	})
}

// maxNamed bounds the jobs named in an explanation.
const maxNamed = 100

// expected is when a job should be done, by the estimates: as its planner said,
// or, where that is another controller or all that it needs is not done, as long
// after that as a task takes. 0: it cannot be said.
func (c *Core) expected(j *job, memo map[string]int64) int64 {
	if end, ok := memo[j.id]; ok {
		return end
	}
	var from int64
	for _, id := range j.needs {
		if o := c.jobs[id]; o != nil && !o.over {
			at := c.expected(o, memo)
			if at == 0 {
				memo[j.id] = 0
				return 0
			}
			from = max(from, at)
		}
	}
	end := c.ends[j.id]
	switch {
	case j.spec.Kind == wire.Daemon:
		end = 0
	case end > c.now:
	case j.open == 0 && c.parts[j.part].held:
		end = 0 // ours, and the planner has not said yet
	default:
		end = max(from, c.now) + secs(j.spec.EstimateS+j.spec.ImageGB*c.slowest())
	}
	memo[j.id] = end
	return end
}
