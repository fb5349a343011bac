package simulation

import "spurmoor/internal/api"

// Scenario describes one run of the simulation. It is read from a small TOML file. Times are
// in seconds since the start, rates are per second.
type Scenario struct {
	About     string  `toml:"about"`
	Seed      uint64  `toml:"seed"`
	DurationS float64 `toml:"duration_s"`

	Controllers int `toml:"controllers"`

	// Settings of the controllers, and limits of the key-value store.
	LeaseS            float64 `toml:"lease_s"`
	CancelS           float64 `toml:"cancel_s"`
	HeartbeatS        float64 `toml:"report_s"`
	MaxTransactionOps int     `toml:"txn_ops"`
	RPS               float64 `toml:"rps"` // requests that the store admits
	WriteRPS          float64 `toml:"write_rps"`
	ValueKB           float64 `toml:"value_kb"`
	MaxConnections    int     `toml:"connections"` // sockets of a controller's process
	// ExclusiveRoles turns on exclusive leadership of each of the fleet's roles, and the
	// recording of launches.
	ExclusiveRoles bool `toml:"duties"`
	// SequenceRestarts makes a worker number its heartbeats from 1 on in each incarnation.
	SequenceRestarts bool `toml:"sequence_restarts"`
	// NextLimits replace the store's limits when the fault "limits" is injected. The settings
	// of a controller announce them from its fault "upgrade" on.
	NextLimits NextLimits `toml:"next"`

	// Shares of messages that are disturbed during the whole run.
	LostReplies      float64 `toml:"lost"`    // replies of the store that never arrive
	LateRequests     float64 `toml:"late"`    // transactions that are executed seconds late
	HeartbeatCopies  float64 `toml:"copies"`  // heartbeats of which a copy arrives up to two lease terms and 1 s later
	RepeatedRequests float64 `toml:"repeats"` // requests and commands that are executed again up to two lease terms and 0.5 s later

	Teams        []Team        `toml:"team"`
	MachineTypes []MachineType `toml:"type"`
	Jobs         []Job         `toml:"job"`
	Faults       []Fault       `toml:"fault"`
	Random       *RandomFaults `toml:"random"`
	Clocks       []Clock       `toml:"clock"` // of the controllers, by index

	// What the run must have brought about by its end.
	Expectations      []Expectation `toml:"expect"`
	ExpectedViolation invariant     `toml:"breaks"` // the invariant that a deliberate violation must break
	LogContains       string        `toml:"said"`
	LogOmits          string        `toml:"unsaid"`
	// AtLeast and AtMost bound how often something occurs, by the name of the occurrence.
	AtLeast map[string]int `toml:"least"`
	AtMost  map[string]int `toml:"most"`
	// MayLeaveUnserved turns off the checks that at least half of the jobs of each group are
	// served and that the largest jobs start in time, for runs that are too short for them.
	MayLeaveUnserved bool `toml:"unserved"`

	// Limits on what the run uses; zero: no limit.
	MaxWrites           int `toml:"most_changes"`
	MaxStoreRequests    int `toml:"most_requests"`
	MaxCloudCalls       int `toml:"most_calls"`
	MaxLaunched         int `toml:"most_rented"`    // machines
	MaxPendingRequests  int `toml:"most_waiting"`   // requests that wait at a controller at a time
	MaxCommandsInFlight int `toml:"most_pushes"`    // direct commands of a controller in flight at a time
	MinMachines         int `toml:"least_machines"` // that must have been up at the same time; zero: no minimum
}

// NextLimits are limits of the key-value store that are announced before they take effect.
type NextLimits struct {
	WriteRPS          float64 `toml:"write_rps"`
	ValueKB           float64 `toml:"value_kb"`
	MaxTransactionOps int     `toml:"txn_ops"`
}

// Team is a team of users with its guaranteed and its maximum number of GPUs.
type Team struct {
	Name    string  `toml:"name"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"` // zero: no limit
}

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Name  string  `toml:"name"`
	CPUs  float64 `toml:"cpus"`
	GPUs  float64 `toml:"gpus"`
	Price float64 `toml:"price"`
	BootS float64 `toml:"boot_s"`
	Count int     `toml:"count"` // capacity of each zone, for spot machines and for others separately
}

