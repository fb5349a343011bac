package core

import (
	"fmt"
	"slices"

	"spurmoor/internal/sched"
	"spurmoor/internal/wire"
)

// tokenOf is what a machine's worker must obey: the later of the part's
// take-over and the record's floor. Revisions only rise.
func (c *Core) tokenOf(m *machine) uint64 { return max(c.parts[m.rec.Cur].ver, m.rec.Token) }

// ours gives a machine's part if we hold it.
func (c *Core) ours(m *machine) *part {
	if m.rec.Cur < 0 || m.rec.Cur >= len(c.parts) || !c.parts[m.rec.Cur].held {
		return nil
	}
	return c.parts[m.rec.Cur]
}

// report answers a worker. Only the holder of the machine's part, within its
// horizon, answers 200: that keeps the worker's tasks alive.
func (c *Core) report(v ReportIn) {
	r := v.Report
	c.heardAt = c.now
	if !c.synced {
		c.refuse(v.Req, 503, "the state service has not been read yet", 1)
		return
	}
	m := c.machines[r.Machine]
	if m == nil {
		c.strayReport(r)
		c.answer(v.Req, 421, wire.Redirect{})
		return
	}
	if m.rec.Type != r.Type || m.rec.Zone != r.Zone || m.rec.Spot != r.Spot {
		c.refuse(v.Req, 400, "not the machine that was rented", 0)
		return
	}
	if m.addr == "" || m.newer(r) {
		m.addr = r.Addr
	}
	p := c.ours(m)
	if p == nil || !c.answers(p) {
		// Named only by one that has the state service: two controllers that
		// had lost it sent workers to each other, by what each knew last, until
		// the leases of seven hundred machines had run out.
		to := ""
		if m.rec.Cur >= 0 && m.rec.Cur < len(c.parts) && p == nil && c.parts[m.rec.Cur].ver > 0 && c.leaseValid() {
			to = c.parts[m.rec.Cur].rec.Node
		}
		if to == c.set.Node {
			to = ""
		}
		c.answer(v.Req, 421, wire.Redirect{To: to})
		return
	}
	if c.outlives(m) {
		c.refuse(v.Req, 503, "a cancelled task may still start there", 1)
		return
	}
	token := c.tokenOf(m)
	if r.Token > token {
		// Someone was entitled after us: our mirror is behind.
		c.read(func(bool) {})
		c.refuse(v.Req, 503, "not entitled", 1)
		return
	}
	if !m.newer(r) {
		c.refuse(v.Req, 503, "a newer report was seen", 1)
		return
	}
	m.reportAt = c.now
	orders := c.takeIn(m, r, true)
	m.deadAt = max(m.deadAt, c.now+c.leaseS()+Second/2)
	c.answer(v.Req, 200, wire.Orders{Token: token, Commands: orders})
}

// outlives tells whether a machine is to lose its lease for a job that was
// cancelled a horizon ago: a direct start of it there had no answer and is not
// ruled out by a higher token, for that needs the state service. Everything else
// that must stop is told with each answer that renews the lease.
func (c *Core) outlives(m *machine) bool {
	for _, id := range m.on {
		j := c.jobs[id.job]
		if t := j.task(id.n); j.halted() && !t.shown && t.pushed >= c.tokenOf(m) && t.pushed > 0 && c.now > j.haltedAt+c.horizon() {
			return true
		}
	}
	return false
}

func (m *machine) newer(r *wire.Report) bool {
	return r.Session > m.session || r.Session == m.session && r.Seq > m.seq
}

// pushed takes in the answer to commands sent directly.
func (c *Core) pushed(v Pushed) {
	if v.Status != 0 {
		c.heardAt, c.cutOff = c.now, false
	}
	m := c.machines[v.Machine]
	if m == nil {
		if r := v.Report; r != nil && r.Machine == v.Machine && (v.Status == 200 || v.Status == 409) {
			c.adopt(r.Machine, r.Type, r.Zone, r.Spot, "reported")
		}
		return
	}
	m.pushing = false
	p := c.ours(m)
	if v.Unsent {
		m.pushAt = c.now + Second/5
	}
	if p != nil && v.Status == 0 && v.Starts && !v.Unsent {
		// The start may be carried out minutes late. A higher token, once
		// the worker has seen it, makes that impossible.
		m.doubt = true
	}
	if p != nil && (v.Status == 409 || v.Unsent) {
		for _, id := range m.tasks() { // nothing was carried out
			if t := c.jobs[id.job].task(id.n); t.pushed == v.Token {
				t.pushed = 0
			}
		}
	}
	if p == nil || v.Report == nil || v.Report.Machine != m.name || (v.Status != 200 && v.Status != 409) || !m.newer(v.Report) {
		return
	}
	if v.Status == 409 {
		// Its session was not known to us: again with the right one.
		c.renewed(m, v.Report.Session)
		m.pushAt = c.now
		return
	}
	if v.Report.Token <= c.tokenOf(m) {
		c.takeIn(m, v.Report, false)
	}
}

