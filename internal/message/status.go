package message

// Statuses of replies and answers. They are HTTP statuses and have the same names as in
// net/http. The state machine must not import net/http, because that package does I/O.
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
