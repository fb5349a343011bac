package jsonhttp

import (
	"bytes"
	"fmt"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// ContentType is the content type of all requests and replies that have a body.
const ContentType = "application/json"

// Request is an HTTP request. Its method is POST if it has a body, and GET otherwise.
type Request struct {
	URI     string
	Body    any           // encoded as JSON; nil: no body
	Timeout time.Duration // includes the wait for a connection and reading the reply
	// BeforeSend is called once the request has a connection, right before its first byte
	// is sent. If it returns an error, nothing is sent. Nil permits every request. It is
	// called only for a request with a body.
	BeforeSend func() error
	// Urgent requests never wait for their budget, and use Client.UrgentHost. Only Client
	// uses Urgent and Costs; the function Do ignores them.
	Urgent bool
	// Costs are taken from other budgets in addition to Client.RequestLimit. An urgent
	// request takes nothing from them.
	Costs []Cost
}

// Cost is the number of tokens that a request takes from a budget. A request whose cost is 0
// tokens still waits while the budget is overdrawn.
type Cost struct {
	Budget *rate.Limiter
	Tokens int
}

// DecodeFunc decodes a reply. It returns a MalformedError if it can't, and must not keep the
// body.
type DecodeFunc func(status int, body []byte) error

// Do sends a request, passes the reply to decode and returns the error of decode unchanged.
// It returns an UnansweredError if no reply came, and another error if the request's body
// can't be encoded.
func Do(host *fasthttp.HostClient, request Request, decode DecodeFunc) error {
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	httpRequest.Header.SetMethod(fasthttp.MethodGet)
	httpRequest.SetRequestURI(request.URI)
	httpRequest.Header.SetHost(host.Addr)
	if request.Body != nil {
		if err := setBody(httpRequest, request); err != nil {
			return err
		}
	}
	if err := host.DoTimeout(httpRequest, httpResponse, request.Timeout); err != nil {
		return &UnansweredError{Cause: err}
	}
	return decode(httpResponse.StatusCode(), httpResponse.Body())
}

// setBody makes httpRequest a POST request with the JSON of request.Body.
func setBody(httpRequest *fasthttp.Request, request Request) error {
	body, err := json.Marshal(request.Body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	httpRequest.Header.SetMethod(fasthttp.MethodPost)
	httpRequest.Header.SetContentType(ContentType)
	if request.BeforeSend == nil {
		httpRequest.SetBody(body)
		return nil
	}
	SetCheckedBody(httpRequest, body, request.BeforeSend)
	return nil
}

// checkedBody is a request body that calls beforeSend on its first Read.
type checkedBody struct {
	beforeSend func() error // nil once it was called
	body       *bytes.Reader
}

// Read implements io.Reader. On its first call the request's headers are still buffered, so
// an error at that point keeps the headers from being sent too.
func (b *checkedBody) Read(buffer []byte) (int, error) {
	if b.beforeSend != nil {
		check := b.beforeSend
		b.beforeSend = nil
		if err := check(); err != nil {
			return 0, &NotSentError{Cause: err}
		}
	}
	return b.body.Read(buffer) //nolint:wrapcheck // an io.Reader must give io.EOF itself
}

// SetCheckedBody sets a request's body and has beforeSend called once the request has a
// connection, right before its first byte is sent. If beforeSend returns an error, nothing is
// sent, and the HTTP client returns that error as a NotSentError. The HTTP client never
// retries a request with such a body.
func SetCheckedBody(httpRequest *fasthttp.Request, body []byte, beforeSend func() error) {
	httpRequest.SetBodyStream(&checkedBody{beforeSend, bytes.NewReader(body)}, len(body))
}
