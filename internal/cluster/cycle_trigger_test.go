package cluster

import (
	"testing"

	"spurmoor/internal/micros"
)

func TestCycleTrigger(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		delays []micros.Micros // of requests made at the same time
		dueIn  micros.Micros   // -1: never
	}{
		{"nothing requested", nil, -1},
		{"at once", []micros.Micros{0}, 0},
		{"later", []micros.Micros{micros.Second}, micros.Second},
		{"the earliest holds", []micros.Micros{2 * micros.Second, micros.Second, 3 * micros.Second}, micros.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newEnvironment(t)
			trigger := NewCycleTrigger(env)
			const requestedAt = 100 * micros.Second
			env.Now = requestedAt
			for _, delay := range tc.delays {
				trigger.RequestWithin(delay)
			}
			for _, after := range []micros.Micros{0, tc.dueIn - 1, tc.dueIn, 10 * micros.Second} {
				env.Now = requestedAt + after
				if got, want := trigger.Due(), tc.dueIn >= 0 && after >= tc.dueIn; got != want {
					t.Errorf("%v s after the requests: got due %t, want %t", after.Seconds(), got, want)
				}
			}
			trigger.Clear()
			if trigger.Due() {
				t.Error("after the cycle ran: got due true, want false")
			}
		})
	}
}
