package cluster

// HTTP statuses of requests to the store and the cloud, and of answers to users. They have
// the names of net/http, which the state machine must not import.
const (
	statusOK                  = 200
	statusNotFound            = 404
	statusUnprocessableEntity = 422
	statusServiceUnavailable  = 503
)
