package core

import (
	"slices"
	"strconv"

	"spurmoor/internal/sched"
	"spurmoor/internal/wire"
)

// partition is a share of the teams, held by one controller at a time. Its term
// is the version of its key at take-over.
type partition struct {
	idx    int
	rec    partitionRecord
	ver    uint64
	held   bool
	freeAt int64
	taking bool
	tookAt int64
	// resigned is the last term that we gave up by ourselves.
	resigned uint64
	log      []entry
	dirty    map[string]bool // jobs with changes to commit
	ops      []*machine      // records to change
	fresh    []*newMachines  // machines to record
	flush    *flush
	flushed  int64              // when the last flush was sent
	tight    int                // how often its flushes were too large: half as much each time
	rents    map[sched.Kind]int // asked for and not recorded yet
	short    bool               // jobs waited at its last cycle
	spare    string             // machine of another partition that is to be given to us once it is empty
}

func (p *partition) key() string { return partitionKey + strconv.Itoa(p.idx) }

// Our lease, and how long its holder may act on it.
func (c *Core) ttl() int64 { return secs(c.set.Ops.HoldTTLS) }

// answerDeadline is how long a holder still answers reports after the last moment of
// which its replica shows all: a task that is kept alive by an answer given then,
// though its job was cancelled elsewhere, is gone within cancel_s all the same.
func (c *Core) answerDeadline() int64 { return min(secs(c.set.Facts.AnswerDeadline()), 40*Second) }

// replicaCertainAt is from when the answer deadline counts: the last moment at which we were
// known to hold our lease and the replica to be complete. A renewal alone does not
// move it: one once succeeded while the watch still hung after a refusal, and a
// cancellation told elsewhere in between outlived cancel_s in the outage after it.
func (c *Core) replicaCertainAt() int64 { return min(c.leasedAt, c.replicaAt) }

// startAge is how old the replica may be when a task is started: a cancellation
// told elsewhere since is not in it.
const startAge = 4 * Second

// starts tells whether tasks may be started: a holder that lost the state
// service goes on with what runs and starts nothing more.
func (c *Core) starts() bool {
	return c.leaseValid() && c.now < c.replicaAt+startAge
}

// leaseBound is how long after a take-over a worker that the holder before
// may have answered can have kept its tasks.
func (c *Core) leaseBound() int64 {
	return max(0, c.answerDeadline()-c.ttl()) + c.leaseS() + Second
}

// leaseS is the workers' lease by a clock that runs slow.
func (c *Core) leaseS() int64 { return secs(c.set.Facts.Workers.LeaseS * 1.002) }

// answers tells whether we may answer reports for a partition. Past our lease we do
// so only while the state service may be away for everyone: where another
// controller has it, the workers move on to that one at once.
func (c *Core) answers(p *partition) bool { return p.held && c.mayAnswer() }

// mayAnswer tells whether a holder may answer reports now.
func (c *Core) mayAnswer() bool {
	if c.leasedAt == 0 || c.now >= c.replicaCertainAt()+c.answerDeadline() {
		return false
	}
	return c.now < c.leasedAt+c.ttl()+Second || !c.othersAble()
}

// othersAble tells whether another controller lately said that it is well. What
// it said before it can have noticed an outage that we noticed does not count:
// all controllers once left the users' balancer at the start of each outage.
func (c *Core) othersAble() bool {
	for _, h := range c.heartbeats {
		if h.storeOK && c.now < h.at+3*Second && (c.storeBad == 0 || h.at > c.storeBad+3*Second/2) {
			return true
		}
	}
	return false
}

func (c *Core) keepLease() {
	if c.renewing || c.now < c.renewAt {
		return
	}
	c.renewing = true
	sent := c.now
	call := StoreCall{Op: OpRenewLease, Lease: c.lease, Urgent: true}
	if c.lease == 0 {
		call = StoreCall{Op: OpGrantLease, TTLMs: c.ttl() / 1000, Urgent: true}
	}
	c.callStore(call, func(r *StoreReply) {
		c.renewing = false
		c.renewAt = c.now + c.ttl()/4
		switch r.Status {
		case 200:
			if c.lease == 0 {
				c.lease = r.Lease
			}
			c.leasedAt = sent
		case 404:
			c.info("lease lost", "lease", c.lease)
			c.lease, c.leasedAt = 0, 0
			c.renewAt = c.now
			for _, p := range c.partitions {
				if p.held {
					c.losePartition(p, "our lease ended")
				}
			}
		default:
			c.renewAt = c.now + c.jitter(Second/2)
		}
	})
}

