package store

import (
	"net/url"
	"strconv"
	"time"

	"spurmoor/internal/api"
	"spurmoor/internal/jsonhttp"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/records"
)

// Time for a reply: a renewal that takes longer is sent again while the lease holds.
const (
	replyTimeout   = 2500 * time.Millisecond
	renewalTimeout = 1500 * time.Millisecond
)

// pageSize is how many keys are listed at a time.
const pageSize = 500

const decimal = 10

// request gives the HTTP request of a call.
func (c *Client) request(call message.StoreCall) jsonhttp.Request {
	request := jsonhttp.Request{Timeout: replyTimeout, Urgent: call.Urgent}
	switch call.Op {
	case message.OpGet:
		request.URI = "/store/" + call.Key
	case message.OpList:
		request.URI = "/store?" + listQuery(call).Encode()
	case message.OpTransaction:
		transaction := call.Transaction.Body()
		request.URI = "/txn"
		request.Body = transaction
		request.Costs = []jsonhttp.Cost{{Budget: c.writeLimit, Tokens: len(transaction.Writes)}}
		request.BeforeSend = func() error { return c.gate(call.Transaction.Grant(), leadership.Write) }
	case message.OpGrantLease:
		request.URI = "/holds"
		request.Body = api.LeaseRequest{TTLMs: call.TTLMs}
	case message.OpRenewLease:
		request.URI = "/holds/" + strconv.FormatUint(call.LeaseID, decimal) + "/extend"
		request.Body = struct{}{}
		request.Timeout = renewalTimeout
	case message.OpWatch:
		request.URI = "/follow?" + watchQuery(call).Encode()
		request.Timeout += time.Duration(call.WaitMs) * time.Millisecond
	}
	return request
}

// listQuery asks for the page of live keys after the call's key.
func listQuery(call message.StoreCall) url.Values {
	query := url.Values{"Under": {records.LivePrefix}, "Most": {strconv.Itoa(pageSize)}}
	if call.Key != "" {
		query.Set("Since", call.Key)
	}
	return query
}

// watchQuery asks for the changes of live keys after the call's revision.
func watchQuery(call message.StoreCall) url.Values {
	return url.Values{
		"Under":   {records.LivePrefix},
		"Since":   {strconv.FormatUint(uint64(call.Since), decimal)},
		"BlockMs": {strconv.Itoa(call.WaitMs)},
	}
}
