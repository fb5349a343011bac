package settings

// Platform holds the settings that the platform provides, as read from their JSON.
type Platform struct {
	Node         string `json:"node_name"`
	Zone         string `json:"site"`
	PublicAddr   string `json:"public_addr"`
	InternalAddr string `json:"internal_addr"`
	Peers        []Peer `json:"known"`
	Endpoints    struct {
		Cloud string `json:"cloud"`
		State string `json:"state"` // of the key-value store
	} `json:"endpoints"`
	Deployment Facts `json:"facts"`
}

// Peer identifies another controller.
type Peer struct {
	Name string `json:"node_name"`
	Zone string `json:"site"`
	Addr string `json:"addr"` // its internal address
}

// Facts describes the deployment that a controller belongs to: teams and their
// objectives, the workers' timing, and the limits of the state service, the cloud and the
// controller's own process. Times are in seconds if the name does not say otherwise.
type Facts struct {
	Nodes      int         `json:"nodes"`
	Zones      []string    `json:"zones"`
	Teams      []Team      `json:"teams"`
	Objectives []Objective `json:"objectives"`
	Workers    struct {
		ReportS   float64 `json:"report_s"`    // interval between heartbeats
		LeaseS    float64 `json:"lease_s"`     // a worker ends its tasks this long after the last answer
		GangWaitS float64 `json:"gang_wait_s"` // how long a gang's task waits for the others to start
		GangPeerS float64 `json:"gang_peer_s"` // how long a gang's other tasks run on after one has ended
		CancelS   float64 `json:"cancel_s"`    // time within which a cancelled job's tasks must have ended
	} `json:"workers"`
	Store State `json:"state"`
	Cloud struct {
		RPS      float64 `json:"rps"`        // requests per second
		ListLagS float64 `json:"list_lag_s"` // maximum age of the list of instances
	} `json:"cloud"`
	Process struct {
		Cores          float64 `json:"cores"`
		MemMB          float64 `json:"mem_mb"`
		MaxConnections int     `json:"max_connections"`
	} `json:"machine_limits"`
	TimeBoundMS float64 `json:"time_bound_ms"`
}

// Team holds a team's guarantee and limit; 0 means none.
type Team struct {
	Name           string  `json:"name"`
	GuaranteedCPUs float64 `json:"cpus"`
	MaxCPUs        float64 `json:"cpus_max"`
	GuaranteedGPUs float64 `json:"gpus"`
	MaxGPUs        float64 `json:"gpus_max"`
}

// Kinds of objectives, as the platform names them.
const (
	ObjectiveWait     = "wait"     // begun within WithinS of the submission
	ObjectiveFinished = "finished" // done within WithinS of the submission
	ObjectiveDeadline = "deadline" // done within DeadlineFactor times the deadline
)

// Objective is a service-level objective for a class of jobs.
type Objective struct {
	Kind           string  `json:"kind"` // unknown kinds are ignored
	Class          string  `json:"class"`
	WithinS        float64 `json:"within_s"`
	Share          float64 `json:"share"` // the share of the class's jobs that must meet it
	DeadlineFactor float64 `json:"times"` // multiple of the job's own deadline, for ObjectiveDeadline
}

// State holds the limits of the key-value store.
type State struct {
	RPS               float64 `json:"rps"`       // requests per second
	WriteRPS          float64 `json:"write_rps"` // changes per second
	ValueKB           float64 `json:"value_kb"`  // size of the largest value
	MaxTransactionOps int     `json:"txn_ops"`   // maximum number of changes in a transaction
	// Next holds limits that will replace these at a time that is not announced. If
	// Next or a limit in it is nil, no change is announced.
	Next *NextState `json:"next,omitempty"`
}

// NextState holds the limits in State that will change.
type NextState struct {
	RPS               *float64 `json:"rps,omitempty"`
	WriteRPS          *float64 `json:"write_rps,omitempty"`
	ValueKB           *float64 `json:"value_kb,omitempty"`
	MaxTransactionOps *int     `json:"txn_ops,omitempty"`
}

// lowerToNext lowers each limit to the announced one if that is lower.
func (s *State) lowerToNext() {
	if s.Next == nil {
		return
	}
	lower(&s.RPS, s.Next.RPS)
	lower(&s.WriteRPS, s.Next.WriteRPS)
	lower(&s.ValueKB, s.Next.ValueKB)
	lower(&s.MaxTransactionOps, s.Next.MaxTransactionOps)
}

// lower lowers a limit to the next one. A nil next changes nothing.
func lower[T int | float64](limit, next *T) {
	if next != nil {
		*limit = min(*limit, *next)
	}
}

// Parts of cancel_s that the answer window leaves free.
const (
	// workerClockFactor is how much longer a worker's lease may last by our clock than by
	// the worker's, which may run slow.
	workerClockFactor = 1.002
	// The margin is the smaller of maxAnswerMarginS and 1/answerMarginDivisor of the time
	// that cancel_s leaves beyond a worker's lease.
	maxAnswerMarginS    = 3
	answerMarginDivisor = 4
)

// WorkerLeaseS returns the longest time in seconds that a worker's lease can last by our
// clock.
func (f *Facts) WorkerLeaseS() float64 { return f.Workers.LeaseS * workerClockFactor }

// AnswerWindowS returns for how many seconds a controller that can't reach the key-value
// store may go on answering heartbeats. The window, a worker's lease on a slow clock and a
// margin add up to cancel_s. So a task that the last answer keeps alive ends in time even
// if its job was cancelled through another controller.
func (f *Facts) AnswerWindowS() float64 {
	leftS := f.Workers.CancelS - f.WorkerLeaseS()
	return leftS - min(maxAnswerMarginS, leftS/answerMarginDivisor)
}
