package core

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// requestHandler answers users: submissions, questions and cancellations, and health
// checks.
type requestHandler struct {
	*environment
	applier      *recordApplier
	budget       *writeBudget
	cache        *watchCache
	catalog      *machineCatalog
	cluster      *clusterState
	condition    *conditionTracker
	dependencies *dependencyGraph
	messenger    *peerMessenger
	peers        *peerTracker
	roles        *roleManager
	schema       *schemaTracker
	storeHealth  *storeHealth

	acceptsInFlight int // submissions being recorded
}

func newRequestHandler(env *environment, applier *recordApplier, budget *writeBudget, cache *watchCache, catalog *machineCatalog,
	cluster *clusterState, condition *conditionTracker, dependencies *dependencyGraph, messenger *peerMessenger,
	peers *peerTracker, roles *roleManager, schema *schemaTracker, health *storeHealth) *requestHandler {
	return &requestHandler{environment: env, applier: applier, budget: budget, cache: cache, catalog: catalog, cluster: cluster,
		condition: condition, dependencies: dependencies, messenger: messenger, peers: peers, roles: roles, schema: schema, storeHealth: health}
}

// applyOwnWrite takes in what we wrote, unless the replica is past it already: the
// key may have been deleted since.
func (h *requestHandler) applyOwnWrite(key string, value []byte, rev uint64) {
	if rev > h.cache.revision {
		h.applier.applyPut(key, value, rev)
	}
}

