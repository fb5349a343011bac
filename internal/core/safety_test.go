package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// holder is a controller that holds a partition with one machine, on which one task
// of a job is placed and committed.
func holder(t *testing.T) (*Controller, *cluster.Partition, *cluster.Machine, *cluster.Job) {
	t.Helper()
	c, _, _ := watched(t)
	w := &c.Settings.Deployment.Workers
	w.ReportS, w.LeaseS, w.CancelS = 3, 20, 45
	c.Now = 100 * micros.Second
	c.storeLease.Lease.ID, c.storeLease.Lease.RenewalSentAt, c.cache.CurrentAsOf = 7, c.Now, c.Now
	p := c.cluster.Partitions[0]
	c.applier.ApplyPut(p.Key(), records.MustMarshal(leadership.Claim{Node: c.Settings.Node, Process: c.Incarnation}), 10)
	c.registry.ApplyMachineRecord(records.MachineRecord{Name: "n-1", Type: "g4", Zone: "alta", Partition: 0, Epoch: 1, MinToken: 11}, cluster.RecordOrigin{Epoch: 1, Partition: 0, Sequence: 1}, 11)
	m, j := c.cluster.Machines["n-1"], c.cluster.Jobs["wk-000001"]
	c.cluster.SetTask(j, 0, cluster.TaskRecord{State: cluster.TaskPlaced, Attempt: 1, Machine: "n-1"})
	j.Task(0).Committed = j.Task(0).TaskRecord
	if !p.Leads() || m == nil || len(m.TaskIDs) != 1 {
		t.Fatalf("held %t, machine %v", p.Leads(), m)
	}
	return c, p, m, j
}

// reports has the machine report and gives the answer.
func reports(c *Controller, seq uint64, token uint64, tasks ...api.TaskStatus) message.Answer {
	r := &api.Heartbeat{Machine: "n-1", Address: "10.1.0.1:9000", Type: "g4", Zone: "alta", Incarnation: 1, Sequence: seq, FencingToken: token, Tasks: tasks}
	for _, e := range c.Step(c.Now, message.WorkerHeartbeat{RequestID: 50 + seq, Heartbeat: r}) {
		if a, ok := e.(message.Answer); ok && a.RequestID == 50+seq {
			return a
		}
	}
	return message.Answer{}
}

func stops(a message.Answer) bool {
	o, ok := a.Body.(leadership.Order[api.HeartbeatResponse])
	return ok && slices.ContainsFunc(o.Body().Commands, func(c api.Command) bool { return c.Op == api.CommandStop && c.Task == "wk-000001/0" })
}

// TestFirstAnswerStops guards against a lease that a new holder renews without
// telling the worker to stop what is cancelled: a worker that hears nothing after
// that answer would run it for a lease more, past cancel_s.
func TestFirstAnswerStops(t *testing.T) {
	c, _, _, j := holder(t)
	running := api.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: api.TaskRunning}
	if a := reports(c, 1, 4, running); a.Status != 200 || stops(a) {
		t.Fatalf("nothing is cancelled, answer %+v", a)
	}
	j.CancelledElsewhere = true // another controller said so; the state service says it later
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
	j.Task(0).DirectStartToken = c.cluster.FencingToken(m)
	j.CancelledElsewhere, j.StopRequiredSince = true, c.Now
	c.storeLease.Lease.RenewalSentAt, c.cache.CurrentAsOf = c.Now, c.Now
	if a := reports(c, 2, 11); a.Status != 200 {
		t.Fatalf("within the answer deadline the answer is %+v", a)
	}
	c.Now += c.Settings.AnswerWindow() + 1
	c.storeLease.Lease.RenewalSentAt, c.cache.CurrentAsOf = c.Now, c.Now
	if a := reports(c, 3, 11); a.Status != 503 {
		t.Errorf("past the answer deadline the answer is %+v", a)
	}
	if m.Record.MinToken, c.cluster.Partitions[0].Term = 12, 12; c.cluster.FencingToken(m) != 12 {
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
	ver, rec := p.Term, records.MustMarshal(leadership.Claim{Node: c.Settings.Node, Process: c.Incarnation})
	c.roles.ResignRole(p.RoleState, "test")
	p.Forget(c.Now) // as when everything is read again
	c.applier.ApplyPut(p.Key(), rec, ver)
	if p.Leads() {
		t.Error("held again under the term that was given up")
	}
	c.applier.ApplyPut(p.Key(), rec, ver+1)
	if !p.Leads() {
		t.Error("not held under a new term")
	}
}

