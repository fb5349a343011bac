package core

import (
	"strconv"
	"strings"

	"github.com/go-json-experiment/json"

	"spurmoor/internal/sched"
	"spurmoor/internal/wire"
)

// Keys. Everything that is followed lies below Live; the final states of
// jobs lie apart and are read one by one.
const (
	// Live is the prefix of what the mirror follows.
	Live    = "live/"
	jobKey  = Live + "j/"
	machKey = Live + "m/"
	partKey = Live + "p/"
	taskKey = Live + "t/"
	overKey = "over/"
)

// chunkSize tasks share a key: at its longest an entry has about 45 bytes,
// so that a chunk stays below 6 KiB.
const chunkSize = 128

type partRecord struct {
	Node string `json:"n"`
	Inc  uint64 `json:"i"`
}

type machineRecord struct {
	Type string `json:"t"`
	Zone string `json:"z"`
	Spot bool   `json:"s,omitzero"`
	Home int    `json:"h"`
	Cur  int    `json:"c"`
	At   int64  `json:"a"` // rented, by the time of day
	Gone bool   `json:"d,omitzero"`
}

type jobRecord struct {
	Spec      wire.Job `json:"j"`
	At        int64    `json:"a"`
	Cancelled bool     `json:"x,omitzero"`
}

type finalRecord struct {
	State string `json:"s"`
	Done  int    `json:"n"`
}

// A chunk's value is a list of runs: count, state, attempt, machine.
type run struct {
	N       int    `json:"n"`
	State   uint8  `json:"s,omitzero"`
	Attempt uint64 `json:"a,omitzero"`
	Machine string `json:"m,omitzero"`
}

// States of tasks.
const (
	queued uint8 = iota
	placed       // on its machine until proven gone
	done
)

type task struct {
	state   uint8
	machine string
	attempt uint64
	gen     uint64 // of the chunk when this last changed

	// what is known since take-over only
	shown    bool   // its machine has reported it
	reported string // state last reported
	since    int64  // running since
	placedAt int64
	leaving  int64 // told to stop since
	grace    float64
	holdOff  int64  // not to be placed before
	pushed   uint64 // token of a direct start that may still be on its way
}

type chunk struct {
	ver   uint64
	raw   []byte
	tasks []task
	gen   uint64 // of the latest change
	sent  uint64 // gen that is being committed
	kept  uint64 // gen that is committed
}

type job struct {
	id        string
	spec      wire.Job
	need      sched.Res
	at        int64
	cancelled bool
	ver       uint64
	part      int
	chunks    map[int]*chunk
	nPlaced   int
	nDone     int
	busy      bool // a transaction with it is out
	over      bool // its final state is committed, the mirror not there yet

	placing bool            // a gang whose start is being committed
	avoid   map[string]bool // machines that it failed on
	suspect bool            // fails wherever it runs
	spoiled bool            // a task of this attempt of the gang has exited
	holdOff int64
	backOff int64
	zones   map[string]int
}

type machine struct {
	name string
	rec  machineRecord
	ver  uint64
	typ  *wire.MachineType
	used sched.Res
	on   map[taskID]bool // recorded here
	left map[string]bool // jobs whose tasks left, perhaps not committed yet

	busy bool // its record is being changed

	addr     string
	session  uint64
	seq      uint64
	token    uint64 // the one that it was known to have seen
	ready    bool   // it reported with our token
	seenAt   int64  // last heard
	bornAt   int64  // rented
	waitFrom int64  // since when we wait for its first report
	upAt     int64  // first report
	deadAt   int64  // by then its lease has run out unless we answer again
	pushAt   int64
	pushing  bool
	notice   int64 // taken at about this time; 0: no notice
	idleAt   int64
	images   []image
	errors   int
	sick     bool
	claim    string
	claimTo  int64
	reported []wire.TaskReport
	lendTo   int
	doubt    bool // a direct start had no answer: its token must be outdone
	moveTo   int  // part that is to get it once it is empty; -1: none
	evict    bool // its tasks are stopped for the move
	claimG   bool // the claim is by a guarantee
	delSent  bool
	delOK    bool
}

type image struct {
	name string
	gb   float64
}

type taskID struct {
	job string
	n   int
}

func (t taskID) String() string { return t.job + "/" + strconv.Itoa(t.n) }

func parseTask(s string) (taskID, bool) {
	id, num, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	return taskID{id, n}, ok && err == nil && n >= 0
}

// relisting is a reading of all keys, after the start or when the log of
// changes no longer reaches back.
type relisting struct {
	rev  uint64
	seen map[string]bool
}

