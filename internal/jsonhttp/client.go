package jsonhttp

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// Client sends requests to one service, within its budgets. It is safe for concurrent use.
// Its fields must not change once it is in use.
type Client struct {
	// Service is the service's name in the log.
	Service string
	Host    *fasthttp.HostClient
	// UrgentHost has connections of its own for urgent requests. It may be nil if no
	// request is urgent.
	UrgentHost *fasthttp.HostClient
	// RequestLimit is the budget from which each request takes one token.
	RequestLimit *rate.Limiter
	// BudgetTimeout is how long a request may wait for all its budgets together.
	BudgetTimeout time.Duration
	// OnMalformed is called for each reply that can't be decoded.
	OnMalformed func(service string, err error)
}

// Do waits until the budgets allow a request, sends it and passes the reply to decode. It
// returns ErrBudgetExhausted if the budgets don't allow the request in time, and otherwise
// what the function Do returns. ctx bounds only the wait for the budgets. An error of decode
// or of encoding the request's body is also reported to OnMalformed.
func (c *Client) Do(ctx context.Context, request Request, decode DecodeFunc) error {
	if err := c.awaitBudget(ctx, request); err != nil {
		return err
	}
	host := c.Host
	if request.Urgent {
		host = c.UrgentHost
	}
	err := Do(host, request, decode)
	var unanswered *UnansweredError
	if err != nil && !errors.As(err, &unanswered) {
		c.ReportMalformed(err)
	}
	return err
}

// ReportMalformed calls OnMalformed for a reply that can't be decoded.
func (c *Client) ReportMalformed(err error) { c.OnMalformed(c.Service, err) }

// awaitBudget waits until the budgets allow a request. An urgent request takes a token from
// RequestLimit if there is one, and never waits.
func (c *Client) awaitBudget(ctx context.Context, request Request) error {
	if request.Urgent {
		c.RequestLimit.Allow()
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.BudgetTimeout)
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
