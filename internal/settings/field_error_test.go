package settings

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// TestFieldError checks that an error tells in its fields, not only in its text, which
// setting is wrong and why.
func TestFieldError(t *testing.T) {
	_, notValid := Parse([]byte(strings.Replace(validPlatform, `"lease_s":18`, `"lease_s":0`, 1)), DefaultOperators())
	_, missing := Parse([]byte(strings.Replace(validPlatform, `10.2.0.2:1`, ``, 1)), DefaultOperators())
	_, outOfRange := ParseOperators([]byte("cycle_s = 0.1"))
	_, unknown := ParseOperators([]byte("cycles = 7"))
	for _, tc := range []struct {
		err  error
		want FieldError
	}{
		{notValid, FieldError{Field: "facts.workers.lease_s", Value: 0.0, Allowed: "above 0"}},
		{missing, FieldError{Field: "endpoints.cloud", Allowed: "an IPv4 address with a port"}},
		{outOfRange, FieldError{Field: "cycle_s", Value: 0.1, Allowed: "0.5 to 60"}},
		{unknown, FieldError{Field: "cycles", Allowed: "no such key"}},
	} {
		var got *FieldError
		if !errors.As(tc.err, &got) {
			t.Errorf("got error %v, want a *FieldError", tc.err)
			continue
		}
		if got.Field != tc.want.Field || !reflect.DeepEqual(got.Value, tc.want.Value) || got.Allowed != tc.want.Allowed {
			t.Errorf("%v: got field %q, value %v, allowed %q; want %+v", got, got.Field, got.Value, got.Allowed, tc.want)
		}
	}
}

// TestFieldErrorCause checks that errors.Is finds the underlying error of a FieldError.
func TestFieldErrorCause(t *testing.T) {
	_, err := ParseOperators([]byte("[duties]\nexclusive = [\"dusting\"]"))
	var fieldError *FieldError
	if !errors.As(err, &fieldError) || fieldError.Cause == nil || !errors.Is(err, fieldError.Cause) {
		t.Errorf("got error %v without a cause, want a cause", err)
	}
}
