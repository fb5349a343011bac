package api

import "github.com/go-json-experiment/json/jsontext"

// Revision numbers the states of the key-value store and increases with each change. The
// version of a key is the revision of its last change, or 0 if the key does not exist.
type Revision uint64

// KeyValue is a key of the key-value store with its value.
type KeyValue struct {
	Key     string         `json:"K"`
	Value   jsontext.Value `json:"Data"`
	Version Revision       `json:"Edicion"`
}

// KeyValuePage is a page of a list of keys.
type KeyValuePage struct {
	Pairs    []KeyValue `json:"Pairs"`
	More     bool       `json:"Truncated"` // further pages follow
	Revision Revision   `json:"Revision"`  // of the whole store
}

// Compare is a condition of a transaction: the key has this version. With version 0 the key
// must not exist.
type Compare struct {
	Key     string   `json:"K"`
	Version Revision `json:"Edicion"`
}

// Write is a put or a delete in a transaction. Either Put or Delete is set.
type Write struct {
	Put    string         `json:"Write,omitempty"` // the key to set to Value
	Value  jsontext.Value `json:"Data,omitempty"`
	Lease  uint64         `json:"Arriendo,omitzero"` // the key is deleted when this lease expires; 0: it has no lease
	Delete string         `json:"Drop,omitempty"`    // the key to delete
}

// Transaction is a compare-and-swap on several keys. The store makes all writes if all
// compares hold, and none otherwise.
type Transaction struct {
	Compares []Compare `json:"Guards"`
	Writes   []Write   `json:"Writes,omitempty"`
}

// TransactionResult is the answer to a transaction.
type TransactionResult struct {
	Revision   Revision `json:"Revision"`
	FailedKeys []string `json:"failed"` // keys whose compares did not hold
	Error      string   `json:"error"`
}

// Event is one change of a key that a watch returns. Either Put or Delete names the key.
type Event struct {
	Put     string         `json:"Write"`
	Value   jsontext.Value `json:"Data"`
	Delete  string         `json:"Drop"`
	Version Revision       `json:"Edicion"`
}

// WatchResponse is the answer to a watch: the changes up to and including the revision.
type WatchResponse struct {
	Revision Revision `json:"Revision"`
	Events   []Event  `json:"Log"`
}

// LeaseRequest requests a lease.
type LeaseRequest struct {
	TTLMs int64 `json:"TtlMs"` // time to live in milliseconds
}

// LeaseResponse is the answer to a LeaseRequest.
type LeaseResponse struct {
	Lease uint64 `json:"Arriendo"`
}
