package core

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// lookupResult is what is known of a job.
type lookupResult int

const (
	lookupUnknown    lookupResult = iota // could not be told
	jobNeverAccepted                     // no such job was accepted
	jobKnown
)

// applyOwnWrite takes in what we wrote, unless the replica is past it already: the
// key may have been deleted since.
func (c *Controller) applyOwnWrite(key string, value []byte, rev uint64) {
	if rev > c.revision {
		c.applyPut(key, value, rev)
	}
}

// lookUpJob tells a job's state, no older than any that was told before: a
// final one from memory, any other after a read begun now.
func (c *Controller) lookUpJob(id string, f func(lookupResult, api.JobStatus)) {
	final := func(rec terminalRecord) {
		zero := 0
		f(jobKnown, api.JobStatus{ID: id, State: rec.State, Done: &rec.DoneTasks, Running: &zero})
	}
	if rec, ok := c.terminalStates.records[id]; ok {
		final(rec)
		return
	}
	if !api.ValidID(id) {
		f(jobNeverAccepted, api.JobStatus{})
		return
	}
	c.readLatest(func(ok bool) {
		if !ok {
			f(lookupUnknown, api.JobStatus{})
			return
		}
		if j := c.jobs[id]; j != nil && !j.terminal {
			if j.unknownDependencies > 0 && !j.hasStarted() && !j.cancelled {
				f(lookupUnknown, api.JobStatus{}) // perhaps it is withdrawn
				return
			}
			f(jobKnown, j.status())
			return
		}
		c.readTerminalRecord(id, func(found lookupResult) {
			if found == jobKnown {
				final(c.terminalStates.records[id])
				return
			}
			f(found, api.JobStatus{})
		})
	})
}

func (j *job) status() api.JobStatus {
	state := api.JobPending
	switch {
	case j.cancelled:
		state = api.JobCancelled
	case j.placedTasks > 0:
		state = api.JobRunning
	}
	d, r := j.doneTasks, j.placedTasks
	return api.JobStatus{ID: j.id, State: state, Done: &d, Running: &r}
}

// refusal is why a submission is not accepted, and when to try again.
type refusal struct {
	status      int
	reason      string
	retryAfterS int // seconds; 0: not again
}

// maxAcceptsInFlight bounds the submissions that are being recorded at a time.
const maxAcceptsInFlight = 100

// storeUnavailableAfter is how long the state service must not answer before submissions
// are refused without asking it.
const storeUnavailableAfter = 2 * micros.Second

func (c *Controller) handleSubmit(v Submit) {
	spec, err := api.ParseJob(v.Body)
	if err != nil {
		c.answerDuplicateOrRefuse(v.RequestID, api.JobID(v.Body), refusal{400, err.Error(), 0})
		return
	}
	if !c.synced {
		c.refuse(v.RequestID, 503, "the state service has not been read yet", 1)
		return
	}
	if r := c.admissionRefusal(spec); r != nil {
		c.answerDuplicateOrRefuse(v.RequestID, spec.ID, *r)
		return
	}
	if c.unavailableSince > 0 && c.now > c.unavailableSince+storeUnavailableAfter {
		c.refuse(v.RequestID, 503, "the state service does not answer", 1)
		return
	}
	if len(spec.Dependencies) == 0 {
		c.recordJob(v.RequestID, mustMarshal(jobRecord{Spec: *spec, AcceptedAt: c.now}), spec)
		return
	}
	c.submitWithDependencies(v.RequestID, spec)
}

// admissionRefusal says why a submission is not accepted whatever the state service
// answers; nil if it may be.
func (c *Controller) admissionRefusal(spec *api.Job) *refusal {
	if len(c.machineTypes) == 0 {
		return &refusal{503, "the machine types are not known yet", 2}
	}
	if why := c.neverSchedulable(spec); why != "" {
		return &refusal{422, why, 0}
	}
	if len(mustMarshal(jobRecord{Spec: withoutDependencies(*spec), AcceptedAt: c.now})) > c.maxValueBytes() {
		return &refusal{400, "the job's description is too long", 0}
	}
	if o, _ := c.knownOutcome(spec.ID); o != outcomeUnknown {
		// Known by the replica: a transaction that is sure to fail would count
		// as a change all the same.
		return &refusal{503, "the state service is busy", 1}
	}
	if len(c.jobs) >= c.settings.MaxUnfinishedJobs() || c.acceptsInFlight >= maxAcceptsInFlight {
		return &refusal{429, "too many unfinished jobs", 5}
	}
	return nil
}

