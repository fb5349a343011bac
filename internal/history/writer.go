package history

import (
	"fmt"
	"io"
	"sync"

	"github.com/go-json-experiment/json"
	"github.com/klauspost/compress/zstd"

	"spurmoor/internal/micros"
)

// Writer writes a history. It may be used by several goroutines at once. A nil *Writer
// records nothing.
type Writer struct {
	mu sync.Mutex
	// compressor is nil after a failure or Close.
	compressor *zstd.Encoder
	onFailure  func(error)
	flushedAt  micros.Micros
}

// flushInterval is the time between flushes. A process that is killed loses up to that
// much of its history.
const flushInterval = micros.Second

// NewWriter returns a Writer to a new or empty file. When an order can't be written, the
// Writer calls onFailure once, while it holds its lock, and records nothing from then on.
func NewWriter(to io.Writer, onFailure func(error)) (*Writer, error) {
	compressor, err := zstd.NewWriter(to, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	return &Writer{compressor: compressor, onFailure: onFailure}, nil
}

// Record appends an order. It does nothing after a failure or Close.
func (w *Writer) Record(order Order) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.compressor == nil {
		return
	}
	if err := w.write(order); err != nil {
		w.compressor = nil
		w.onFailure(err)
	}
}

// write appends a line. It flushes if the last flush was flushInterval ago or more, by the
// orders' times.
func (w *Writer) write(order Order) error {
	line, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	if _, err := w.compressor.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	if order.At < w.flushedAt+flushInterval {
		return nil
	}
	w.flushedAt = order.At
	if err := w.compressor.Flush(); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return nil
}

// Close writes what is still buffered. It does not close the file.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.compressor == nil {
		return nil
	}
	err := w.compressor.Close()
	w.compressor = nil
	return err //nolint:wrapcheck // the command prints this text as it is
}
