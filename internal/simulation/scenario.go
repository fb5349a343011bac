package simulation

import "spurmoor/internal/api"

// Scenario is what happens in one run of the simulation: a small TOML file. Times are in
// seconds since the start, rates are per second.
type Scenario struct {
	About     string  `toml:"about"`
	Seed      uint64  `toml:"seed"`
	DurationS float64 `toml:"duration_s"`

	// Settings of the controllers, and limits of the key-value store.
	LeaseS            float64 `toml:"lease_s"`
	CancelS           float64 `toml:"cancel_s"`
	HeartbeatS        float64 `toml:"report_s"`
	MaxTransactionOps int     `toml:"txn_ops"`
	RPS               float64 `toml:"rps"` // requests that the store admits
	WriteRPS          float64 `toml:"write_rps"`
	ValueKB           float64 `toml:"value_kb"`
	Connections       int     `toml:"connections"` // sockets of a process
	// ExclusiveRoles: the fleet's roles have one leader each, and launches are recorded.
	ExclusiveRoles bool `toml:"duties"`
	// NextLimits are in force after the fault "limits"; the settings of a controller
	// announce them from its fault "upgrade" on.
	NextLimits NextLimits `toml:"next"`

	// Shares of messages that something befalls throughout.
	LostReplies     float64 `toml:"lost"`    // of the store's, that never arrive
	LateRequests    float64 `toml:"late"`    // of transactions, that are carried out seconds late
	HeartbeatCopies float64 `toml:"copies"`  // of heartbeats, that arrive again within two leases
	Repeats         float64 `toml:"repeats"` // of requests and commands, that are carried out again within two leases

	Teams        []Team        `toml:"team"`
	MachineTypes []MachineType `toml:"type"`
	Jobs         []Job         `toml:"job"`
	Faults       []Fault       `toml:"fault"`
	Random       *RandomFaults `toml:"random"`
	Clocks       []Clock       `toml:"clock"` // of the controllers, in their order

	// What must hold at the end.
	Expectations      []Expectation `toml:"expect"`
	ExpectedViolation invariant     `toml:"breaks"` // that a deliberate fault must bring about
	LogContains       string        `toml:"said"`
	LogOmits          string        `toml:"unsaid"`
	// AtLeast and AtMost are how often something must and may occur, by occurrence.
	AtLeast map[string]int `toml:"least"`
	AtMost  map[string]int `toml:"most"`
	// MayLeaveUnserved: the run ends before half of everything can be served.
	MayLeaveUnserved bool `toml:"unserved"`

	// Budgets; zero: none.
	MaxWrites           int `toml:"most_changes"`
	MaxStoreRequests    int `toml:"most_requests"`
	MaxCloudCalls       int `toml:"most_calls"`
	MaxLaunched         int `toml:"most_rented"`    // machines
	MaxWaiting          int `toml:"most_waiting"`   // requests at a controller at a time
	MaxCommandsInFlight int `toml:"most_pushes"`    // direct commands of a controller at a time
	MinMachines         int `toml:"least_machines"` // that must have been up at a time
}

// NextLimits are limits of the key-value store that are announced before they are in force.
type NextLimits struct {
	WriteRPS          float64 `toml:"write_rps"`
	ValueKB           float64 `toml:"value_kb"`
	MaxTransactionOps int     `toml:"txn_ops"`
}

// Team is a team of users with its guarantee and its limit.
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
	Count int     `toml:"count"` // for each zone, and each of spot and other
}

// Job is a job that a user submits, or Count jobs under consecutive ids, EveryS apart.
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
	RunS        float64      `toml:"run_s"`
	StepS       float64      `toml:"step_s"` // each further task runs that much longer
	EstimateS   float64      `toml:"estimate_s"`
	ImageGB     float64      `toml:"image_gb"`
	CheckpointS float64      `toml:"checkpoint_s"`
	DeadlineS   float64      `toml:"deadline_s"`
	CancelAtS   float64      `toml:"cancel_at_s"` // since its submission; zero: never
	Spot        bool         `toml:"spot"`
	OneZone     bool         `toml:"one_zone"`
	Spread      bool         `toml:"spread"`
	Type        string       `toml:"type"`
	Zone        string       `toml:"zone"`
	AlwaysFails bool         `toml:"bad"` // on every machine
	// Dependencies are the ids of jobs that must be done first.
	Dependencies []int `toml:"needs"`
	// PairedDependencies too, but the k-th of Count depends on the k-th from there.
	PairedDependencies []int `toml:"follows"`
	// SubmitAfterDependencies: it is submitted only once its dependencies have ended.
	SubmitAfterDependencies bool `toml:"late"`
}

// Fault is a fault that is injected at a set time.
type Fault struct {
	AtS  float64   `toml:"at_s"`
	ForS float64   `toml:"for_s"`
	Kind FaultKind `toml:"kind"`
	// Node is the controller that it befalls; a deliberate violation's job.
	Node int `toml:"node"`
	// Partition, counted from 1, names its leader instead of Node.
	Partition   int  `toml:"part"`
	HoldPackets bool `toml:"hold"` // packets are delivered after the cut
	// Count is how many machines it befalls, those with most tasks first.
	Count int `toml:"count"`
	// Zone is where those machines are, or which zone is cut off.
	Zone  string  `toml:"zone"`
	Share float64 `toml:"share"` // of messages, jobs or machines that it befalls
	Mode  string  `toml:"mode"`  // as the argument of Kind
	HangS float64 `toml:"hang_s"`
	// Factor is how many times as long machines boot.
	Factor float64 `toml:"factor"`
}

// Clock is how a controller's clock differs from the store's.
type Clock struct {
	AheadS   float64 `toml:"ahead_s"`
	DriftPPM float64 `toml:"drift_ppm"` // how much faster it runs
}

// RandomFaults are drawn from the seed.
type RandomFaults struct {
	Faults int         `toml:"faults"`
	FromS  float64     `toml:"from_s"`
	ToS    float64     `toml:"to_s"`
	Kinds  []FaultKind `toml:"kinds"`
	// SlowLinks is how often links are slow besides, drawn from a stream of its own.
	SlowLinks int `toml:"slow_links"`
}

// Expectation is what must hold of one or Count consecutive jobs at the end.
type Expectation struct {
	ID    int          `toml:"id"`
	Count int          `toml:"count"`
	State api.JobState `toml:"state"`
	ByS   float64      `toml:"by_s"` // when it must have ended; zero: any time
}