// submitWithDependencies accepts a job that waits for others, once all of those are known
// to have been accepted.
func (c *Controller) submitWithDependencies(reqID uint64, spec *api.Job) {
	if slices.Contains(spec.Dependencies, spec.ID) {
		c.answerDuplicateOrRefuse(reqID, spec.ID, refusal{422, "the job waits for itself", 0})
		return
	}
	if !c.allReadSchema(schemaDependencies) {
		c.answerDuplicateOrRefuse(reqID, spec.ID, refusal{503, "not all controllers know jobs that wait for jobs yet", 2})
		return
	}
	at := c.now
	c.acceptsInFlight++
	c.verifyDependencies(spec, func(status int, why string) {
		c.acceptsInFlight--
		if status != 0 {
			c.answerDuplicateOrRefuse(reqID, spec.ID, refusal{status, why, 1})
			return
		}
		rec := jobRecord{Spec: *spec, AcceptedAt: at}
		c.dropSettledDependencies(&rec)
		value := mustMarshal(rec)
		if len(value) > c.maxValueBytes() {
			rec.packDependencies()
			value = mustMarshal(rec)
		}
		if len(value) > c.maxValueBytes() {
			c.answerDuplicateOrRefuse(reqID, spec.ID, refusal{503, "it waits for more unfinished jobs than can be recorded", 5})
			return
		}
		c.recordJob(reqID, value, spec)
	})
}

// withoutDependencies gives a job without what it needs.
func withoutDependencies(spec api.Job) api.Job {
	spec.Dependencies = nil
	return spec
}

// recordJob records a job, and tells its user once that is durable.
func (c *Controller) recordJob(reqID uint64, rec []byte, spec *api.Job) {
	c.acceptsInFlight++
	c.chargeWrites(1)
	req := &api.Transaction{Compares: []api.Compare{{Key: jobKey + spec.ID}, {Key: terminalKey + spec.ID}},
		Writes: []api.Write{{Put: jobKey + spec.ID, Value: rec}}}
	sent := c.now
	c.callStore(StoreCall{Op: OpTransaction, Transaction: leadership.NewOrder(leadership.SharedGrant(leadership.ForUser, leadership.Write), req)}, func(r *StoreReply) {
		c.acceptsInFlight--
		switch r.Status {
		case 200:
			c.applyOwnWrite(jobKey+spec.ID, rec, r.Transaction.Revision)
			if len(spec.Dependencies) == 0 && c.now < sent+maxReadAge {
				c.answer(reqID, 201, api.JobStatus{ID: spec.ID, State: api.JobPending})
				return
			}
			// It, or what it needs, may have been cancelled meanwhile, told by another.
			c.lookUpJob(spec.ID, func(f lookupResult, s api.JobStatus) {
				if f != jobKnown {
					c.refuse(reqID, 503, "the state service did not answer", 1)
					return
				}
				c.answer(reqID, 201, api.JobStatus{ID: spec.ID, State: s.State})
			})
		case 409:
			c.answerDuplicateOrRefuse(reqID, spec.ID, refusal{503, "the state service is busy", 1})
		default:
			c.refuse(reqID, 503, "the state service did not answer", 1)
		}
	})
}

// answerDuplicateOrRefuse refuses a submission, but answers 200 where the job was
// accepted before, whatever its body says now.
func (c *Controller) answerDuplicateOrRefuse(req uint64, id string, r refusal) {
	if id == "" {
		c.refuse(req, r.status, r.reason, r.retryAfterS)
		return
	}
	c.lookUpJob(id, func(f lookupResult, s api.JobStatus) {
		switch f {
		case jobKnown:
			c.answer(req, 200, s)
		case jobNeverAccepted:
			c.refuse(req, r.status, r.reason, r.retryAfterS)
		default:
			c.refuse(req, 503, "the state service did not answer", 1)
		}
	})
}

