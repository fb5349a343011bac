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

// Limits on the time until the reply. A lease renewal has the shorter one, so that it can be
// sent again before the lease expires.
const (
	replyTimeout   = 2500 * time.Millisecond
	renewalTimeout = 1500 * time.Millisecond
)

// pageSize is the largest number of keys on a page of a list.
const pageSize = 500

const decimal = 10

// request returns the HTTP request for a call.
func (c *Client) request(call message.StoreCall) jsonhttp.Request {
	request := jsonhttp.Request{Timeout: replyTimeout, Urgent: call.Urgent}
	switch call.Op {
	case message.OpGet:
		request.URI = "/store/" + call.Key
	case message.OpList:
		request.URI = "/store?" + listQuery(records.LivePrefix, call.Key).Encode()
	case message.OpListTerminal:
		request.URI = "/store?" + listQuery(records.TerminalPrefix, call.Key).Encode()
	case message.OpTransaction:
		transaction := call.Transaction.Body()
		request.URI = "/txn"
		request.Body = transaction
		request.Costs = []jsonhttp.Cost{{Budget: c.writeLimit, Tokens: len(transaction.Writes)}}
		request.BeforeSend = func() error { return c.checkGrant(call.Transaction.Grant(), leadership.ActionWrite) }
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

// listQuery returns the query for the page of keys with a prefix after a key, or for the first
// page if the key is empty.
func listQuery(prefix, after string) url.Values {
	query := url.Values{"Under": {prefix}, "Most": {strconv.Itoa(pageSize)}}
	if after != "" {
		query.Set("Since", after)
	}
	return query
}

// watchQuery returns the query for the changes of live keys after the call's revision.
func watchQuery(call message.StoreCall) url.Values {
	return url.Values{
		"Under":   {records.LivePrefix},
		"Since":   {strconv.FormatUint(uint64(call.Since), decimal)},
		"BlockMs": {strconv.Itoa(call.WaitMs)},
	}
}
