// Package message holds the inputs and effects of the controller's state machine: what
// Step takes, and what it returns to be sent, written, answered or logged.
//
// Requests and their replies are matched by number: an Answer carries the RequestID of
// the input that it answers, a StoreReply or CloudReply the Call of the effect that it
// answers. Statuses are HTTP's; StatusNoReply means that no reply came.
package message
