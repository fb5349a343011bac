package api

// Explanation is the answer to GET /why/ID. It says why a job waits and when it is expected
// to be done. It is not part of the protocol; job owners and operators use it.
type Explanation struct {
	ID          string   `json:"id"`
	State       JobState `json:"state"`
	Leader      string   `json:"holder,omitempty"` // the controller that schedules the job
	Reason      string   `json:"why,omitempty"`    // why the job waits
	WaitedS     float64  `json:"since_submission_s"`
	ExpectedInS float64  `json:"done_in_s,omitzero"`  // expected time from now to the job's end
	EarliestS   float64  `json:"earliest_s,omitzero"` // lower bound of ExpectedInS
	LatestS     float64  `json:"latest_s,omitzero"`   // upper bound of ExpectedInS
	// WaitsFor lists the job's dependencies that are in no terminal state yet.
	WaitsFor []string `json:"waits_for,omitzero"`
	// DeadlineInS is the time from now to the deadline of a job that has one, negative once
	// the deadline has passed.
	DeadlineInS float64 `json:"deadline_in_s,omitzero"`
	// InTime says whether the job, with all that it depends on, is expected to be done by
	// the deadline.
	InTime string `json:"in_time,omitzero"`
}

// Values of Explanation.InTime.
const (
	InTimeYes     = "yes"     // even by the latest estimate
	InTimePerhaps = "perhaps" // the deadline is between the earliest and the latest estimate
	InTimeNo      = "no"      // not even by the earliest estimate
)

// Roles is the answer to GET /duties: the roles as one controller knows them. It is not part
// of the protocol.
type Roles struct {
	Node string `json:"node"` // the controller that answers
	// Exclusive is true if the fleet's roles that the settings name have one leader each.
	Exclusive bool `json:"one_holder"`
	// RecordsMachineRequests is true if requests for machines are recorded before they are
	// sent.
	RecordsMachineRequests bool         `json:"records_rentals"`
	Roles                  []RoleStatus `json:"duties"`
	// RefusedOrders counts the orders under no exclusive role that this process refused to
	// send, by action and reason.
	RefusedOrders map[string]int `json:"orders_refused,omitzero"`
}

// RoleStatus is the status of one role, as the controller that answers knows it.
type RoleStatus struct {
	Role   string  `json:"duty"`
	Leader string  `json:"holder,omitzero"`
	Term   uint64  `json:"term,omitzero"`
	SinceS float64 `json:"since_s,omitzero"` // time since the controller learnt of the term
	// RemainingS is how long the leader's grants are still valid; nil: the controller that
	// answers is not the leader, who alone knows.
	RemainingS *float64 `json:"remaining_s,omitzero"`
	// RefusedOrders counts the orders under the role that this process refused to send, by
	// action and reason.
	RefusedOrders map[string]int `json:"orders_refused,omitzero"`
}
