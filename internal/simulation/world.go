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

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is heap.Interface's.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is heap.Interface's.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// node is one controller: its core and what reaches it.
type node struct {
	index          int
	name       string
	core       *core.Controller
	up         bool
	incarnation      int
	refusedByStore    bool // by the state service alone
	cutLinks        map[string]bool
	holdPackets       bool
	heldPackets       []func()
	pendingRequests       map[uint64]func(message.Answer)
	lastRequestID    uint64
	commandsInFlight    int             // direct commands out
	maxCommandsInFlight     int             // that may be out at a time
	nextLimitsAnnounced  bool            // its settings name the next limits
	paused     bool            // stands still while clocks run
	watchStalled bool            // its watch's connection does
	pausedInputs     []message.Input // inputs that came meanwhile
	pausedSends     []func()        // what was about to leave it meanwhile
	// sendsBlockedUntil: until then its orders wait for a connection.
	sendsBlockedUntil micros.Micros
	startedAt        micros.Micros
	clock        Clock
}

// localTime gives what the node's own clock says at a moment.
func (n *node) localTime(now micros.Micros) micros.Micros {
	drift := micros.Micros(float64(now-n.startedAt) * n.clock.DriftPPM / 1e6)
	return now + drift + micros.FromSeconds(n.clock.AheadS)
}

func (n *node) zone() string { return zones[n.index%2] }

// Simulation is a day being played.
type Simulation struct {
	scenario        *Scenario
	now       micros.Micros
	startedAt     micros.Micros
	rng       *rand.Rand
	events         eventQueue
	eventSequence       int
	nodes     []*node
	store     *keyValueStore
	cloud     *cloud
	workers   []*worker
	workersByAddr    map[string]*worker
	users     []*user
	usersByID      map[string]*user
	checker     *invariantChecker
	checkpoints     map[string]micros.Micros
	completedTasks   map[string]bool
	jobs     map[string]Job
	transport      transport
	peakWaiting   int           // peak of requests at a controller
	peakCommandsInFlight   int           // peak of its direct commands
	peakMachines  int           // peak of those up
	slowLinksUntil micros.Micros // links are slow until then
	isolatedZone   string        // zone cut off from all others
	heldAtZoneCut   []func()
	mutedJob     string        // job whose user gets no answers
	faultsOverAt      micros.Micros // when the last trouble was over
	// what troubles.go brings about
	lateWrites  partialFault
	lateHeartbeats partialFault
	cancelAtEnd partialFault
	closeQueriesUntil  micros.Micros
	heldForNextLeader     []func() // reports kept for the next leader
	leaderRecords      map[string]string
	occurrences        map[string]int
	observe     func(at micros.Micros, node string, effect message.Effect) // of every effect; may be nil
	Log         []string
	orders      []receivedOrder           // as they arrived at the stand-ins
	highestTerms       map[string]uint64 // highest under which an order took effect, by duty
}

// transport carries what the workers say over real sockets; nil in simulated time.
type transport interface {
	sendHeartbeat(node int, r *api.Heartbeat, f func(message.Answer))
	listen(wk *worker) string
}

func newSimulation(sc *Scenario, l transport) *Simulation {
	w := &Simulation{scenario: sc, now: 1_700_000_000 * micros.Second, rng: rand.New(rand.NewPCG(sc.Seed, 1)),
		checkpoints: map[string]micros.Micros{}, completedTasks: map[string]bool{}, jobs: map[string]Job{}, transport: l, workersByAddr: map[string]*worker{}, usersByID: map[string]*user{},
		leaderRecords: map[string]string{}, occurrences: map[string]int{}, highestTerms: map[string]uint64{}}
	w.startedAt = w.now
	w.checker = newInvariantChecker(w)
	w.store = newKeyValueStore(w)
	w.cloud = newCloud(w)
	for i := range 3 {
		n := &node{index: i, name: nodeName(i), cutLinks: map[string]bool{}, startedAt: w.now}
		if i < len(sc.Clocks) {
			n.clock = sc.Clocks[i]
		}
		w.nodes = append(w.nodes, n)
	}
	return w
}

// runUntil does all that is due until a time.
func (w *Simulation) runUntil(until micros.Micros) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// Play plays a scenario to its end and gives what went wrong.
func Play(sc *Scenario) (*Simulation, []string, error) { return playObserved(sc, nil) }

// playObserved is Play with every effect of the cores shown to observe as well.
func playObserved(sc *Scenario, observe func(at micros.Micros, node string, effect message.Effect)) (*Simulation, []string, error) {
	w := newSimulation(sc, nil)
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
		w.peakMachines = max(w.peakMachines, up)
		w.checker.checkStarvation()
	})
	for _, j := range sc.Jobs {
		for k := range max(1, j.Count) {
			w.addUser(j, j.ID+k, start+micros.FromSeconds((j.AtS+float64(k)*j.EveryS)))
		}
	}
	for _, f := range sc.Faults {
		w.faultsOverAt = max(w.faultsOverAt, start+micros.FromSeconds(f.AtS+f.ForS))
		w.schedule(start+micros.FromSeconds(f.AtS), func() { w.inject(f) })
	}
	w.runUntil(start + micros.FromSeconds(sc.DurationS))
	w.checker.checkAtEnd(start)
	return w, w.checker.violations, nil
}