// neverSchedulable says why a job can never run.
func (c *Controller) neverSchedulable(j *api.Job) string {
	if _, ok := c.settings.TeamPartition[j.Team]; !ok {
		return "unknown team"
	}
	need := scheduler.ResourcesOf(j.CPUs, j.GPUs, j.MemoryGB)
	fits := false
	for _, t := range c.machineTypes {
		for _, z := range t.Zones {
			fits = fits || scheduler.Allowed(j, t.Name, z, false) && scheduler.ResourcesOf(t.CPUs, t.GPUs, t.MemoryGB).Fits(need)
		}
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	n := 1
	if j.Kind != api.Array {
		n = j.Tasks
	}
	for _, t := range c.settings.Deployment.Teams {
		limit := scheduler.ResourcesOf(t.MaxCPUs, t.MaxGPUs, 0)
		if t.Name == j.Team && (limit.CPU > 0 && need.CPU*int64(n) > limit.CPU || limit.GPU > 0 && need.GPU*int64(n) > limit.GPU) {
			return "the job needs more than the team's limit"
		}
	}
	return ""
}

func (c *Controller) handleStatus(v GetStatus) {
	c.lookUpJob(v.ID, func(f lookupResult, s api.JobStatus) {
		switch f {
		case jobKnown:
			c.answer(v.RequestID, 200, s)
		case jobNeverAccepted:
			c.refuse(v.RequestID, 404, "no such job", 0)
		default:
			c.refuse(v.RequestID, 503, "the state service did not answer", 1)
		}
	})
}

func (c *Controller) handleCancel(v Cancel) { c.tryCancel(v, 4) }

func (c *Controller) tryCancel(v Cancel, tries int) {
	away := func() { c.refuse(v.RequestID, 503, "the state service did not answer", 1) }
	c.lookUpJob(v.ID, func(f lookupResult, s api.JobStatus) {
		j := c.jobs[v.ID]
		switch {
		case f == jobNeverAccepted:
			c.refuse(v.RequestID, 404, "no such job", 0)
		case f == lookupUnknown:
			away()
		case s.State == api.JobDone || s.State == api.JobCancelled:
			c.answer(v.RequestID, 200, api.JobStatus{ID: v.ID, State: s.State})
		case j == nil || tries == 0:
			away()
		default:
			// Nobody asks any more what a cancelled job needed.
			rec := mustMarshal(jobRecord{Spec: withoutDependencies(j.spec), AcceptedAt: j.acceptedAt, Cancelled: true})
			req := &api.Transaction{Compares: []api.Compare{{Key: jobKey + j.id, Version: j.version}},
				Writes: []api.Write{{Put: jobKey + j.id, Value: rec}}}
			c.chargeWrites(1)
			c.callStore(StoreCall{Op: OpTransaction, Transaction: leadership.NewOrder(leadership.SharedGrant(leadership.ForUser, leadership.Write), req)}, func(r *StoreReply) {
				switch r.Status {
				case 200:
					c.applyOwnWrite(jobKey+v.ID, rec, r.Transaction.Revision)
					c.notifyCancelled(v.ID)
					c.answer(v.RequestID, 200, api.JobStatus{ID: v.ID, State: api.JobCancelled})
				case 409:
					c.tryCancel(v, tries-1)
				default:
					away()
				}
			})
		}
	})
}

// handleReady says whether users should be sent here. Where the state service is
// away for every controller, all stay: leaving would only delay the return.
func (c *Controller) handleReady(v Ready) {
	if !c.synced || c.stopping || c.unavailableSince > 0 && c.now > c.unavailableSince+micros.Second && c.healthyPeerKnown() {
		c.refuse(v.RequestID, 503, string(c.currentCondition()), 1)
		return
	}
	c.answer(v.RequestID, 200, api.Readiness{Condition: string(c.currentCondition())})
}
