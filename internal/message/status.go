package message

// Statuses of replies and answers. They are HTTP's, under the names that net/http gives
// them; net/http itself does input and output, so the state machine must not import it.
const (
	// StatusNoReply means that no reply came: whether the request was carried out is
	// unknown, unless the reply is marked as unsent.
	StatusNoReply = 0

	StatusOK                  = 200
	StatusCreated             = 201
	StatusBadRequest          = 400
	StatusNotFound            = 404
	StatusConflict            = 409
	StatusGone                = 410
	StatusMisdirectedRequest  = 421
	StatusUnprocessableEntity = 422
	StatusTooManyRequests     = 429
	StatusInternalServerError = 500
	StatusServiceUnavailable  = 503
)