// TestSlowAcceptance guards against an answer of an acceptance that was held up:
// the job may have been cancelled by then, and its user told so elsewhere.
func TestSlowAcceptance(t *testing.T) {
	c, body, _ := watched(t)
	delete(c.cluster.Jobs, "wk-000001")
	c.Now = micros.Second
	for _, slow := range []bool{false, true} {
		var txn message.StoreCall
		req := c.NextCall + 1000
		for _, e := range c.Step(c.Now+1, message.Submit{RequestID: req, Body: body}) {
			if call, ok := e.(message.StoreCall); ok && call.Op == message.OpTransaction && call.Transaction.Body().Writes[0].Put == records.JobKey+"wk-000001" {
				txn = call
			}
			if call, ok := e.(message.StoreCall); ok && call.Op == message.OpWatch && call.WaitMs == 0 {
				c.Step(c.Now+1, &message.StoreReply{Call: call.Call, Status: 200, Watch: api.WatchResponse{Revision: c.cache.Revision}})
			}
		}
		if txn.Call == 0 {
			t.Fatal("no acceptance was sent")
		}
		at := c.Now + 1
		if slow {
			at = c.Now + coordination.MaxReadAge + 1
		}
		told := false
		for _, e := range c.Step(at, &message.StoreReply{Call: txn.Call, Status: 200, Transaction: api.TransactionResult{Revision: c.cache.Revision + 1}}) {
			a, ok := e.(message.Answer)
			told = told || ok && a.RequestID == req
		}
		if told == slow {
			t.Errorf("slow %t: told at once %t", slow, told)
		}
		delete(c.cluster.Jobs, "wk-000001")
	}
}

// TestStartGuardsItsJob guards against a start that is committed after its job's
// cancellation was: each flush with a start of a job guards that job's key.
func TestStartGuardsItsJob(t *testing.T) {
	c, p, m, j := holder(t)
	c.cluster.SetTask(j, 0, cluster.TaskRecord{})
	j.Task(0).Committed = cluster.TaskRecord{}
	c.cluster.ChangeTask(j, 0, cluster.TaskRecord{State: cluster.TaskPlaced, Attempt: 2, Machine: m.Name})
	f := c.partitionLog.BuildCommit(p, 10)
	if f == nil || !slices.Contains(f.Request.Compares, api.Compare{Key: records.JobKey + j.ID, Version: j.Version}) {
		t.Errorf("a start is committed without its job's key: %+v", f)
	}
}

// TestDoubtfulStartRaisesTheToken guards against a direct start that had no answer
// and comes minutes late: its machine's row is written anew, with that write's
// revision as the least token.
func TestDoubtfulStartRaisesTheToken(t *testing.T) {
	c, p, m, _ := holder(t)
	reports(c, 1, 11)
	token := c.cluster.FencingToken(m)
	c.Step(c.Now, message.CommandReply{Machine: m.Name, Token: token, Starts: true})
	for range 3 { // a tick comes each tenth of a second
		c.Step(c.Now+micros.Second/10, message.Tick{})
	}
	f := p.CommitInFlight
	if f == nil || !slices.ContainsFunc(f.Entries, func(e cluster.LogEntry) bool {
		return slices.ContainsFunc(e.Machines, func(r records.MachineRecord) bool { return r.Name == m.Name && r.MinToken == 0 })
	}) {
		t.Fatalf("no new token is recorded: %+v", f)
	}
	c.partitionLog.CommitSucceeded(p, 40)
	if c.cluster.FencingToken(m) != 40 {
		t.Errorf("the token is %d, was %d", c.cluster.FencingToken(m), token)
	}
}

