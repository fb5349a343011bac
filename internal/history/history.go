// Package history keeps the orders that a controller gave, or was kept from giving, and
// tells what they amount to. A history is a file of JSON lines, compressed with zstd.
package history

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"sync"

	"spurmoor/internal/micros"

	"github.com/go-json-experiment/json"
	"github.com/klauspost/compress/zstd"
)

// Order is one order as it came to the gate.
type Order struct {
	At        micros.Micros `json:"at"`
	GrantedAt micros.Micros `json:"made,omitzero"`
	Role      string        `json:"duty"`
	Term      uint64        `json:"term,omitzero"`
	Action    string        `json:"action"`
	ExpiresAt micros.Micros `json:"until,omitzero"` // when its grant ends; 0: it does not
	// Refused says why it did not leave; empty: it did.
	Refused string `json:"refused,omitzero"`
}

// Writer writes a history. A nil Writer keeps nothing.
type Writer struct {
	mu   sync.Mutex
	zip  *zstd.Encoder
	fail func(error)
	last micros.Micros // when it was flushed
}

// flushEvery is how much of a history a process that is killed may lose.
const flushEvery = micros.Second

// NewWriter makes a writer to a file that is new or empty. fail is told the first time
// that something can't be written; nothing more is kept then.
func NewWriter(to io.Writer, fail func(error)) (*Writer, error) {
	zip, err := zstd.NewWriter(to, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	return &Writer{zip: zip, fail: fail}, nil
}

// Note keeps an order.
func (w *Writer) Note(o Order) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.zip == nil {
		return
	}
	if err := w.write(o); err != nil {
		w.zip = nil
		w.fail(fmt.Errorf("history: %w", err))
	}
}

func (w *Writer) write(o Order) error {
	line, err := json.Marshal(o)
	if err != nil {
		return err
	}
	if _, err := w.zip.Write(append(line, '\n')); err != nil {
		return err
	}
	if o.At < w.last+flushEvery {
		return nil
	}
	w.last = o.At
	return w.zip.Flush()
}

// Close writes what is left.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.zip == nil {
		return nil
	}
	err := w.zip.Close()
	w.zip = nil
	return err
}

// maxLine bounds a line of a history.
const maxLine = 1 << 16

// Read reads a history and hands each order to take. The last lines of a process that
// was killed may be missing: cut tells that the file ends in the middle.
func Read(from io.Reader, take func(Order)) (cut bool, err error) {
	zip, err := zstd.NewReader(from, zstd.WithDecoderConcurrency(1))
	if err != nil {
		return false, fmt.Errorf("history: %w", err)
	}
	defer zip.Close()
	lines := bufio.NewScanner(zip)
	lines.Buffer(nil, maxLine)
	for n := 1; lines.Scan(); n++ {
		var o Order
		if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
			return false, fmt.Errorf("history: line %d: %w", n, err)
		}
		take(o)
	}
	switch err := lines.Err(); {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return true, nil
	case err != nil:
		return false, fmt.Errorf("history: %w", err)
	}
	return false, nil
}