// push sends direct commands; none at all still raise the worker's token.
func (c *Core) push(m *machine, cmds []wire.Command) {
	m.pushing = true
	if cmds == nil {
		cmds = []wire.Command{}
	}
	c.emit(Push{Machine: m.name, Addr: m.addr, Starts: slices.ContainsFunc(cmds, func(o wire.Command) bool { return o.Op == wire.Start }),
		Body: wire.Push{Token: c.tokenOf(m), Session: max(1, m.session), Commands: cmds}})
}

// keepEnded is how many ended tasks a worker holds before its token rises so
// that they can be forgotten.
const keepEnded = 12

// maxOrders keeps an answer's one line below 64 KiB.
const maxOrders = 400

// takeIn takes in what a worker says of its tasks and gives the commands that
// bring it to what is recorded. Only the answer to a report may start tasks,
// and only a report proves a task absent: a direct command's answer may be
// older than a start that rides in a report's answer.
func (c *Core) takeIn(m *machine, r *wire.Report, viaReport bool) []wire.Command {
	cmds := []wire.Command{}
	zero := 0.0
	order := func(op string, id taskID, attempt uint64, grace *float64) {
		if len(cmds) < maxOrders {
			cmds = append(cmds, wire.Command{Op: op, Task: id.String(), Attempt: attempt, GraceS: grace})
		}
	}
	c.renewed(m, r.Session)
	m.seq = r.Seq
	// Its session, or the answer that keeps it, is no later than now. Counting
	// from our own answers alone took a machine for dead that had booted for
	// longer than a lease and was heard through a direct command first.
	m.deadAt = max(m.deadAt, c.now+c.leaseS()+Second/2)
	if r.Token != c.tokenOf(m) {
		// Perhaps a copy from before our time that comes late: it shows where
		// the worker was and nothing else. The answer, or a direct command,
		// raises its token if it is there. Taken for news, such a copy proved
		// tasks gone that had been started since. What it must not run any more
		// it is told at once: its lease is never renewed without that.
		for _, tr := range r.Tasks {
			if id, ok := parseTask(tr.Task); ok && tr.State != wire.Exited {
				if j := c.jobs[id.job]; j != nil && j.halted() {
					order(wire.Stop, id, tr.Attempt, &zero)
				}
			}
		}
		return cmds
	}
	m.seenAt, m.reported = c.now, r.Tasks
	if m.upAt == 0 {
		m.upAt, m.idleAt = c.now, c.now
		c.noteBoot(m)
		c.info("machine up", "machine", m.name, "type", m.rec.Type, "zone", m.rec.Zone, "spot", m.rec.Spot, "after_s", (c.now-m.bornAt)/Second)
		c.early(0)
	}
	if !m.ready {
		m.ready = true
		c.early(0)
	}
	if r.NoticeS != nil && m.notice == 0 {
		m.notice = c.now + secs(*r.NoticeS)
		c.info("machine will be taken", "machine", m.name, "in_s", *r.NoticeS, "tasks", len(m.on))
		c.early(0)
	}
	seen := map[taskID]bool{}
	// A direct start may be repeated long after it was carried out. As long as
	// its worker holds the attempt that has no effect; once forgotten, it would
	// start anew. So tasks are forgotten only under a token higher than that of
	// any direct start there; it rises when enough of them wait for it.
	forget := r.Token > m.startedBy
	ended := 0
	for _, tr := range r.Tasks {
		if tr.State == wire.Exited {
			ended++
		}
	}
	if !forget && ended >= keepEnded && !m.busy() {
		m.doubt = true
	}
	for _, tr := range r.Tasks {
		id, ok := parseTask(tr.Task)
		if !ok {
			continue
		}
		j := c.jobs[id.job]
		var t *task
		if j != nil {
			t = j.task(id.n)
		}
		mine := t != nil && t.state == placed && t.machine == m.name && t.attempt == tr.Attempt
		if mine && j.part != m.rec.Cur {
			continue // only its own part's holder acts on a task
		}
		if !mine {
			switch {
			case j != nil && j.halted() && tr.State != wire.Exited:
				order(wire.Stop, id, tr.Attempt, &zero)
			case j != nil && !j.over && !j.durable(id.n):
				// What is decided of it is being committed.
			case tr.State == wire.Exited:
				if forget {
					order(wire.Forget, id, tr.Attempt, nil)
				}
			default:
				order(wire.Stop, id, tr.Attempt, &zero)
			}
			continue
		}
		seen[id] = true
		t.shown = true
		if tr.State == wire.Exited {
			c.exited(j, id.n, t, m, tr)
			continue
		}
		if t.reported != tr.State && (tr.State == wire.Running || tr.State == wire.Waiting) {
			m.fetched(j.spec.Image, j.spec.ImageGB)
			if tr.State == wire.Running {
				t.since = c.now
				c.log(-4, "task running", "task", tr.Task, "machine", m.name, "after_s", (c.now-t.placedAt)/Second)
			}
		}
		t.reported = tr.State
		if c.mustStop(j, t) {
			if g := c.graceOf(j, t); tr.State != wire.Saving || g == 0 {
				order(wire.Stop, id, tr.Attempt, &g)
			}
		}
	}
	for _, id := range m.tasks() {
		if seen[id] {
			continue
		}
		j := c.jobs[id.job]
		t := j.task(id.n)
		switch {
		case !viaReport || !j.durable(id.n) || j.part != m.rec.Cur:
		case !t.shown && t.pushed >= r.Token && c.mustStop(j, t):
			// A direct start may still come; it counts as here until then.
		case t.shown || c.mustStop(j, t):
			c.gone(j, id.n, "no longer reported")
		case c.mayStart(m, j) && (t.pushed == 0 || t.pushed < r.Token):
			// Not while a direct copy may come after this one was forgotten.
			order(wire.Start, id, t.attempt, nil)
		}
	}
	if viaReport {
		m.heed(c.now, cmds)
	}
	return cmds
}

