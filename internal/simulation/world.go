package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"

	"spurmoor/internal/message"

	"spurmoor/internal/api"
	"spurmoor/internal/core"
	"spurmoor/internal/micros"
)

// event is something that happens at a time; ties go by order of planning.
type event struct {
	at  micros.Micros
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
	core       *core.Controller
	up         bool
	epoch      int
	refused    bool // by the state service alone
	cut        map[string]bool
	hold       bool
	held       []func()
	reqs       map[uint64]func(message.Answer)
	nextReq    uint64
	pushing    int             // direct commands out
	pushes     int             // that may be out at a time
	announced  bool            // its settings name the next limits
	frozen     bool            // stands still while clocks run
	watchHangs bool            // its watch's connection does
	queued     []message.Input // inputs that came meanwhile
	asleep     []func()        // what was about to leave it meanwhile
	// connectUntil: until then its orders wait for a connection.
	connectUntil micros.Micros
	begun        micros.Micros
	clock        Clock
}

// time gives what the node's own clock says at a moment.
func (n *node) time(now micros.Micros) micros.Micros {
	drift := micros.Micros(float64(now-n.begun) * n.clock.DriftPPM / 1e6)
	return now + drift + micros.FromSeconds(n.clock.AheadS)
}

func (n *node) zone() string { return zones[n.i%2] }

// World is a day being played.
type World struct {
	sc        *Scenario
	now       micros.Micros
	begun     micros.Micros
	rng       *rand.Rand
	q         queue
	seq       int
	nodes     []*node
	store     *store
	cloud     *cloud
	workers   []*worker
	byAddr    map[string]*worker
	users     []*user
	byID      map[string]*user
	check     *checker
	saved     map[string]micros.Micros
	results   map[string]bool
	truth     map[string]Job
	live      live
	waiting   int           // peak of requests at a controller
	pushing   int           // peak of its direct commands
	machines  int           // peak of those up
	slowUntil micros.Micros // links are slow until then
	cutZone   string        // zone cut off from all others
	crossed   []func()
	muted     string        // job whose user gets no answers
	calm      micros.Micros // when the last trouble was over
	// what troubles.go brings about
	lateWrites  share
	lateReports share
	cancelAtEnd share
	looksUntil  micros.Micros
	forNext     []func() // reports kept for the next leader
	leader      map[string]string
	seen        map[string]int
	observe     func(at micros.Micros, node string, effect message.Effect) // of every effect; may be nil
	Log         []string
	orders      []order           // as they arrived at the stand-ins
	terms       map[string]uint64 // highest under which an order took effect, by duty
}

// live carries what the workers say over real sockets; nil in simulated time.
type live interface {
	report(node int, r *api.Heartbeat, f func(message.Answer))
	listen(wk *worker) string
}

func newWorld(sc *Scenario, l live) *World {
	w := &World{sc: sc, now: 1_700_000_000 * micros.Second, rng: rand.New(rand.NewPCG(sc.Seed, 1)),
		saved: map[string]micros.Micros{}, results: map[string]bool{}, truth: map[string]Job{}, live: l, byAddr: map[string]*worker{}, byID: map[string]*user{},
		leader: map[string]string{}, seen: map[string]int{}, terms: map[string]uint64{}}
	w.begun = w.now
	w.check = newChecker(w)
	w.store = newStore(w)
	w.cloud = newCloud(w)
	for i := range 3 {
		n := &node{i: i, name: nodeName(i), cut: map[string]bool{}, begun: w.now}
		if i < len(sc.Clocks) {
			n.clock = sc.Clocks[i]
		}
		w.nodes = append(w.nodes, n)
	}
	return w
}