func (w *Simulation) schedule(t micros.Micros, do func()) {
	w.eventSequence++
	heap.Push(&w.events, event{max(t, w.now), w.eventSequence, do})
}

func (w *Simulation) after(d micros.Micros, do func()) { w.schedule(w.now+d, do) }

func (w *Simulation) every(d micros.Micros, do func()) {
	var again func()
	again = func() {
		do()
		w.after(d, again)
	}
	w.after(d, again)
}

func (w *Simulation) logf(format string, args ...any) {
	w.Log = append(w.Log, fmt.Sprintf("%9.3f ", (w.now-1_700_000_000*micros.Second).Seconds())+fmt.Sprintf(format, args...))
}

// boot starts a node's process anew; nothing of the old one remains.
func (w *Simulation) boot(n *node) error {
	set, err := w.scenario.settingsFor(n.index, n.nextLimitsAnnounced)
	if err != nil {
		return err
	}
	n.incarnation++
	n.up, n.pendingRequests = true, map[uint64]func(message.Answer){}
	n.paused, n.pausedInputs, n.pausedSends = false, nil, nil
	n.maxCommandsInFlight = set.Sockets.DirectCommands
	n.core = core.New(set, w.rng.Uint64()>>12, rand.New(rand.NewPCG(w.scenario.Seed, uint64(100+n.index))))
	return nil
}

func (w *Simulation) step(n *node, in message.Input) {
	if !n.up {
		return
	}
	if n.paused {
		if _, ok := in.(message.Tick); !ok {
			n.pausedInputs = append(n.pausedInputs, in)
		}
		return
	}
	for _, e := range n.core.Step(n.localTime(w.now), in) {
		if w.observe != nil {
			w.observe(w.now, n.name, e)
		}
		w.perform(n, e)
	}
}

// request hands a request to a node; f gets its answer unless the node ends.
func (w *Simulation) request(n *node, in func(req uint64) message.Input, f func(message.Answer)) {
	n.lastRequestID++
	req := n.lastRequestID
	n.pendingRequests[req] = f
	w.peakWaiting = max(w.peakWaiting, len(n.pendingRequests))
	w.step(n, in(req))
}

// Links that are slow: delays as between distant zones on a bad day, and packets
// that are lost and resent.
const (
	slowLinkDelay   = micros.Second * 2 / 5
	slowLinkLoss    = 0.02
	resendMin = micros.Second
	resendMax  = 2 * micros.Second
)

// latency is how long a packet takes.
func (w *Simulation) latency() micros.Micros {
	d := micros.Second/1000 + micros.Random(w.rng, micros.Second/200)
	if w.now >= w.slowLinksUntil {
		return d
	}
	d += micros.Random(w.rng, slowLinkDelay)
	if w.rng.Float64() < slowLinkLoss {
		w.countOccurrence("packets lost and resent")
		d += resendMin + micros.Random(w.rng, resendMax-resendMin)
	}
	return d
}

// deliverWorkerLink delivers something between a node and a worker, unless a zone's cut
// lies between them, which holds it back until it ends.
func (w *Simulation) deliverWorkerLink(n *node, wk *worker, do func()) {
	if w.isolatedZone != "" && (n.zone() == w.isolatedZone) != (wk.zone == w.isolatedZone) {
		w.heldAtZoneCut = append(w.heldAtZoneCut, func() { w.deliver(n, "workers", do) })
		return
	}
	w.deliver(n, "workers", do)
}

// maybeRepeat carries a request out once more, long after the first time.
func (w *Simulation) maybeRepeat(do func()) {
	if w.scenario.Repeats > 0 && w.rng.Float64() < w.scenario.Repeats {
		w.after(micros.Second/2+micros.Random(w.rng, micros.FromSeconds(2*w.scenario.LeaseS)), do)
	}
}

// deliver delivers something between a node and the party named unless that
// way is cut; a cut may hold it back until it ends.
func (w *Simulation) deliver(n *node, to string, do func()) {
	w.after(w.latency(), func() {
		switch {
		case !n.cutLinks[to] && !n.cutLinks["all"]:
			do()
		case n.holdPackets:
			n.heldPackets = append(n.heldPackets, do)
		}
	})
}

// leaderOf tells which node the state service names as a partition's holder.
func (w *Simulation) leaderOf(part int) *node {
	v := w.store.keys[fmt.Sprintf("live/p/%d", part)]
	for _, n := range w.nodes {
		if v != nil && strings.Contains(string(v.data), `"`+n.name+`"`) {
			return n
		}
	}
	return nil
}
