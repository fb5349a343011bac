package records

import "testing"

// TestEncodedSize compares the computed sizes of runs and machine records with their encoded
// sizes.
func TestEncodedSize(t *testing.T) {
	t.Parallel()
	for _, run := range []TaskRun{
		{Job: "wk-000001"},
		{Job: "wk-000001", First: 1},
		{Job: "wk-000001", First: 99, Tasks: 100},
		{Job: "wk-000001", State: TaskDone, Attempt: 10},
		{Job: "wk-000001", First: 12_345, Tasks: 678, State: TaskPlaced, Attempt: 1 << 40, Machine: "n-000412"},
	} {
		if got, want := run.EncodedSize(), len(MustMarshal(run))+1; got != want {
			t.Errorf("%+v: got %d bytes with its comma, want %d", run, got, want)
		}
	}
	machine := Machine{Name: "n-000412", Type: "g4", Zone: "alta", Epoch: 1}
	one, two := []Machine{machine}, []Machine{machine, machine}
	if got, want := machine.EncodedSize(), len(MustMarshal(two))-len(MustMarshal(one)); got != want {
		t.Errorf("second machine of a list: got %d bytes, want %d", got, want)
	}
}

func TestSlotKey(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		partition, slot int
		want            string
	}{
		{0, 0, "live/l/0/0000"},
		{3, 64, "live/l/3/0064"},
		{12, 12_345, "live/l/12/12345"},
	} {
		if got := SlotKey(tc.partition, tc.slot); got != tc.want {
			t.Errorf("slot %d of partition %d: got %s, want %s", tc.slot, tc.partition, got, tc.want)
		}
	}
}