// TestSessionOfAnotherHolder guards against a session that began under another
// holder and is news to us: what that one started in it still runs. Only what was
// seen since our take-over, in an earlier session, is proven gone.
func TestSessionOfAnotherHolder(t *testing.T) {
	for _, away := range []bool{false, true} {
		c, p, m, j := holder(t)
		reports(c, 1, 11, api.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: api.TaskRunning})
		if !j.Task(0).Observed {
			t.Fatal("the task was not seen")
		}
		if away { // lost and taken again
			c.roles.LoseRole(p.RoleState, "test")
			c.applier.ApplyPut(p.Key(), records.MustMarshal(leadership.Claim{Node: c.Settings.Node, Process: c.Incarnation}), 20)
		}
		c.workers.observeIncarnation(m, 2)
		if gone := len(m.TaskIDs) == 0; gone == away {
			t.Errorf("held by another meanwhile %t: taken for gone %t", away, gone)
		}
	}
}

// TestWhyItFails guards that the owner of a job with a mistake is told so, and how
// often it failed.
func TestWhyItFails(t *testing.T) {
	c, _, _, j := holder(t)
	c.cluster.SetTask(j, 0, cluster.TaskRecord{})
	for i := range 3 {
		c.registry.ApplyMachineRecord(records.MachineRecord{Name: fmt.Sprintf("n-%d", 2+i), Type: "g4", Zone: "alta", Partition: 0, Epoch: 1, MinToken: 11}, cluster.RecordOrigin{Epoch: 1, Partition: 0, Sequence: 1}, 11)
		m := c.cluster.Machines[fmt.Sprintf("n-%d", 2+i)]
		c.cluster.SetTask(j, 0, cluster.TaskRecord{State: cluster.TaskPlaced, Attempt: uint64(i + 1), Machine: m.Name})
		c.tasks.TaskExited(j, 0, j.Task(0), m, api.TaskStatus{Task: "wk-000001/0", Attempt: uint64(i + 1), State: api.TaskExited, ExitReason: api.ExitFailed})
	}
	var why string
	for _, e := range c.Step(c.Now, message.Explain{RequestID: 9, ID: j.ID}) {
		if call, ok := e.(message.StoreCall); ok && call.Op == message.OpWatch && call.WaitMs == 0 {
			for _, e := range c.Step(c.Now, &message.StoreReply{Call: call.Call, Status: 200, Watch: api.WatchResponse{Revision: c.cache.Revision}}) {
				if a, ok := e.(message.Answer); ok && a.RequestID == 9 {
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
	c.cluster.ChangeTask(j, 0, cluster.TaskRecord{State: cluster.TaskDone, Attempt: 1, Machine: ""})
	f := c.partitionLog.BuildCommit(p, 10)
	if f == nil || len(f.TerminalJobs) != 1 || !slices.Contains(f.Request.Compares, api.Compare{Key: records.JobKey + j.ID, Version: j.Version}) {
		t.Errorf("an end is recorded without its job's key: %+v", f)
	}
}

// TestFlushGuardsTermAndSlot guards against a flush that is carried out after its
// part was taken by another, or after a newer flush of the same term.
func TestFlushGuardsTermAndSlot(t *testing.T) {
	c, p, m, j := holder(t)
	c.cluster.SetTask(j, 0, cluster.TaskRecord{})
	c.cluster.ChangeTask(j, 0, cluster.TaskRecord{State: cluster.TaskPlaced, Attempt: 2, Machine: m.Name})
	f := c.partitionLog.BuildCommit(p, 10)
	for _, g := range []api.Compare{{Key: p.Key(), Version: p.Term}, {Key: records.SlotKey(p.Index, f.Entries[0].Slot), Version: f.PreviousSlotVersion}} {
		if !slices.Contains(f.Request.Compares, g) {
			t.Errorf("a flush does not guard %+v: %+v", g, f.Request.Compares)
		}
	}
}
