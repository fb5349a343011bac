package simulation

import (
	"fmt"
	"slices"
	"strings"

	"spurmoor/internal/message"
	"spurmoor/internal/records"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

const historyLimit = 150

// keyValueStore stands in for the state service.
type keyValueStore struct {
	sim       *Simulation
	keys    map[string]*storedValue
	revision     uint64
	history     []api.Event
	compactedTo uint64 // changes up to this revision are not kept
	leases  map[uint64]*storeLease
	lastLease   uint64
	downUntil    micros.Micros // until when
	watches   []*storeWatch
	requests    rateLimiter
	writes rateLimiter
}

// rateLimiter admits so many a second, with bursts of a second's worth.
type rateLimiter struct {
	level, rate float64
	refilledAt          micros.Micros
	admitted         int // admitted in all
	refused     int
}

func (m *rateLimiter) admit(now micros.Micros, n int) bool {
	m.level = min(m.rate, m.level+m.rate*(now-m.refilledAt).Seconds())
	m.refilledAt = now
	if float64(n) > m.level {
		m.refused++
		return false
	}
	m.level -= float64(n)
	m.admitted += n
	return true
}

type storedValue struct {
	data   []byte
	version uint64
	lease   uint64
}

type storeLease struct {
	ttl micros.Micros
	expiresAt micros.Micros
}

type storeWatch struct {
	node     *node
	since uint64
	done  bool
	reply func(*message.StoreReply)
}

func newKeyValueStore(w *Simulation) *keyValueStore {
	s := &keyValueStore{sim: w, keys: map[string]*storedValue{}, leases: map[uint64]*storeLease{}}
	s.requests.rate, s.writes.rate = w.scenario.RPS, w.scenario.WriteRPS
	w.every(micros.Second/20, s.expireLeases)
	return s
}

// outage refuses everyone; after it every lease has its full time once more.
func (s *keyValueStore) outage(d micros.Micros) {
	s.downUntil = s.sim.now + d
	for _, h := range s.leases {
		h.expiresAt = s.downUntil + h.ttl
	}
}

func (s *keyValueStore) expireLeases() {
	if s.sim.now < s.downUntil {
		return
	}
	for id := uint64(1); id <= s.lastLease; id++ {
		h := s.leases[id]
		if h == nil || s.sim.now < h.expiresAt {
			continue
		}
		delete(s.leases, id)
		var gone []api.Write
		for _, k := range s.sortedKeys("") {
			if s.keys[k].lease == id {
				gone = append(gone, api.Write{Delete: k})
			}
		}
		if gone != nil {
			s.apply(gone)
		}
	}
	s.notifyWatches()
}

func (s *keyValueStore) sortedKeys(prefix string) []string {
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *keyValueStore) apply(writes []api.Write) {
	s.revision++
	for _, x := range writes {
		if x.Delete != "" {
			if s.keys[x.Delete] != nil {
				delete(s.keys, x.Delete)
				s.history = append(s.history, api.Event{Delete: x.Delete, Version: s.revision})
			}
			continue
		}
		s.sim.noteLeaderRecord(x.Put, x.Value)
		s.keys[x.Put] = &storedValue{x.Value, s.revision, x.Lease}
		s.history = append(s.history, api.Event{Put: x.Put, Value: x.Value, Version: s.revision})
	}
	// It keeps few changes, so that a controller cut off for a while is told
	// to read everything again.
	if n := len(s.history) - historyLimit; n > 0 {
		s.compactedTo = s.history[n-1].Version
		s.history = s.history[n:]
	}
}

func (s *keyValueStore) eventsSince(since uint64) api.WatchResponse {
	f := api.WatchResponse{Revision: s.revision}
	for _, e := range s.history {
		if e.Version > since && strings.HasPrefix(e.Put+e.Delete, records.LivePrefix) {
			f.Events = append(f.Events, e)
		}
	}
	return f
}

func (s *keyValueStore) notifyWatches() {
	if s.sim.now < s.downUntil {
		return
	}
	left := s.watches[:0]
	for _, x := range s.watches {
		if x.done {
			continue
		}
		if f := s.eventsSince(x.since); len(f.Events) > 0 && !x.node.refusedByStore {
			x.done = true
			x.reply(&message.StoreReply{Status: 200, Watch: f})
			continue
		}
		left = append(left, x)
	}
	s.watches = left
}

func (s *keyValueStore) call(n *node, v message.StoreCall, reply func(*message.StoreReply)) {
	r := &message.StoreReply{Call: v.Call, Status: 200}
	if s.sim.now < s.downUntil || n.refusedByStore {
		r.Status = 503
		reply(r)
		return
	}
	if !s.requests.admit(s.sim.now, 1) || v.Op == message.OpTransaction && !s.writes.admit(s.sim.now, len(v.Transaction.Body().Writes)) {
		r.Status = 429
		reply(r)
		return
	}
	switch v.Op {
	case message.OpGet:
		s.get(v.Key, r)
	case message.OpList:
		s.list(v.Key, r)
	case message.OpGrantLease:
		s.lastLease++
		s.leases[s.lastLease] = &storeLease{micros.FromMilliseconds(int(v.TTLMs)), s.sim.now + micros.FromMilliseconds(int(v.TTLMs))}
		r.Lease = s.lastLease
	case message.OpRenewLease:
		if h := s.leases[v.Lease]; h != nil {
			h.expiresAt = s.sim.now + h.ttl
		} else {
			r.Status = 404
		}
	case message.OpWatch:
		if s.openWatch(n, v, r, reply) {
			return
		}
	case message.OpTransaction:
		s.transact(v.Transaction.Body(), r)
		s.sim.noteOrderUnder(n, v.Transaction.Grant(), "", r.Status == 200)
	}
	reply(r)
	s.notifyWatches()
}

func (s *keyValueStore) get(key string, r *message.StoreReply) {
	k := s.keys[key]
	if k == nil {
		r.Status = 404
		return
	}
	r.Item = api.KeyValue{Key: key, Value: k.data, Version: k.version}
}

// listPageSize is how many keys a page holds.
const listPageSize = 200

func (s *keyValueStore) list(after string, r *message.StoreReply) {
	r.Page.Revision = s.revision
	for _, k := range s.sortedKeys(records.LivePrefix) {
		if k <= after {
			continue
		}
		if len(r.Page.Pairs) == listPageSize {
			r.Page.More = true
			break
		}
		r.Page.Pairs = append(r.Page.Pairs, api.KeyValue{Key: k, Value: s.keys[k].data, Version: s.keys[k].version})
	}
}

// openWatch answers with the changes, or tells that it will once there are some.
func (s *keyValueStore) openWatch(n *node, v message.StoreCall, r *message.StoreReply, reply func(*message.StoreReply)) bool {
	if v.Since < s.compactedTo {
		r.Status = 410
		return false
	}
	r.Watch = s.eventsSince(v.Since)
	if len(r.Watch.Events) > 0 || v.WaitMs == 0 {
		return false
	}
	x := &storeWatch{node: n, since: v.Since, reply: func(got *message.StoreReply) {
		got.Call = v.Call
		reply(got)
	}}
	s.watches = append(s.watches, x)
	s.sim.after(micros.FromMilliseconds(v.WaitMs), func() {
		if !x.done && s.sim.now >= s.downUntil && !n.refusedByStore {
			x.done = true
			x.reply(&message.StoreReply{Status: 200, Watch: s.eventsSince(x.since)})
		}
	})
	return true
}

func (s *keyValueStore) transact(t *api.Transaction, r *message.StoreReply) {
	ops := s.sim.scenario.MaxTransactionOps
	if len(t.Writes) > ops || len(t.Compares) > 4*ops {
		s.sim.checker.violated("store_limits", fmt.Sprintf("%d writes, %d conditions", len(t.Writes), len(t.Compares)))
	}
	for _, g := range t.Compares {
		have := uint64(0)
		if k := s.keys[g.Key]; k != nil {
			have = k.version
		}
		if have != g.Version {
			r.Status = 409
			r.Transaction.FailedKeys = append(r.Transaction.FailedKeys, g.Key)
		}
	}
	r.Transaction.Revision = s.revision
	for _, x := range t.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			r.Status, r.Transaction.Error = 400, "no such lease"
		}
		if float64(len(x.Value)) > s.sim.scenario.ValueKB*1024 {
			s.sim.checker.violated("store_limits", fmt.Sprintf("%s has %d bytes", x.Put, len(x.Value)))
		}
	}
	if r.Status == 200 {
		s.apply(t.Writes)
		r.Transaction.Revision = s.revision
	}
}

