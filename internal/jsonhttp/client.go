package jsonhttp

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// Client sends requests to one service, within its budgets. Its fields must not change once
// it is in use.
type Client struct {
	// Service names the service in the log.
	Service string
	Host    *fasthttp.HostClient
	// UrgentHost has connections of its own for urgent requests; nil where none is urgent.
	UrgentHost *fasthttp.HostClient
	// RequestLimit is the budget that each request takes one token from.
	RequestLimit *rate.Limiter
	// BudgetWait is how long a request may wait for all its budgets together.
	BudgetWait time.Duration
	// OnMalformed is called with every reply that can't be read.
	OnMalformed func(service string, err error)
}

// Do makes a request once its budget allows it, and hands the reply to read. Beside the
// errors of the function Do it returns ErrBudgetExhausted. ctx bounds the wait for the
// budget alone. An error of read, or of encoding the body, is reported to OnMalformed too.
func (c *Client) Do(ctx context.Context, request Request, read ReadFunc) error {
	if err := c.awaitBudget(ctx, request); err != nil {
		return err
	}
	host := c.Host
	if request.Urgent {
		host = c.UrgentHost
	}
	err := Do(host, request, read)
	var unanswered *UnansweredError
	if err != nil && !errors.As(err, &unanswered) {
		c.ReportMalformed(err)
	}
	return err
}

// ReportMalformed reports a reply that can't be read.
func (c *Client) ReportMalformed(err error) { c.OnMalformed(c.Service, err) }

// awaitBudget waits until a request may be made. Urgent ones are counted and never wait.
func (c *Client) awaitBudget(ctx context.Context, request Request) error {
	if request.Urgent {
		c.RequestLimit.Allow()
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.BudgetWait)
	defer cancel()
	if err := c.RequestLimit.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrBudgetExhausted, err)
	}
	for _, cost := range request.Costs {
		if err := cost.Budget.WaitN(ctx, cost.Tokens); err != nil {
			return fmt.Errorf("%w: %w", ErrBudgetExhausted, err)
		}
	}
	return nil
}
