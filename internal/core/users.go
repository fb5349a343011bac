package core

import (
	"github.com/go-json-experiment/json"

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
			f(known, j.status())
			return
		}
		c.callStore(StoreCall{Op: OpGet, Key: overKey + id}, func(r *StoreReply) {
			var rec finalRecord
			switch {
			case r.Status == 404:
				f(never, wire.JobStatus{})
			case r.Status == 200 && json.Unmarshal(r.Item.Value, &rec) == nil && rec.State != "":
				c.finals.add(id, rec)
				final(rec)
			default:
				f(unknown, wire.JobStatus{})
			}
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
	rec := mustJSON(jobRecord{Spec: *spec, At: c.now})
	if len(rec) > int(c.set.Facts.State.ValueKB*1000) {
		c.unlessKnown(v.Req, spec.ID, 400, "the job's description is too long", 0)
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
	c.accepts++
	c.spend(1)
	req := &wire.Txn{If: []wire.Guard{{Key: jobKey + spec.ID}, {Key: overKey + spec.ID}},
		Then: []wire.Write{{Put: jobKey + spec.ID, Value: rec}}}
	c.callStore(StoreCall{Op: OpTxn, Txn: req}, func(r *StoreReply) {
		c.accepts--
		switch r.Status {
		case 200:
			c.applyOwn(jobKey+spec.ID, rec, r.Txn.Revision)
			c.answer(v.Req, 201, wire.JobStatus{ID: spec.ID, State: wire.Pending})
		case 409:
			c.unlessKnown(v.Req, spec.ID, 503, "the state service is busy", 1)
		default:
			c.refuse(v.Req, 503, "the state service did not answer", 1)
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
			rec := mustJSON(jobRecord{Spec: j.spec, At: j.at, Cancelled: true})
			req := &wire.Txn{If: []wire.Guard{{Key: jobKey + j.id, Version: j.ver}},
				Then: []wire.Write{{Put: jobKey + j.id, Value: rec}}}
			c.spend(1)
			c.callStore(StoreCall{Op: OpTxn, Txn: req}, func(r *StoreReply) {
				switch r.Status {
				case 200:
					c.applyOwn(jobKey+v.ID, rec, r.Txn.Revision)
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
	if !c.synced {
		c.refuse(v.Req, 503, "the state service has not been read yet", 1)
		return
	}
	if c.storeBad > 0 && c.now > c.storeBad+Second && c.othersAble() {
		c.refuse(v.Req, 503, "the state service does not answer here", 1)
		return
	}
	c.answer(v.Req, 200, struct{}{})
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
			switch {
			case e.Holder == "":
				e.Why = "no controller holds its team's part at the moment"
			case !c.parts[j.part].held:
				e.Why = "ask " + e.Holder + ", which plans it"
			case c.now < j.holdOff:
				e.Why = "it failed on every machine that it was tried on; tried again later"
			}
			if end := c.ends[v.ID]; end > c.now && j.spec.Kind != wire.Daemon {
				e.DoneInS = float64(end-c.now) / float64(Second)
				e.Earliest, e.Latest = e.DoneInS/2, e.DoneInS*3/2
			}
			c.answer(v.Req, 200, e)
		}
	})
}
