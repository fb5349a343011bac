package settings

import (
	"fmt"
	"math"
	"net/netip"
)

// FieldError reports a field of the settings that is missing or not valid.
type FieldError struct {
	Field   string // the key's full path, such as facts.workers.lease_s
	Value   any    // the value; nil if the field is missing or its value can't be decoded
	Allowed string // which values are allowed
	Cause   error  // the underlying error; nil if there is none

	text string // the error's text, which operators read
}

func (e *FieldError) Error() string { return e.text }

// Unwrap returns Cause.
func (e *FieldError) Unwrap() error { return e.Cause }

// newFieldError returns a *FieldError for a value that is not allowed. format and args
// make the text that operators read.
func newFieldError(field string, value any, allowed, format string, args ...any) error {
	return &FieldError{Field: field, Value: value, Allowed: allowed, text: fmt.Sprintf(format, args...)}
}

// newMissingFieldError returns a *FieldError for a required field that is missing.
func newMissingFieldError(field, allowed string) error {
	return newFieldError(field, nil, allowed, "field %s is missing", field)
}

// firstError returns the first error that is not nil: operators are told of one field at
// a time.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// The checks below take a field's key and value, and return nil or a *FieldError.

// requiredText checks that a text is not empty.
func requiredText(field, text string) error {
	if text == "" {
		return newMissingFieldError(field, "any text")
	}
	return nil
}

// notEmpty checks that a list is not empty.
func notEmpty[T any](field string, list []T) error {
	if len(list) == 0 {
		return newMissingFieldError(field, "at least one")
	}
	return nil
}

// ipv4AddressWithPort checks an address such as 10.0.0.1:8080.
func ipv4AddressWithPort(field, address string) error {
	const allowed = "an IPv4 address with a port"
	if address == "" {
		return newMissingFieldError(field, allowed)
	}
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && parsed.Addr().Is4() {
		return nil
	}
	return newFieldError(field, address, allowed, "field %s: %q is no IPv4 address with a port", field, address)
}

// positive checks that an amount is above 0 and finite.
func positive(field string, amount float64) error {
	if amount > 0 && !math.IsInf(amount, 0) {
		return nil
	}
	return newFieldError(field, amount, "above 0", "field %s: must be above 0, is %v", field, amount)
}

// atLeast checks that a count is not below a minimum.
func atLeast(field string, count, minimum int) error {
	if count >= minimum {
		return nil
	}
	return newFieldError(field, count, fmt.Sprintf("at least %d", minimum), "field %s: must be at least %d, is %d", field, minimum, count)
}

// ifSet runs a check on an optional field, unless the field is missing.
func ifSet[T any](field string, value *T, check func(field string, value T) error) error {
	if value == nil {
		return nil
	}
	return check(field, *value)
}

// inRange checks that an amount is at least low and at most high. NaN is out of range.
func inRange(field string, amount, low, high float64) error {
	if amount >= low && amount <= high {
		return nil
	}
	allowed := fmt.Sprintf("%v to %v", low, high)
	return newFieldError(field, amount, allowed, "%s = %v is out of range %s", field, amount, allowed)
}
