package settings

// Platform is the settings file handed over by the platform.
type Platform struct {
	Node         string `json:"node_name"`
	Zone         string `json:"site"`
	PublicAddr   string `json:"public_addr"`
	InternalAddr string `json:"internal_addr"`
	Peers        []Peer `json:"known"`
	Endpoints    struct {
		Cloud string `json:"cloud"`
		State string `json:"state"` // the key-value store's
	} `json:"endpoints"`
	Deployment Facts `json:"facts"`
}

// Peer is another controller.
type Peer struct {
	Name string `json:"node_name"`
	Zone string `json:"site"`
	Addr string `json:"addr"` // its internal address
}

// Facts describes the deployment that a controller is a part of: teams and their
// objectives, the workers' times in seconds, and the limits of the services around it.
type Facts struct {
	Nodes      int         `json:"nodes"`
	Zones      []string    `json:"zones"`
	Teams      []Team      `json:"teams"`
	Objectives []Objective `json:"objectives"`
	Workers    struct {
		ReportS   float64 `json:"report_s"`    // between two heartbeats
		LeaseS    float64 `json:"lease_s"`     // after the last answer a worker ends its tasks
		GangWaitS float64 `json:"gang_wait_s"` // a gang's task waits for the rest of it
		GangPeerS float64 `json:"gang_peer_s"` // the rest of a gang runs on after the end of a task
		CancelS   float64 `json:"cancel_s"`    // a cancelled job's tasks must have ended
	} `json:"workers"`
	Store State `json:"state"`
	Cloud struct {
		RPS      float64 `json:"rps"`        // requests a second
		ListLagS float64 `json:"list_lag_s"` // how old the list of instances may be
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

// Kinds of objectives, with the platform's words.
const (
	ObjectiveWait     = "wait"     // begun within so many seconds of the submission
	ObjectiveFinished = "finished" // done within so many seconds of the submission
	ObjectiveDeadline = "deadline" // done within so many times the deadline asked for
)

// Objective is a service-level objective for a class of jobs.
type Objective struct {
	Kind           string  `json:"kind"` // kinds that are not known are passed over
	Class          string  `json:"class"`
	WithinS        float64 `json:"within_s"`
	Share          float64 `json:"share"` // of the class's jobs that must meet it
	DeadlineFactor float64 `json:"times"` // of a deadline: times what the job asks for
}

// State is what the key-value store admits.
type State struct {
	RPS               float64 `json:"rps"`       // requests a second
	WriteRPS          float64 `json:"write_rps"` // changes a second
	ValueKB           float64 `json:"value_kb"`  // the largest value
	MaxTransactionOps int     `json:"txn_ops"`   // changes in a transaction
	// Next is what the store will admit from some moment on, which is not announced.
	// Nil, or a nil in it: no change is announced.
	Next *NextState `json:"next,omitempty"`
}

// NextState is what changes of the StoreLimits.
type NextState struct {
	RPS               *float64 `json:"rps,omitempty"`
	WriteRPS          *float64 `json:"write_rps,omitempty"`
	ValueKB           *float64 `json:"value_kb,omitempty"`
	MaxTransactionOps *int     `json:"txn_ops,omitempty"`
}

// lowerToNext lowers each limit to the one announced, where that is lower.
func (l *State) lowerToNext() {
	if l.Next == nil {
		return
	}
	lower(&l.RPS, l.Next.RPS)
	lower(&l.WriteRPS, l.Next.WriteRPS)
	lower(&l.ValueKB, l.Next.ValueKB)
	lower(&l.MaxTransactionOps, l.Next.MaxTransactionOps)
}

// lower lowers a limit to the next one, where one is announced.
func lower[T int | float64](limit, next *T) {
	if next != nil {
		*limit = min(*limit, *next)
	}
}

// What the answer window leaves of the time that a cancellation has.
const (
	// workerClockFactor is how much longer a worker's lease may last by our clock, because
	// the worker's runs slow.
	workerClockFactor = 1.002
	// maxAnswerMarginS is kept free before cancel_s where there is time enough, and
	// otherwise one part in answerMarginParts of the time.
	maxAnswerMarginS  = 3
	answerMarginParts = 4
)

// WorkerLeaseS is how many seconds a worker's lease lasts, by a clock that runs slow.
func (d *Facts) WorkerLeaseS() float64 { return d.Workers.LeaseS * workerClockFactor }

// AnswerWindowS is how many seconds a controller that lost the key-value store may go on
// answering heartbeats: together with a lease by a slow clock and a margin that stays
// below cancel_s, so that a task whose job was cancelled elsewhere ends in time.
func (d *Facts) AnswerWindowS() float64 {
	left := d.Workers.CancelS - d.WorkerLeaseS()
	return left - min(maxAnswerMarginS, left/answerMarginParts)
}