// lookUpJob tells a job's state, no older than any that was told before: a
// final one from memory, any other after a read begun now.
func (h *requestHandler) lookUpJob(id string, f func(lookupResult, api.JobStatus)) {
	final := func(rec terminalRecord) {
		zero := 0
		f(jobKnown, api.JobStatus{ID: id, State: rec.State, Done: &rec.DoneTasks, Running: &zero})
	}
	if rec, ok := h.dependencies.terminalStates.records[id]; ok {
		final(rec)
		return
	}
	if !api.ValidID(id) {
		f(jobNeverAccepted, api.JobStatus{})
		return
	}
	h.cache.readLatest(func(ok bool) {
		if !ok {
			f(lookupUnknown, api.JobStatus{})
			return
		}
		if j := h.cluster.jobs[id]; j != nil && !j.terminal {
			if j.unknownDependencies > 0 && !j.hasStarted() && !j.cancelled {
				f(lookupUnknown, api.JobStatus{}) // perhaps it is withdrawn
				return
			}
			f(jobKnown, j.status())
			return
		}
		h.dependencies.readTerminalRecord(id, func(found lookupResult) {
			if found == jobKnown {
				final(h.dependencies.terminalStates.records[id])
				return
			}
			f(found, api.JobStatus{})
		})
	})
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

func (h *requestHandler) handleSubmit(v Submit) {
	spec, err := api.ParseJob(v.Body)
	if err != nil {
		h.answerDuplicateOrRefuse(v.RequestID, api.JobID(v.Body), refusal{status: 400, reason: err.Error(), retryAfterS: 0})
		return
	}
	if !h.cache.synced {
		h.refuse(v.RequestID, 503, "the state service has not been read yet", 1)
		return
	}
	if r := h.admissionRefusal(spec); r != nil {
		h.answerDuplicateOrRefuse(v.RequestID, spec.ID, *r)
		return
	}
	if h.storeHealth.unavailableSince > 0 && h.now > h.storeHealth.unavailableSince+storeUnavailableAfter {
		h.refuse(v.RequestID, 503, "the state service does not answer", 1)
		return
	}
	if len(spec.Dependencies) == 0 {
		h.recordJob(v.RequestID, mustMarshal(jobRecord{Spec: *spec, AcceptedAt: h.now}), spec)
		return
	}
	h.submitWithDependencies(v.RequestID, spec)
}

// admissionRefusal says why a submission is not accepted whatever the state service
// answers; nil if it may be.
func (h *requestHandler) admissionRefusal(spec *api.Job) *refusal {
	if len(h.catalog.machineTypes) == 0 {
		return &refusal{status: 503, reason: "the machine types are not known yet", retryAfterS: 2}
	}
	if why := h.neverSchedulable(spec); why != "" {
		return &refusal{status: 422, reason: why, retryAfterS: 0}
	}
	if len(mustMarshal(jobRecord{Spec: withoutDependencies(*spec), AcceptedAt: h.now})) > h.settings.maxValueBytes() {
		return &refusal{status: 400, reason: "the job's description is too long", retryAfterS: 0}
	}
	if o, _ := h.dependencies.knownOutcome(spec.ID); o != outcomeUnknown {
		// Known by the replica: a transaction that is sure to fail would count
		// as a change all the same.
		return &refusal{status: 503, reason: "the state service is busy", retryAfterS: 1}
	}
	if len(h.cluster.jobs) >= h.settings.MaxUnfinishedJobs() || h.acceptsInFlight >= maxAcceptsInFlight {
		return &refusal{status: 429, reason: "too many unfinished jobs", retryAfterS: 5}
	}
	return nil
}

// submitWithDependencies accepts a job that waits for others, once all of those are known
// to have been accepted.
func (h *requestHandler) submitWithDependencies(reqID uint64, spec *api.Job) {
	if slices.Contains(spec.Dependencies, spec.ID) {
		h.answerDuplicateOrRefuse(reqID, spec.ID, refusal{status: 422, reason: "the job waits for itself", retryAfterS: 0})
		return
	}
	if !h.schema.allReadSchema(schemaDependencies) {
		h.answerDuplicateOrRefuse(reqID, spec.ID, refusal{status: 503, reason: "not all controllers know jobs that wait for jobs yet", retryAfterS: 2})
		return
	}
	at := h.now
	h.acceptsInFlight++
	h.dependencies.verifyDependencies(spec, func(status int, why string) {
		h.acceptsInFlight--
		if status != 0 {
			h.answerDuplicateOrRefuse(reqID, spec.ID, refusal{status: status, reason: why, retryAfterS: 1})
			return
		}
		rec := jobRecord{Spec: *spec, AcceptedAt: at}
		h.dependencies.dropSettledDependencies(&rec)
		value := mustMarshal(rec)
		if len(value) > h.settings.maxValueBytes() {
			rec.packDependencies()
			value = mustMarshal(rec)
		}
		if len(value) > h.settings.maxValueBytes() {
			h.answerDuplicateOrRefuse(reqID, spec.ID, refusal{status: 503, reason: "it waits for more unfinished jobs than can be recorded", retryAfterS: 5})
			return
		}
		h.recordJob(reqID, value, spec)
	})
}

// withoutDependencies gives a job without what it needs.
func withoutDependencies(spec api.Job) api.Job {
	spec.Dependencies = nil
	return spec
}

// recordJob records a job, and tells its user once that is durable.
func (h *requestHandler) recordJob(reqID uint64, rec []byte, spec *api.Job) {
	h.acceptsInFlight++
	h.budget.chargeWrites(1)
	req := &api.Transaction{Compares: []api.Compare{{Key: jobKey + spec.ID}, {Key: terminalKey + spec.ID}},
		Writes: []api.Write{{Put: jobKey + spec.ID, Value: rec}}}
	sent := h.now
	h.callStore(StoreCall{Op: OpTransaction, Transaction: leadership.NewOrder(leadership.SharedGrant(leadership.ForUser, leadership.Write), req)}, func(r *StoreReply) {
		h.acceptsInFlight--
		switch r.Status {
		case 200:
			h.applyOwnWrite(jobKey+spec.ID, rec, r.Transaction.Revision)
			if len(spec.Dependencies) == 0 && h.now < sent+maxReadAge {
				h.answer(reqID, 201, api.JobStatus{ID: spec.ID, State: api.JobPending})
				return
			}
			// It, or what it needs, may have been cancelled meanwhile, told by another.
			h.lookUpJob(spec.ID, func(f lookupResult, s api.JobStatus) {
				if f != jobKnown {
					h.refuse(reqID, 503, "the state service did not answer", 1)
					return
				}
				h.answer(reqID, 201, api.JobStatus{ID: spec.ID, State: s.State})
			})
		case 409:
			h.answerDuplicateOrRefuse(reqID, spec.ID, refusal{status: 503, reason: "the state service is busy", retryAfterS: 1})
		default:
			h.refuse(reqID, 503, "the state service did not answer", 1)
		}
	})
}

// answerDuplicateOrRefuse refuses a submission, but answers 200 where the job was
// accepted before, whatever its body says now.
func (h *requestHandler) answerDuplicateOrRefuse(req uint64, id string, r refusal) {
	if id == "" {
		h.refuse(req, r.status, r.reason, r.retryAfterS)
		return
	}
	h.lookUpJob(id, func(f lookupResult, s api.JobStatus) {
		switch f {
		case jobKnown:
			h.answer(req, 200, s)
		case jobNeverAccepted:
			h.refuse(req, r.status, r.reason, r.retryAfterS)
		default:
			h.refuse(req, 503, "the state service did not answer", 1)
		}
	})
}

// neverSchedulable says why a job can never run.
func (h *requestHandler) neverSchedulable(j *api.Job) string {
	if _, ok := h.settings.TeamPartition[j.Team]; !ok {
		return "unknown team"
	}
	need := scheduler.ResourcesOf(j.CPUs, j.GPUs, j.MemoryGB)
	fits := false
	for _, t := range h.catalog.machineTypes {
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
	for _, t := range h.settings.Deployment.Teams {
		limit := scheduler.ResourcesOf(t.MaxCPUs, t.MaxGPUs, 0)
		if t.Name == j.Team && (limit.CPU > 0 && need.CPU*int64(n) > limit.CPU || limit.GPU > 0 && need.GPU*int64(n) > limit.GPU) {
			return "the job needs more than the team's limit"
		}
	}
	return ""
}

func (h *requestHandler) handleStatus(v GetStatus) {
	h.lookUpJob(v.ID, func(f lookupResult, s api.JobStatus) {
		switch f {
		case jobKnown:
			h.answer(v.RequestID, 200, s)
		case jobNeverAccepted:
			h.refuse(v.RequestID, 404, "no such job", 0)
		default:
			h.refuse(v.RequestID, 503, "the state service did not answer", 1)
		}
	})
}

func (h *requestHandler) handleCancel(v Cancel) { h.tryCancel(v, 4) }

func (h *requestHandler) tryCancel(v Cancel, tries int) {
	away := func() { h.refuse(v.RequestID, 503, "the state service did not answer", 1) }
	h.lookUpJob(v.ID, func(f lookupResult, s api.JobStatus) {
		j := h.cluster.jobs[v.ID]
		switch {
		case f == jobNeverAccepted:
			h.refuse(v.RequestID, 404, "no such job", 0)
		case f == lookupUnknown:
			away()
		case s.State == api.JobDone || s.State == api.JobCancelled:
			h.answer(v.RequestID, 200, api.JobStatus{ID: v.ID, State: s.State})
		case j == nil || tries == 0:
			away()
		default:
			// Nobody asks any more what a cancelled job needed.
			rec := mustMarshal(jobRecord{Spec: withoutDependencies(j.spec), AcceptedAt: j.acceptedAt, Cancelled: true})
			req := &api.Transaction{Compares: []api.Compare{{Key: jobKey + j.id, Version: j.version}},
				Writes: []api.Write{{Put: jobKey + j.id, Value: rec}}}
			h.budget.chargeWrites(1)
			h.callStore(StoreCall{Op: OpTransaction, Transaction: leadership.NewOrder(leadership.SharedGrant(leadership.ForUser, leadership.Write), req)}, func(r *StoreReply) {
				switch r.Status {
				case 200:
					h.applyOwnWrite(jobKey+v.ID, rec, r.Transaction.Revision)
					h.messenger.notifyCancelled(v.ID)
					h.answer(v.RequestID, 200, api.JobStatus{ID: v.ID, State: api.JobCancelled})
				case 409:
					h.tryCancel(v, tries-1)
				default:
					away()
				}
			})
		}
	})
}

// handleReady says whether users should be sent here. Where the state service is
// away for every controller, all stay: leaving would only delay the return.
func (h *requestHandler) handleReady(v Ready) {
	if !h.cache.synced || h.roles.stopping || h.storeHealth.unavailableSince > 0 && h.now > h.storeHealth.unavailableSince+micros.Second && h.peers.healthyPeerKnown() {
		h.refuse(v.RequestID, 503, string(h.condition.currentCondition()), 1)
		return
	}
	h.answer(v.RequestID, 200, api.Readiness{Condition: string(h.condition.currentCondition())})
}