// run does all that is due until a time.
func (w *World) run(until micros.Micros) {
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
func playObserved(sc *Scenario, observe func(at micros.Micros, node string, effect message.Effect)) (*World, []string, error) {
	w := newWorld(sc, nil)
	w.observe = observe
	start := w.now
	for _, n := range w.nodes {
		if err := w.boot(n); err != nil {
			return nil, nil, err
		}
	}
	w.every(micros.Second/10, func() {
		for _, n := range w.nodes {
			w.step(n, message.Tick{})
		}
	})
	w.every(micros.Second, func() {
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
			w.addUser(j, j.ID+k, start+micros.FromSeconds((j.AtS+float64(k)*j.EveryS)))
		}
	}
	for _, f := range sc.Faults {
		w.calm = max(w.calm, start+micros.FromSeconds(f.AtS+f.ForS))
		w.at(start+micros.FromSeconds(f.AtS), func() { w.fault(f) })
	}
	w.run(start + micros.FromSeconds(sc.DurationS))
	w.check.atEnd(start)
	return w, w.check.broken, nil
}

func (w *World) at(t micros.Micros, do func()) {
	w.seq++
	heap.Push(&w.q, event{max(t, w.now), w.seq, do})
}

func (w *World) after(d micros.Micros, do func()) { w.at(w.now+d, do) }

func (w *World) every(d micros.Micros, do func()) {
	var again func()
	again = func() {
		do()
		w.after(d, again)
	}
	w.after(d, again)
}

func (w *World) say(format string, args ...any) {
	w.Log = append(w.Log, fmt.Sprintf("%9.3f ", (w.now-1_700_000_000*micros.Second).Seconds())+fmt.Sprintf(format, args...))
}

// boot starts a node's process anew; nothing of the old one remains.
func (w *World) boot(n *node) error {
	set, err := w.sc.settingsFor(n.i, n.announced)
	if err != nil {
		return err
	}
	n.epoch++
	n.up, n.reqs = true, map[uint64]func(message.Answer){}
	n.frozen, n.queued, n.asleep = false, nil, nil
	n.pushes = set.Sockets.DirectCommands
	n.core = core.New(set, w.rng.Uint64()>>12, rand.New(rand.NewPCG(w.sc.Seed, uint64(100+n.i))))
	return nil
}

func (w *World) step(n *node, in message.Input) {
	if !n.up {
		return
	}
	if n.frozen {
		if _, ok := in.(message.Tick); !ok {
			n.queued = append(n.queued, in)
		}
		return
	}
	for _, e := range n.core.Step(n.time(w.now), in) {
		if w.observe != nil {
			w.observe(w.now, n.name, e)
		}
		w.effect(n, e)
	}
}

// request hands a request to a node; f gets its answer unless the node ends.
func (w *World) request(n *node, in func(req uint64) message.Input, f func(message.Answer)) {
	n.nextReq++
	req := n.nextReq
	n.reqs[req] = f
	w.waiting = max(w.waiting, len(n.reqs))
	w.step(n, in(req))
}

// Links that are slow: delays as between distant zones on a bad day, and packets
// that are lost and resent.
const (
	slowDelay   = micros.Second * 2 / 5
	slowLost    = 0.02
	resendAfter = micros.Second
	resendMost  = 2 * micros.Second
)

// latency is how long a packet takes.
func (w *World) latency() micros.Micros {
	d := micros.Second/1000 + micros.Random(w.rng, micros.Second/200)
	if w.now >= w.slowUntil {
		return d
	}
	d += micros.Random(w.rng, slowDelay)
	if w.rng.Float64() < slowLost {
		w.happened("packets lost and resent")
		d += resendAfter + micros.Random(w.rng, resendMost-resendAfter)
	}
	return d
}

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
		w.after(micros.Second/2+micros.Random(w.rng, micros.FromSeconds(2*w.sc.LeaseS)), do)
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

// holder tells which node the state service names as a partition's holder.
func (w *World) holder(part int) *node {
	v := w.store.keys[fmt.Sprintf("live/p/%d", part)]
	for _, n := range w.nodes {
		if v != nil && strings.Contains(string(v.value), `"`+n.name+`"`) {
			return n
		}
	}
	return nil
}
