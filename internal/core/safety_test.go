package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// holder is a controller that holds a partition with one machine, on which one task
// of a job is placed and committed.
func holder(t *testing.T) (*Controller, *partition, *machine, *job) {
	t.Helper()
	c, _, _ := watched(t)
	w := &c.settings.Deployment.Workers
	w.ReportS, w.LeaseS, w.CancelS = 3, 20, 45
	c.now = 100 * micros.Second
	c.storeLease.lease.ID, c.storeLease.lease.RenewalSentAt, c.cache.currentAsOf = 7, c.now, c.now
	p := c.cluster.partitions[0]
	c.applier.applyPut(p.key(), mustMarshal(leadership.Claim{Node: c.settings.Node, Process: c.incarnation}), 10)
	c.registry.applyMachineRecord(machineRecord{Name: "n-1", Type: "g4", Zone: "alta", Partition: 0, Epoch: 1, MinToken: 11}, recordOrigin{epoch: 1, partition: 0, sequence: 1}, 11)
	m, j := c.cluster.machines["n-1"], c.cluster.jobs["wk-000001"]
	c.cluster.setTask(j, 0, taskRecord{state: taskPlaced, attempt: 1, machine: "n-1"})
	j.task(0).committed = j.task(0).taskRecord
	if !p.Leads() || m == nil || len(m.taskIDs) != 1 {
		t.Fatalf("held %t, machine %v", p.Leads(), m)
	}
	return c, p, m, j
}

// reports has the machine report and gives the answer.
func reports(c *Controller, seq uint64, token uint64, tasks ...api.TaskStatus) Answer {
	r := &api.Heartbeat{Machine: "n-1", Address: "10.1.0.1:9000", Type: "g4", Zone: "alta", Incarnation: 1, Sequence: seq, FencingToken: token, Tasks: tasks}
	for _, e := range c.Step(c.now, WorkerHeartbeat{RequestID: 50 + seq, Heartbeat: r}) {
		if a, ok := e.(Answer); ok && a.RequestID == 50+seq {
			return a
		}
	}
	return Answer{}
}

func stops(a Answer) bool {
	o, ok := a.Body.(leadership.Order[api.HeartbeatResponse])
	return ok && slices.ContainsFunc(o.Body().Commands, func(c api.Command) bool { return c.Op == api.CommandStop && c.Task == "wk-000001/0" })
}

// TestFirstAnswerStops guards against a lease that a new holder renews without
// telling the worker to stop what is cancelled: a worker that hears nothing after
// that answer would run it for a lease more, past cancel_s.
func TestFirstAnswerStops(t *testing.T) {
	c, _, _, j := holder(t)
	running := api.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: api.JobRunning}
	if a := reports(c, 1, 4, running); a.Status != 200 || stops(a) {
		t.Fatalf("nothing is cancelled, answer %+v", a)
	}
	j.cancelledElsewhere = true // another controller said so; the state service says it later
	if a := reports(c, 2, 4, running); a.Status != 200 || !stops(a) {
		t.Errorf("the lease is renewed without a stop: %+v", a)
	}
	if a := reports(c, 3, 11, running); a.Status != 200 || !stops(a) {
		t.Errorf("with our token the answer is %+v", a)
	}
}

// TestDoubtfulStartEndsTheLease guards against a direct start without an answer
// that is carried out long after its job was cancelled, while the state service
// is away and the token can't rise: the machine's lease is not renewed any more.
func TestDoubtfulStartEndsTheLease(t *testing.T) {
	c, _, m, j := holder(t)
	reports(c, 1, 4) // its session is known
	j.task(0).directStartToken = c.cluster.fencingToken(m)
	j.cancelledElsewhere, j.stopRequiredSince = true, c.now
	c.storeLease.lease.RenewalSentAt, c.cache.currentAsOf = c.now, c.now
	if a := reports(c, 2, 11); a.Status != 200 {
		t.Fatalf("within the answer deadline the answer is %+v", a)
	}
	c.now += c.settings.answerWindow() + 1
	c.storeLease.lease.RenewalSentAt, c.cache.currentAsOf = c.now, c.now
	if a := reports(c, 3, 11); a.Status != 503 {
		t.Errorf("past the answer deadline the answer is %+v", a)
	}
	if m.record.MinToken, c.cluster.partitions[0].Term = 12, 12; c.cluster.fencingToken(m) != 12 {
		t.Fatal("the token did not rise")
	}
	if a := reports(c, 4, 11); a.Status != 200 {
		t.Errorf("ruled out by a higher token, the answer is %+v", a)
	}
}

