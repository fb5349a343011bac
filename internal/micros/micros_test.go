package micros

import (
	"math/rand/v2"
	"testing"
)

// TestConversions guards against rounding other than towards zero.
func TestConversions(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		seconds float64
		want    Micros
		whole   int64
	}{
		{0, 0, 0},
		{1.5, 1_500_000, 1},
		{-1.5, -1_500_000, -1},
		{0.000_000_9, 0, 0},
		{60, 60 * Second, 60},
	} {
		got := FromSeconds(tc.seconds)
		if got != tc.want || got.WholeSeconds() != tc.whole {
			t.Errorf("%v s: got %d, %d whole seconds; want %d, %d", tc.seconds, got, got.WholeSeconds(), tc.want, tc.whole)
		}
	}
	if span := FromMilliseconds(2500); span.Seconds() != 2.5 || span.Milliseconds() != 2500 {
		t.Errorf("2500 ms: got %v s, %d ms; want 2.5 s, 2500 ms", span.Seconds(), span.Milliseconds())
	}
}

// TestRandomStaysBelowLimit guards against a negative span or one that reaches the limit.
func TestRandomStaysBelowLimit(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		if span := Random(random, 3); span < 0 || span >= 3 {
			t.Fatalf("got %d, want 0 to 2", span)
		}
	}
}
