// Package message defines the inputs that the controller's state machine handles and the
// effects that it returns to be sent, written, answered or logged.
//
// Requests and replies are matched by ID: an Answer has the RequestID of the input that it
// answers, and a StoreReply or CloudReply has the CallID of the effect that it replies to.
// Statuses are HTTP statuses. StatusNoReply means that no reply came.
package message
