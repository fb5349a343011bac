package coordination

import (
	"math"
	"testing"

	"spurmoor/internal/micros"
)

// TestRefill guards against a budget that does not grow by rate and time, or that grows beyond
// its capacity.
func TestRefill(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name                        string
		available, rate             float64
		after                       micros.Micros
		wantCapacity, wantAvailable float64
	}{
		{"half a second", 0, 10, micros.Second / 2, 10, 5},
		{"no time", 3, 10, 0, 10, 3},
		{"up to its capacity", 8, 10, micros.Second, 10, 10},
		{"long after", 0, 10, 3600 * micros.Second, 10, 10},
		{"a low rate keeps the least capacity", 5, 2, 10 * micros.Second, minCapacityWrites, 6},
		{"no rate", 1, 0, 10 * micros.Second, minCapacityWrites, 1},
		{"out of debt", -10, 10, 1500 * micros.Millisecond, 10, 5},
		{"a lower rate than before takes what exceeds it", 20, 10, 0, 10, 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			budget := NewWriteBudget(newTestEnvironment(t))
			budget.refilledAt, budget.Available = budget.Now, tc.available
			budget.Now += tc.after
			budget.Refill(tc.rate)
			if budget.Capacity != tc.wantCapacity || budget.Available != tc.wantAvailable {
				t.Errorf("got %v available of %v, want %v of %v", budget.Available, budget.Capacity, tc.wantAvailable, tc.wantCapacity)
			}
		})
	}
}

// TestChargeUnthrottled guards against an unlimited debt from unthrottled writes. The limit is
// half a second of the store's 20 writes per second.
func TestChargeUnthrottled(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		available float64
		writes    int
		want      float64
	}{
		{"within the budget", 6, 2, 4},
		{"into debt", 2, 5, -3},
		{"no deeper than the bound", 2, 500, -10},
	} {
		budget := NewWriteBudget(newTestEnvironment(t))
		budget.Available = tc.available
		budget.ChargeUnthrottled(tc.writes)
		if budget.Available != tc.want {
			t.Errorf("%s: got %v available, want %v", tc.name, budget.Available, tc.want)
		}
	}
}

// TestCharge guards against writes that waited for the budget and are not charged in full.
func TestCharge(t *testing.T) {
	t.Parallel()
	budget := NewWriteBudget(newTestEnvironment(t))
	budget.Available = 6
	budget.Charge(4)
	if budget.Available != 2 {
		t.Errorf("got %v available after 4 of 6 writes, want 2", budget.Available)
	}
}

// TestMeasureWriteRate guards against a write rate that leaves out throttled or unthrottled
// writes, or that does not approach a steady rate within a few seconds.
func TestMeasureWriteRate(t *testing.T) {
	t.Parallel()
	budget := NewWriteBudget(newTestEnvironment(t))
	budget.measuredAt = budget.Now
	budget.Charge(6)
	budget.Now += micros.Second / 2
	if rate := budget.MeasureWriteRate(); rate != 0 {
		t.Errorf("got %v writes per second before a second passed, want 0", rate)
	}
	budget.ChargeUnthrottled(2)
	budget.Now += micros.Second / 2
	if rate := budget.MeasureWriteRate(); rate != 4 {
		t.Errorf("got %v writes per second after a first second with 8 writes, want 4", rate)
	}
	for range 10 {
		budget.Charge(8)
		budget.Now += micros.Second
		budget.MeasureWriteRate()
	}
	if rate := budget.MeasureWriteRate(); math.Abs(rate-8) > 0.01 {
		t.Errorf("got %v writes per second at a steady 8, want about 8", rate)
	}
}
