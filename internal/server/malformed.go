package server

import (
	"log/slog"
	"sync/atomic"

	"spurmoor/internal/logkey"
)

// Senders of malformed messages, as logged.
const (
	senderWorker = "worker"
	senderPeer   = "peer"
)

// malformedCounter counts and logs the messages that can't be decoded. It is safe for
// concurrent use.
type malformedCounter struct {
	log   *slog.Logger
	count atomic.Uint64
}

// report logs one malformed message, with the number of them so far.
func (c *malformedCounter) report(sender string, err error) {
	c.log.Debug("malformed message", logkey.Sender, sender, logkey.Error, err, logkey.SoFar, c.count.Add(1))
}
