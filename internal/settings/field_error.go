package settings

import (
	"fmt"
	"math"
	"net/netip"
)

// FieldError is a field of the settings that is missing or not valid.
type FieldError struct {
	Field   string // its key, after the keys of the tables that it stands in
	Value   any    // its value; nil where it is missing, or can't be read
	Allowed string // what it may hold
	Cause   error  // what reading the value failed with, or nil

	text string // what operators read
}

func (e *FieldError) Error() string { return e.text }

// Unwrap gives the error that reading the value failed with, if any.
func (e *FieldError) Unwrap() error { return e.Cause }

// invalid is the error of a field whose value is not allowed; format and
// args give the text that operators read.
func invalid(field string, value any, allowed, format string, args ...any) error {
	return &FieldError{Field: field, Value: value, Allowed: allowed, text: fmt.Sprintf(format, args...)}
}

// missing is the error of a field that must be there.
func missing(field, allowed string) error {
	return invalid(field, nil, allowed, "field %s is missing", field)
}

// firstError joins checks: operators read of the first field at fault only.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// The checks below take a field's key and value, and give nil or a *FieldError.

// present checks that a field of text is there.
func present(field, text string) error {
	if text == "" {
		return missing(field, "any text")
	}
	return nil
}

// anyGiven checks that a list is not empty.
func anyGiven[T any](field string, list []T) error {
	if len(list) == 0 {
		return missing(field, "at least one")
	}
	return nil
}

// ipv4AddressWithPort checks an address such as 10.0.0.1:8080.
func ipv4AddressWithPort(field, address string) error {
	const allowed = "an IPv4 address with a port"
	if address == "" {
		return missing(field, allowed)
	}
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && parsed.Addr().Is4() {
		return nil
	}
	return invalid(field, address, allowed, "field %s: %q is no IPv4 address with a port", field, address)
}

// positive checks that an amount is above 0 and finite.
func positive(field string, amount float64) error {
	if amount > 0 && !math.IsInf(amount, 0) {
		return nil
	}
	return invalid(field, amount, "above 0", "field %s: must be above 0, is %v", field, amount)
}

// atLeast checks that a count is not below the least one.
func atLeast(field string, count, least int) error {
	if count >= least {
		return nil
	}
	return invalid(field, count, fmt.Sprintf("at least %d", least), "field %s: must be at least %d, is %d", field, least, count)
}

// ifGiven checks a field that may be missing.
func ifGiven[T any](field string, value *T, check func(field string, value T) error) error {
	if value == nil {
		return nil
	}
	return check(field, *value)
}

// inRange checks that an amount is from low to high; NaN is not.
func inRange(field string, amount, low, high float64) error {
	if amount >= low && amount <= high {
		return nil
	}
	allowed := fmt.Sprintf("%v to %v", low, high)
	return invalid(field, amount, allowed, "%s = %v is out of range %s", field, amount, allowed)
}