// cloud stands in for the cloud.
type cloud struct {
	sim     *Simulation
	catalog []api.MachineType
	launchedFor map[string][]string
	nextInstance  int
	down  bool
	noCapacity bool
	calls int
	// While boots are in trouble some machines never come up, the others late or at once.
	bootFaultsUntil           micros.Micros
	bootFailShare, bootFactor float64
}

func newCloud(w *Simulation) *cloud {
	c := &cloud{sim: w, launchedFor: map[string][]string{}}
	for _, t := range w.scenario.MachineTypes {
		c.catalog = append(c.catalog, api.MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: 100, CacheGB: 50, FetchGBs: 1,
			Price: t.Price, SpotPrice: t.Price / 3, BootS: t.BootS, Zones: zones})
	}
	return c
}

func (c *cloud) call(n *node, v message.CloudCall) *message.CloudReply {
	r := &message.CloudReply{Call: v.Call, Status: 200}
	c.calls++
	if c.down {
		r.Status = 503
		if v.Op == message.OpLaunch {
			c.noteLaunch(n, v.Launch, false)
		}
		return r
	}
	switch v.Op {
	case message.OpReadCatalog:
		r.Catalog.Types = c.catalog
	case message.OpLaunch:
		had := len(c.sim.workers)
		if r.Launched = c.launch(v.Launch.Body()); len(r.Launched) == 0 {
			r.Status = 503
		}
		c.noteLaunch(n, v.Launch, len(c.sim.workers) > had)
	case message.OpDelete:
		c.sim.noteOrderUnder(n, v.Delete.Grant(), "", c.delete(v.Delete.Body()))
	case message.OpListInstances:
		for _, wk := range c.sim.workers {
			if wk.gone || wk.name <= v.After || c.sim.now < wk.launchedAt+5*micros.Second {
				continue
			}
			state := api.InstanceBooting
			if wk.up {
				state = api.InstanceRunning
			}
			r.Instances.Instances = append(r.Instances.Instances, api.Instance{ID: wk.name, Address: wk.addr, Type: wk.machineType.Name,
				Zone: wk.zone, Spot: wk.spot, State: state, AgeS: (c.sim.now - wk.launchedAt).Seconds()})
		}
	}
	return r
}