// keepMirror keeps one watch open, and reads at once for those who wait.
func (c *Core) keepMirror() {
	if !c.synced {
		// Who waits for a read is told at once that there is none: reading
		// everything again may take as long as an outage lasts.
		waiting := c.fresh
		c.fresh = nil
		for _, f := range waiting {
			f(false)
		}
		if c.relist == nil && c.now >= c.followAt {
			c.relist = &relisting{seen: map[string]bool{}}
			c.listPage("")
		}
		return
	}
	if len(c.fresh) > 0 && !c.reading && c.now >= c.readAt {
		c.reading = true
		waiting := c.fresh
		c.fresh = nil
		c.readAt = c.now + Second/25
		began := c.now
		c.callStore(StoreCall{Op: OpFollow, Since: c.rev, Urgent: true}, func(r *StoreReply) {
			c.reading = false
			// An answer held back by the network says how things were: its
			// asker may have been told of a cancellation elsewhere since.
			ok := c.followed(r) && c.now < began+readAge
			for _, f := range waiting {
				f(ok)
			}
		})
	}
	if !c.follows && c.now >= c.followAt {
		c.follows = true
		c.callStore(StoreCall{Op: OpFollow, Since: c.rev, WaitMs: 5000}, func(r *StoreReply) {
			c.follows = false
			c.followAt = c.now + Second/10
			if !c.followed(r) && c.synced {
				c.followAt = c.now + c.jitter(Second/2)
			}
		})
	}
}

// readAge is how old a read may be when it is told to a user.
const readAge = Second

// read calls f after a read of the state service that began after now.
func (c *Core) read(f func(ok bool)) {
	if !c.synced {
		f(false)
		return
	}
	c.fresh = append(c.fresh, f)
}

func (c *Core) listPage(after string) {
	c.callStore(StoreCall{Op: OpList, Key: after}, func(r *StoreReply) {
		l := c.relist
		if r.Status != 200 {
			c.relist = nil
			c.followAt = c.now + c.jitter(Second/2)
			return
		}
		if l.rev == 0 {
			l.rev = r.Items.Revision
		}
		for _, it := range r.Items.Items {
			l.seen[it.Key] = true
			c.apply(it.Key, it.Value, it.Version)
			after = it.Key
		}
		if r.Items.More && len(r.Items.Items) > 0 {
			c.listPage(after)
			return
		}
		for _, key := range c.known() {
			if !l.seen[key] {
				c.drop(key, l.rev)
			}
		}
		for _, p := range c.parts {
			if p.ver == 0 {
				p.freeAt = c.now
			}
		}
		c.relist = nil
		c.rev = l.rev
		c.synced = true
		c.info("mirror read", "revision", c.rev, "jobs", len(c.jobs), "machines", len(c.machines))
	})
}

// known lists the mirrored keys.
func (c *Core) known() []string {
	var keys []string
	for _, p := range c.parts {
		if p.ver > 0 {
			keys = append(keys, p.key())
		}
	}
	for _, n := range sorted(c.machines) {
		keys = append(keys, machKey+n)
	}
	for _, id := range sorted(c.jobs) {
		for _, n := range c.jobs[id].chunkList() {
			keys = append(keys, chunkKey(id, n))
		}
		keys = append(keys, jobKey+id)
	}
	return append(keys, sorted(c.stray)...)
}

// followed takes in a log of changes; it tells whether the mirror is now as
// new as the answer.
func (c *Core) followed(r *StoreReply) bool {
	if r.Status == 410 {
		c.synced = false
		return false
	}
	if r.Status != 200 {
		return false
	}
	for _, e := range r.Follow.Events {
		if e.Delete != "" {
			c.drop(e.Delete, e.Version)
		} else {
			c.apply(e.Put, e.Value, e.Version)
		}
	}
	c.rev = max(c.rev, r.Follow.Revision)
	return true
}

func chunkKey(id string, n int) string { return taskKey + id + "/" + strconv.Itoa(n) }

