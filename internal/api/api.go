// Package api holds the JSON forms of PROTOCOL and their validation: what users,
// workers, the cloud, the key-value store and operators send and get. The protocol's
// words are mapped to the terms of the code here and nowhere else: the tags and the
// values of the enumerations are the protocol's and never change.
//
// Times in seconds have names that end in S, amounts in gigabytes in GB.
package api

// MaxBody is the largest request body taken, in bytes.
const MaxBody = 64 << 10

// Error is the body of a refusal.
type Error struct {
	Error string `json:"error"`
}

// Readiness is the body of a health check's answer.
type Readiness struct {
	Condition string `json:"condition"`
}