// TestResignedTerm guards against a partition that is held again under a term that was
// given up: the deletion of its key may come late, and who takes the partition then
// counts on the silence that was promised.
func TestResignedTerm(t *testing.T) {
	c, p, _, _ := holder(t)
	ver, rec := p.Term, mustMarshal(leadership.Claim{Node: c.settings.Node, Process: c.incarnation})
	c.roles.resignRole(p.RoleState, "test")
	p.Forget(c.now) // as when everything is read again
	c.applier.applyPut(p.key(), rec, ver)
	if p.Leads() {
		t.Error("held again under the term that was given up")
	}
	c.applier.applyPut(p.key(), rec, ver+1)
	if !p.Leads() {
		t.Error("not held under a new term")
	}
}

// TestSlowAcceptance guards against an answer of an acceptance that was held up:
// the job may have been cancelled by then, and its user told so elsewhere.
func TestSlowAcceptance(t *testing.T) {
	c, body, _ := watched(t)
	delete(c.cluster.jobs, "wk-000001")
	c.now = micros.Second
	for _, slow := range []bool{false, true} {
		var txn StoreCall
		req := c.nextCall + 1000
		for _, e := range c.Step(c.now+1, Submit{RequestID: req, Body: body}) {
			if call, ok := e.(StoreCall); ok && call.Op == OpTransaction && call.Transaction.Body().Writes[0].Put == jobKey+"wk-000001" {
				txn = call
			}
			if call, ok := e.(StoreCall); ok && call.Op == OpWatch && call.WaitMs == 0 {
				c.Step(c.now+1, &StoreReply{Call: call.Call, Status: 200, Watch: api.WatchResponse{Revision: c.cache.revision}})
			}
		}
		if txn.Call == 0 {
			t.Fatal("no acceptance was sent")
		}
		at := c.now + 1
		if slow {
			at = c.now + maxReadAge + 1
		}
		told := false
		for _, e := range c.Step(at, &StoreReply{Call: txn.Call, Status: 200, Transaction: api.TransactionResult{Revision: c.cache.revision + 1}}) {
			a, ok := e.(Answer)
			told = told || ok && a.RequestID == req
		}
		if told == slow {
			t.Errorf("slow %t: told at once %t", slow, told)
		}
		delete(c.cluster.jobs, "wk-000001")
	}
}

// TestStartGuardsItsJob guards against a start that is committed after its job's
// cancellation was: each flush with a start of a job guards that job's key.
func TestStartGuardsItsJob(t *testing.T) {
	c, p, m, j := holder(t)
	c.cluster.setTask(j, 0, taskRecord{})
	j.task(0).committed = taskRecord{}
	c.cluster.changeTask(j, 0, taskRecord{state: taskPlaced, attempt: 2, machine: m.name})
	f := c.partitionLog.buildCommit(p, 10)
	if f == nil || !slices.Contains(f.request.Compares, api.Compare{Key: jobKey + j.id, Version: j.version}) {
		t.Errorf("a start is committed without its job's key: %+v", f)
	}
}

// TestDoubtfulStartRaisesTheToken guards against a direct start that had no answer
// and comes minutes late: its machine's row is written anew, with that write's
// revision as the least token.
func TestDoubtfulStartRaisesTheToken(t *testing.T) {
	c, p, m, _ := holder(t)
	reports(c, 1, 11)
	token := c.cluster.fencingToken(m)
	c.Step(c.now, CommandReply{Machine: m.name, Token: token, Starts: true})
	for range 3 { // a tick comes each tenth of a second
		c.Step(c.now+micros.Second/10, Tick{})
	}
	f := p.commitInFlight
	if f == nil || !slices.ContainsFunc(f.entries, func(e logEntry) bool {
		return slices.ContainsFunc(e.machines, func(r machineRecord) bool { return r.Name == m.name && r.MinToken == 0 })
	}) {
		t.Fatalf("no new token is recorded: %+v", f)
	}
	c.partitionLog.commitSucceeded(p, 40)
	if c.cluster.fencingToken(m) != 40 {
		t.Errorf("the token is %d, was %d", c.cluster.fencingToken(m), token)
	}
}

