package coordination

import (
	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

const (
	// schemaRetryInterval is how long after an announcement the next is made, if it
	// failed.
	schemaRetryInterval = 5 * micros.Second

	// schemaReportTimeout is how old another controller's heartbeat may be while its
	// word that it does not read a schema version counts.
	schemaReportTimeout = 5 * micros.Second
)

// SchemaTracker is which schema version of the records each controller reads, and the
// announcement of ours. A record's new form is written only once all controllers read
// it.
type SchemaTracker struct {
	*Environment
	budget *WriteBudget
	cache  *WatchCache
	peers  *PeerTracker

	schemaVersions           map[string]int // by node, the newest that its controller was seen to read
	NextSchemaAnnouncementAt micros.Micros
	schemaKeyVersion         api.Revision // of the key of our own announcement
	schemaAgreed             bool         // all controllers read our version, as last logged
}

// NewSchemaTracker makes a schema tracker.
func NewSchemaTracker(env *Environment, budget *WriteBudget, cache *WatchCache, peers *PeerTracker) *SchemaTracker {
	return &SchemaTracker{Environment: env, budget: budget, cache: cache, peers: peers, schemaVersions: map[string]int{}}
}

// ObserveSchema notes that a controller reads a schema version.
func (s *SchemaTracker) ObserveSchema(node string, schemaVersion int) {
	s.schemaVersions[node] = max(s.schemaVersions[node], schemaVersion)
}

// ObserveSchemaKey notes the version of the key of our own announcement.
func (s *SchemaTracker) ObserveSchemaKey(version api.Revision) {
	s.schemaKeyVersion = max(s.schemaKeyVersion, version)
}

// AllReadSchema reports whether all controllers read a schema version.
func (s *SchemaTracker) AllReadSchema(schemaVersion int) bool {
	for _, node := range s.Settings.Nodes {
		if !s.readsSchema(node, schemaVersion) {
			return false
		}
	}
	return true
}

// readsSchema reports whether a controller reads a schema version. One whose latest
// heartbeat says that it does not has been downgraded, whatever it announced before.
func (s *SchemaTracker) readsSchema(node string, schemaVersion int) bool {
	status := s.peers.ByNode[node]
	if status != nil && status.schemaVersion < schemaVersion && s.Now < status.LastHeartbeatAt+schemaReportTimeout {
		return false
	}
	return node == s.Settings.Node || s.schemaVersions[node] >= schemaVersion
}

// RecordsRequests reports whether requests for machines are recorded before they are
// sent: if the operators want it and every controller reads the record.
func (s *SchemaTracker) RecordsRequests() bool {
	return s.Settings.Operators.Duties.RecordRentals && s.AllReadSchema(records.SchemaRoles)
}

// AnnounceSchema announces in the key-value store which schema version this controller
// reads: a controller that starts while another is down learns that one's from there.
func (s *SchemaTracker) AnnounceSchema() {
	if !s.cache.Synced {
		return
	}
	s.logAgreement()
	if s.schemaVersions[s.Settings.Node] >= records.SchemaVersion || s.Now < s.NextSchemaAnnouncementAt {
		return
	}
	s.NextSchemaAnnouncementAt = s.Now + schemaRetryInterval
	s.budget.ChargeWrites(1)
	grant := leadership.SharedGrant(leadership.ForSchema, leadership.Write)
	order := leadership.NewOrder(grant, s.announcement())
	s.CallStore(message.StoreCall{Op: message.OpTransaction, Transaction: order}, s.handleAnnouncement)
}

// announcement returns the transaction that writes which schema version we read.
func (s *SchemaTracker) announcement() *api.Transaction {
	key := records.SchemaPrefix + s.Settings.Node
	record := records.NodeSchema{SchemaVersion: records.SchemaVersion, Release: records.Version}
	return &api.Transaction{
		Compares: []api.Compare{{Key: key, Version: s.schemaKeyVersion}},
		Writes:   []api.Write{{Put: key, Value: records.MustMarshal(record)}},
	}
}

// handleAnnouncement takes in the reply to the announcement.
func (s *SchemaTracker) handleAnnouncement(reply *message.StoreReply) {
	if reply.Status == message.StatusOK {
		s.ObserveSchema(s.Settings.Node, records.SchemaVersion)
	}
}

// logAgreement logs when all controllers begin or cease to read our schema version.
func (s *SchemaTracker) logAgreement() {
	agreed := s.AllReadSchema(records.SchemaVersion)
	if agreed == s.schemaAgreed {
		return
	}
	s.schemaAgreed = agreed
	s.LogInfo("schema agreed by all controllers", logkey.Schema, records.SchemaVersion, logkey.All, agreed)
}