// Job is a job that a user submits, or Count jobs with consecutive IDs that are submitted
// EveryS apart.
type Job struct {
	AtS         float64      `toml:"at_s"`
	ID          int          `toml:"id"`
	Count       int          `toml:"count"`
	EveryS      float64      `toml:"every_s"`
	Team        string       `toml:"team"`
	Class       string       `toml:"class"`
	Kind        api.JobKind  `toml:"kind"`
	Priority    api.Priority `toml:"priority"`
	Tasks       int          `toml:"tasks"`
	CPUs        float64      `toml:"cpus"`
	GPUs        float64      `toml:"gpus"`
	MemoryGB    float64      `toml:"memory_gb"`
	RunS        float64      `toml:"run_s"`
	StepS       float64      `toml:"step_s"` // by which each task runs longer than the one before it
	EstimateS   float64      `toml:"estimate_s"`
	ImageGB     float64      `toml:"image_gb"`
	CheckpointS float64      `toml:"checkpoint_s"`
	DeadlineS   float64      `toml:"deadline_s"`
	CancelAtS   float64      `toml:"cancel_at_s"` // after its scheduled submission, even if dependencies delay that; zero: never
	Spot        bool         `toml:"spot"`
	OneZone     bool         `toml:"one_zone"`
	Spread      bool         `toml:"spread"`
	Type        string       `toml:"type"`
	Zone        string       `toml:"zone"`
	AlwaysFails bool         `toml:"bad"` // its tasks fail on every machine
	// Dependencies are the numbers of jobs that must be done first.
	Dependencies []int `toml:"needs"`
	// PairedDependencies are the first numbers of series of jobs that must be done first. The
	// k-th of Count jobs depends on the k-th job of each series.
	PairedDependencies []int `toml:"follows"`
	// SubmitAfterDependencies delays the submission until the dependencies have ended.
	SubmitAfterDependencies bool `toml:"late"`
}

// Fault is a fault that is injected at a set time.
type Fault struct {
	AtS  float64   `toml:"at_s"`
	ForS float64   `toml:"for_s"`
	Kind FaultKind `toml:"kind"`
	// Node is the index of the affected controller, or the number of the job whose
	// guarantees a deliberate violation breaks.
	Node int `toml:"node"`
	// Partition, counted from 1, selects the partition's leader instead of Node.
	Partition   int  `toml:"part"`
	HoldPackets bool `toml:"hold"` // packets are delivered after the cut instead of lost
	// Count is the number of affected machines or jobs. Machines with most tasks come first.
	Count int `toml:"count"`
	// Zone is the zone of those machines, or the zone that is cut off.
	Zone  string  `toml:"zone"`
	Share float64 `toml:"share"` // of messages, jobs or machines that are affected
	Mode  string  `toml:"mode"`  // overrides the argument of Kind
	HangS float64 `toml:"hang_s"`
	// Factor multiplies the boot time of machines.
	Factor float64 `toml:"factor"`
}

// Clock describes how a controller's clock differs from simulated time.
type Clock struct {
	AheadS   float64 `toml:"ahead_s"`
	DriftPPM float64 `toml:"drift_ppm"` // by which it runs too fast
}

// RandomFaults describes faults that are drawn at random from the scenario's seed.
type RandomFaults struct {
	Faults int         `toml:"faults"`
	FromS  float64     `toml:"from_s"`
	ToS    float64     `toml:"to_s"`
	Kinds  []FaultKind `toml:"kinds"`
	// SlowLinks is the number of additional periods of slow links. They are drawn from a
	// generator stream of their own.
	SlowLinks int `toml:"slow_links"`
	// SpreadS is the longest time that is added to the shortest duration of a fault; zero: the
	// default.
	SpreadS float64 `toml:"spread_s"`
	// Shares and Counts are values of which one is drawn as each fault's Share and Count; none:
	// the defaults.
	Shares []float64 `toml:"shares"`
	Counts []int     `toml:"counts"`
	// Variants are deployments of which one is drawn from the seed; none: the scenario's own.
	Variants []Variant `toml:"variant"`
}

// Variant describes the controllers of a deployment and the times of its workers.
type Variant struct {
	Controllers int     `toml:"controllers"`
	HeartbeatS  float64 `toml:"report_s"`
	LeaseS      float64 `toml:"lease_s"`
	CancelS     float64 `toml:"cancel_s"`
}

// Expectation is the state that one job, or Count consecutive jobs, must have at the end.
type Expectation struct {
	ID    int          `toml:"id"`
	Count int          `toml:"count"`
	State api.JobState `toml:"state"`
	ByS   float64      `toml:"by_s"` // when it must have ended; zero: at any time
}
