package jsonhttp

import "errors"

// ErrBudgetExhausted reports that a request was refused before it had a connection: its
// budgets would not have allowed it within Client.BudgetTimeout.
var ErrBudgetExhausted = errors.New("request budget exhausted")

// NotSentError reports that Request.BeforeSend refused a request. None of its bytes reached
// the server. Do returns it wrapped in an UnansweredError.
type NotSentError struct{ Cause error }

// Error returns the cause's text with a prefix.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the error of BeforeSend.
func (e *NotSentError) Unwrap() error { return e.Cause }

// UnansweredError reports that no reply came. Unless it wraps a NotSentError, the server may
// have executed the request.
type UnansweredError struct{ Cause error }

// Error returns the cause's text with a prefix.
func (e *UnansweredError) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap returns the error of the HTTP client.
func (e *UnansweredError) Unwrap() error { return e.Cause }

// MalformedError reports that a reply came and could not be decoded.
type MalformedError struct{ Cause error }

// Error returns the cause's text without a prefix: the log line that contains it already
// says that a message is malformed.
func (e *MalformedError) Error() string { return e.Cause.Error() }

// Unwrap returns the error of decoding.
func (e *MalformedError) Unwrap() error { return e.Cause }