// apply takes in one key's value unless a newer one is known.
func (c *Core) apply(key string, value []byte, ver uint64) {
	bad := func(err error) { c.log(8, "unreadable value in the state service", "key", key, "error", err) }
	switch {
	case strings.HasPrefix(key, partKey):
		i, err := strconv.Atoi(key[len(partKey):])
		if err != nil || i < 0 || i >= len(c.parts) || c.parts[i].ver >= ver {
			return
		}
		var rec partRecord
		if err := json.Unmarshal(value, &rec); err != nil {
			bad(err)
		}
		c.partChanged(c.parts[i], rec, ver)
	case strings.HasPrefix(key, machKey):
		name := key[len(machKey):]
		m := c.machines[name]
		if m != nil && m.ver >= ver {
			return
		}
		var rec machineRecord
		if err := json.Unmarshal(value, &rec); err != nil {
			bad(err)
			return
		}
		if m == nil {
			m = &machine{name: name, on: map[taskID]bool{}, left: map[string]bool{}, bornAt: c.now, waitFrom: c.now, lendTo: -1, moveTo: -1}
			if rec.At > 0 && rec.At < c.now {
				m.bornAt = rec.At
			}
			c.machines[name] = m
			// Another controller may have told its worker 200 until now.
			m.deadAt = c.now + c.leaseBound()
			for _, id := range sorted(c.jobs) {
				c.countOn(c.jobs[id], m)
			}
		}
		moved := m.ver != 0 && m.rec.Cur != rec.Cur
		m.rec, m.ver = rec, ver
		m.typ = c.typeOf[rec.Type]
		if moved {
			m.forgetSeen(c)
		}
		c.early(Second / 5)
	case strings.HasPrefix(key, jobKey):
		id := key[len(jobKey):]
		j := c.jobs[id]
		if j != nil && j.ver >= ver {
			return
		}
		var rec jobRecord
		if err := json.Unmarshal(value, &rec); err != nil {
			bad(err)
			return
		}
		if j == nil {
			j = &job{id: id, chunks: map[int]*chunk{}, avoid: map[string]bool{}, zones: map[string]int{},
				need: sched.ResOf(rec.Spec.CPUs, rec.Spec.GPUs, rec.Spec.MemoryGB), part: c.set.TeamPart[rec.Spec.Team]}
			c.jobs[id] = j
			c.log(-4, "job seen", "job", id, "kind", rec.Spec.Kind, "team", rec.Spec.Team, "tasks", rec.Spec.Tasks, "part", j.part)
		}
		j.spec, j.at, j.cancelled, j.ver = rec.Spec, rec.At, rec.Cancelled, ver
		c.dirty[id] = true
		c.early(Second / 20)
	case strings.HasPrefix(key, taskKey):
		id, num, ok := strings.Cut(key[len(taskKey):], "/")
		n, err := strconv.Atoi(num)
		if !ok || err != nil {
			return
		}
		j := c.jobs[id]
		if j == nil {
			c.stray[key] = ver
			return
		}
		ch := j.chunks[n]
		if ch == nil {
			ch = &chunk{}
			j.chunks[n] = ch
		}
		if ch.ver >= ver {
			return
		}
		ch.ver, ch.raw = ver, append([]byte(nil), value...)
		if !j.busy {
			c.reload(j, n)
		}
	}
}

// drop takes in that a key was deleted.
func (c *Core) drop(key string, ver uint64) {
	switch {
	case strings.HasPrefix(key, partKey):
		i, err := strconv.Atoi(key[len(partKey):])
		if err == nil && i >= 0 && i < len(c.parts) && c.parts[i].ver < ver {
			c.partChanged(c.parts[i], partRecord{}, 0)
		}
	case strings.HasPrefix(key, machKey):
		if m := c.machines[key[len(machKey):]]; m != nil && m.ver < ver {
			for _, id := range m.tasks() {
				c.countMachine(c.jobs[id.job], id.n, m, -1)
			}
			delete(c.machines, m.name)
			c.buried(m.name)
			c.orphans()
		}
	case strings.HasPrefix(key, jobKey):
		id := key[len(jobKey):]
		if j := c.jobs[id]; j != nil && j.ver < ver {
			for _, n := range j.chunkList() {
				if ch := j.chunks[n]; ch.ver > 0 {
					c.stray[chunkKey(id, n)] = ch.ver
				}
				for i := range j.chunks[n].tasks {
					c.assign(j, n*chunkSize+i, queued, 0, "")
				}
			}
			delete(c.jobs, id)
			delete(c.dirty, id)
		}
	case strings.HasPrefix(key, taskKey):
		delete(c.stray, key)
		id, num, _ := strings.Cut(key[len(taskKey):], "/")
		if n, err := strconv.Atoi(num); err == nil && c.jobs[id] != nil {
			if ch := c.jobs[id].chunks[n]; ch != nil && ch.ver < ver {
				ch.ver, ch.raw = 0, nil
				c.reload(c.jobs[id], n)
			}
		}
	}
}

func (j *job) chunkList() []int {
	var list []int
	for n := 0; n*chunkSize < j.spec.Tasks; n++ {
		if j.chunks[n] != nil {
			list = append(list, n)
		}
	}
	return list
}

// touch gives the chunk of a task, its tasks unpacked.
func (j *job) touch(n int) *chunk {
	ch := j.chunks[n/chunkSize]
	if ch == nil {
		ch = &chunk{}
		j.chunks[n/chunkSize] = ch
	}
	if ch.tasks == nil {
		ch.tasks = make([]task, min(chunkSize, j.spec.Tasks-n/chunkSize*chunkSize))
	}
	return ch
}