// partitionChanged takes in a partition's key; version 0: it has none.
func (c *Core) partitionChanged(p *partition, rec partitionRecord, ver uint64) {
	// Never again under a term that we gave up: the deletion of its key may still
	// be carried out, and whoever takes the partition then counts on our silence.
	mine := ver > p.resigned && rec.Node == c.set.Node && rec.Inc == c.inc && c.lease != 0
	if p.held && (!mine || ver != p.ver) {
		c.losePartition(p, "taken or expired")
	}
	p.rec, p.ver = rec, ver
	if ver == 0 {
		p.freeAt = c.now
	}
	if mine && !p.held {
		p.held, p.tookAt = true, c.now
		c.info("partition taken over", "partition", p.idx, "term", ver)
		for _, m := range c.order {
			if m.rec.Cur == p.idx {
				m.forgetSeen(c)
			}
		}
		for id, j := range c.jobs {
			if j.partition == p.idx {
				p.dirty[id] = true
			}
		}
		c.dropOrphans()
		c.planWithin(Second / 5)
	}
}

// forgetSeen starts over with a machine that came to us from another holder:
// that one may have told its worker 200 until now.
func (m *machine) forgetSeen(c *Core) {
	m.ready, m.pushAt, m.pushing = false, c.now, false
	m.deadAt = max(m.deadAt, c.now+c.leaseBound())
	m.seenAt, m.waitFrom = max(m.seenAt, c.now), c.now
	m.idleAt = c.now
	// Started anew perhaps, by that holder, in a session that we know nothing of:
	// taken for seen by us they were proven gone by that session (random days).
	for _, id := range m.tasksOn {
		t := c.jobs[id.job].task(id.n)
		t.seen, t.reported = false, ""
	}
	m.delSent, m.delOK = false, false
	m.lastCommands, m.ignoringSince = nil, 0
	m.op, m.moveTo = opNone, -1
}

// losePartition stops acting for a partition and throws away what was not committed.
func (c *Core) losePartition(p *partition, why string) {
	p.held = false
	p.freeAt = c.now
	c.info("partition lost", "partition", p.idx, "why", why)
	if p.flush != nil {
		p.flush.over = true // it was carried out before the partition went, or never
		p.flush = nil
	}
	for _, m := range p.ops {
		m.op = opNone
	}
	fresh := p.fresh
	p.ops, p.fresh = nil, nil
	clear(p.dirty)
	for _, n := range fresh {
		n.then()
	}
	for _, id := range sorted(c.jobs) {
		if j := c.jobs[id]; j.partition == p.idx {
			c.revert(j)
		}
	}
}

// takeoverRank is how far down the order of takers of a partition a node stands.
func (c *Core) takeoverRank(p *partition, node string) int {
	n := len(c.set.Nodes)
	return (slices.Index(c.set.Nodes, node) - p.idx%n + n) % n
}

func (c *Core) keepPartitions() {
	if !c.synced {
		return
	}
	for _, p := range c.partitions {
		switch {
		case p.held:
			c.handBack(p)
		case p.taking || c.lease == 0 || c.now >= c.leasedAt+c.ttl()/2 || c.now < c.noTakeoverBefore || c.cutOff && c.othersAble():
		case p.ver > 0 && p.rec.Node == c.set.Node:
			c.takePartition(p) // of an earlier process of ours
		case p.ver == 0 && c.now >= p.freeAt+int64(c.takeoverRank(p, c.set.Node))*3*Second/2:
			c.takePartition(p)
		}
	}
}

func (c *Core) takePartition(p *partition) {
	p.taking = true
	rec := partitionRecord{Node: c.set.Node, Inc: c.inc}
	t := &transaction{req: wire.Txn{If: []wire.Guard{{Key: p.key(), Version: p.ver}},
		Then: []wire.Write{{Put: p.key(), Value: mustJSON(rec), Lease: c.lease}}}}
	free := func() { p.taking = false; p.freeAt = max(p.freeAt, c.now-Second) }
	// Held only once the replica shows it: then it shows all before it too.
	t.ok = func(uint64) { c.read(func(bool) { free() }) }
	t.failed = free
	c.txns = append(c.txns, t)
	c.sendTxn(t)
}

// handBack returns a partition to the controller that it belongs to by default,
// once that one has been well for a while.
func (c *Core) handBack(p *partition) {
	owner := c.set.Nodes[p.idx%len(c.set.Nodes)]
	h := c.heartbeats[owner]
	if owner == c.set.Node || c.now < p.tookAt+15*Second || h == nil || !h.storeOK || c.now > h.at+3*Second || c.now < h.since+8*Second {
		return
	}
	c.resignPartition(p, "handed back to "+owner)
}

// resignPartition gives a partition up. We stop answering for it before the key goes.
func (c *Core) resignPartition(p *partition, why string) {
	ver := p.ver
	p.resigned = ver
	c.losePartition(p, why)
	p.freeAt = c.now + 3*Second
	t := &transaction{ok: func(uint64) {}, failed: func() {}}
	t.req.If = []wire.Guard{{Key: p.key(), Version: ver}}
	t.req.Then = []wire.Write{{Delete: p.key()}}
	p.rec = partitionRecord{} // not ours any more, whatever the replica still says
	c.txns = append(c.txns, t)
	c.sendTxn(t)
}
