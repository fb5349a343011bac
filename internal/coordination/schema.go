package coordination

import (
	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// SchemaTracker is which forms of records the controllers read, and the announcement of
// ours.
type SchemaTracker struct {
	*Environment
	budget *WriteBudget
	cache  *WatchCache
	peers  *PeerTracker

	schemaVersions           map[string]int // by controller, the newest form that it is known to read
	NextSchemaAnnouncementAt micros.Micros
	schemaKeyVersion         uint64 // of the key of our own announcement
	schemaAgreed             bool   // all read ours; said so
}

// NewSchemaTracker makes a schema tracker.
func NewSchemaTracker(env *Environment, budget *WriteBudget, cache *WatchCache, peers *PeerTracker) *SchemaTracker {
	return &SchemaTracker{Environment: env, budget: budget, cache: cache, peers: peers, schemaVersions: map[string]int{}}
}

// ObserveSchema takes in that a controller reads a form of records.
func (s *SchemaTracker) ObserveSchema(node string, form int) {
	s.schemaVersions[node] = max(s.schemaVersions[node], form)
}

// ObserveSchemaKey takes in the version of the key of our own announcement.
func (s *SchemaTracker) ObserveSchemaKey(version uint64) {
	s.schemaKeyVersion = max(s.schemaKeyVersion, version)
}

// readsSchema tells whether a controller reads a form. One that says that it does
// not, now, is believed: it was put back.
func (s *SchemaTracker) readsSchema(node string, form int) bool {
	if h := s.peers.ByNode[node]; h != nil && h.schemaVersion < form && s.Now < h.LastHeartbeatAt+5*micros.Second {
		return false
	}
	return node == s.Settings.Node || s.schemaVersions[node] >= form
}

// AllReadSchema tells whether all controllers read a form.
func (s *SchemaTracker) AllReadSchema(form int) bool {
	for _, node := range s.Settings.Nodes {
		if !s.readsSchema(node, form) {
			return false
		}
	}
	return true
}

// schemaRetryInterval is how long after an announcement the next is made, if it failed.
const schemaRetryInterval = 5 * micros.Second

// AnnounceSchema keeps in the state service that this controller reads its form: one
// that starts while another is away could else not know it of that one.
func (s *SchemaTracker) AnnounceSchema() {
	if !s.cache.Synced {
		return
	}
	if all := s.AllReadSchema(records.SchemaVersion); all != s.schemaAgreed {
		s.schemaAgreed = all
		s.LogInfo("schema agreed by all controllers", logkey.Schema, records.SchemaVersion, logkey.All, all)
	}
	if s.schemaVersions[s.Settings.Node] >= records.SchemaVersion || s.Now < s.NextSchemaAnnouncementAt {
		return
	}
	s.NextSchemaAnnouncementAt = s.Now + schemaRetryInterval
	key, rec := records.SchemaPrefix+s.Settings.Node, records.MustMarshal(records.SchemaRecord{SchemaVersion: records.SchemaVersion, Release: records.Version})
	s.budget.ChargeWrites(1)
	req := &api.Transaction{Compares: []api.Compare{{Key: key, Version: s.schemaKeyVersion}}, Writes: []api.Write{{Put: key, Value: rec}}}
	s.CallStore(message.StoreCall{Op: message.OpTransaction, Transaction: leadership.NewOrder(leadership.SharedGrant(leadership.ForSchema, leadership.Write), req)}, func(r *message.StoreReply) {
		if r.Status == 200 {
			s.ObserveSchema(s.Settings.Node, records.SchemaVersion)
		}
	})
}

// RecordsRequests tells whether requests for machines are recorded before they are
// sent: the operators want it, and every controller knows the record.
func (s *SchemaTracker) RecordsRequests() bool {
	return s.Settings.Operators.Roles.RecordRequests && s.AllReadSchema(records.SchemaRoles)
}
