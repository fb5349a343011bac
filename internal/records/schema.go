package records

// SchemaVersion is the newest schema that this version reads and writes in the store.
// Nothing of a schema is written before every controller is known to read it.
const SchemaVersion = SchemaRoles

// Schemas of the records. The first versions, which write no schema, are at 0.
const (
	// SchemaDependencies has jobs that depend on jobs, and catalogs of several pages.
	// Versions before it drop a job's dependencies when they accept it.
	SchemaDependencies = 1
	// SchemaRoles has the keys of the fleet's roles and of open requests for machines.
	SchemaRoles = 2
)

// Version is the release, as the log and the store name it.
const Version = "2.1"

// SchemaRecord is the newest schema that a node's controller reads. A controller is only
// ever replaced by a later version, so what was written once goes on to hold.
type SchemaRecord struct {
	SchemaVersion int    `json:"f"`
	Release       string `json:"v,omitzero"`
}