// renewed takes in the session that a worker says it is in. Sessions only rise,
// so a higher one proves gone whatever was seen in an earlier one, whoever says
// it and however late; nothing told in the earlier one is carried out any more.
// Proven by reports alone, tasks on a machine that only direct commands reached
// were taken to run on for as long as that lasted.
func (c *Core) renewed(m *machine, session uint64) {
	if session <= m.session {
		return
	}
	m.session, m.images = session, nil
	for _, id := range m.tasks() {
		j := c.jobs[id.job]
		t := j.task(id.n)
		t.pushed = 0 // direct starts name the session
		if t.shown && c.ours(m) != nil && j.part == m.rec.Cur {
			c.gone(j, id.n, "its worker's session ended")
		}
	}
}

// mute tells whether a machine answers direct commands while its reports have
// long failed to come: its lease will run out. Two controllers that are cut off
// may hold a report up for five seconds each.
func (c *Core) mute(m *machine) bool {
	return m.reportAt > 0 && c.now > m.reportAt+c.lately()+10*Second
}

// heed notes whether a worker does what it was told: one whose reports arrive
// while answers and commands do not reach it needs to be told the same again.
func (m *machine) heed(now int64, cmds []wire.Command) {
	again := slices.ContainsFunc(cmds, func(o wire.Command) bool {
		return o.Op != wire.Stop && slices.ContainsFunc(m.told, func(t wire.Command) bool {
			return t.Op == o.Op && t.Task == o.Task && t.Attempt == o.Attempt
		})
	})
	switch {
	case !again:
		m.deaf = 0
	case m.deaf == 0:
		m.deaf = now
	}
	m.told = cmds
}

// allEnded tells whether the worker shows nothing but ended tasks.
func (m *machine) allEnded() bool {
	return !slices.ContainsFunc(m.reported, func(r wire.TaskReport) bool { return r.State != wire.Exited })
}

func (m *machine) tasks() []taskID {
	return slices.Clone(m.on)
}