// task gives a task, or nil where nothing about it was ever decided.
func (j *job) task(n int) *task {
	if n >= j.spec.Tasks {
		return nil
	}
	if ch := j.chunks[n/chunkSize]; ch != nil && ch.tasks != nil {
		return &ch.tasks[n%chunkSize]
	}
	return nil
}

// reload throws away what is not committed of a chunk.
func (c *Core) reload(j *job, n int) {
	ch := j.chunks[n]
	var runs []run
	if len(ch.raw) > 0 {
		if err := json.Unmarshal(ch.raw, &runs); err != nil {
			c.log(8, "unreadable tasks in the state service", "job", j.id, "error", err)
			return
		}
	}
	ch.gen, ch.sent, ch.kept = ch.gen+1, 0, ch.gen+1
	j.touch(n * chunkSize)
	i := 0
	for _, r := range runs {
		for range r.N {
			if i >= len(ch.tasks) {
				break
			}
			c.restore(j, n*chunkSize+i, r.State, r.Attempt, r.Machine, ch.kept)
			i++
		}
	}
	for ; i < len(ch.tasks); i++ {
		c.restore(j, n*chunkSize+i, queued, 0, "", ch.kept)
	}
}

func (c *Core) restore(j *job, n int, state uint8, attempt uint64, machine string, gen uint64) {
	t := j.task(n)
	if t.state != state || t.attempt != attempt || t.machine != machine {
		c.assign(j, n, state, attempt, machine)
	}
	t.gen = gen
}

// pack gives a chunk's value.
func (ch *chunk) pack() []byte {
	var runs []run
	for _, t := range ch.tasks {
		r := run{State: t.state, Attempt: t.attempt, Machine: t.machine}
		if k := len(runs) - 1; k >= 0 && runs[k].State == r.State && runs[k].Attempt == r.Attempt && runs[k].Machine == r.Machine {
			runs[k].N++
			continue
		}
		r.N = 1
		runs = append(runs, r)
	}
	b, err := json.Marshal(runs)
	if err != nil {
		panic(err) // plain numbers and names: cannot fail
	}
	return b
}

// change changes a task, to be committed.
func (c *Core) change(j *job, n int, state uint8, attempt uint64, machine string) {
	ch := j.touch(n)
	if m := c.machines[ch.tasks[n%chunkSize].machine]; m != nil && m.name != machine {
		m.left[j.id] = true
	}
	c.assign(j, n, state, attempt, machine)
	ch.gen++
	ch.tasks[n%chunkSize].gen = ch.gen
	c.dirty[j.id] = true
}

// durable tells whether what is known of a task is committed.
func (j *job) durable(n int) bool {
	ch := j.chunks[n/chunkSize]
	return ch == nil || ch.tasks == nil || ch.tasks[n%chunkSize].gen <= ch.kept
}

// assign changes a task and every count that depends on it.
func (c *Core) assign(j *job, n int, state uint8, attempt uint64, machine string) {
	t := &j.touch(n).tasks[n%chunkSize]
	c.count(j, n, t, -1)
	*t = task{state: state, attempt: attempt, machine: machine, gen: t.gen, placedAt: c.now, holdOff: t.holdOff}
	c.count(j, n, t, 1)
	if j.nPlaced == 0 {
		j.spoiled = false
	}
}

func (c *Core) count(j *job, n int, t *task, by int) {
	switch t.state {
	case done:
		j.nDone += by
	case placed:
		j.nPlaced += by
		if u := c.usage[j.spec.Team]; u != nil {
			*u = u.Add(j.need, int64(by))
		}
		if m := c.machines[t.machine]; m != nil {
			c.countMachine(j, n, m, by)
		}
	}
}

func (c *Core) countMachine(j *job, n int, m *machine, by int) {
	m.used = m.used.Add(j.need, int64(by))
	j.zones[m.rec.Zone] += by
	if by > 0 {
		m.on[taskID{j.id, n}] = true
	} else {
		delete(m.on, taskID{j.id, n})
		if len(m.on) == 0 {
			m.idleAt = c.now
		}
	}
}

// countOn counts the tasks of a job on a machine whose record came later
// than theirs.
func (c *Core) countOn(j *job, m *machine) {
	for _, k := range j.chunkList() {
		for i := range j.chunks[k].tasks {
			if t := &j.chunks[k].tasks[i]; t.state == placed && t.machine == m.name {
				c.countMachine(j, k*chunkSize+i, m, 1)
			}
		}
	}
}
