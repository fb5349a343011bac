// Package api defines the JSON messages of the protocol (PROTOCOL) and validates them. Users,
// workers, the cloud, the key-value store and operators exchange these messages with the
// controllers. Only this package maps the protocol's names to the names used in the code.
// The struct tags and the values of the enumerations are the protocol's and never change.
//
// Names of times in seconds end in S, names of amounts in gigabytes in GB.
package api

// MaxBodyBytes is the size of the largest request body that is accepted.
const MaxBodyBytes = 64 << 10

// Error is the body of an answer to a request that was refused or failed.
type Error struct {
	Error string `json:"error"`
}

// Readiness is the body of the answer to a health check.
type Readiness struct {
	Condition string `json:"condition"`
}