// gangDurable tells whether a gang is placed whole and committed so.
func (c *Core) gangDurable(j *job) bool {
	if j.nPlaced+j.nDone != j.spec.Tasks {
		return false
	}
	return j.nChanged == 0
}

// gathering tells whether a gang that lost tasks has not begun to run: those
// that wait keep their places, and replacements with the same attempt complete
// it.
func (j *job) gathering() bool {
	if j.spec.Kind != wire.Gang || j.nDone > 0 || j.nPlaced == 0 || j.cancelled || j.spoiled {
		return false
	}
	for _, ch := range j.chunks {
		for i := range ch {
			t := &ch[i]
			if t.state == placed && (!t.shown || t.leaving > 0 || t.reported != wire.Fetching && t.reported != wire.Waiting) {
				return false
			}
		}
	}
	return true
}

// broken tells whether a gang lost a task while it ran: the rest must go
// before it starts again.
func (j *job) broken() bool {
	return j.spec.Kind == wire.Gang && !j.placing && !j.gathering() && j.nDone == 0 && j.nPlaced > 0 && j.nPlaced < j.spec.Tasks
}

// halted tells whether nothing of a job may run any more: it is cancelled, or
// another controller says that it told its user so.
func (j *job) halted() bool { return j.cancelled || j.told }

func (c *Core) mustStop(j *job, t *task) bool { return j.halted() || t.leaving > 0 || j.broken() }

// graceOf is how long a task that must stop may save. What a cancelled or
// broken job saved is of no use.
func (c *Core) graceOf(j *job, t *task) float64 {
	if j.halted() || j.broken() || c.now > t.leaving+secs(t.grace+10) {
		return 0
	}
	return t.grace
}

// fetched notes an image in the machine's cache, the latest used last.
func (m *machine) fetched(name string, gb float64) {
	m.images = slices.DeleteFunc(m.images, func(i image) bool { return i.name == name })
	m.images = append(m.images, image{name, gb})
	room := 0.0
	if m.typ != nil {
		room = m.typ.CacheGB
	}
	for i := len(m.images) - 1; i >= 0; i-- {
		if room -= m.images[i].gb; room < 0 {
			m.images = m.images[i+1:]
			return
		}
	}
}

// exited takes in how a task ended.
func (c *Core) exited(j *job, n int, t *task, m *machine, tr wire.TaskReport) {
	attempt := t.attempt
	if tr.Why == wire.Done && !j.cancelled {
		m.fetched(j.spec.Image, j.spec.ImageGB)
		c.taskSucceeded(j, m)
		c.change(j, n, standing{done, attempt, ""})
		c.early(0)
		return
	}
	c.change(j, n, standing{queued, attempt, ""})
	t = j.task(n)
	// Its worker still holds this attempt, so it must not be used again.
	j.spoiled = j.nPlaced > 0
	switch tr.Why {
	case wire.Failed:
		c.taskFailed(j, m, tr.Task)
	case wire.NoRoom, wire.Busy, wire.NoSuch:
		t.holdOff = c.now + 3*Second
		c.log(0, "start refused", "task", tr.Task, "machine", m.name, "why", tr.Why)
	}
	c.early(0)
}

// gone takes in that a task is proven to be on its machine no more.
func (c *Core) gone(j *job, n int, why string) {
	t := j.task(n)
	c.log(-4, "task gone", "job", j.id, "task", n, "machine", t.machine, "why", why)
	c.change(j, n, standing{queued, t.attempt, ""})
	c.early(0)
}

// leave tells a task to save, if it can, and stop.
func (c *Core) leave(j *job, t *task, why string) {
	if t.leaving > 0 {
		return
	}
	t.leaving = c.now
	if j.spec.CheckpointS > 0 {
		t.grace = j.spec.SaveS + 1
	}
	c.info("task told to stop", "job", j.id, "machine", t.machine, "why", why)
	if j.spec.Kind == wire.Gang {
		// An orderly stop reaches all of a gang at once.
		for _, n := range j.chunkList() {
			for i := range j.chunks[n] {
				o := &j.chunks[n][i]
				if o.state == placed {
					o.leaving, o.grace = c.now, t.grace
					if om := c.machines[o.machine]; om != nil {
						om.pushAt = min(om.pushAt, c.now)
					}
				}
			}
		}
	}
	if m := c.machines[t.machine]; m != nil {
		m.pushAt = min(m.pushAt, c.now)
	}
}

