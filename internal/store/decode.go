package store

import (
	"errors"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"

	"spurmoor/internal/api"
	"spurmoor/internal/jsonhttp"
	"spurmoor/internal/message"
)

// errMissingNumber says that a transaction was answered without its revision, or the grant
// of a lease without the lease's number.
var errMissingNumber = errors.New("an answer of 200 without its number")

// decode reads an HTTP reply. The status is set last: a reply that can't be read counts as
// none, so that the outcome of the call stays unknown.
func decode(operation message.StoreOp, status int, body []byte, reply *message.StoreReply) error {
	var lease api.LeaseResponse
	if target := decodeTarget(operation, status, reply, &lease); target != nil {
		if err := json.Unmarshal(body, target); err != nil {
			return &jsonhttp.MalformedError{Cause: err}
		}
	}
	reply.LeaseID = lease.Lease
	if status == fasthttp.StatusOK && lacksNumber(operation, reply) {
		return &jsonhttp.MalformedError{Cause: errMissingNumber}
	}
	reply.Status = status
	return nil
}

// lacksNumber tells whether the reply to a call that was carried out lacks the number that
// the store must have given: an empty body would pass for success otherwise.
func lacksNumber(operation message.StoreOp, reply *message.StoreReply) bool {
	switch operation {
	case message.OpTransaction:
		return reply.Transaction.Revision == 0
	case message.OpGrantLease:
		return reply.LeaseID == 0
	default:
		return false
	}
}

// decodeTarget is what the body of a call's reply is read into; nil: it is not looked at.
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
	case message.OpList:
		return &reply.Page
	case message.OpGrantLease:
		return lease
	case message.OpWatch:
		return &reply.Watch
	default:
		return nil
	}
}
