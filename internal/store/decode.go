package store

import (
	"errors"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"

	"spurmoor/internal/api"
	"spurmoor/internal/jsonhttp"
	"spurmoor/internal/message"
)

// errMissingRevisionOrLease reports that the reply to a transaction has no revision, or the
// reply to a lease grant no lease number.
var errMissingRevisionOrLease = errors.New("reply with status 200 lacks its revision or lease")

// decode decodes an HTTP reply. It sets the status last: a reply that can't be decoded counts
// as no reply, so that the outcome of the call stays unknown.
func decode(operation message.StoreOp, status int, body []byte, reply *message.StoreReply) error {
	var lease api.LeaseResponse
	if target := decodeTarget(operation, status, reply, &lease); target != nil {
		if err := json.Unmarshal(body, target); err != nil {
			return &jsonhttp.MalformedError{Cause: err}
		}
	}
	reply.LeaseID = lease.Lease
	if status == fasthttp.StatusOK && lacksRevisionOrLease(operation, reply) {
		return &jsonhttp.MalformedError{Cause: errMissingRevisionOrLease}
	}
	reply.Status = status
	return nil
}

// lacksRevisionOrLease reports whether the reply to a successful call lacks the number that
// the store must return. Without this check an empty body would count as success.
func lacksRevisionOrLease(operation message.StoreOp, reply *message.StoreReply) bool {
	switch operation {
	case message.OpTransaction:
		return reply.Transaction.Revision == 0
	case message.OpGrantLease:
		return reply.LeaseID == 0
	default:
		return false
	}
}

// decodeTarget returns what the body of a reply is decoded into. Nil means that the body is
// ignored.
func decodeTarget(operation message.StoreOp, status int, reply *message.StoreReply, lease *api.LeaseResponse) any {
	refused := status == fasthttp.StatusConflict || status == fasthttp.StatusBadRequest
	if operation == message.OpTransaction && refused {
		return &reply.Transaction
	}
	if status != fasthttp.StatusOK {
		return nil
	}
	switch operation {
	case message.OpTransaction:
		return &reply.Transaction
	case message.OpGet:
		return &reply.Item
	case message.OpList, message.OpListTerminal:
		return &reply.Page
	case message.OpGrantLease:
		return lease
	case message.OpWatch:
		return &reply.Watch
	default:
		return nil
	}
}