// mayStart tells whether a job's committed tasks here may be started.
func (c *Core) mayStart(m *machine, j *job) bool {
	return c.starts() && m.ready && !m.rec.Gone && m.notice == 0 && (j.spec.Kind != wire.Gang || c.gangDurable(j))
}

// direct lists the commands worth sending at once: stops of tasks that must
// stop and have not begun to, and the first start of each task.
func (c *Core) direct(m *machine) []wire.Command {
	var cmds []wire.Command
	for _, id := range m.tasks() {
		j := c.jobs[id.job]
		if t := j.task(id.n); !t.shown && t.pushed == 0 && j.part == m.rec.Cur && !c.mustStop(j, t) && j.durable(id.n) && c.mayStart(m, j) && len(cmds) < maxOrders {
			t.pushed = c.tokenOf(m)
			m.startedBy = max(m.startedBy, t.pushed)
			cmds = append(cmds, wire.Command{Op: wire.Start, Task: id.String(), Attempt: t.attempt})
			continue
		}
		if t := j.task(id.n); t.shown && t.reported != wire.Saving && c.mustStop(j, t) && len(cmds) < maxOrders {
			g := c.graceOf(j, t)
			cmds = append(cmds, wire.Command{Op: wire.Stop, Task: id.String(), Attempt: t.attempt, GraceS: &g})
		}
	}
	return cmds
}

// keepMachines looks after the machines of the parts that we hold.
func (c *Core) keepMachines() {
	silent, up := 0, 0
	silence := c.silence()
	for _, m := range c.order {
		p := c.ours(m)
		if p == nil {
			continue
		}
		if m.upAt > 0 {
			up++
			if c.now > m.seenAt+silence*2/3 {
				silent++
			}
		}
		if m.pushAt <= c.now && !m.pushing && c.answers(p) {
			m.pushAt = c.now + 2*Second
			if m.addr == "" || m.busy() {
				continue
			}
			// One that is late is asked before it is taken for dead: where two
			// controllers were cut off its report went to both of them first,
			// five seconds each, and two hundred machines at work were deleted.
			late := m.upAt > 0 && c.now > m.seenAt+c.reportDue()
			if cmds := c.direct(m); !m.ready || late || cmds != nil {
				c.push(m, cmds)
			}
		}
	}
	cut := up >= 2 && silent*2 > up
	c.stepDown(up)
	if !c.leaseValid() {
		return // another controller may hold our partitions by now
	}
	for _, m := range c.order {
		if c.ours(m) != nil {
			c.keepMachine(m, cut)
		}
	}
}

// silence is how long a machine may say nothing: a report may be lost, given
// up on after 4 s and be sent again elsewhere a second later.
func (c *Core) silence() int64 {
	return secs(max(c.set.Ops.SilentS, 1.25*c.set.Facts.Workers.ReportS+6))
}

// reportDue is the longest time between two reports of a worker that is well.
func (c *Core) reportDue() int64 { return secs(1.25*c.set.Facts.Workers.ReportS) + Second }

// stepDown gives our parts up when no worker reaches us, whatever its machine's
// part, although another controller is well: the cut may be ours alone. The
// more machines we have the sooner it is certain. Judged by each machine's own
// silence, a controller that was cut off went on borrowing machines, each of
// which counted as heard, until the tasks on all of its own had run out of lease.
func (c *Core) stepDown(up int) {
	quiet := c.now
	for _, p := range c.parts {
		if p.held {
			quiet = min(quiet, c.now-max(c.heardAt, p.tookAt))
		}
	}
	enough := c.silence() * 2 / 3
	if up >= 2 {
		enough = min(enough, max(5*Second, 20*secs(c.set.Facts.Workers.ReportS)/int64(up)))
	}
	if up < 2 || quiet < enough {
		c.unreached = 0
		return
	}
	if c.unreached == 0 {
		c.unreached = c.now
	}
	if c.now < c.unreached+2*Second || !c.othersAble() || c.now < c.stepBack {
		return
	}
	c.unreached, c.stepBack, c.cutOff = 0, c.now+20*Second, true
	for _, p := range c.parts {
		if p.held {
			c.release(p, "no worker reaches this controller")
		}
	}
}

