// Package scheduler decides what runs where: the design's weighted ranking,
// rank-order placement with a reservation and backfill, the choice of whom to
// stop, and the demand for machines. It is pure: a View in, a Plan out.
package scheduler

import (
	"fmt"
	"math"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// Resources is an amount of resources, in thousandths.
type Resources struct{ CPU, GPU, Mem int64 }

// ResourcesOf turns the wire's decimal amounts into thousandths.
func ResourcesOf(cpus, gpus, mem float64) Resources {
	m := func(v float64) int64 { return int64(math.Round(v * 1000)) }
	return Resources{m(cpus), m(gpus), m(mem)}
}

// Add gives r + k·o.
func (r Resources) Add(o Resources, k int64) Resources {
	return Resources{r.CPU + k*o.CPU, r.GPU + k*o.GPU, r.Mem + k*o.Mem}
}

// Fits tells whether o fits into r.
func (r Resources) Fits(o Resources) bool { return o.CPU <= r.CPU && o.GPU <= r.GPU && o.Mem <= r.Mem }

// Multiples tells how often o fits into r.
func (r Resources) Multiples(o Resources) int {
	n := int64(1 << 30)
	for _, p := range [][2]int64{{r.CPU, o.CPU}, {r.GPU, o.GPU}, {r.Mem, o.Mem}} {
		if p[1] > 0 {
			n = min(n, max(0, p[0])/p[1])
		}
	}
	return int(n)
}

// Allocation is a task on a machine.
type Allocation struct {
	Job             *Job
	TaskIndex       int
	Request         Resources
	ExpectedEnd     micros.Micros // expected, by the owner's estimate
	LostWork        micros.Micros // work lost if it is stopped now
	Stopping        bool          // told to stop already
	StartedRecently bool          // started so lately that stopping it undoes the start
}

// Machine is a machine of the partition.
type Machine struct {
	Name              string
	Type              *api.MachineType
	Zone              string
	Spot              bool
	Total             Resources
	Free              Resources
	Schedulable       bool          // may be given tasks now
	ReadyAt           micros.Micros // of a booting machine: when it is expected
	Borrowable        bool          // another partition's idle machine: may be asked for
	OtherPartition    bool          // another partition's, at work: may be asked for if all its tasks may be stopped
	LentOut           bool          // ours by home, at work for another partition
	BorrowerOverShare bool          // of a Lent one: its borrower uses far more than we do
	ClaimedBy         string
	Reservation       *AdvanceReservation // to a gang that is due, of whatever part
	CachedImages      []string            // in its cache, or being fetched
	Allocations       []Allocation
	byEnd             bool // Uses are in the order of their ends, and the plan's own
	freeing           micros.Micros
}

// HasImage tells whether the machine need not fetch an image.
func (m *Machine) HasImage(image string) bool { return slices.Contains(m.CachedImages, image) }

// Job is an unfinished job of the partition.
type Job struct {
	ID             string
	Spec           *api.Job
	Request        Resources
	Tier           int           // that it is treated as having
	EligibleAt     micros.Micros // accepted, and all that it needs done
	Deadline       Deadline      // its deadline, or one that it must be early enough for
	PendingTasks   int           // tasks to place, those held back by a back-off not counted
	TasksPerZone   map[string]int
	FailedMachines map[string]bool // machines
	Started        bool            // some of its tasks were started
	Deprioritized  bool            // failing everywhere: it must not take room first
	score          float64
	zone           string // where its machines are to be rented, if all in one
	blocked        int
}

// Deadline is a deadline: of the job itself, or of the last of those that need it,
// for which it must be done so much earlier. S 0: none.
type Deadline struct {
	SubmittedAt micros.Micros // when the job that has it was submitted
	WithinS     float64
	Class       string  // of that job
	DownstreamS float64 // seconds that those behind this one take, by the estimates
}

// Latest is when a job must be done.
func (d Deadline) Latest() micros.Micros {
	return d.SubmittedAt + micros.FromSeconds(d.WithinS-d.DownstreamS)
}

// Quota is a team's share of the partition.
type Quota struct {
	Used, Guaranteed, Limit Resources // a zero amount in Limit or Guarantee: none
	reserved                Resources // of the limit, for gangs that it keeps waiting
}

// InstanceKind is a thing to rent.
type InstanceKind struct {
	Type string
	Zone string
	Spot bool
}

// String names a kind in the log.
func (k InstanceKind) String() string {
	return fmt.Sprintf("%s/%s/spot=%t", k.Type, k.Zone, k.Spot)
}

// Snapshot is what a plan is made from.
type Snapshot struct {
	Now              micros.Micros
	MachineTypes     []api.MachineType
	Machines         []*Machine
	Jobs             []*Job
	Quotas           map[string]*Quota
	UnavailableKinds map[InstanceKind]bool
	Operators        *settings.Operators
	Objectives       map[string][]settings.Objective // by class
}

func (m *Machine) kind() InstanceKind { return InstanceKind{m.Type.Name, m.Zone, m.Spot} }

// Binding puts one task of a job on a machine.
type Binding struct {
	Job     *Job
	Machine *Machine
}

// Preemption stops tasks so that a job gets their machine.
type Preemption struct {
	For             *Job
	Machine         *Machine
	Victims         []Allocation
	WithinGuarantee bool // its team has a claim to it by its guarantee
}

// ScaleOut is a demand for machines.
type ScaleOut struct {
	Kind  InstanceKind
	Count int
}

// Plan is what to do.
type Plan struct {
	Bindings       []Binding
	Preemptions    []Preemption
	ScaleOuts      []ScaleOut
	Borrow         []*Machine
	BlockedReasons map[string]string        // job → why it waits
	ExpectedEnds   map[string]micros.Micros // job → when its last task should end, by the estimates
}

type planner struct {
	*Snapshot
	plan     Plan
	types    map[string]*api.MachineType
	reserved map[*Machine]micros.Micros
	resFor   map[*Machine]*Job
	held     map[InstanceKind]int
	gangs    int // that reserved
	blocked  []*Job
	cached   bool // only room where the image need not be fetched
}

// MakePlan plans one cycle.
func MakePlan(v *Snapshot) *Plan {
	p := &planner{Snapshot: v, types: map[string]*api.MachineType{}, reserved: map[*Machine]micros.Micros{}, resFor: map[*Machine]*Job{}, held: map[InstanceKind]int{}}
	p.plan.BlockedReasons, p.plan.ExpectedEnds = map[string]string{}, map[string]micros.Micros{}
	p.look()
	p.rank()
	p.beginDue()
	p.placeRanked()
	p.evict(p.blocked)
	p.demand(p.blocked)
	return &p.plan
}

// look takes in the machines: what is held, promised and expected to end.
func (p *planner) look() {
	for _, m := range p.Machines {
		p.held[m.kind()]++
		if m.Reservation != nil {
			p.reserved[m], p.resFor[m] = m.Reservation.ReadyAt, m.Reservation.Job
		}
		for _, u := range m.Allocations {
			if u.Job != nil {
				p.ends(u.Job, u.ExpectedEnd)
			}
		}
	}
	for i := range p.MachineTypes {
		p.types[p.MachineTypes[i].Name] = &p.MachineTypes[i]
	}
}

// beginDue places one task of each array that is due. Exception: no job is lost to
// being late. An array that has not begun when half of the time is over within
// which it should have gets its first task placed before all else.
func (p *planner) beginDue() {
	for _, j := range p.Jobs {
		if j.Spec.Kind == api.Array && p.due(j) && min(j.PendingTasks, p.limitAllows(j)) > 0 {
			p.fill(j, 1)
		}
	}
}

// placeRanked places jobs in the order of their rank. Exception: of the arrays
// only the first in rank takes room where its image must be fetched first; the
// others do after all had their turn. Where more waits than fits, a fifth of the
// room went on fetching.
func (p *planner) placeRanked() {
	first := true
	var rest []*Job
	for _, j := range p.Jobs {
		if j.PendingTasks == 0 {
			continue
		}
		if j.Spec.Kind == api.Array && !first {
			p.cached = true
			p.place(j)
			p.cached = false
			rest = append(rest, j)
			continue
		}
		first = first && j.Spec.Kind != api.Array
		p.try(j)
	}
	for _, j := range rest {
		if j.PendingTasks > 0 {
			p.try(j)
		}
	}
}

// try places a job; what finds no room blocks it.
func (p *planner) try(j *Job) {
	left := p.place(j)
	if left == 0 {
		return
	}
	j.blocked = left
	// Exception: besides the top blocked job every gang reserves, up to a
	// bound. Room for it comes up or frees piece by piece, and smaller jobs
	// took each piece as it came: gangs waited for minutes for machines that
	// the demand had counted as theirs.
	if !j.Deprioritized && (len(p.blocked) == 0 || j.Spec.Kind == api.Gang && p.gangs < p.most(gangsToReserve)) {
		p.reserve(j)
	}
	p.blocked = append(p.blocked, j)
}

// Allowed tells whether a job may run on this type, zone and kind at all.
func Allowed(j *api.Job, typ, zone string, spot bool) bool {
	return (j.Types == nil || slices.Contains(j.Types, typ)) && (j.Zone == "" || j.Zone == zone) && (j.Spot || !spot)
}

func (p *planner) fetch(j *Job, t *api.MachineType) micros.Micros {
	if t == nil || t.FetchGBPerS <= 0 {
		return 0
	}
	return micros.FromSeconds(j.Spec.ImageGB / t.FetchGBPerS)
}

func (p *planner) ends(j *Job, at micros.Micros) {
	p.plan.ExpectedEnds[j.ID] = max(p.plan.ExpectedEnds[j.ID], at)
}
