package message

import (
	"net/http"
	"testing"
)

// TestStatusesMatchHTTP checks that the statuses have the same values as in net/http.
func TestStatusesMatchHTTP(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		got, want int
	}{
		{"OK", StatusOK, http.StatusOK},
		{"Created", StatusCreated, http.StatusCreated},
		{"BadRequest", StatusBadRequest, http.StatusBadRequest},
		{"NotFound", StatusNotFound, http.StatusNotFound},
		{"Conflict", StatusConflict, http.StatusConflict},
		{"Gone", StatusGone, http.StatusGone},
		{"MisdirectedRequest", StatusMisdirectedRequest, http.StatusMisdirectedRequest},
		{"UnprocessableEntity", StatusUnprocessableEntity, http.StatusUnprocessableEntity},
		{"TooManyRequests", StatusTooManyRequests, http.StatusTooManyRequests},
		{"InternalServerError", StatusInternalServerError, http.StatusInternalServerError},
		{"ServiceUnavailable", StatusServiceUnavailable, http.StatusServiceUnavailable},
	} {
		if tc.got != tc.want {
			t.Errorf("Status%s: got %d, want %d", tc.name, tc.got, tc.want)
		}
	}
}
