package history

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"spurmoor/internal/micros"
)

// sampleOrders is a history in which one controller is replaced by another.
var sampleOrders = []Order{
	{At: 1_000_000, GrantedAt: 999_000, Role: "partition/0", Term: 7, Action: "rent", ExpiresAt: 6_000_000},
	{At: 2_500_000, GrantedAt: 2_490_000, Role: "partition/0", Term: 7, Action: "write", ExpiresAt: 6_000_000},
	{At: 9_000_000, GrantedAt: 2_500_000, Role: "partition/0", Term: 7, Action: "rent", ExpiresAt: 6_000_000, RefusalReason: "expired"},
	{At: 9_100_000, GrantedAt: 9_099_000, Role: "partition/0", Term: 12, Action: "command", ExpiresAt: 20_000_000},
}

// newTestWriter returns a Writer whose failure fails the test.
func newTestWriter(t *testing.T, to *bytes.Buffer) *Writer {
	t.Helper()
	writer, err := NewWriter(to, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	return writer
}

// TestHistory writes a history, reads it back and summarizes it.
func TestHistory(t *testing.T) {
	var file bytes.Buffer
	writer := newTestWriter(t, &file)
	for _, order := range sampleOrders {
		writer.Record(order)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	var got []Order
	truncated, err := Read(bytes.NewReader(file.Bytes()), func(order Order) { got = append(got, order) })
	if err != nil || truncated || len(got) != len(sampleOrders) || got[2] != sampleOrders[2] {
		t.Fatalf("got %v, truncated %t, error %v; want %v, false, no error", got, truncated, err, sampleOrders)
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
			t.Errorf("want %q in the summary, got\n%s", want, out.String())
		}
	}
}

// TestTruncatedHistory guards against a history that can't be read because its process was
// killed, and against another kind of file that is taken for a history.
func TestTruncatedHistory(t *testing.T) {
	var file bytes.Buffer
	writer := newTestWriter(t, &file)
	for i := range 2000 {
		order := sampleOrders[0]
		order.At += micros.Micros(i) * 10 * micros.Millisecond
		writer.Record(order)
	}
	count := 0
	truncated, err := Read(bytes.NewReader(file.Bytes()), func(Order) { count++ }) // it was never closed
	if err != nil || !truncated || count < 1800 {
		t.Errorf("got %d orders, truncated %t, error %v; want 1800 or more, truncated, no error", count, truncated, err)
	}
	if _, err := Read(strings.NewReader("not a history"), func(Order) {}); err == nil {
		t.Error("got no error for a file that is no history, want one")
	}
}

// fullDisk is a file on a disk without space.
type fullDisk struct{}

func (fullDisk) Write([]byte) (int, error) { return 0, errors.New("no space left") }

// TestFullDisk guards against a controller that stops because its history can't be
// written, or that fills its log with the failure.
func TestFullDisk(t *testing.T) {
	failures := 0
	writer, err := NewWriter(fullDisk{}, func(error) { failures++ })
	if err != nil {
		t.Fatal(err)
	}
	for i := range 50 {
		order := sampleOrders[0]
		order.At += micros.Micros(i) * flushInterval
		writer.Record(order)
	}
	if failures != 1 {
		t.Errorf("got %d calls of onFailure, want 1", failures)
	}
	var nilWriter *Writer
	nilWriter.Record(sampleOrders[0]) // does nothing
	if nilWriter.Close() != nil {
		t.Errorf("got error %v from closing a nil Writer, want none", nilWriter.Close())
	}
}
