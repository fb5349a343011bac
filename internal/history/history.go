// Package history records the orders that a controller sent, or was kept from sending, and
// sums them up. A history is a file of JSON lines, compressed with zstd.
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

// Order is one order as it came to the gate.
type Order struct {
	At        micros.Micros `json:"at"`
	GrantedAt micros.Micros `json:"made,omitzero"`
	Role      string        `json:"duty"`
	Term      uint64        `json:"term,omitzero"`
	Action    string        `json:"action"`
	// ExpiresAt is when its grant ends; 0: it does not.
	ExpiresAt micros.Micros `json:"until,omitzero"`
	// Refused says why it did not leave; empty: it did.
	Refused string `json:"refused,omitzero"`
}

// maxLine bounds a line of a history, in bytes.
const maxLine = 1 << 16

// Read reads a history and hands each order to take. The last lines of a process that
// was killed may be missing: cut tells that the file ends in the middle. Anything else that
// can't be read is an error.
func Read(from io.Reader, take func(Order)) (cut bool, err error) {
	decompressor, err := zstd.NewReader(from, zstd.WithDecoderConcurrency(1))
	if err != nil {
		return false, fmt.Errorf("history: %w", err)
	}
	defer decompressor.Close()
	lines := bufio.NewScanner(decompressor)
	lines.Buffer(nil, maxLine)
	for number := 1; lines.Scan(); number++ {
		var order Order
		if err := json.Unmarshal(lines.Bytes(), &order); err != nil {
			return false, fmt.Errorf("history: line %d: %w", number, err)
		}
		take(order)
	}
	switch err := lines.Err(); {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return true, nil
	case err != nil:
		return false, fmt.Errorf("history: %w", err)
	}
	return false, nil
}
