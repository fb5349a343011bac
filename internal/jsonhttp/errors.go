package jsonhttp

import "errors"

// ErrBudgetExhausted says that a request was refused before it had a connection: its
// budget would not have allowed it within the time that it may wait.
var ErrBudgetExhausted = errors.New("request budget exhausted")

// NotSentError says that Request.BeforeSend kept a request from leaving: none of its
// bytes reached the server. It comes wrapped in an UnansweredError.
type NotSentError struct{ Cause error }

// Error gives the cause with what it prevented.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// UnansweredError says that no reply came. Unless it wraps a NotSentError, the server may
// have carried out the request all the same.
type UnansweredError struct{ Cause error }

// Error gives the cause with what it prevented.
func (e *UnansweredError) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *UnansweredError) Unwrap() error { return e.Cause }

// MalformedError says that a reply came and could not be decoded.
type MalformedError struct{ Cause error }

// Error gives the text of the cause alone: the log line that carries it says already that
// a message could not be read.
func (e *MalformedError) Error() string { return e.Cause.Error() }

// Unwrap gives the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }
