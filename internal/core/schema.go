package core

import "spurmoor/internal/wire"

// SchemaVersion is what this version reads and writes in the state service. 0 is that
// of the first versions, which drop what a job needs when they accept it; 1
// knows jobs that wait for jobs. Nothing of a later form is written before
// every controller is known to read it.
const SchemaVersion = 1

// Version is the release, as the log and the state service name it.
const Version = "2.0"

// schemaRecord says what a controller's versions read. A controller goes from
// one version to a later one only, so what was written once holds on.
type schemaRecord struct {
	Form    int    `json:"f"`
	Version string `json:"v,omitzero"`
}

func (c *Core) noteSchema(node string, form int) { c.schemas[node] = max(c.schemas[node], form) }

// reads tells whether a controller reads our form. One that says that it does
// not, now, is believed: it was put back.
func (c *Core) reads(node string) bool {
	if h := c.heartbeats[node]; h != nil && h.form < SchemaVersion && c.now < h.at+5*Second {
		return false
	}
	return node == c.set.Node || c.schemas[node] >= SchemaVersion
}

// allRead tells whether all controllers read our form.
func (c *Core) allRead() bool {
	for _, node := range c.set.Nodes {
		if !c.reads(node) {
			return false
		}
	}
	return true
}

// keepSchema keeps in the state service that this controller reads its form: one
// that starts while another is away could else not know it of that one.
func (c *Core) keepSchema() {
	if !c.synced {
		return
	}
	if all := c.allRead(); all != c.schemaAgreed {
		c.schemaAgreed = all
		c.info("all controllers have this version's form", "form", SchemaVersion, "all", all)
	}
	if c.schemas[c.set.Node] >= SchemaVersion || c.now < c.schemaAt {
		return
	}
	c.schemaAt = c.now + 5*Second
	key, rec := schemaKey+c.set.Node, mustJSON(schemaRecord{SchemaVersion, Version})
	c.spend(1)
	c.callStore(StoreCall{Op: OpTxn, Txn: &wire.Txn{If: []wire.Guard{{Key: key}}, Then: []wire.Write{{Put: key, Value: rec}}}}, func(r *StoreReply) {
		if r.Status == 200 {
			c.noteSchema(c.set.Node, SchemaVersion)
		}
	})
}
