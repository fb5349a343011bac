package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

const (
	// maxHistoryEvents is the number of events that the store keeps. It is small, so that a
	// controller that was cut off for a while must read all keys again.
	maxHistoryEvents = 150
	// listPageSize is the number of keys on a full page of a list.
	listPageSize = 200
	// leaseCheckPeriod is the interval between checks for expired leases.
	leaseCheckPeriod = micros.Second / 20
	// comparesPerWrite is the limit of compared keys in a transaction, as a multiple of the
	// limit of writes.
	comparesPerWrite = 4
	bytesPerKB       = 1024
)

// keyValueStore simulates the consensus-backed key-value store.
type keyValueStore struct {
	sim         *Simulation
	keys        map[string]*storedValue
	revision    api.Revision
	history     []api.Event
	compactedTo api.Revision // events up to this revision are no longer kept
	leases      map[uint64]*storeLease
	lastLease   uint64
	watches     []*storeWatch
	outageUntil micros.Micros
	requests    rateLimiter
	writes      rateLimiter
}

// storedValue is the value of a key with the revision of its last write.
type storedValue struct {
	data    []byte
	version api.Revision
	lease   uint64 // zero: none
}

// storeLease is a lease that keys may be attached to. They are deleted when it expires.
type storeLease struct {
	ttl       micros.Micros
	expiresAt micros.Micros
}

// storeWatch is an open watch of a node that waits for events.
type storeWatch struct {
	node  *node
	since api.Revision
	done  bool
	reply func(*message.StoreReply)
}

func newKeyValueStore(sim *Simulation) *keyValueStore {
	s := &keyValueStore{sim: sim, keys: map[string]*storedValue{}, leases: map[uint64]*storeLease{}}
	s.requests.rate, s.writes.rate = sim.scenario.RPS, sim.scenario.WriteRPS
	sim.every(leaseCheckPeriod, s.expireLeases)
	return s
}

// startOutage makes the store refuse all requests for a time. After the outage every lease has
// its full time to live again.
func (s *keyValueStore) startOutage(duration micros.Micros) {
	s.outageUntil = s.sim.now + duration
	for _, lease := range s.leases {
		lease.expiresAt = s.outageUntil + lease.ttl
	}
}

// expireLeases deletes the expired leases with their keys, the oldest lease first.
func (s *keyValueStore) expireLeases() {
	if s.sim.now < s.outageUntil {
		return
	}
	for id := uint64(1); id <= s.lastLease; id++ {
		lease := s.leases[id]
		if lease == nil || s.sim.now < lease.expiresAt {
			continue
		}
		delete(s.leases, id)
		var deletes []api.Write
		for _, key := range s.sortedKeys("") {
			if s.keys[key].lease == id {
				deletes = append(deletes, api.Write{Delete: key})
			}
		}
		if deletes != nil {
			s.apply(deletes)
		}
	}
	s.notifyWatches()
}

// expireLeasesOf expires the leases that a node's leader records are attached to.
func (s *keyValueStore) expireLeasesOf(leader *node) {
	for _, key := range s.sortedKeys(records.PartitionPrefix) {
		value := s.keys[key]
		lease := s.leases[value.lease]
		if lease != nil && strings.Contains(string(value.data), quoted(leader.name)) {
			lease.expiresAt = s.sim.now
		}
	}
}

