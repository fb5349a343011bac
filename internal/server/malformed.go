package server

import (
	"log/slog"
	"sync/atomic"

	"spurmoor/internal/logkey"
)

// Senders of malformed messages, as the log names them.
const (
	senderWorker = "worker"
	senderPeer   = "peer"
)

// malformedCounter counts and logs the messages that can't be read.
type malformedCounter struct {
	log   *slog.Logger
	count atomic.Uint64
}

// report logs one, and how many there were so far.
func (c *malformedCounter) report(sender string, err error) {
	c.log.Debug("unreadable message", logkey.Sender, sender, logkey.Error, err, logkey.SoFar, c.count.Add(1))
}
