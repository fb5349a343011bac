package records

// SchemaVersion is the newest schema that this version reads and writes in the store. Records
// of a schema are written only after every controller is known to read that schema.
const SchemaVersion = SchemaRoles

// Schemas of the records. Schema 0 is that of the first versions, which write none.
const (
	// SchemaDependencies adds dependencies between jobs and catalogs of several pages. Versions
	// before it drop the dependencies of a job that they accept.
	SchemaDependencies = 1
	// SchemaRoles adds the keys of fleet roles and of open requests for machines.
	SchemaRoles = 2
)

// Version is the release of this program, as written to the log and the store.
const Version = "2.1"

// NodeSchema is the record of the newest schema that a node's controller reads. A controller is
// only ever replaced by a later version, so the record stays valid once it is written.
type NodeSchema struct {
	SchemaVersion int    `json:"f"`
	Release       string `json:"v,omitzero"`
}
