package history

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"spurmoor/internal/micros"
)

// orders is a history in which one controller is replaced by another.
var orders = []Order{
	{At: 1_000_000, GrantedAt: 999_000, Role: "partition/0", Term: 7, Action: "rent", ExpiresAt: 6_000_000},
	{At: 2_500_000, GrantedAt: 2_490_000, Role: "partition/0", Term: 7, Action: "write", ExpiresAt: 6_000_000},
	{At: 9_000_000, GrantedAt: 2_500_000, Role: "partition/0", Term: 7, Action: "rent", ExpiresAt: 6_000_000, Refused: "expired"},
	{At: 9_100_000, GrantedAt: 9_099_000, Role: "partition/0", Term: 12, Action: "command", ExpiresAt: 20_000_000},
}

// newTestWriter makes a writer whose failure fails the test.
func newTestWriter(t *testing.T, to *bytes.Buffer) *Writer {
	t.Helper()
	writer, err := NewWriter(to, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	return writer
}

// TestHistory writes a history and reads it back.
func TestHistory(t *testing.T) {
	var file bytes.Buffer
	writer := newTestWriter(t, &file)
	for _, order := range orders {
		writer.Record(order)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	var got []Order
	cut, err := Read(bytes.NewReader(file.Bytes()), func(order Order) { got = append(got, order) })
	if err != nil || cut || len(got) != len(orders) || got[2] != orders[2] {
		t.Fatalf("read %v, cut %t, %v", got, cut, err)
	}
	summary := NewSummary()
	for _, order := range got {
		summary.Add(order)
	}
	var out strings.Builder
	if err := summary.Print(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"partition/0  7     0.000  1.500  rent: 1; write: 1  rent, expired: 1",
		"partition/0  12    8.100  8.100  command: 1",
		"n=3",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
}

// TestCutHistory guards against a history that can't be read because its process was
// killed, and against one of something else that passes for a history.
func TestCutHistory(t *testing.T) {
	var file bytes.Buffer
	writer := newTestWriter(t, &file)
	for i := range 2000 {
		order := orders[0]
		order.At += micros.Micros(i) * 10 * micros.Millisecond
		writer.Record(order)
	}
	count := 0
	cut, err := Read(bytes.NewReader(file.Bytes()), func(Order) { count++ }) // it was never closed
	if err != nil || !cut || count < 1800 {
		t.Errorf("read %d orders, cut %t, %v", count, cut, err)
	}
	if _, err := Read(strings.NewReader("not a history"), func(Order) {}); err == nil {
		t.Error("a foreign file passes for a history")
	}
}

// fullDisk is a file on a disk without space.
type fullDisk struct{}

func (fullDisk) Write([]byte) (int, error) { return 0, errors.New("no space left") }

// TestFullDisk guards against a controller that stops, or fills its log, because its
// history can't be written.
func TestFullDisk(t *testing.T) {
	failures := 0
	writer, err := NewWriter(fullDisk{}, func(error) { failures++ })
	if err != nil {
		t.Fatal(err)
	}
	for i := range 50 {
		order := orders[0]
		order.At += micros.Micros(i) * flushInterval
		writer.Record(order)
	}
	if failures != 1 {
		t.Errorf("told of the failure %d times", failures)
	}
	var none *Writer
	none.Record(orders[0]) // records nothing, and is no error
	if none.Close() != nil {
		t.Error("a writer that records nothing does not close")
	}
}
