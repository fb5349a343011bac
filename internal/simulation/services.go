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

const keptChanges = 150

// store stands in for the state service.
type store struct {
	w       *World
	keys    map[string]*value
	rev     uint64
	log     []api.Event
	trimmed uint64 // changes up to this revision are not kept
	leases  map[uint64]*hold
	lease   uint64
	down    micros.Micros // until when
	watch   []*watcher
	reqs    meter
	changes meter
}

// meter admits so many a second, with bursts of a second's worth.
type meter struct {
	level, rate float64
	at          micros.Micros
	sum         int // admitted in all
	refused     int
}

func (m *meter) admit(now micros.Micros, n int) bool {
	m.level = min(m.rate, m.level+m.rate*(now-m.at).Seconds())
	m.at = now
	if float64(n) > m.level {
		m.refused++
		return false
	}
	m.level -= float64(n)
	m.sum += n
	return true
}

type value struct {
	value   []byte
	version uint64
	lease   uint64
}

type hold struct {
	ttl micros.Micros
	end micros.Micros
}

type watcher struct {
	n     *node
	since uint64
	done  bool
	reply func(*message.StoreReply)
}

func newStore(w *World) *store {
	s := &store{w: w, keys: map[string]*value{}, leases: map[uint64]*hold{}}
	s.reqs.rate, s.changes.rate = w.sc.RPS, w.sc.WriteRPS
	w.every(micros.Second/20, s.expire)
	return s
}

// outage refuses everyone; after it every lease has its full time once more.
func (s *store) outage(d micros.Micros) {
	s.down = s.w.now + d
	for _, h := range s.leases {
		h.end = s.down + h.ttl
	}
}

func (s *store) expire() {
	if s.w.now < s.down {
		return
	}
	for id := uint64(1); id <= s.lease; id++ {
		h := s.leases[id]
		if h == nil || s.w.now < h.end {
			continue
		}
		delete(s.leases, id)
		var gone []api.Write
		for _, k := range s.sorted("") {
			if s.keys[k].lease == id {
				gone = append(gone, api.Write{Delete: k})
			}
		}
		if gone != nil {
			s.apply(gone)
		}
	}
	s.wake()
}

func (s *store) sorted(prefix string) []string {
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *store) apply(writes []api.Write) {
	s.rev++
	for _, x := range writes {
		if x.Delete != "" {
			if s.keys[x.Delete] != nil {
				delete(s.keys, x.Delete)
				s.log = append(s.log, api.Event{Delete: x.Delete, Version: s.rev})
			}
			continue
		}
		s.w.led(x.Put, x.Value)
		s.keys[x.Put] = &value{x.Value, s.rev, x.Lease}
		s.log = append(s.log, api.Event{Put: x.Put, Value: x.Value, Version: s.rev})
	}
	// It keeps few changes, so that a controller cut off for a while is told
	// to read everything again.
	if n := len(s.log) - keptChanges; n > 0 {
		s.trimmed = s.log[n-1].Version
		s.log = s.log[n:]
	}
}

func (s *store) events(since uint64) api.WatchResponse {
	f := api.WatchResponse{Revision: s.rev}
	for _, e := range s.log {
		if e.Version > since && strings.HasPrefix(e.Put+e.Delete, records.LivePrefix) {
			f.Events = append(f.Events, e)
		}
	}
	return f
}

func (s *store) wake() {
	if s.w.now < s.down {
		return
	}
	left := s.watch[:0]
	for _, x := range s.watch {
		if x.done {
			continue
		}
		if f := s.events(x.since); len(f.Events) > 0 && !x.n.refused {
			x.done = true
			x.reply(&message.StoreReply{Status: 200, Watch: f})
			continue
		}
		left = append(left, x)
	}
	s.watch = left
}

func (s *store) call(n *node, v message.StoreCall, reply func(*message.StoreReply)) {
	r := &message.StoreReply{Call: v.Call, Status: 200}
	if s.w.now < s.down || n.refused {
		r.Status = 503
		reply(r)
		return
	}
	if !s.reqs.admit(s.w.now, 1) || v.Op == message.OpTransaction && !s.changes.admit(s.w.now, len(v.Transaction.Body().Writes)) {
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
		s.lease++
		s.leases[s.lease] = &hold{micros.FromMilliseconds(int(v.TTLMs)), s.w.now + micros.FromMilliseconds(int(v.TTLMs))}
		r.Lease = s.lease
	case message.OpRenewLease:
		if h := s.leases[v.Lease]; h != nil {
			h.end = s.w.now + h.ttl
		} else {
			r.Status = 404
		}
	case message.OpWatch:
		if s.follow(n, v, r, reply) {
			return
		}
	case message.OpTransaction:
		s.txn(v.Transaction.Body(), r)
		s.w.arrivedUnder(n, v.Transaction.Grant(), "", r.Status == 200)
	}
	reply(r)
	s.wake()
}

func (s *store) get(key string, r *message.StoreReply) {
	k := s.keys[key]
	if k == nil {
		r.Status = 404
		return
	}
	r.Item = api.KeyValue{Key: key, Value: k.value, Version: k.version}
}

// listMost is how many keys a page holds.
const listMost = 200

func (s *store) list(after string, r *message.StoreReply) {
	r.Page.Revision = s.rev
	for _, k := range s.sorted(records.LivePrefix) {
		if k <= after {
			continue
		}
		if len(r.Page.Pairs) == listMost {
			r.Page.More = true
			break
		}
		r.Page.Pairs = append(r.Page.Pairs, api.KeyValue{Key: k, Value: s.keys[k].value, Version: s.keys[k].version})
	}
}

