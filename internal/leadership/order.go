package leadership

// GrantCheck checks whether an order may be sent now, and returns an error if not. It is called
// right before the order's bytes are sent, because the process may be paused at any time
// before that and the grant may expire meanwhile.
type GrantCheck func(grant Grant, action Action) error

// Order is a request to another system together with the grant that permits it. Other
// packages can set the grant only through NewOrder. The zero Order has the zero Grant, which
// permits nothing.
type Order[T any] struct {
	grant Grant
	body  T
}

// NewOrder returns an order with a request as its body. The grant is not checked yet.
func NewOrder[T any](grant Grant, body T) Order[T] { return Order[T]{grant, body} }

// Grant returns the grant that the order was created with.
func (o Order[T]) Grant() Grant { return o.grant }

// Body returns the request.
func (o Order[T]) Body() T { return o.body }
