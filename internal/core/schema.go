package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// schemaTracker is which forms of records the controllers read, and the announcement of
// ours.
type schemaTracker struct {
	*environment
	budget *writeBudget
	cache  *watchCache
	peers  *peerTracker

	schemaVersions           map[string]int // by controller, the newest form that it is known to read
	nextSchemaAnnouncementAt micros.Micros
	schemaKeyVersion         uint64 // of the key of our own announcement
	schemaAgreed             bool   // all read ours; said so
}

func newSchemaTracker(env *environment, budget *writeBudget, cache *watchCache, peers *peerTracker) *schemaTracker {
	return &schemaTracker{environment: env, budget: budget, cache: cache, peers: peers, schemaVersions: map[string]int{}}
}

func (s *schemaTracker) observeSchema(node string, form int) {
	s.schemaVersions[node] = max(s.schemaVersions[node], form)
}

// observeSchemaKey takes in the version of the key of our own announcement.
func (s *schemaTracker) observeSchemaKey(version uint64) {
	s.schemaKeyVersion = max(s.schemaKeyVersion, version)
}

// readsSchema tells whether a controller reads a form. One that says that it does
// not, now, is believed: it was put back.
func (s *schemaTracker) readsSchema(node string, form int) bool {
	if h := s.peers.byNode[node]; h != nil && h.schemaVersion < form && s.now < h.lastHeartbeatAt+5*micros.Second {
		return false
	}
	return node == s.settings.Node || s.schemaVersions[node] >= form
}

// allReadSchema tells whether all controllers read a form.
func (s *schemaTracker) allReadSchema(form int) bool {
	for _, node := range s.settings.Nodes {
		if !s.readsSchema(node, form) {
			return false
		}
	}
	return true
}

// schemaRetryInterval is how long after an announcement the next is made, if it failed.
const schemaRetryInterval = 5 * micros.Second

// announceSchema keeps in the state service that this controller reads its form: one
// that starts while another is away could else not know it of that one.
func (s *schemaTracker) announceSchema() {
	if !s.cache.synced {
		return
	}
	if all := s.allReadSchema(SchemaVersion); all != s.schemaAgreed {
		s.schemaAgreed = all
		s.logInfo("all controllers have this version's form", "form", SchemaVersion, "all", all)
	}
	if s.schemaVersions[s.settings.Node] >= SchemaVersion || s.now < s.nextSchemaAnnouncementAt {
		return
	}
	s.nextSchemaAnnouncementAt = s.now + schemaRetryInterval
	key, rec := schemaKey+s.settings.Node, mustMarshal(schemaRecord{SchemaVersion: SchemaVersion, Release: Version})
	s.budget.chargeWrites(1)
	req := &api.Transaction{Compares: []api.Compare{{Key: key, Version: s.schemaKeyVersion}}, Writes: []api.Write{{Put: key, Value: rec}}}
	s.callStore(StoreCall{Op: OpTransaction, Transaction: leadership.NewOrder(leadership.SharedGrant(leadership.ForSchema, leadership.Write), req)}, func(r *StoreReply) {
		if r.Status == 200 {
			s.observeSchema(s.settings.Node, SchemaVersion)
		}
	})
}

// recordsRequests tells whether requests for machines are recorded before they are
// sent: the operators want it, and every controller knows the record.
func (s *schemaTracker) recordsRequests() bool {
	return s.settings.Operators.Roles.RecordRequests && s.allReadSchema(schemaRoles)
}
