package coordination

import (
	"math"
	"testing"

	"spurmoor/internal/micros"
)

// TestRefillBudget guards the budget's refill by time and rate, and its capacity.
func TestRefillBudget(t *testing.T) {
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
		{"a low rate keeps the least capacity", 5, 2, 10 * micros.Second, minBudgetCapacity, 6},
		{"no rate", 1, 0, 10 * micros.Second, minBudgetCapacity, 1},
		{"out of debt", -10, 10, 1500 * micros.Millisecond, 10, 5},
		{"a lower rate than before takes what exceeds it", 20, 10, 0, 10, 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			budget := NewWriteBudget(newTestEnvironment(t))
			budget.refilledAt, budget.Available = budget.Now, tc.available
			budget.Now += tc.after
			budget.RefillBudget(tc.rate)
			if budget.Capacity != tc.wantCapacity || budget.Available != tc.wantAvailable {
				t.Errorf("%v of %v, want %v of %v", budget.Available, budget.Capacity, tc.wantAvailable, tc.wantCapacity)
			}
		})
	}
}

// TestChargeWrites guards the bound of the debt that changes for users leave: half a
// second of the 20 changes a second that the store admits.
func TestChargeWrites(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		available float64
		changes   int
		want      float64
	}{
		{"within the budget", 6, 2, 4},
		{"into debt", 2, 5, -3},
		{"no deeper than the bound", 2, 500, -10},
	} {
		budget := NewWriteBudget(newTestEnvironment(t))
		budget.Available = tc.available
		budget.ChargeWrites(tc.changes)
		if budget.Available != tc.want {
			t.Errorf("%s: %v available, want %v", tc.name, budget.Available, tc.want)
		}
	}
}

// TestCharge guards against changes that waited for the budget and are not charged in
// full.
func TestCharge(t *testing.T) {
	t.Parallel()
	budget := NewWriteBudget(newTestEnvironment(t))
	budget.Available = 6
	budget.Charge(4)
	if budget.Available != 2 {
		t.Errorf("%v available after 4 of 6", budget.Available)
	}
}

// TestMeasureWriteRate guards the measured rate: both kinds of changes count, and it
// follows a steady rate within a few seconds.
func TestMeasureWriteRate(t *testing.T) {
	t.Parallel()
	budget := NewWriteBudget(newTestEnvironment(t))
	budget.measuredAt = budget.Now
	budget.Charge(6)
	budget.Now += micros.Second / 2
	if rate := budget.MeasureWriteRate(); rate != 0 {
		t.Errorf("measured %v a second before a second passed", rate)
	}
	budget.ChargeWrites(2)
	budget.Now += micros.Second / 2
	if rate := budget.MeasureWriteRate(); rate != 4 {
		t.Errorf("measured %v a second after the first second with 8 changes, want half of them", rate)
	}
	for range 10 {
		budget.Charge(8)
		budget.Now += micros.Second
		budget.MeasureWriteRate()
	}
	if rate := budget.MeasureWriteRate(); math.Abs(rate-8) > 0.01 {
		t.Errorf("measured %v a second at a steady 8", rate)
	}
}
