package core

// HTTP statuses. This package does no input or output and therefore may not import
// net/http, which names them for the rest of the program.
const (
	statusOK                  = 200
	statusCreated             = 201
	statusBadRequest          = 400
	statusNotFound            = 404
	statusConflict            = 409
	statusMisdirectedRequest  = 421
	statusUnprocessableEntity = 422
	statusTooManyRequests     = 429
	statusServiceUnavailable  = 503
)
