package core

import (
	"slices"

	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/records"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// requestHandler answers users: submissions, questions and cancellations, and health
// checks.
type requestHandler struct {
	*coordination.Environment
	applier      *recordApplier
	budget       *coordination.WriteBudget
	cache        *coordination.WatchCache
	catalog      *cluster.MachineCatalog
	cluster      *cluster.State
	condition    *conditionTracker
	dependencies *cluster.DependencyGraph
	messenger    *peerMessenger
	peers        *coordination.PeerTracker
	roles        *coordination.RoleManager
	schema       *coordination.SchemaTracker
	storeHealth  *coordination.StoreHealth

	acceptsInFlight int // submissions being recorded
}

func newRequestHandler(env *coordination.Environment, applier *recordApplier, budget *coordination.WriteBudget, cache *coordination.WatchCache, catalog *cluster.MachineCatalog,
	cluster *cluster.State, condition *conditionTracker, dependencies *cluster.DependencyGraph, messenger *peerMessenger,
	peers *coordination.PeerTracker, roles *coordination.RoleManager, schema *coordination.SchemaTracker, health *coordination.StoreHealth) *requestHandler {
	return &requestHandler{Environment: env, applier: applier, budget: budget, cache: cache, catalog: catalog, cluster: cluster,
		condition: condition, dependencies: dependencies, messenger: messenger, peers: peers, roles: roles, schema: schema, storeHealth: health}
}

// applyOwnWrite takes in what we wrote, unless the replica is past it already: the
// key may have been deleted since.
func (h *requestHandler) applyOwnWrite(key string, value []byte, rev uint64) {
	if rev > h.cache.Revision {
		h.applier.ApplyPut(key, value, rev)
	}
}

// lookUpJob tells a job's state, no older than any that was told before: a
// final one from memory, any other after a read begun now.
func (h *requestHandler) lookUpJob(id string, f func(cluster.LookupResult, api.JobStatus)) {
	final := func(rec records.TerminalRecord) {
		zero := 0
		f(cluster.JobKnown, api.JobStatus{ID: id, State: rec.State, Done: &rec.DoneTasks, Running: &zero})
	}
	if rec, ok := h.dependencies.TerminalStates.Records[id]; ok {
		final(rec)
		return
	}
	if !api.ValidID(id) {
		f(cluster.JobNeverAccepted, api.JobStatus{})
		return
	}
	h.cache.ReadLatest(func(ok bool) {
		if !ok {
			f(cluster.LookupFailed, api.JobStatus{})
			return
		}
		if j := h.cluster.Jobs[id]; j != nil && !j.Terminal {
			if j.UnknownDependencies > 0 && !j.HasStarted() && !j.Cancelled {
				f(cluster.LookupFailed, api.JobStatus{}) // perhaps it is withdrawn
				return
			}
			f(cluster.JobKnown, j.Status())
			return
		}
		h.dependencies.ReadTerminalRecord(id, func(found cluster.LookupResult) {
			if found == cluster.JobKnown {
				final(h.dependencies.TerminalStates.Records[id])
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

func (h *requestHandler) handleSubmit(v message.Submit) {
	spec, err := api.ParseJob(v.Body)
	if err != nil {
		h.answerDuplicateOrRefuse(v.RequestID, api.JobID(v.Body), refusal{status: 400, reason: err.Error(), retryAfterS: 0})
		return
	}
	if !h.cache.Synced {
		h.Refuse(v.RequestID, 503, "the state service has not been read yet", 1)
		return
	}
	if r := h.admissionRefusal(spec); r != nil {
		h.answerDuplicateOrRefuse(v.RequestID, spec.ID, *r)
		return
	}
	if h.storeHealth.UnavailableSince > 0 && h.Now > h.storeHealth.UnavailableSince+storeUnavailableAfter {
		h.Refuse(v.RequestID, 503, "the state service does not answer", 1)
		return
	}
	if len(spec.Dependencies) == 0 {
		h.recordJob(v.RequestID, records.MustMarshal(records.JobRecord{Spec: *spec, AcceptedAt: h.Now}), spec)
		return
	}
	h.submitWithDependencies(v.RequestID, spec)
}

// admissionRefusal says why a submission is not accepted whatever the state service
// answers; nil if it may be.
func (h *requestHandler) admissionRefusal(spec *api.Job) *refusal {
	if len(h.catalog.MachineTypes) == 0 {
		return &refusal{status: 503, reason: "the machine types are not known yet", retryAfterS: 2}
	}
	if why := h.neverSchedulable(spec); why != "" {
		return &refusal{status: 422, reason: why, retryAfterS: 0}
	}
	if len(records.MustMarshal(records.JobRecord{Spec: withoutDependencies(*spec), AcceptedAt: h.Now})) > h.Settings.MaxValueBytes() {
		return &refusal{status: 400, reason: "the job's description is too long", retryAfterS: 0}
	}
	if o, _ := h.dependencies.KnownOutcome(spec.ID); o != cluster.OutcomeUnknown {
		// Known by the replica: a transaction that is sure to fail would count
		// as a change all the same.
		return &refusal{status: 503, reason: "the state service is busy", retryAfterS: 1}
	}
	if len(h.cluster.Jobs) >= h.Settings.MaxUnfinishedJobs() || h.acceptsInFlight >= maxAcceptsInFlight {
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
	if !h.schema.AllReadSchema(records.SchemaDependencies) {
		h.answerDuplicateOrRefuse(reqID, spec.ID, refusal{status: 503, reason: "not all controllers know jobs that wait for jobs yet", retryAfterS: 2})
		return
	}
	at := h.Now
	h.acceptsInFlight++
	h.dependencies.VerifyDependencies(spec, func(status int, why string) {
		h.acceptsInFlight--
		if status != 0 {
			h.answerDuplicateOrRefuse(reqID, spec.ID, refusal{status: status, reason: why, retryAfterS: 1})
			return
		}
		rec := records.JobRecord{Spec: *spec, AcceptedAt: at}
		h.dependencies.DropSettledDependencies(&rec)
		value := records.MustMarshal(rec)
		if len(value) > h.Settings.MaxValueBytes() {
			rec.PackDependencies()
			value = records.MustMarshal(rec)
		}
		if len(value) > h.Settings.MaxValueBytes() {
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
	h.budget.ChargeWrites(1)
	req := &api.Transaction{Compares: []api.Compare{{Key: records.JobPrefix + spec.ID}, {Key: records.TerminalPrefix + spec.ID}},
		Writes: []api.Write{{Put: records.JobPrefix + spec.ID, Value: rec}}}
	sent := h.Now
	h.CallStore(message.StoreCall{Op: message.OpTransaction, Transaction: leadership.NewOrder(leadership.SharedGrant(leadership.ForUser, leadership.Write), req)}, func(r *message.StoreReply) {
		h.acceptsInFlight--
		switch r.Status {
		case 200:
			h.applyOwnWrite(records.JobPrefix+spec.ID, rec, r.Transaction.Revision)
			if len(spec.Dependencies) == 0 && h.Now < sent+coordination.MaxReadAge {
				h.Answer(reqID, 201, api.JobStatus{ID: spec.ID, State: api.JobPending})
				return
			}
			// It, or what it needs, may have been cancelled meanwhile, told by another.
			h.lookUpJob(spec.ID, func(f cluster.LookupResult, s api.JobStatus) {
				if f != cluster.JobKnown {
					h.Refuse(reqID, 503, "the state service did not answer", 1)
					return
				}
				h.Answer(reqID, 201, api.JobStatus{ID: spec.ID, State: s.State})
			})
		case 409:
			h.answerDuplicateOrRefuse(reqID, spec.ID, refusal{status: 503, reason: "the state service is busy", retryAfterS: 1})
		default:
			h.Refuse(reqID, 503, "the state service did not answer", 1)
		}
	})
}

// answerDuplicateOrRefuse refuses a submission, but answers 200 where the job was
// accepted before, whatever its body says now.
func (h *requestHandler) answerDuplicateOrRefuse(req uint64, id string, r refusal) {
	if id == "" {
		h.Refuse(req, r.status, r.reason, r.retryAfterS)
		return
	}
	h.lookUpJob(id, func(f cluster.LookupResult, s api.JobStatus) {
		switch f {
		case cluster.JobKnown:
			h.Answer(req, 200, s)
		case cluster.JobNeverAccepted:
			h.Refuse(req, r.status, r.reason, r.retryAfterS)
		default:
			h.Refuse(req, 503, "the state service did not answer", 1)
		}
	})
}

// neverSchedulable says why a job can never run.
func (h *requestHandler) neverSchedulable(j *api.Job) string {
	if _, ok := h.Settings.TeamPartition[j.Team]; !ok {
		return "unknown team"
	}
	need := scheduler.ResourcesOf(j.CPUs, j.GPUs, j.MemoryGB)
	fits := false
	for _, t := range h.catalog.MachineTypes {
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
	for _, t := range h.Settings.Deployment.Teams {
		limit := scheduler.ResourcesOf(t.MaxCPUs, t.MaxGPUs, 0)
		if t.Name == j.Team && (limit.CPU > 0 && need.CPU*int64(n) > limit.CPU || limit.GPU > 0 && need.GPU*int64(n) > limit.GPU) {
			return "the job needs more than the team's limit"
		}
	}
	return ""
}

func (h *requestHandler) handleStatus(v message.GetStatus) {
	h.lookUpJob(v.ID, func(f cluster.LookupResult, s api.JobStatus) {
		switch f {
		case cluster.JobKnown:
			h.Answer(v.RequestID, 200, s)
		case cluster.JobNeverAccepted:
			h.Refuse(v.RequestID, 404, "no such job", 0)
		default:
			h.Refuse(v.RequestID, 503, "the state service did not answer", 1)
		}
	})
}

func (h *requestHandler) handleCancel(v message.Cancel) { h.tryCancel(v, 4) }

func (h *requestHandler) tryCancel(v message.Cancel, tries int) {
	away := func() { h.Refuse(v.RequestID, 503, "the state service did not answer", 1) }
	h.lookUpJob(v.ID, func(f cluster.LookupResult, s api.JobStatus) {
		j := h.cluster.Jobs[v.ID]
		switch {
		case f == cluster.JobNeverAccepted:
			h.Refuse(v.RequestID, 404, "no such job", 0)
		case f == cluster.LookupFailed:
			away()
		case s.State == api.JobDone || s.State == api.JobCancelled:
			h.Answer(v.RequestID, 200, api.JobStatus{ID: v.ID, State: s.State})
		case j == nil || tries == 0:
			away()
		default:
			// Nobody asks any more what a cancelled job needed.
			rec := records.MustMarshal(records.JobRecord{Spec: withoutDependencies(j.Spec), AcceptedAt: j.AcceptedAt, Cancelled: true})
			req := &api.Transaction{Compares: []api.Compare{{Key: records.JobPrefix + j.ID, Version: j.Version}},
				Writes: []api.Write{{Put: records.JobPrefix + j.ID, Value: rec}}}
			h.budget.ChargeWrites(1)
			h.CallStore(message.StoreCall{Op: message.OpTransaction, Transaction: leadership.NewOrder(leadership.SharedGrant(leadership.ForUser, leadership.Write), req)}, func(r *message.StoreReply) {
				switch r.Status {
				case 200:
					h.applyOwnWrite(records.JobPrefix+v.ID, rec, r.Transaction.Revision)
					h.messenger.notifyCancelled(v.ID)
					h.Answer(v.RequestID, 200, api.JobStatus{ID: v.ID, State: api.JobCancelled})
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
func (h *requestHandler) handleReady(v message.Ready) {
	if !h.cache.Synced || h.roles.Stopping || h.storeHealth.UnavailableSince > 0 && h.Now > h.storeHealth.UnavailableSince+micros.Second && h.peers.HealthyPeerKnown() {
		h.Refuse(v.RequestID, 503, string(h.condition.currentCondition()), 1)
		return
	}
	h.Answer(v.RequestID, 200, api.Readiness{Condition: string(h.condition.currentCondition())})
}