// probe asks a few workers, after no worker reached us, whether one does again:
// none comes by itself to a controller that holds no part. Handed back after a
// set time, the parts went without answers for as long again.
func (c *Core) probe() {
	if !c.cutOff || c.now < c.probeAt {
		return
	}
	c.probeAt = c.now + 2*Second
	sent := 0
	for i := range c.order {
		m := c.order[(c.probed+i)%len(c.order)]
		if m.addr == "" || m.rec.Gone {
			continue
		}
		// Token 0 has nothing done.
		c.emit(Push{Machine: m.name, Addr: m.addr, Body: wire.Push{Session: max(1, m.session), Commands: []wire.Command{}}})
		if sent++; sent == 3 {
			c.probed += i + 1
			break
		}
	}
	if sent == 0 {
		c.cutOff = false
	}
}

func (c *Core) keepMachine(m *machine, cut bool) {
	if c.now > m.deadAt && len(m.on) > 0 {
		c.info("machine's lease ran out", "machine", m.name, "tasks", len(m.on))
		c.clear(m, "its lease ran out")
	}
	if m.rec.Gone {
		if m.delOK && !m.busy() {
			c.clear(m, "deleted")
			if c.emptied(m) {
				c.ask(m, opForget)
			}
		}
		return
	}
	if m.from.part != m.rec.Cur && !m.busy() {
		c.ask(m, opCopy)
	}
	if m.doubt && !m.busy() {
		m.doubt = false
		c.ask(m, opToken)
	}
	boot := 60.0
	if m.typ != nil {
		boot = m.typ.BootS
	}
	switch {
	case c.overdue(m) && c.now > m.bornAt+secs(boot*3+20) && c.now > m.waitFrom+c.silence()+8*Second:
		c.remove(m, "never came up")
	case c.overdue(m) && !c.parts[m.rec.Cur].short && c.now > m.waitFrom+c.silence()+8*Second:
		c.remove(m, "overdue, and nothing waits for it")
	case m.upAt > 0 && !cut && c.now > m.seenAt+c.silence():
		c.remove(m, "silent")
	case m.deaf > 0 && c.now > m.deaf+c.silence()+secs(c.set.Facts.Workers.ReportS):
		c.remove(m, "does nothing that it is told")
	case m.notice > 0 || m.faulty:
		for _, id := range m.tasks() {
			j := c.jobs[id.job]
			if t := j.task(id.n); !m.faulty && j.spec.CheckpointS > 0 && t.leaving == 0 {
				c.leave(j, t, "the machine will be taken")
			}
		}
		if len(m.on) == 0 && m.allEnded() {
			c.remove(m, "drained")
		}
	case c.promisedTo(m) >= 0 && m.moveTo < 0:
		c.keepPromise(m)
	case m.moveTo >= 0:
		for _, id := range m.tasks() {
			j := c.jobs[id.job]
			if t := j.task(id.n); m.evict {
				c.leave(j, t, "the machine goes to another part")
			}
		}
		if len(m.on) == 0 && m.ready {
			c.lend(m, m.moveTo)
		}
	case m.ready && len(m.on) == 0 && m.claim == "" && c.now > m.idleAt+secs(c.set.Ops.IdleReturnS) && c.now > m.bornAt+50*Second:
		c.remove(m, "idle")
	}
	// A claim ends with the job's start there (plan), its time, or its need. It
	// ended with the job's first task anywhere once: two parts then took a
	// machine from each other three times a second.
	if j := c.jobs[m.claim]; m.claim != "" && (c.now > m.claimTo || j == nil || j.nPlaced+j.nDone == j.spec.Tasks) {
		m.claim = ""
	}
}

// boots is what is seen of how long machines of a type take to come up.
type boots struct {
	born int64 // when the youngest that is up was rented
	took int64 // the quick ones of late
}

func (c *Core) noteBoot(m *machine) {
	b := c.boots[m.rec.Type]
	b.born = max(b.born, m.bornAt)
	// Not of one that another controller saw come up.
	if took := c.now - m.bornAt; m.waitFrom < m.bornAt+5*Second {
		if b.took == 0 || took < b.took {
			b.took = took
		} else {
			b.took += (took - b.took) / 4
		}
	}
	c.boots[m.rec.Type] = b
}

