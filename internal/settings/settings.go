// Package settings reads and checks what the platform hands a controller
// (JSON) and what its operators may set on top of it (TOML).
package settings

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/pelletier/go-toml/v2"

	"spurmoor/internal/leadership"
)

// Peer is another controller.
type Peer struct {
	Name string `json:"node_name"`
	Zone string `json:"site"`
	Addr string `json:"addr"`
}

// Team holds a team's guarantee and limit; 0 means none.
type Team struct {
	Name           string  `json:"name"`
	GuaranteedCPUs float64 `json:"cpus"`
	MaxCPUs        float64 `json:"cpus_max"`
	GuaranteedGPUs float64 `json:"gpus"`
	MaxGPUs        float64 `json:"gpus_max"`
}

// Objective is one stated aim for a class of jobs.
type Objective struct {
	Kind           string  `json:"kind"`
	Class          string  `json:"class"`
	WithinS        float64 `json:"within_s"`
	Share          float64 `json:"share"`
	DeadlineFactor float64 `json:"times"`
}

// Platform is the settings file handed over by the platform.
type Platform struct {
	Node         string `json:"node_name"`
	Zone         string `json:"site"`
	PublicAddr   string `json:"public_addr"`
	InternalAddr string `json:"internal_addr"`
	Peers        []Peer `json:"known"`
	Endpoints    struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"endpoints"`
	Deployment Deployment `json:"facts"`
}

// Deployment describe the deployment.
type Deployment struct {
	Nodes      int         `json:"nodes"`
	Zones      []string    `json:"zones"`
	Teams      []Team      `json:"teams"`
	Objectives []Objective `json:"objectives"`
	Workers    struct {
		ReportS   float64 `json:"report_s"`
		LeaseS    float64 `json:"lease_s"`
		GangWaitS float64 `json:"gang_wait_s"`
		GangPeerS float64 `json:"gang_peer_s"`
		CancelS   float64 `json:"cancel_s"`
	} `json:"workers"`
	Store StoreLimits `json:"state"`
	Cloud struct {
		RPS      float64 `json:"rps"`
		ListLagS float64 `json:"list_lag_s"`
	} `json:"cloud"`
	Process struct {
		Cores          float64 `json:"cores"`
		MemMB          float64 `json:"mem_mb"`
		MaxConnections int     `json:"max_connections"`
	} `json:"machine_limits"`
	TimeBoundMS float64 `json:"time_bound_ms"`
}

// AnswerWindowS is how many seconds a controller that lost the state service may go on
// answering reports: together with a lease by a slow clock and a margin that stays
// below cancel_s, so that a task whose job was cancelled elsewhere ends in time.
func (f *Deployment) AnswerWindowS() float64 {
	left := f.Workers.CancelS - f.Workers.LeaseS*1.002
	return left - min(3, left/4)
}

// StoreLimits is what the state service admits.
type StoreLimits struct {
	RPS               float64 `json:"rps"`
	WriteRPS          float64 `json:"write_rps"`
	ValueKB           float64 `json:"value_kb"`
	MaxTransactionOps int     `json:"txn_ops"`
	// Next is what it will admit from some moment on, not told when. Nil, or a
	// nil in it: no change is announced.
	Next *NextStoreLimits `json:"next,omitempty"`
}

// NextStoreLimits is what changes of a State.
type NextStoreLimits struct {
	RPS               *float64 `json:"rps,omitempty"`
	WriteRPS          *float64 `json:"write_rps,omitempty"`
	ValueKB           *float64 `json:"value_kb,omitempty"`
	MaxTransactionOps *int     `json:"txn_ops,omitempty"`
}

// lower lowers each limit to the one announced, where that is lower.
func (s *StoreLimits) lower() {
	if s.Next == nil {
		return
	}
	for _, l := range []struct{ now, next *float64 }{{&s.RPS, s.Next.RPS}, {&s.WriteRPS, s.Next.WriteRPS}, {&s.ValueKB, s.Next.ValueKB}} {
		if l.next != nil {
			*l.now = min(*l.now, *l.next)
		}
	}
	if s.Next.MaxTransactionOps != nil {
		s.MaxTransactionOps = min(s.MaxTransactionOps, *s.Next.MaxTransactionOps)
	}
}

// Weights weigh the terms of a job's score; the names follow the design.
type Weights struct {
	Priority  float64 `toml:"priority"`
	Wait      float64 `toml:"wait"`
	Deficit   float64 `toml:"deficit"`
	ZoneFit   float64 `toml:"zone_fit"`
	Readiness float64 `toml:"readiness"`
	Backlog   float64 `toml:"backlog"`
}

// Operators holds what operators may tune; docs/operations.md lists it.
type Operators struct {
	Partitions     int     `toml:"parts"`
	CycleIntervalS float64 `toml:"cycle_s"`
	ReferenceWaitS float64 `toml:"reference_wait_s"`
	IdleReturnS    float64 `toml:"idle_return_s"`
	SilenceS       float64 `toml:"silent_s"`
	LeaseTTLS      float64 `toml:"hold_ttl_s"`
	RefusalMemoryS float64 `toml:"refusal_memory_s"`
	MaxQueuedJobs  int     `toml:"queue_jobs"`
	LatePenalty    float64 `toml:"late_penalty"`  // off the score of a job whose aims are all out of reach
	LargePenalty   float64 `toml:"large_penalty"` // off the score of an array that asks for much, in a backlog
	PriceCeiling   float64 `toml:"price_ceiling"` // times the cheapest kind that a job may use
	// IdlePriceCeiling is PriceCeiling for idle-time work.
	IdlePriceCeiling float64      `toml:"idle_price_ceiling"`
	CeilingGrowthS   float64      `toml:"ceiling_growth_s"` // wait after which the ceilings have doubled
	BeginWithinS     float64      `toml:"begin_within_s"`   // every job should have begun by then
	Weights          Weights      `toml:"weights"`
	Roles            RoleSettings `toml:"duties"`
}

// RoleSettings holds which of the fleet's duties have one holder at a time, and whether
// requests for machines are recorded before they are sent.
type RoleSettings struct {
	Exclusive      []string `toml:"exclusive"`
	RecordRequests bool     `toml:"record_rentals"`
}

// IsExclusive tells whether a duty has one holder at a time.
func (d *RoleSettings) IsExclusive(id leadership.Role) bool {
	return slices.Contains(d.Exclusive, id.String())
}

// check tells which key is not valid.
func (d *RoleSettings) check() error {
	seen := map[string]bool{}
	for _, name := range d.Exclusive {
		if _, err := leadership.ParseFleetRole(name); err != nil {
			return fmt.Errorf("duties.exclusive = %q: %w", name, err)
		}
		if seen[name] {
			return fmt.Errorf("duties.exclusive = %q is given twice; allowed is each of %s once", name, strings.Join(leadership.FleetRoleNames(), ", "))
		}
		seen[name] = true
	}
	if seen[leadership.InstanceSweeper.String()] && !seen[leadership.OrphanAdopter.String()] {
		return fmt.Errorf("duties.exclusive = %q without %q: every controller would adopt what the one finds; allowed is %q beside it or neither",
			leadership.InstanceSweeper, leadership.OrphanAdopter, leadership.OrphanAdopter)
	}
	return nil
}

// Settings is everything a controller runs by.
type Settings struct {
	Platform
	Operators Operators
	// TeamPartition deals each team to a partition.
	TeamPartition map[string]int
	// Nodes lists every controller by name, in order.
	Nodes []string
	// Sockets is what each use may open.
	Sockets Sockets
}

// Defaults returns the operators' settings where nothing is said.
func Defaults() Operators {
	return Operators{
		CycleIntervalS: 5, ReferenceWaitS: 60, IdleReturnS: 15, SilenceS: 12, LeaseTTLS: 6,
		RefusalMemoryS: 15, LatePenalty: 0.6, LargePenalty: 1.2, PriceCeiling: 2.5, IdlePriceCeiling: 1.5, CeilingGrowthS: 900, BeginWithinS: 240,
		Weights: Weights{Priority: 0.20, Wait: 0.20, Deficit: 0.20, ZoneFit: 0.15, Readiness: 0.10, Backlog: 0.05},
	}
}

// Load reads the platform's file and, where opsPath is not empty, the
// operators' file.
func Load(path, opsPath string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	ops := Defaults()
	if opsPath != "" {
		text, err := os.ReadFile(opsPath)
		if err != nil {
			return nil, fmt.Errorf("read operators' settings: %w", err)
		}
		if ops, err = ParseOperators(text); err != nil {
			return nil, fmt.Errorf("%s: %w", opsPath, err)
		}
	}
	s, err := Parse(raw, ops)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// ParseOperators reads the operators' TOML over the defaults.
func ParseOperators(text []byte) (Operators, error) {
	ops := Defaults()
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&ops); err != nil {
		if strict, ok := err.(*toml.StrictMissingError); ok && len(strict.Errors) > 0 {
			return ops, fmt.Errorf("unknown key %s", strings.Join(strict.Errors[0].Key(), "."))
		}
		if bad, ok := err.(*toml.DecodeError); ok && len(bad.Key()) > 0 {
			return ops, fmt.Errorf("key %s: %w", strings.Join(bad.Key(), "."), err)
		}
		return ops, err
	}
	ranges := []struct {
		key       string
		v, lo, hi float64
	}{
		{"parts", float64(ops.Partitions), 0, 64},
		{"cycle_s", ops.CycleIntervalS, 0.5, 60},
		{"reference_wait_s", ops.ReferenceWaitS, 1, 86400},
		{"idle_return_s", ops.IdleReturnS, 0, 86400},
		{"silent_s", ops.SilenceS, 5, 600},
		{"hold_ttl_s", ops.LeaseTTLS, 2, 60},
		{"refusal_memory_s", ops.RefusalMemoryS, 1, 600},
		{"late_penalty", ops.LatePenalty, 0, 10},
		{"large_penalty", ops.LargePenalty, 0, 10},
		{"price_ceiling", ops.PriceCeiling, 1, 1000},
		{"idle_price_ceiling", ops.IdlePriceCeiling, 1, 1000},
		{"ceiling_growth_s", ops.CeilingGrowthS, 1, 86400},
		{"begin_within_s", ops.BeginWithinS, 1, 86400},
		{"weights.priority", ops.Weights.Priority, 0, 1},
		{"weights.wait", ops.Weights.Wait, 0, 1},
		{"weights.deficit", ops.Weights.Deficit, 0, 1},
		{"weights.zone_fit", ops.Weights.ZoneFit, 0, 1},
		{"weights.readiness", ops.Weights.Readiness, 0, 1},
		{"weights.backlog", ops.Weights.Backlog, 0, 1},
	}
	for _, r := range ranges {
		if !(r.v >= r.lo && r.v <= r.hi) {
			return ops, fmt.Errorf("%s = %v is out of range %v to %v", r.key, r.v, r.lo, r.hi)
		}
	}
	if n := ops.MaxQueuedJobs; n != 0 && (n < 10 || n > 1e6) {
		return ops, fmt.Errorf("queue_jobs = %v is out of range 10 to 1000000, or 0 for as many as memory holds", n)
	}
	if err := ops.Roles.check(); err != nil {
		return ops, err
	}
	if ops.Partitions == 1 {
		return ops, fmt.Errorf("parts = 1 is out of range: at least two, or 0 for one per controller")
	}
	return ops, nil
}

// Parse checks the platform's settings and derives what follows from them.
func Parse(raw []byte, ops Operators) (*Settings, error) {
	s := &Settings{Operators: ops}
	if err := json.Unmarshal(raw, &s.Platform); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	s.Nodes = []string{s.Node}
	for _, p := range s.Peers {
		s.Nodes = append(s.Nodes, p.Name)
	}
	slices.Sort(s.Nodes)
	if s.Operators.Partitions == 0 {
		s.Operators.Partitions = max(2, len(s.Nodes))
	}
	// From the first moment on within both sets: when the limits fall is not told.
	s.Deployment.Store.lower()
	s.assignTeams()
	s.Sockets = s.sockets()
	return s, nil
}

// Unfinished jobs for which a process has room where the operators name no number: one
// takes some 2 KB, and a fifth of the memory is for them.
const (
	leastQueue = 4000
	jobsPerMB  = 100
)

// MaxUnfinishedJobs is how many unfinished jobs there may be.
func (s *Settings) MaxUnfinishedJobs() int {
	if s.Operators.MaxQueuedJobs > 0 {
		return s.Operators.MaxQueuedJobs
	}
	return max(leastQueue, int(s.Deployment.Process.MemMB*jobsPerMB))
}

// assignTeams spreads the teams over the partitions, largest guarantee first, each to
// the partition with the least so far.
func (s *Settings) assignTeams() {
	teams := slices.Clone(s.Deployment.Teams)
	size := func(t Team) float64 { return t.GuaranteedGPUs*6 + t.GuaranteedCPUs }
	slices.SortStableFunc(teams, func(a, b Team) int {
		if d := size(b) - size(a); d != 0 {
			return int(math.Copysign(1, d))
		}
		return strings.Compare(a.Name, b.Name)
	})
	load := make([]float64, s.Operators.Partitions)
	s.TeamPartition = map[string]int{}
	for _, t := range teams {
		least := 0
		for i := range load {
			if load[i] < load[least] {
				least = i
			}
		}
		load[least] += size(t) + 1e-3
		s.TeamPartition[t.Name] = least
	}
}
