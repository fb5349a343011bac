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

// TestHistory writes a history and reads it back.
func TestHistory(t *testing.T) {
	var file bytes.Buffer
	w, err := NewWriter(&file, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range orders {
		w.Note(o)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	whole := file.Bytes()
	var got []Order
	cut, err := Read(bytes.NewReader(whole), func(o Order) { got = append(got, o) })
	if err != nil || cut || len(got) != len(orders) || got[2] != orders[2] {
		t.Fatalf("read %v, cut %t, %v", got, cut, err)
	}
	sum := NewSummary()
	for _, o := range got {
		sum.Add(o)
	}
	var out strings.Builder
	if err := sum.Print(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"partition/0  7     0.000  1.500  rent: 1; write: 1  rent, expired: 1", "partition/0  12    8.100  8.100  command: 1", "n=3"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
}

// TestCutHistory guards against a history that can't be read because its process was
// killed, and against one of something else that passes for a history.
func TestCutHistory(t *testing.T) {
	var file bytes.Buffer
	w, err := NewWriter(&file, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2000 {
		o := orders[0]
		o.At += micros.Micros(i) * 10 * micros.Millisecond
		w.Note(o)
	}
	n := 0
	cut, err := Read(bytes.NewReader(file.Bytes()), func(Order) { n++ }) // it was never closed
	if err != nil || !cut || n < 1800 {
		t.Errorf("read %d orders, cut %t, %v", n, cut, err)
	}
	if _, err := Read(strings.NewReader("not a history"), func(Order) {}); err == nil {
		t.Error("a foreign file passes for a history")
	}
}

// full is a file on a full disk.
type full struct{}

func (full) Write([]byte) (int, error) { return 0, errors.New("no space left") }

// TestFullDisk guards against a controller that stops, or fills its log, because its
// history can't be written.
func TestFullDisk(t *testing.T) {
	told := 0
	w, err := NewWriter(full{}, func(error) { told++ })
	if err != nil {
		t.Fatal(err)
	}
	for i := range 50 {
		o := orders[0]
		o.At += micros.Micros(i) * flushEvery
		w.Note(o)
	}
	if told != 1 {
		t.Errorf("told of the failure %d times", told)
	}
	var none *Writer
	none.Note(orders[0]) // keeps nothing, and is no error
	if none.Close() != nil {
		t.Error("a writer that keeps nothing does not close")
	}
}
