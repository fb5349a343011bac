package api

// Explanation answers GET /why/ID: why a job waits and when it should be done. It is
// no part of PROTOCOL; job owners and operators use it.
type Explanation struct {
	ID          string   `json:"id"`
	State       JobState `json:"state"`
	Leader      string   `json:"holder,omitempty"` // the controller that plans it
	Reason      string   `json:"why,omitempty"`
	WaitedS     float64  `json:"since_submission_s"`
	ExpectedInS float64  `json:"done_in_s,omitzero"` // from now to the job's end, as expected
	EarliestS   float64  `json:"earliest_s,omitzero"`
	LatestS     float64  `json:"latest_s,omitzero"`
	// WaitsFor are those of the job's dependencies that are in no terminal state yet.
	WaitsFor []string `json:"waits_for,omitzero"`
	// DeadlineInS is how far off the deadline is, of a job that has one.
	DeadlineInS float64 `json:"deadline_in_s,omitzero"`
	// InTime tells whether the job, with all that it depends on, should be done by the
	// deadline.
	InTime string `json:"in_time,omitzero"`
}

// Values of Explanation.InTime.
const (
	InTimeYes     = "yes"     // even at the latest
	InTimePerhaps = "perhaps" // by the estimates, or nearly
	InTimeNo      = "no"      // not even at the earliest
)

// Roles answers GET /duties, which is no part of PROTOCOL either.
type Roles struct {
	Node string `json:"node"` // who answers
	// Exclusive: the fleet's roles that the settings name have one leader each.
	Exclusive bool `json:"one_holder"`
	// RecordsRequests: requests for machines are recorded before they are sent.
	RecordsRequests bool         `json:"records_rentals"`
	Roles           []RoleStatus `json:"duties"`
	// RefusedOrders counts orders under no exclusive role that did not leave this process.
	RefusedOrders map[string]int `json:"orders_refused,omitzero"`
}

// RoleStatus tells of one role, as the controller that answers knows it.
type RoleStatus struct {
	Role   string  `json:"duty"`
	Leader string  `json:"holder,omitzero"`
	Term   uint64  `json:"term,omitzero"`
	SinceS float64 `json:"since_s,omitzero"` // time since it learnt of the term
	// RemainingS is how long the leader's grants are still valid; only the leader knows.
	RemainingS *float64 `json:"remaining_s,omitzero"`
	// RefusedOrders counts orders under the role that did not leave this process, by action
	// and reason.
	RefusedOrders map[string]int `json:"orders_refused,omitzero"`
}
