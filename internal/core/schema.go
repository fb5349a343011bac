package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// SchemaVersion is the newest form of records that this version reads and writes in
// the state service. Nothing of a form is written before every controller is known
// to read it.
const SchemaVersion = schemaRoles

// Forms of the records.
const (
	// schemaDependencies knows jobs that wait for jobs, and catalogues of several pages.
	// The first versions, of form 0, drop what a job needs when they accept it.
	schemaDependencies = 1
	// schemaRoles knows the keys of the fleet's duties and of open rentals.
	schemaRoles = 2
)

// Version is the release, as the log and the state service name it.
const Version = "2.1"

// schemaRecord says what a controller's versions read. A controller goes from
// one version to a later one only, so what was written once holds on.
type schemaRecord struct {
	SchemaVersion int    `json:"f"`
	Release       string `json:"v,omitzero"`
}

func (c *Controller) observeSchema(node string, form int) {
	c.schemaVersions[node] = max(c.schemaVersions[node], form)
}

// observeSchemaKey takes in the version of the key of our own announcement.
func (c *Controller) observeSchemaKey(version uint64) {
	c.schemaKeyVersion = max(c.schemaKeyVersion, version)
}

// readsSchema tells whether a controller reads a form. One that says that it does
// not, now, is believed: it was put back.
func (c *Controller) readsSchema(node string, form int) bool {
	if h := c.peers[node]; h != nil && h.schemaVersion < form && c.now < h.lastHeartbeatAt+5*micros.Second {
		return false
	}
	return node == c.settings.Node || c.schemaVersions[node] >= form
}

// allReadSchema tells whether all controllers read a form.
func (c *Controller) allReadSchema(form int) bool {
	for _, node := range c.settings.Nodes {
		if !c.readsSchema(node, form) {
			return false
		}
	}
	return true
}

// schemaRetryInterval is how long after an announcement the next is made, if it failed.
const schemaRetryInterval = 5 * micros.Second

// announceSchema keeps in the state service that this controller reads its form: one
// that starts while another is away could else not know it of that one.
func (c *Controller) announceSchema() {
	if !c.synced {
		return
	}
	if all := c.allReadSchema(SchemaVersion); all != c.schemaAgreed {
		c.schemaAgreed = all
		c.logInfo("all controllers have this version's form", "form", SchemaVersion, "all", all)
	}
	if c.schemaVersions[c.settings.Node] >= SchemaVersion || c.now < c.nextSchemaAnnouncementAt {
		return
	}
	c.nextSchemaAnnouncementAt = c.now + schemaRetryInterval
	key, rec := schemaKey+c.settings.Node, mustMarshal(schemaRecord{SchemaVersion, Version})
	c.chargeWrites(1)
	req := &api.Transaction{Compares: []api.Compare{{Key: key, Version: c.schemaKeyVersion}}, Writes: []api.Write{{Put: key, Value: rec}}}
	c.callStore(StoreCall{Op: OpTransaction, Transaction: leadership.NewOrder(leadership.SharedGrant(leadership.ForSchema, leadership.Write), req)}, func(r *StoreReply) {
		if r.Status == 200 {
			c.observeSchema(c.settings.Node, SchemaVersion)
		}
	})
}
