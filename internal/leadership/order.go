package leadership

// Gate reports by an error that an order must not leave now. It is asked right before
// the order's bytes are sent, since a process may be paused at any time before that.
type Gate func(grant Grant, action Action) error

// Order is a request to the outside together with the grant that it is made under.
// Only NewOrder makes one, so none is without a grant.
type Order[T any] struct {
	grant Grant
	body  T
}

// NewOrder makes an order.
func NewOrder[T any](grant Grant, body T) Order[T] { return Order[T]{grant, body} }

// Grant returns the grant that the order was made under.
func (o Order[T]) Grant() Grant { return o.grant }

// Body returns the request itself.
func (o Order[T]) Body() T { return o.body }
