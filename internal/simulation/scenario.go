// Package simulation plays days in simulated time: the cores of several
// controllers against stand-ins of the state service, the cloud, the workers
// and the users, with troubles at set times. A checker that shares nothing
// with the core watches the rules of PROTOCOL.
package simulation

import (
	"bytes"
	"fmt"
	"math/rand/v2"

	"github.com/go-json-experiment/json"
	"github.com/pelletier/go-toml/v2"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/settings"
)

// Scenario is a day, written as a small TOML file.
type Scenario struct {
	About         string     `toml:"about"`
	Seed          uint64     `toml:"seed"`
	DurationS     float64    `toml:"duration_s"`
	LeaseS        float64    `toml:"lease_s"`
	CancelS       float64    `toml:"cancel_s"`
	HeartbeatS       float64    `toml:"report_s"`
	MaxTransactionOps        int        `toml:"txn_ops"`
	RPS           float64    `toml:"rps"` // requests a micros.Second that the state service admits
	ValueKB       float64    `toml:"value_kb"`
	WriteRPS      float64    `toml:"write_rps"`    // changes a micros.Second
	LostReplies          float64    `toml:"lost"`         // share of the state service's answers that never arrive
	LateRequests          float64    `toml:"late"`         // share of requests to it carried out seconds late
	HeartbeatCopies        float64    `toml:"copies"`       // share of reports of which a copy comes later, up to two leases
	Repeats       float64    `toml:"repeats"`      // share of requests and commands carried out once more, up to two leases later
	ExclusiveRoles        bool       `toml:"duties"`       // the fleet's have one holder each, and rentals are recorded
	MayLeaveUnserved      bool       `toml:"unserved"`     // the day ends before half of everything can be served
	MaxWrites   int        `toml:"most_changes"` // that the state service may be asked for in all; 0: any
	MaxStoreRequests  int        `toml:"most_requests"`
	MaxCloudCalls     int        `toml:"most_calls"`     // of the cloud
	MaxLaunched    int        `toml:"most_rented"`    // machines
	MaxWaiting   int        `toml:"most_waiting"`   // requests at a controller at a time
	MaxCommandsInFlight    int        `toml:"most_pushes"`    // direct commands of a controller at a time
	MinMachines int        `toml:"least_machines"` // that must have been up at a time
	Connections   int        `toml:"connections"`    // a process's sockets
	Teams         []Team     `toml:"team"`
	MachineTypes         []MachineType     `toml:"type"`
	Jobs          []Job      `toml:"job"`
	Faults        []Fault    `toml:"fault"`
	Random        *RandomFaults    `toml:"random"`
	Clocks        []Clock    `toml:"clock"` // of the controllers, in order
	Expectations       []Expectation `toml:"expect"`
	ExpectedViolation        string     `toml:"breaks"` // the rule that a deliberate fault must break
	LogContains          string     `toml:"said"`   // a line that the log must hold
	LogOmits        string     `toml:"unsaid"` // a line that it must not hold
	// AtLeast is how often what a trouble is to bring about must have happened.
	AtLeast map[string]int `toml:"least"`
	// AtMost is how often something may happen at the most.
	AtMost map[string]int `toml:"most"`
	// NextLimits is what the state service admits after the fault "limits", and what
	// the settings of a controller name from its fault "upgrade" on.
	NextLimits struct {
		WriteRPS float64 `toml:"write_rps"`
		ValueKB  float64 `toml:"value_kb"`
		TxnOps   int     `toml:"txn_ops"`
	} `toml:"next"`
}