// noteLaunch notes that a request for machines arrived.
func (c *cloud) noteLaunch(n *node, r leadership.Order[*api.LaunchRequest], took bool) {
	g := r.Grant()
	c.sim.noteOrder(receivedOrder{sender: n.name, role: g.RoleName(), term: g.Term(), action: leadership.Launch, request: r.Body().Name, tookEffect: took})
}

// delete deletes machines, and tells whether any of them was still there.
func (c *cloud) delete(names []string) bool {
	any := false
	for _, wk := range c.sim.workers {
		if slices.Contains(names, wk.name) && !wk.gone {
			any = true
			c.sim.noteDeletedAtWork(wk)
			wk.terminate()
		}
	}
	return any
}

// noteDeletedAtWork notes that a machine is deleted that has tasks which did not end.
func (w *Simulation) noteDeletedAtWork(wk *worker) {
	if !wk.idle() {
		w.countOccurrence("machines deleted at work")
	}
}

// idle tells whether a machine has no task that did not end.
func (wk *worker) idle() bool {
	return !slices.ContainsFunc(wk.tasks, func(t *workerTask) bool { return t.state != api.TaskExited })
}

func (c *cloud) launch(req *api.LaunchRequest) []string {
	if names := c.launchedFor[req.Name]; names != nil {
		return names
	}
	for i, t := range c.catalog {
		if t.Name != req.Type || c.noCapacity {
			continue
		}
		room := c.sim.scenario.MachineTypes[i].Count
		for _, wk := range c.sim.workers {
			if !wk.gone && wk.machineType.Name == t.Name && wk.zone == req.Zone && wk.spot == req.Spot {
				room--
			}
		}
		for range min(room, req.Count) {
			if c.sim.now < c.bootFaultsUntil {
				t.BootS = c.sim.scenario.MachineTypes[i].BootS * c.bootFactor
				if c.sim.rng.Float64() < c.bootFailShare {
					c.sim.countOccurrence("machines that never come up")
					t.BootS = 1e6
				}
			}
			wk := newWorker(c.sim, fmt.Sprintf("n-%06d", c.nextInstance), t, req.Zone, req.Spot)
			c.nextInstance++
			c.launchedFor[req.Name] = append(c.launchedFor[req.Name], wk.name)
		}
	}
	return c.launchedFor[req.Name]
}
