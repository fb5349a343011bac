package rehearsal

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"

	"spurmoor/internal/core"
	"spurmoor/internal/wire"
)

const second = core.Second

// event is something that happens at a time; ties go by order of planning.
type event struct {
	at  int64
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is heap.Interface's.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is heap.Interface's.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// node is one controller: its core and what reaches it.
type node struct {
	i          int
	name       string
	core       *core.Core
	up         bool
	epoch      int
	refused    bool // by the state service alone
	cut        map[string]bool
	hold       bool
	held       []func()
	reqs       map[uint64]func(core.Answer)
	nextReq    uint64
	pushing    int   // direct commands out
	pushes     int   // that may be out at a time
	announced  bool  // its settings name the next limits
	frozen     bool  // stands still while clocks run
	watchHangs bool  // its watch's connection does
	queued     []any // inputs that came meanwhile
}

func (n *node) zone() string { return zones[n.i%2] }

// World is a day being played.
type World struct {
	sc       *Scenario
	now      int64
	rng      *rand.Rand
	q        queue
	seq      int
	nodes    []*node
	store    *store
	cloud    *cloud
	workers  []*worker
	byAddr   map[string]*worker
	users    []*user
	byID     map[string]*user
	check    *checker
	saved    map[string]int64
	results  map[string]bool
	truth    map[string]Job
	live     live
	waiting  int    // peak of requests at a controller
	pushing  int    // peak of its direct commands
	machines int    // peak of those up
	cutZone  string // zone cut off from all others
	crossed  []func()
	muted    string // job whose user gets no answers
	calm     int64  // when the last trouble was over
	// what troubles.go brings about
	lateWrites  share
	lateReports share
	cancelAtEnd share
	looksUntil  int64
	forNext     []func() // reports kept for the next leader
	leader      map[string]string
	seen        map[string]int
	observe     func(at int64, node string, effect any) // of every effect; may be nil
	Log         []string
}

// live carries what the workers say over real sockets; nil in simulated time.
type live interface {
	report(node int, r *wire.Report, f func(core.Answer))
	listen(wk *worker) string
}

func newWorld(sc *Scenario, l live) *World {
	w := &World{sc: sc, now: 1_700_000_000 * second, rng: rand.New(rand.NewPCG(sc.Seed, 1)),
		saved: map[string]int64{}, results: map[string]bool{}, truth: map[string]Job{}, live: l, byAddr: map[string]*worker{}, byID: map[string]*user{},
		leader: map[string]string{}, seen: map[string]int{}}
	w.check = newChecker(w)
	w.store = newStore(w)
	w.cloud = newCloud(w)
	for i := range 3 {
		w.nodes = append(w.nodes, &node{i: i, name: nodeName(i), cut: map[string]bool{}})
	}
	return w
}

// run does all that is due until a time.
func (w *World) run(until int64) {
	for len(w.q) > 0 && w.q[0].at <= until {
		e := heap.Pop(&w.q).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// Play plays a scenario to its end and gives what went wrong.
func Play(sc *Scenario) (*World, []string, error) { return playObserved(sc, nil) }

// playObserved is Play with every effect of the cores shown to observe as well.
func playObserved(sc *Scenario, observe func(at int64, node string, effect any)) (*World, []string, error) {
	w := newWorld(sc, nil)
	w.observe = observe
	start := w.now
	for _, n := range w.nodes {
		if err := w.boot(n); err != nil {
			return nil, nil, err
		}
	}
	w.every(second/10, func() {
		for _, n := range w.nodes {
			w.step(n, core.Tick{})
		}
	})
	w.every(second, func() {
		up := 0
		for _, wk := range w.workers {
			if wk.up && !wk.gone {
				up++
			}
		}
		w.machines = max(w.machines, up)
		w.check.starving()
	})
	for _, j := range sc.Jobs {
		for k := range max(1, j.Count) {
			w.addUser(j, j.ID+k, start+int64((j.AtS+float64(k)*j.EveryS)*float64(second)))
		}
	}
	for _, f := range sc.Faults {
		w.calm = max(w.calm, start+int64((f.AtS+f.ForS)*float64(second)))
		w.at(start+int64(f.AtS*float64(second)), func() { w.fault(f) })
	}
	w.run(start + int64(sc.DurationS*float64(second)))
	w.check.atEnd(start)
	return w, w.check.broken, nil
}

func (w *World) at(t int64, do func()) {
	w.seq++
	heap.Push(&w.q, event{max(t, w.now), w.seq, do})
}

func (w *World) after(d int64, do func()) { w.at(w.now+d, do) }

func (w *World) every(d int64, do func()) {
	var again func()
	again = func() {
		do()
		w.after(d, again)
	}
	w.after(d, again)
}

func (w *World) say(format string, args ...any) {
	w.Log = append(w.Log, fmt.Sprintf("%9.3f ", float64(w.now-1_700_000_000*second)/float64(second))+fmt.Sprintf(format, args...))
}

// boot starts a node's process anew; nothing of the old one remains.
func (w *World) boot(n *node) error {
	set, err := w.sc.settingsFor(n.i, n.announced)
	if err != nil {
		return err
	}
	n.epoch++
	n.up, n.reqs = true, map[uint64]func(core.Answer){}
	n.frozen, n.queued = false, nil
	n.pushes = set.Sockets.Pushes
	n.core = core.New(set, w.rng.Uint64()>>12, rand.New(rand.NewPCG(w.sc.Seed, uint64(100+n.i))))
	return nil
}

func (w *World) step(n *node, in any) {
	if !n.up {
		return
	}
	if n.frozen {
		if _, ok := in.(core.Tick); !ok {
			n.queued = append(n.queued, in)
		}
		return
	}
	for _, e := range n.core.Step(w.now, in) {
		if w.observe != nil {
			w.observe(w.now, n.name, e)
		}
		w.effect(n, e)
	}
}

// request hands a request to a node; f gets its answer unless the node ends.
func (w *World) request(n *node, in func(req uint64) any, f func(core.Answer)) {
	n.nextReq++
	req := n.nextReq
	n.reqs[req] = f
	w.waiting = max(w.waiting, len(n.reqs))
	w.step(n, in(req))
}

func (w *World) latency() int64 { return second/1000 + w.rng.Int64N(second/200) }

// between delivers something between a node and a worker, unless a zone's cut
// lies between them, which holds it back until it ends.
func (w *World) between(n *node, wk *worker, do func()) {
	if w.cutZone != "" && (n.zone() == w.cutZone) != (wk.zone == w.cutZone) {
		w.crossed = append(w.crossed, func() { w.carry(n, "workers", do) })
		return
	}
	w.carry(n, "workers", do)
}

// again carries a request out once more, long after the first time.
func (w *World) again(do func()) {
	if w.sc.Repeats > 0 && w.rng.Float64() < w.sc.Repeats {
		w.after(second/2+w.rng.Int64N(int64(2*w.sc.LeaseS*float64(second))), do)
	}
}

// carry delivers something between a node and the party named unless that
// way is cut; a cut may hold it back until it ends.
func (w *World) carry(n *node, to string, do func()) {
	w.after(w.latency(), func() {
		switch {
		case !n.cut[to] && !n.cut["all"]:
			do()
		case n.hold:
			n.held = append(n.held, do)
		}
	})
}

func (w *World) effect(n *node, e any) {
	epoch := n.epoch
	back := func(in any) {
		if n.epoch == epoch {
			w.step(n, in)
		}
	}
	switch v := e.(type) {
	case core.Answer:
		if o, ok := v.Body.(wire.Orders); ok {
			w.check.ordered(n, o.Commands)
		}
		if f := n.reqs[v.Req]; f != nil {
			delete(n.reqs, v.Req)
			f(v)
		}
	case core.StoreCall:
		answered := false
		w.after(int64(2500+v.WaitMs)*second/1000, func() {
			if !answered {
				answered = true
				back(&core.StoreReply{Call: v.Call})
			}
		})
		if w.txn(n, v) {
			return
		}
		late := int64(0)
		if v.Op == core.OpTxn && w.rng.Float64() < w.sc.Late {
			late = w.rng.Int64N(8 * second)
		}
		w.after(late, func() {
			w.carry(n, "store", func() {
				if v.Op == core.OpTxn {
					w.again(func() { w.store.call(n, v, func(*core.StoreReply) {}) })
				}
				w.store.call(n, v, func(r *core.StoreReply) {
					if v.Op != core.OpFollow && w.rng.Float64() < w.sc.Lost || v.WaitMs > 0 && n.watchHangs {
						return
					}
					w.carry(n, "store", func() {
						if !answered {
							answered = true
							back(r)
						}
					})
				})
			})
		})
	case core.CloudCall:
		answered := false
		w.after(5*second, func() {
			if !answered {
				answered = true
				back(&core.CloudReply{Call: v.Call})
			}
		})
		w.after(second/5, func() {
			w.carry(n, "cloud", func() {
				r := w.cloud.call(v)
				if v.Op == core.OpRent || v.Op == core.OpDelete {
					w.again(func() { w.cloud.call(v) })
				}
				w.after(second/20, func() {
					w.carry(n, "cloud", func() {
						if !answered {
							answered = true
							back(r)
						}
					})
				})
			})
		})
	case core.Push:
		w.check.ordered(n, v.Body.Commands)
		if n.pushing >= n.pushes {
			back(core.Pushed{Machine: v.Machine, Token: v.Body.Token, Starts: v.Starts, Unsent: true})
			return
		}
		n.pushing++
		w.pushing = max(w.pushing, n.pushing)
		answered := false
		w.after(3*second, func() {
			if !answered {
				answered = true
				n.pushing--
				back(core.Pushed{Machine: v.Machine, Token: v.Body.Token, Starts: v.Starts})
			}
		})
		wk := w.workerAt(v.Addr)
		if wk == nil {
			return
		}
		w.between(n, wk, func() {
			if wk.gone || !wk.up || wk.deaf {
				return
			}
			wk.awake(func() {
				status, rep := wk.commands(v.Body)
				w.again(func() { wk.awake(func() { wk.commands(v.Body) }) })
				w.between(n, wk, func() {
					if !answered {
						answered = true
						n.pushing--
						back(core.Pushed{Machine: v.Machine, Token: v.Body.Token, Starts: v.Starts, Status: status, Report: rep})
					}
				})
			})
		})
	case core.Tell:
		hello := *v.Heartbeat
		for _, o := range w.nodes {
			if o != n {
				w.carry(n, "peers", func() { w.carry(o, "peers", func() { w.step(o, core.PeerIn{Heartbeat: &hello}) }) })
			}
		}
	case core.Log:
		w.say("%s %s %s", n.name, v.Msg, fmt.Sprintln(v.Args...))
	}
}

// fault carries out one trouble.
func (w *World) fault(f Fault) {
	n := w.nodes[f.Node%3]
	if f.Part > 0 {
		if h := w.holder(f.Part - 1); h != nil {
			n = h
		}
	}
	w.say("FAULT %s %s for %.1f s", f.Kind, n.name, f.ForS)
	lasts := int64(f.ForS * float64(second))
	cut := func(what string) {
		n := n
		n.cut[what], n.hold = true, f.Hold
		w.after(lasts, func() {
			n.cut[what] = false
			held := n.held
			n.held = nil
			for _, do := range held {
				do()
			}
		})
	}
	crash := func(n *node) {
		if !n.up {
			return
		}
		n.up = false
		n.epoch++
		w.after(max(lasts, second/5), func() {
			if err := w.boot(n); err != nil {
				w.check.breaks("boot", err.Error())
			}
		})
	}
	if w.trouble(f, n, lasts) {
		return
	}
	kind, arg, _ := strings.Cut(f.Kind, ":")
	switch kind {
	case "crash":
		crash(n)
	case "crash_all":
		for _, n := range w.nodes {
			crash(n)
		}
	case "cut":
		cut(arg)
	case "refused":
		n.refused = true
		w.after(lasts, func() { n.refused = false })
	case "store_outage":
		w.store.outage(lasts)
	case "cloud_outage":
		w.cloud.down = true
		w.after(lasts, func() { w.cloud.down = false })
	case "no_capacity":
		w.cloud.empty = true
		w.after(lasts, func() { w.cloud.empty = false })
	case "blink":
		n.up = false
		n.epoch++
		w.after(second/20+w.rng.Int64N(second/4), func() {
			if err := w.boot(n); err != nil {
				w.check.breaks("boot", err.Error())
			}
		})
	case "upgrade": // back with settings that name the next limits
		n.announced = true
		crash(n)
	case "limits":
		w.sc.WriteRPS, w.sc.ValueKB, w.sc.TxnOps = w.sc.Next.WriteRPS, w.sc.Next.ValueKB, w.sc.Next.TxnOps
		w.store.changes.rate = w.sc.WriteRPS
	case "isolated": // from all but its workers
		cut("store")
		cut("peers")
	case "zone_cut": // held back until it ends
		w.cutZone = f.Zone
		for _, o := range w.nodes {
			if o.zone() != f.Zone {
				continue
			}
			n, f.Hold = o, true
			for _, what := range []string{"store", "peers", "cloud", "users"} {
				cut(what)
			}
		}
		w.after(lasts, func() {
			w.cutZone = ""
			crossed := w.crossed
			w.crossed = nil
			for _, do := range crossed {
				do()
			}
		})
	case "freeze":
		epoch := n.epoch
		n.frozen = true
		w.after(lasts, func() {
			if n.epoch != epoch {
				return
			}
			n.frozen = false
			queued := n.queued
			n.queued = nil
			for _, in := range queued {
				w.step(n, in)
			}
		})
	case "garble": // a log entry's value becomes unreadable
		if keys := w.store.sorted(fmt.Sprintf("live/l/%d/", max(0, f.Part-1))); len(keys) > 0 {
			w.store.apply([]wire.Write{{Put: keys[0], Value: []byte(`"?"`)}})
		}
	case "mute": // a deliberate breach: nobody answers one job's user any more
		w.muted = fmt.Sprintf("wk-%06d", f.Node)
	case "machine_die", "machine_hang", "machine_sick", "spot_notice", "late_rental", "machine_deaf", "machine_mute", "machine_blink":
		for range max(1, f.Count) {
			w.machineFault(kind, f.Zone, lasts)
		}
	case "early_start", "orphan", "unasked", "older_look", "bad_accepted", "start_told", "held_back":
		// Deliberate breaches too, of the job with the number in Node.
		u := w.byID[fmt.Sprintf("wk-%06d", f.Node)]
		switch kind {
		case "early_start":
			rogue := &worker{w: w, name: "n-rogue", typ: w.cloud.types[0], zone: zones[0], session: 1}
			w.check.started(rogue, &wtask{id: u.id + "/0", job: u.id, attempt: 1, w: rogue})
		case "orphan":
			w.check.told(u, wire.Pending)
		case "unasked":
			w.check.told(u, wire.Cancelled)
		case "older_look":
			w.check.looked(u)(core.Answer{Status: 200, Body: wire.JobStatus{ID: u.id, State: wire.Running}}, true, u.final)
		case "bad_accepted":
			w.check.refused(u.id, core.Answer{Status: 201}, 422)
		case "start_told":
			w.check.ordered(n, []wire.Command{{Op: wire.Start, Task: u.id + "/0", Attempt: 1}})
		case "held_back":
			// A job that no controller knows of, beside room on the other's machine.
			w.truth["wk-999999"] = u.job
			w.users = append(w.users, &user{w: w, id: "wk-999999", job: u.job, accepted: true, sent: w.now, heard: w.now})
		}
	case "double_start":
		// Not a trouble of the world but a deliberate breach, to show that
		// the checker sees one.
		for _, wk := range w.workers {
			for _, t := range wk.tasks {
				if t.on {
					other := &worker{w: w, name: "n-rogue", typ: wk.typ, zone: wk.zone, session: 1}
					w.check.started(other, &wtask{id: t.id, attempt: t.attempt + 1, w: other})
					return
				}
			}
		}
	default:
		w.check.breaks("scenario", "unknown fault "+f.Kind)
	}
}

func (w *World) machineFault(kind, zone string, lasts int64) {
	if kind == "late_rental" {
		w.cloud.rent(&wire.Rent{Request: "late", Type: w.sc.Types[0].Name, Zone: zones[0], Count: 1})
		return
	}
	var busy *worker
	for _, wk := range w.workers {
		if wk.up && !wk.gone && !wk.hung && !wk.deaf && !wk.mute && !wk.sick && (kind != "spot_notice" || wk.spot) && (zone == "" || wk.zone == zone) && (busy == nil || len(wk.tasks) > len(busy.tasks)) {
			busy = wk
		}
	}
	if busy == nil {
		return
	}
	w.say("%s %s", kind, busy.name)
	switch kind {
	case "machine_die":
		busy.die()
	case "machine_hang":
		busy.hung = true
		w.after(lasts, func() { busy.resume() })
	case "machine_deaf":
		busy.deaf = true
		w.after(lasts, func() { busy.deaf = false })
	case "machine_mute":
		busy.mute = true
		w.after(lasts, func() { busy.mute = false })
	case "machine_blink":
		busy.blink()
	case "machine_sick":
		busy.sick = true
		w.after(lasts, func() { busy.sick = false })
	case "spot_notice":
		busy.noticeAt = w.now + 8*second
		busy.changed()
		w.after(8*second, busy.die)
	}
}

// holder tells which node the state service names as a part's holder.
func (w *World) holder(part int) *node {
	v := w.store.keys[fmt.Sprintf("live/p/%d", part)]
	for _, n := range w.nodes {
		if v != nil && strings.Contains(string(v.value), `"`+n.name+`"`) {
			return n
		}
	}
	return nil
}
