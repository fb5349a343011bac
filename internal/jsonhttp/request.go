package jsonhttp

import (
	"bytes"
	"fmt"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// ContentType is the content type of every request and reply with a body.
const ContentType = "application/json"

// Request is a request: GET, or POST where it has a body.
type Request struct {
	URI     string
	Body    any
	Timeout time.Duration // from the wait for a connection to the end of the reply
	// BeforeSend is called once the request has its connection, right before its bytes
	// leave; an error keeps it from leaving. Nil: it may always leave. It is only used
	// with a body.
	BeforeSend func() error
	// Urgent requests never wait for their budget, and use Client.UrgentHost. Urgent and
	// Costs are for a Client; the function Do passes them over.
	Urgent bool
	// Costs are the budgets that the request takes from beside Client.RequestLimit; an
	// urgent one takes nothing from them.
	Costs []Cost
}

// Cost is what a request takes from a budget. Even of no tokens it waits while the budget
// is overdrawn.
type Cost struct {
	Budget *rate.Limiter
	Tokens int
}

// ReadFunc takes a reply's status and body, and returns a MalformedError where it can't
// read them. It must not keep the body.
type ReadFunc func(status int, body []byte) error

// Do makes a request and hands the reply to read, whose error it returns as it is. Its
// own errors are UnansweredError where no reply came, and one of encoding the body.
func Do(host *fasthttp.HostClient, request Request, read ReadFunc) error {
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
	return read(httpResponse.StatusCode(), httpResponse.Body())
}

// setBody makes a POST of a request, with its body in JSON.
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

// checkedBody is a request body that is checked once before it is read.
type checkedBody struct {
	beforeSend func() error // nil once it was called
	body       *bytes.Reader
}

// Read is io.Reader's. On its first call the request's headers are still buffered, so
// an error then keeps the whole request from leaving.
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

// SetCheckedBody gives a request a body that leaves only if beforeSend allows it then;
// its error comes back as a NotSentError. A request with such a body is never sent twice.
func SetCheckedBody(httpRequest *fasthttp.Request, body []byte, beforeSend func() error) {
	httpRequest.SetBodyStream(&checkedBody{beforeSend, bytes.NewReader(body)}, len(body))
}