// follow answers with the changes, or tells that it will once there are some.
func (s *store) follow(n *node, v message.StoreCall, r *message.StoreReply, reply func(*message.StoreReply)) bool {
	if v.Since < s.trimmed {
		r.Status = 410
		return false
	}
	r.Watch = s.events(v.Since)
	if len(r.Watch.Events) > 0 || v.WaitMs == 0 {
		return false
	}
	x := &watcher{n: n, since: v.Since, reply: func(got *message.StoreReply) {
		got.Call = v.Call
		reply(got)
	}}
	s.watch = append(s.watch, x)
	s.w.after(micros.FromMilliseconds(v.WaitMs), func() {
		if !x.done && s.w.now >= s.down && !n.refused {
			x.done = true
			x.reply(&message.StoreReply{Status: 200, Watch: s.events(x.since)})
		}
	})
	return true
}

func (s *store) txn(t *api.Transaction, r *message.StoreReply) {
	ops := s.w.sc.TxnOps
	if len(t.Writes) > ops || len(t.Compares) > 4*ops {
		s.w.check.breaks("store_limits", fmt.Sprintf("%d writes, %d conditions", len(t.Writes), len(t.Compares)))
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
	r.Transaction.Revision = s.rev
	for _, x := range t.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			r.Status, r.Transaction.Error = 400, "no such lease"
		}
		if float64(len(x.Value)) > s.w.sc.ValueKB*1024 {
			s.w.check.breaks("store_limits", fmt.Sprintf("%s has %d bytes", x.Put, len(x.Value)))
		}
	}
	if r.Status == 200 {
		s.apply(t.Writes)
		r.Transaction.Revision = s.rev
	}
}

// cloud stands in for the cloud.
type cloud struct {
	w     *World
	types []api.MachineType
	asked map[string][]string
	next  int
	down  bool
	empty bool
	calls int
	// While boots are in trouble some machines never come up, the others late or at once.
	bootsUntil           micros.Micros
	bootFail, bootFactor float64
}

func newCloud(w *World) *cloud {
	c := &cloud{w: w, asked: map[string][]string{}}
	for _, t := range w.sc.Types {
		c.types = append(c.types, api.MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: 100, CacheGB: 50, FetchGBPerS: 1,
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
			c.noteRental(n, v.Launch, false)
		}
		return r
	}
	switch v.Op {
	case message.OpReadCatalog:
		r.Catalog.Types = c.types
	case message.OpLaunch:
		had := len(c.w.workers)
		if r.Launched = c.rent(v.Launch.Body()); len(r.Launched) == 0 {
			r.Status = 503
		}
		c.noteRental(n, v.Launch, len(c.w.workers) > had)
	case message.OpDelete:
		c.w.arrivedUnder(n, v.Delete.Grant(), "", c.delete(v.Delete.Body()))
	case message.OpListInstances:
		for _, wk := range c.w.workers {
			if wk.gone || wk.name <= v.After || c.w.now < wk.born+5*micros.Second {
				continue
			}
			state := api.InstanceBooting
			if wk.up {
				state = api.InstanceRunning
			}
			r.Instances.Instances = append(r.Instances.Instances, api.Instance{ID: wk.name, Address: wk.addr, Type: wk.typ.Name,
				Zone: wk.zone, Spot: wk.spot, State: state, AgeS: (c.w.now - wk.born).Seconds()})
		}
	}
	return r
}

// noteRental notes that a request for machines arrived.
func (c *cloud) noteRental(n *node, r leadership.Order[*api.LaunchRequest], took bool) {
	g := r.Grant()
	c.w.arrived(order{sender: n.name, duty: g.RoleName(), term: g.Term(), action: leadership.Launch, request: r.Body().Name, took: took})
}

// delete deletes machines, and tells whether any of them was still there.
func (c *cloud) delete(names []string) bool {
	any := false
	for _, wk := range c.w.workers {
		if slices.Contains(names, wk.name) && !wk.gone {
			any = true
			c.w.deletedAtWork(wk)
			wk.die()
		}
	}
	return any
}

// deletedAtWork notes that a machine is deleted that has tasks which did not end.
func (w *World) deletedAtWork(wk *worker) {
	if !wk.idle() {
		w.happened("machines deleted at work")
	}
}

// idle tells whether a machine has no task that did not end.
func (wk *worker) idle() bool {
	return !slices.ContainsFunc(wk.tasks, func(t *wtask) bool { return t.state != api.TaskExited })
}

func (c *cloud) rent(req *api.LaunchRequest) []string {
	if names := c.asked[req.Name]; names != nil {
		return names
	}
	for i, t := range c.types {
		if t.Name != req.Type || c.empty {
			continue
		}
		room := c.w.sc.Types[i].Count
		for _, wk := range c.w.workers {
			if !wk.gone && wk.typ.Name == t.Name && wk.zone == req.Zone && wk.spot == req.Spot {
				room--
			}
		}
		for range min(room, req.Count) {
			if c.w.now < c.bootsUntil {
				t.BootS = c.w.sc.Types[i].BootS * c.bootFactor
				if c.w.rng.Float64() < c.bootFail {
					c.w.happened("machines that never come up")
					t.BootS = 1e6
				}
			}
			wk := newWorker(c.w, fmt.Sprintf("n-%06d", c.next), t, req.Zone, req.Spot)
			c.next++
			c.asked[req.Name] = append(c.asked[req.Name], wk.name)
		}
	}
	return c.asked[req.Name]
}