// TestSessionOfAnotherHolder guards against a session that began under another
// holder and is news to us: what that one started in it still runs. Only what was
// seen since our take-over, in an earlier session, is proven gone.
func TestSessionOfAnotherHolder(t *testing.T) {
	for _, away := range []bool{false, true} {
		c, p, m, j := holder(t)
		reports(c, 1, 11, api.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: api.JobRunning})
		if !j.task(0).observed {
			t.Fatal("the task was not seen")
		}
		if away { // lost and taken again
			c.roles.loseRole(p.RoleState, "test")
			c.applier.applyPut(p.key(), mustMarshal(leadership.Claim{Node: c.settings.Node, Process: c.incarnation}), 20)
		}
		c.reconciliation.observeIncarnation(m, 2)
		if gone := len(m.taskIDs) == 0; gone == away {
			t.Errorf("held by another meanwhile %t: taken for gone %t", away, gone)
		}
	}
}

// TestWhyItFails guards that the owner of a job with a mistake is told so, and how
// often it failed.
func TestWhyItFails(t *testing.T) {
	c, _, _, j := holder(t)
	c.cluster.setTask(j, 0, taskRecord{})
	for i := range 3 {
		c.registry.applyMachineRecord(machineRecord{Name: fmt.Sprintf("n-%d", 2+i), Type: "g4", Zone: "alta", Partition: 0, Epoch: 1, MinToken: 11}, recordOrigin{epoch: 1, partition: 0, sequence: 1}, 11)
		m := c.cluster.machines[fmt.Sprintf("n-%d", 2+i)]
		c.cluster.setTask(j, 0, taskRecord{state: taskPlaced, attempt: uint64(i + 1), machine: m.name})
		c.tasks.taskExited(j, 0, j.task(0), m, api.TaskStatus{Task: "wk-000001/0", Attempt: uint64(i + 1), State: api.TaskExited, ExitReason: api.ExitFailed})
	}
	var why string
	for _, e := range c.Step(c.now, Explain{RequestID: 9, ID: j.id}) {
		if call, ok := e.(StoreCall); ok && call.Op == OpWatch && call.WaitMs == 0 {
			for _, e := range c.Step(c.now, &StoreReply{Call: call.Call, Status: 200, Watch: api.WatchResponse{Revision: c.cache.revision}}) {
				if a, ok := e.(Answer); ok && a.RequestID == 9 {
					why = a.Body.(api.Explanation).Reason
				}
			}
		}
	}
	if !strings.Contains(why, "fails on every machine") || !strings.Contains(why, "3 failures") || !strings.Contains(why, "tried again in") {
		t.Errorf("the owner is told %q", why)
	}
}

// TestEndGuardsItsJob guards against an end that is recorded after its job's
// cancellation was told, by a transaction that comes late: it guards the version of
// the job's key that it follows.
func TestEndGuardsItsJob(t *testing.T) {
	c, p, _, j := holder(t)
	c.cluster.changeTask(j, 0, taskRecord{state: taskDone, attempt: 1, machine: ""})
	f := c.partitionLog.buildCommit(p, 10)
	if f == nil || len(f.terminalJobs) != 1 || !slices.Contains(f.request.Compares, api.Compare{Key: jobKey + j.id, Version: j.version}) {
		t.Errorf("an end is recorded without its job's key: %+v", f)
	}
}

// TestFlushGuardsTermAndSlot guards against a flush that is carried out after its
// part was taken by another, or after a newer flush of the same term.
func TestFlushGuardsTermAndSlot(t *testing.T) {
	c, p, m, j := holder(t)
	c.cluster.setTask(j, 0, taskRecord{})
	c.cluster.changeTask(j, 0, taskRecord{state: taskPlaced, attempt: 2, machine: m.name})
	f := c.partitionLog.buildCommit(p, 10)
	for _, g := range []api.Compare{{Key: p.key(), Version: p.Term}, {Key: slotKey(p.index, f.entries[0].slot), Version: f.previousSlotVersion}} {
		if !slices.Contains(f.request.Compares, g) {
			t.Errorf("a flush does not guard %+v: %+v", g, f.request.Compares)
		}
	}
}
