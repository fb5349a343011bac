// Package history records the orders that a controller sent or refused to send, and
// summarizes them. A history is a file of JSON lines, compressed with zstd.
package history

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/go-json-experiment/json"
	"github.com/klauspost/compress/zstd"

	"spurmoor/internal/micros"
)

// Order is one order, recorded when its grant was checked right before sending it.
type Order struct {
	At        micros.Micros `json:"at"`
	GrantedAt micros.Micros `json:"made,omitzero"`
	Role      string        `json:"duty"`
	Term      uint64        `json:"term,omitzero"`
	Action    string        `json:"action"`
	// ExpiresAt is when the grant ends; 0 means that it does not.
	ExpiresAt micros.Micros `json:"until,omitzero"`
	// RefusalReason says why the order was not sent; it is empty if it was sent.
	RefusalReason string `json:"refused,omitzero"`
}

// maxLineBytes is the maximum length of a line. Read fails on a longer one.
const maxLineBytes = 1 << 16

// Read reads a history and calls handle for each order. truncated reports whether the
// history ends in the middle, as it does if its process was killed or still runs: the last
// orders may then be missing. Anything else that can't be read is an error.
func Read(source io.Reader, handle func(Order)) (truncated bool, err error) {
	decompressor, err := zstd.NewReader(source, zstd.WithDecoderConcurrency(1))
	if err != nil {
		return false, fmt.Errorf("history: %w", err)
	}
	defer decompressor.Close()
	lines := bufio.NewScanner(decompressor)
	lines.Buffer(nil, maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		var order Order
		if err := json.Unmarshal(lines.Bytes(), &order); err != nil {
			return false, fmt.Errorf("history: line %d: %w", number, err)
		}
		handle(order)
	}
	switch err := lines.Err(); {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return true, nil
	case err != nil:
		return false, fmt.Errorf("history: %w", err)
	}
	return false, nil
}
