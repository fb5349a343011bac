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
	// schemaRetryInterval is the time between two attempts to announce our schema version.
	schemaRetryInterval = 5 * micros.Second

	// schemaReportTimeout is the maximum age of another controller's heartbeat at which it
	// counts as evidence that the controller does not read a schema version.
	schemaReportTimeout = 5 * micros.Second
)

// SchemaTracker tracks which schema version of the records each controller can read, and
// announces ours. A new form of a record is written only once all controllers can read it.
type SchemaTracker struct {
	*Environment
	budget *WriteBudget
	cache  *WatchCache
	peers  *PeerTracker

	versions           map[string]int // by node, the newest that its controller is known to read
	NextAnnouncementAt micros.Micros
	keyVersion         api.Revision // of the key of our announcement; 0 if none was seen
	agreed             bool         // all controllers read our schema version, as last logged
}

// NewSchemaTracker returns a schema tracker that knows no controller's schema version yet.
func NewSchemaTracker(env *Environment, budget *WriteBudget, cache *WatchCache, peers *PeerTracker) *SchemaTracker {
	return &SchemaTracker{Environment: env, budget: budget, cache: cache, peers: peers, versions: map[string]int{}}
}

// Observe records that a controller reads a schema version. Lower versions than the one
// known are ignored.
func (s *SchemaTracker) Observe(node string, schemaVersion int) {
	s.versions[node] = max(s.versions[node], schemaVersion)
}

// ObserveKey records the version of the key of our own announcement, which the next
// announcement compares.
func (s *SchemaTracker) ObserveKey(version api.Revision) {
	s.keyVersion = max(s.keyVersion, version)
}

// AllRead reports whether all controllers, including this one, read a schema version.
func (s *SchemaTracker) AllRead(schemaVersion int) bool {
	for _, node := range s.Settings.Nodes {
		if !s.reads(node, schemaVersion) {
			return false
		}
	}
	return true
}

// reads reports whether a controller reads a schema version. A controller whose latest
// heartbeat reports a lower version was downgraded, whatever it announced before.
func (s *SchemaTracker) reads(node string, schemaVersion int) bool {
	status := s.peers.ByNode[node]
	if status != nil && status.schemaVersion < schemaVersion && s.Now < status.LastHeartbeatAt+schemaReportTimeout {
		return false
	}
	return node == s.Settings.Node || s.versions[node] >= schemaVersion
}

// RecordsMachineRequests reports whether requests for machines are recorded before they are
// sent. That is so if the settings ask for it and every controller reads the record.
func (s *SchemaTracker) RecordsMachineRequests() bool {
	return s.Settings.Operators.Duties.RecordRentals && s.AllRead(records.SchemaRoles)
}

// Announce writes to the key-value store which schema version this controller reads, until
// that has succeeded once. A controller that starts while another is down reads that one's
// version from there.
func (s *SchemaTracker) Announce() {
	if !s.cache.Synced {
		return
	}
	s.logAgreement()
	if s.versions[s.Settings.Node] >= records.SchemaVersion || s.Now < s.NextAnnouncementAt {
		return
	}
	s.NextAnnouncementAt = s.Now + schemaRetryInterval
	s.budget.ChargeUnthrottled(1)
	grant := leadership.SharedGrant(leadership.ForSchema, leadership.ActionWrite)
	order := leadership.NewOrder(grant, s.announcement())
	s.CallStore(message.StoreCall{Op: message.OpTransaction, Transaction: order}, s.handleAnnouncementReply)
}

// announcement returns the transaction that announces our schema version.
func (s *SchemaTracker) announcement() *api.Transaction {
	key := records.SchemaPrefix + s.Settings.Node
	record := records.NodeSchema{SchemaVersion: records.SchemaVersion, Release: records.Version}
	return &api.Transaction{
		Compares: []api.Compare{{Key: key, Version: s.keyVersion}},
		Writes:   []api.Write{{Put: key, Value: records.MustMarshal(record)}},
	}
}

// handleAnnouncementReply handles the reply to an announcement.
func (s *SchemaTracker) handleAnnouncementReply(reply *message.StoreReply) {
	if reply.Status == message.StatusOK {
		s.Observe(s.Settings.Node, records.SchemaVersion)
	}
}

// logAgreement logs a change of whether all controllers read our schema version.
func (s *SchemaTracker) logAgreement() {
	agreed := s.AllRead(records.SchemaVersion)
	if agreed == s.agreed {
		return
	}
	s.agreed = agreed
	s.LogInfo("schema agreed by all controllers", logkey.Schema, records.SchemaVersion, logkey.All, agreed)
}