// overdue tells whether a machine that is not up does not count as room that comes
// any more: it takes twice as long as its type does, and far longer than others of it
// took of late, one of which was rented no earlier. Where none is up, all are late,
// and renting as many again would bring nothing sooner.
func (c *Core) overdue(m *machine) bool {
	if m.upAt > 0 {
		return false
	}
	if m.typ == nil {
		return c.now > m.bornAt+180*Second
	}
	age, boot := c.now-m.bornAt, secs(m.typ.BootS)
	if b := c.boots[m.rec.Type]; b.took > 0 && b.born >= m.bornAt-5*Second {
		return age > max(2*boot, b.took*5/2)
	}
	return age > 3*boot
}

// keepPromise empties a machine that is kept for a gang that is due, where what
// runs is of a lower tier and the gang's other machines are about ready, and
// lends it to the gang's part.
func (c *Core) keepPromise(m *machine) {
	pr := c.promised[m.name]
	to := c.promisedTo(m)
	if len(m.on) == 0 {
		// Not at once again where two controllers see it differently.
		if to != m.rec.Cur && m.ready && c.now > m.waitFrom+4*Second {
			c.lend(m, to)
		}
		return
	}
	if c.now+2*sched.Clearing < pr.At {
		return
	}
	for _, id := range m.tasks() {
		j := c.jobs[id.job]
		if c.tier(j) < wire.Tier(pr.Job.Spec.Priority) {
			c.leave(j, j.task(id.n), "the machine is kept for "+pr.Job.ID)
		}
	}
}

// clear takes in that all on a machine is gone.
func (c *Core) clear(m *machine, why string) {
	for _, id := range m.tasks() {
		if j := c.jobs[id.job]; j != nil && c.parts[j.part].held {
			c.gone(j, id.n, why)
		}
	}
}

// remove marks a machine for deletion: from then on it is never used again,
// by whoever holds its part.
func (c *Core) remove(m *machine, why string) {
	if m.busy() || m.rec.Gone {
		return
	}
	c.info("machine returned", "machine", m.name, "type", m.rec.Type, "why", why, "tasks", len(m.on), "age_s", (c.now-m.bornAt)/Second)
	c.ask(m, opGone)
}

// emptied tells whether a machine has no tasks and that is committed. A
// machine lent while the record still named a task on it was seen to start
// that task for the borrower, after its owner had placed it elsewhere. Every job
// whose tasks left is looked at: stopping at the first that is not committed left
// it to the order of a map which were still looked at later (random day 1026).
func (c *Core) emptied(m *machine) bool {
	if len(m.on) > 0 {
		return false
	}
	for id := range m.left {
		if j := c.jobs[id]; j == nil || j.over || j.nChanged == 0 {
			delete(m.left, id)
		}
	}
	return len(m.left) == 0
}

// orphans takes tasks off machines that have no record: a record goes only
// once all on the machine is proven gone.
func (c *Core) orphans() {
	for _, id := range sorted(c.jobs) {
		j := c.jobs[id]
		if !c.parts[j.part].held || j.nPlaced == 0 {
			continue
		}
		for _, k := range j.chunkList() {
			for i := range j.chunks[k] {
				if t := &j.chunks[k][i]; t.state == placed && c.machines[t.machine] == nil {
					c.gone(j, k*chunkSize+i, "its machine's record is gone")
				}
			}
		}
	}
}

// buried remembers a machine whose record was deleted, so that lagging lists
// do not bring it back.
func (c *Core) buried(name string) {
	if len(c.graves) > 2000 {
		for n, at := range c.graves {
			if c.now > at+120*Second {
				delete(c.graves, n)
			}
		}
	}
	c.graves[name] = c.now
}

// lend moves an empty machine to another part.
func (c *Core) lend(m *machine, to int) {
	if m.busy() || m.rec.Gone || !c.emptied(m) || to == m.rec.Cur || to < 0 || to >= len(c.parts) {
		return
	}
	c.info("machine lent", "machine", m.name, "from", m.rec.Cur, "to", to, "home", m.rec.Home)
	m.opTo = to
	c.ask(m, opMove)
}

// record has machines recorded that were rented or have strayed in.
func (c *Core) record(p *part, rows []machineRow, adopt bool, then func()) {
	p.fresh = append(p.fresh, &newMachines{rows: rows, adopt: adopt, then: then})
}

// kindName names a kind in the log.
type kindName sched.Kind

func (k kindName) String() string {
	return fmt.Sprintf("%s/%s/spot=%t", k.Type, k.Zone, k.Spot)
}