// sortedKeys returns the keys with a prefix in sorted order.
func (s *keyValueStore) sortedKeys(prefix string) []string {
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// apply commits writes under a new revision and adds them to the history.
func (s *keyValueStore) apply(writes []api.Write) {
	s.revision++
	for _, write := range writes {
		if write.Delete != "" {
			if s.keys[write.Delete] != nil {
				delete(s.keys, write.Delete)
				s.history = append(s.history, api.Event{Delete: write.Delete, Version: s.revision})
			}
			continue
		}
		s.sim.recordLeaderChange(write.Put, write.Value)
		s.keys[write.Put] = &storedValue{write.Value, s.revision, write.Lease}
		s.history = append(s.history, api.Event{Put: write.Put, Value: write.Value, Version: s.revision})
	}
	if excess := len(s.history) - maxHistoryEvents; excess > 0 {
		s.compactedTo = s.history[excess-1].Version
		s.history = s.history[excess:]
	}
}

// call executes a request of a node. It replies at once, or if a watch finds no events, when
// there is one or the watch times out. A transaction above the limits is reported as a
// violation: the controllers know the limits and must not send it.
func (s *keyValueStore) call(sender *node, call message.StoreCall, reply func(*message.StoreReply)) {
	if call.Op == message.OpTransaction {
		for _, excess := range s.excessOf(call.Transaction.Body()) {
			s.sim.checker.report(invariantStoreLimits, excess)
		}
	}
	s.execute(sender, call, reply)
}

// repeat executes a late copy of a transaction, whose reply is lost. The limits may have fallen
// since the transaction was sent, so a copy above them is refused without a violation.
func (s *keyValueStore) repeat(sender *node, call message.StoreCall) {
	s.execute(sender, call, ignoreStoreReply)
}

func (s *keyValueStore) execute(sender *node, call message.StoreCall, reply func(*message.StoreReply)) {
	answer := &message.StoreReply{CallID: call.CallID, Status: s.admit(sender, call)}
	if answer.Status != http.StatusOK {
		reply(answer)
		return
	}
	switch call.Op {
	case message.OpGet:
		s.get(call.Key, answer)
	case message.OpList:
		s.list(records.LivePrefix, call.Key, answer)
	case message.OpListTerminal:
		s.list(records.TerminalPrefix, call.Key, answer)
	case message.OpGrantLease:
		s.grantLease(micros.FromMilliseconds(int(call.TTLMs)), answer)
	case message.OpRenewLease:
		s.renewLease(call.LeaseID, answer)
	case message.OpWatch:
		if s.openWatch(sender, call, answer, reply) {
			return
		}
	case message.OpTransaction:
		s.transact(call.Transaction.Body(), answer)
		s.sim.recordGrantedOrder(sender, call.Transaction.Grant(), "", answer.Status == http.StatusOK)
	}
	reply(answer)
	s.notifyWatches()
}

// admit returns the status with which a request is refused, or 200 if it is admitted.
func (s *keyValueStore) admit(sender *node, call message.StoreCall) int {
	if s.sim.now < s.outageUntil || sender.refusedByStore {
		return http.StatusServiceUnavailable
	}
	if !s.requests.admit(s.sim.now, 1) {
		return http.StatusTooManyRequests
	}
	if call.Op == message.OpTransaction && !s.writes.admit(s.sim.now, len(call.Transaction.Body().Writes)) {
		return http.StatusTooManyRequests
	}
	return http.StatusOK
}

func (s *keyValueStore) get(key string, answer *message.StoreReply) {
	value := s.keys[key]
	if value == nil {
		answer.Status = http.StatusNotFound
		return
	}
	answer.Item = api.KeyValue{Key: key, Value: value.data, Version: value.version}
}

// list replies with a page of the keys with a prefix that sort after the given one.
func (s *keyValueStore) list(prefix, after string, answer *message.StoreReply) {
	answer.Page.Revision = s.revision
	for _, key := range s.sortedKeys(prefix) {
		if key <= after {
			continue
		}
		if len(answer.Page.Pairs) == listPageSize {
			answer.Page.More = true
			break
		}
		value := s.keys[key]
		answer.Page.Pairs = append(answer.Page.Pairs, api.KeyValue{Key: key, Value: value.data, Version: value.version})
	}
}

func (s *keyValueStore) grantLease(ttl micros.Micros, answer *message.StoreReply) {
	s.lastLease++
	s.leases[s.lastLease] = &storeLease{ttl: ttl, expiresAt: s.sim.now + ttl}
	answer.LeaseID = s.lastLease
}

func (s *keyValueStore) renewLease(id uint64, answer *message.StoreReply) {
	lease := s.leases[id]
	if lease == nil {
		answer.Status = http.StatusNotFound
		return
	}
	lease.expiresAt = s.sim.now + lease.ttl
}

// excessOf returns what in a transaction is above the store's limits.
func (s *keyValueStore) excessOf(transaction *api.Transaction) []string {
	var excess []string
	limit := s.sim.scenario.MaxTransactionOps
	if len(transaction.Writes) > limit || len(transaction.Compares) > comparesPerWrite*limit {
		excess = append(excess, fmt.Sprintf("%d writes, %d conditions", len(transaction.Writes), len(transaction.Compares)))
	}
	for _, write := range transaction.Writes {
		if float64(len(write.Value)) > s.sim.scenario.ValueKB*bytesPerKB {
			excess = append(excess, fmt.Sprintf("%s has %d bytes", write.Put, len(write.Value)))
		}
	}
	return excess
}

// transact commits a transaction if it is within the limits and all compared keys have the
// given versions.
func (s *keyValueStore) transact(transaction *api.Transaction, answer *message.StoreReply) {
	if len(s.excessOf(transaction)) > 0 {
		answer.Status, answer.Transaction.Error = http.StatusBadRequest, "malformed"
		return
	}
	for _, compare := range transaction.Compares {
		version := api.Revision(0)
		if value := s.keys[compare.Key]; value != nil {
			version = value.version
		}
		if version != compare.Version {
			answer.Status = http.StatusConflict
			answer.Transaction.FailedKeys = append(answer.Transaction.FailedKeys, compare.Key)
		}
	}
	answer.Transaction.Revision = s.revision
	for _, write := range transaction.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			answer.Status, answer.Transaction.Error = http.StatusBadRequest, "no such lease"
		}
	}
	if answer.Status == http.StatusOK {
		s.apply(transaction.Writes)
		answer.Transaction.Revision = s.revision
	}
}