// Team of a scenario.
type Team struct {
	Name    string  `toml:"name"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// MachineType of machine of a scenario.
type MachineType struct {
	Name  string  `toml:"name"`
	CPUs  float64 `toml:"cpus"`
	GPUs  float64 `toml:"gpus"`
	Price float64 `toml:"price"`
	BootS float64 `toml:"boot_s"`
	Count int     `toml:"count"` // for each zone and kind
}

// Job of a scenario; Every and Count repeat it under following ids.
type Job struct {
	AtS         float64      `toml:"at_s"`
	ID          int          `toml:"id"`
	Count       int          `toml:"count"`
	EveryS      float64      `toml:"every_s"`
	Team        string       `toml:"team"`
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
	Spot        bool         `toml:"spot"`
	OneZone     bool         `toml:"one_zone"`
	Spread      bool         `toml:"spread"`
	Type        string       `toml:"type"`
	Zone        string       `toml:"zone"`
	CancelAtS   float64      `toml:"cancel_at_s"`
	AlwaysFails         bool         `toml:"bad"` // fails on every machine
	DeadlineS   float64      `toml:"deadline_s"`
	Dependencies       []int        `toml:"needs"`   // ids of jobs that must be done first
	PairedDependencies     []int        `toml:"follows"` // the same; the k-th of Count needs the k-th from there
	SubmitAfterDependencies        bool         `toml:"late"`    // submitted only when all that it needs is over
	Class       string       `toml:"class"`
}

// Fault is a trouble at a set time.
type Fault struct {
	AtS  float64 `toml:"at_s"`
	ForS float64 `toml:"for_s"`
	Kind string  `toml:"kind"`
	Node int     `toml:"node"`
	HoldPackets bool    `toml:"hold"` // packets are delivered after the cut
	Partition int     `toml:"part"` // instead of Node: the partition's holder, counted from 1
	// Count is how many machines it befalls, those with most tasks first.
	Count int    `toml:"count"`
	Zone  string `toml:"zone"` // where those machines are, or which zone is cut off
	// Share, Mode and HangS are those of the troubles in troubles.go.
	Share float64 `toml:"share"`
	Mode  string  `toml:"mode"`
	HangS float64 `toml:"hang_s"`
	// Factor is how many times as long machines boot.
	Factor float64 `toml:"factor"`
}

// Clock is how a controller's clock differs from the state service's.
type Clock struct {
	AheadS   float64 `toml:"ahead_s"`
	DriftPPM float64 `toml:"drift_ppm"` // it runs so much faster
}

// RandomFaults draws faults from the seed.
type RandomFaults struct {
	Faults int      `toml:"faults"`
	FromS  float64  `toml:"from_s"`
	ToS    float64  `toml:"to_s"`
	Kinds  []string `toml:"kinds"`
	// SlowLinks is how often links are slow besides, drawn on its own.
	SlowLinks int `toml:"slow_links"`
}

// Expectation is what must hold of a job at the end, or by some time.
type Expectation struct {
	ID    int          `toml:"id"`
	Count int          `toml:"count"`
	State api.JobState `toml:"state"`
	ByS   float64      `toml:"by_s"`
}

// Parse reads a scenario.
func Parse(text []byte) (*Scenario, error) {
	s := &Scenario{Seed: 1, DurationS: 300, LeaseS: 20, CancelS: 45, HeartbeatS: 3, MaxTransactionOps: 12, RPS: 200, WriteRPS: 60, ValueKB: 8, Connections: 1000}
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	if len(s.Teams) == 0 {
		s.Teams = []Team{{Name: "norte", GPUs: 8}, {Name: "sur", GPUs: 8}, {Name: "oeste", GPUs: 8}}
	}
	if len(s.MachineTypes) == 0 {
		s.MachineTypes = []MachineType{{Name: "g4", CPUs: 24, GPUs: 4, Price: 8, BootS: 10, Count: 4}}
	}
	if r := s.Random; r != nil {
		rng := rand.New(rand.NewPCG(s.Seed, 77))
		for range r.Faults {
			s.Faults = append(s.Faults, Fault{AtS: r.FromS + rng.Float64()*(r.ToS-r.FromS), ForS: 1 + rng.Float64()*25,
				Kind: r.Kinds[rng.IntN(len(r.Kinds))], HangS: float64(rng.IntN(2)) * 12, Node: rng.IntN(3), HoldPackets: rng.IntN(2) == 0, Zone: zones[rng.IntN(2)]})
		}
		rng = rand.New(rand.NewPCG(s.Seed, 78))
		for range r.SlowLinks {
			s.Faults = append(s.Faults, Fault{AtS: r.FromS + rng.Float64()*(r.ToS-r.FromS), ForS: 10 + rng.Float64()*50, Kind: "slow_links"})
		}
	}
	return s, nil
}

var zones = []string{"alta", "baja"}

// partitionOf gives the partition that a user's team is dealt to.
func (s *Scenario) partitionOf(u *user) int {
	set, err := s.settingsFor(0, false)
	if err != nil {
		return 0
	}
	return set.TeamPartition[u.job.spec(0).Team]
}

// spec gives a job as its user would submit it.
func (j Job) spec(n int) api.Job {
	w := api.Job{ID: fmt.Sprintf("wk-%06d", n), Class: j.Class, Team: j.Team, Kind: j.Kind, Priority: j.Priority, Tasks: max(1, j.Tasks),
		CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: 1, Image: "img-" + string(j.Kind), ImageGB: j.ImageGB, Zone: j.Zone, OneZone: j.OneZone, Spread: j.Spread,
		Spot: j.Spot, EstimateS: j.EstimateS, CheckpointIntervalS: j.CheckpointS, DeadlineS: j.DeadlineS, Dependencies: j.dependencyIDs(n)}
	if w.Kind == "" {
		w.Kind = api.Array
	}
	if w.Class == "" {
		w.Class = string(w.Kind)
	}
	if w.Priority == "" {
		w.Priority = "standard"
	}
	if w.Team == "" {
		w.Team = "norte"
	}
	if w.EstimateS == 0 && w.Kind != api.Service {
		w.EstimateS = j.RunS
	}
	if w.CPUs == 0 {
		w.CPUs = 1
	}
	if w.CheckpointIntervalS > 0 {
		w.CheckpointSaveS = 2
	}
	if j.Type != "" {
		w.Types = []string{j.Type}
	}
	return w
}

// dependencyIDs names what the job with id n needs.
func (j Job) dependencyIDs(n int) []string {
	var ids []string
	for _, id := range j.Dependencies {
		ids = append(ids, fmt.Sprintf("wk-%06d", id))
	}
	for _, id := range j.PairedDependencies {
		ids = append(ids, fmt.Sprintf("wk-%06d", id+n-j.ID))
	}
	return ids
}

// submission is a job's body; the wire's form has nulls that ours leaves out.
func submission(w api.Job) []byte {
	b, err := json.Marshal(w)
	if err != nil {
		panic(err) // a plain record: cannot fail
	}
	if w.Zone == "" || w.DeadlineS == 0 {
		var m map[string]any
		if err := json.Unmarshal(b, &m); err != nil {
			panic(err)
		}
		if w.Zone == "" {
			m["Zona"] = nil
		}
		if w.DeadlineS == 0 {
			m["PlazoS"] = nil
		}
		if b, err = json.Marshal(m, json.Deterministic(true)); err != nil {
			panic(err)
		}
	}
	return b
}

// settingsFor gives node i's settings, with the limits that are announced.
func (s *Scenario) settingsFor(i int, announced bool) (*settings.Settings, error) {
	var p settings.Platform
	for n := range 3 {
		if n != i {
			p.Peers = append(p.Peers, settings.Peer{Name: nodeName(n), Zone: zones[n%2], Addr: fmt.Sprintf("10.0.0.%d:8081", n+1)})
		}
	}
	p.Node, p.Zone = nodeName(i), zones[i%2]
	p.PublicAddr, p.InternalAddr = fmt.Sprintf("10.0.0.%d:8080", i+1), fmt.Sprintf("10.0.0.%d:8081", i+1)
	p.Endpoints.Cloud, p.Endpoints.State = "10.2.0.2:8443", "10.2.0.1:2379"
	f := &p.Deployment
	f.Nodes, f.Zones = 3, zones
	for _, t := range s.Teams {
		f.Teams = append(f.Teams, settings.Team{Name: t.Name, GuaranteedGPUs: t.GPUs, MaxGPUs: t.GPUsMax})
	}
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = s.HeartbeatS, s.LeaseS, s.CancelS
	f.Workers.GangWaitS, f.Workers.GangPeerS = 40, 4
	f.Store.RPS, f.Store.WriteRPS, f.Store.ValueKB, f.Store.MaxTransactionOps = s.RPS, s.WriteRPS, s.ValueKB, s.MaxTransactionOps
	if n := &s.NextLimits; announced && n.TxnOps > 0 {
		f.Store.Next = &settings.NextStoreLimits{WriteRPS: &n.WriteRPS, ValueKB: &n.ValueKB, MaxTransactionOps: &n.TxnOps}
	}
	f.Cloud.RPS, f.Cloud.ListLagS = 6, 5
	f.Process.Cores, f.Process.MemMB, f.Process.MaxConnections = 0.2, 100, s.Connections
	raw, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	return settings.Parse(raw, s.operators())
}

// operators gives the operators' settings.
func (s *Scenario) operators() settings.Operators {
	ops := settings.Defaults()
	if s.ExclusiveRoles {
		ops.Roles = settings.RoleSettings{Exclusive: leadership.FleetRoleNames(), RecordRequests: true}
	}
	return ops
}

func nodeName(i int) string { return fmt.Sprintf("nodo-%d", i) }
