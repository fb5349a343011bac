package api

import "github.com/go-json-experiment/json/jsontext"

// Revision numbers the states of the store: it rises with each change. The version of a
// key is the revision of its last change; 0: there is no such key.
type Revision uint64

// KeyValue is a key of the key-value store.
type KeyValue struct {
	Key     string         `json:"K"`
	Value   jsontext.Value `json:"Data"`
	Version Revision       `json:"Edicion"` // rises with each change of the key
}

// KeyValuePage is a page of keys.
type KeyValuePage struct {
	Pairs    []KeyValue `json:"Pairs"`
	More     bool       `json:"Truncated"`
	Revision Revision   `json:"Revision"` // of the whole store
}

// Compare is a condition of a transaction: the key has this version; 0: there is no such
// key.
type Compare struct {
	Key     string   `json:"K"`
	Version Revision `json:"Edicion"`
}

// Write is a put or a delete in a transaction.
type Write struct {
	Put    string         `json:"Write,omitempty"` // the key that is set to Value
	Value  jsontext.Value `json:"Data,omitempty"`
	Lease  uint64         `json:"Arriendo,omitzero"` // the key goes when this lease expires; 0: it stays
	Delete string         `json:"Drop,omitempty"`    // the key that is deleted
}

// Transaction is a compare-and-swap: all writes are made, if all compares hold.
type Transaction struct {
	Compares []Compare `json:"Guards"`
	Writes   []Write   `json:"Writes,omitempty"`
}

// TransactionResult answers a transaction.
type TransactionResult struct {
	Revision   Revision `json:"Revision"`
	FailedKeys []string `json:"failed"` // whose compares did not hold
	Error      string   `json:"error"`
}

// Event is one change in a watch's log.
type Event struct {
	Put     string         `json:"Write"`
	Value   jsontext.Value `json:"Data"`
	Delete  string         `json:"Drop"`
	Version Revision       `json:"Edicion"`
}

// WatchResponse answers a watch: what changed up to the revision.
type WatchResponse struct {
	Revision Revision `json:"Revision"`
	Events   []Event  `json:"Log"`
}

// LeaseRequest requests a lease.
type LeaseRequest struct {
	TTLMs int64 `json:"TtlMs"` // milliseconds
}

// LeaseResponse answers with the lease.
type LeaseResponse struct {
	Lease uint64 `json:"Arriendo"`
}
