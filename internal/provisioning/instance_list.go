package provisioning

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// InstanceList follows the cloud's list of instances: their addresses, those that failed
// or are gone, and orphans, of which no record is known.
type InstanceList struct {
	*coordination.Environment
	cluster   *cluster.State
	deletions *cluster.DeletionLog
	registry  *cluster.MachineRegistry
	roles     *coordination.RoleManager

	NextListAt     micros.Micros
	listInFlight   bool
	listRound      int                  // counts the readings of the whole list
	listed         map[string]*sighting // by instance
	unknownWorkers map[string]*sighting // workers without a record that sent a heartbeat, by machine
	sweeping       bool                 // this controller acts on the list
	findings       ListFindings
}

// NewInstanceList makes an instance list of which nothing was read yet.
func NewInstanceList(
	env *coordination.Environment,
	state *cluster.State,
	deletions *cluster.DeletionLog,
	registry *cluster.MachineRegistry,
	roles *coordination.RoleManager,
) *InstanceList {
	return &InstanceList{
		Environment:    env,
		cluster:        state,
		deletions:      deletions,
		registry:       registry,
		roles:          roles,
		listed:         map[string]*sighting{},
		unknownWorkers: map[string]*sighting{},
	}
}

// sighting is when an instance was listed, or an unknown worker heard, of late.
type sighting struct {
	firstSeenAt micros.Micros // or when it was last acted on
	lastSeenAt  micros.Micros
	listRound   int // of the list, when it was last seen
}

const (
	// addressListInterval is how often a controller reads the list that does not act on
	// it: it only wants the addresses of machines that came up meanwhile.
	addressListInterval = 60 * micros.Second
	// minListIntervalS is the least time between two readings, in seconds.
	minListIntervalS = 5
	// listRetryInterval is about how long a reading waits that failed.
	listRetryInterval = 5 * micros.Second
	// instancesPerPage is how many instances a page of the list holds.
	instancesPerPage = 500
	// listCallShare is the share of the cloud's calls that all controllers' lists
	// together may take.
	listCallShare = 1.0 / 3
	// an instance must be absent from more than absentRounds readings of the list,
	// for the list is not read at one moment, and it lags.
	absentRounds = 2
)

// TrackSweeping notes when it becomes or ceases to be this controller's role to act on the
// cloud's list.
func (l *InstanceList) TrackSweeping() {
	if sweeping := l.roles.MayActAs(leadership.InstanceSweeper); sweeping != l.sweeping {
		l.sweeping = sweeping
		l.NextListAt = l.Now
	}
}

// SweepsExclusively tells whether no other controller acts on the cloud's list.
func (l *InstanceList) SweepsExclusively() bool {
	return l.sweeping && l.roles.IsExclusive(leadership.InstanceSweeper)
}

// ListInstancesWhenDue reads the cloud's list now and then.
func (l *InstanceList) ListInstancesWhenDue() {
	if l.listInFlight || l.Now < l.NextListAt {
		return
	}
	l.listInFlight = true
	l.listRound++
	l.requestPage("")
}

// requestPage reads the page of the list that follows an instance, and those after it.
func (l *InstanceList) requestPage(after string) {
	call := message.CloudCall{Op: message.OpListInstances, After: after}
	l.CallCloud(call, func(reply *message.CloudReply) {
		if reply.Status != message.StatusOK {
			l.listInFlight = false
			l.NextListAt = l.Now + l.Jitter(listRetryInterval)
			return
		}
		page := reply.Instances.Instances
		for _, instance := range page {
			l.ObserveListed(instance)
		}
		if reply.Instances.More && len(page) > 0 {
			l.requestPage(page[len(page)-1].ID)
			return
		}
		l.listInFlight = false
		l.NextListAt = l.Now + l.Jitter(l.listInterval())
		l.expireUnlisted()
	})
}

// listInterval is how often the cloud's list is read. All controllers' lists together take
// at most their share of the calls that the cloud admits, however many machines there are.
func (l *InstanceList) listInterval() micros.Micros {
	if !l.sweeping {
		return addressListInterval
	}
	readers := len(l.Settings.Nodes)
	if l.roles.IsExclusive(leadership.InstanceSweeper) {
		readers = 1
	}
	pages := float64(1 + len(l.cluster.Machines)/instancesPerPage)
	paced := pages * float64(readers) / (listCallShare * l.Settings.Deployment.Cloud.RPS)
	return micros.FromSeconds(max(minListIntervalS, l.Settings.Deployment.Cloud.ListLagS, paced))
}

// ObserveListed takes in an instance of the cloud's list.
func (l *InstanceList) ObserveListed(instance api.Instance) {
	seen := l.listed[instance.ID]
	if seen == nil {
		seen = &sighting{firstSeenAt: l.Now}
		l.listed[instance.ID] = seen
	}
	l.refresh(seen)
	if machine := l.cluster.Machines[instance.ID]; machine != nil {
		l.observeKnownInstance(machine, instance)
		return
	}
	// It is of a request that was answered late, or whose sender ended before it could
	// record the machine. Lists lag, so it is given time.
	if l.sweeping && l.Now > seen.firstSeenAt+l.orphanTimeout() {
		l.handleOrphan(instance)
		seen.firstSeenAt = l.Now
	}
}

// observeKnownInstance takes in what the list says of a machine that has a record.
func (l *InstanceList) observeKnownInstance(machine *cluster.Machine, instance api.Instance) {
	if machine.Address == "" {
		machine.Address = instance.Address
	}
	machine.LaunchedAt = min(machine.LaunchedAt, l.Now-micros.FromSeconds(instance.AgeS))
	if instance.State == api.InstanceFailed && !machine.Record.MarkedForDeletion {
		l.handleFailedInstance(machine)
	}
}

// refresh notes that something was seen now.
func (l *InstanceList) refresh(seen *sighting) {
	seen.lastSeenAt = l.Now
	seen.listRound = l.listRound
}

// expireUnlisted drops what was seen before and is absent from several lists, and acts on
// the instances among it.
func (l *InstanceList) expireUnlisted() {
	for _, name := range slices.Sorted(maps.Keys(l.listed)) {
		if !l.isAbsent(l.listed[name]) {
			continue
		}
		delete(l.listed, name)
		if l.sweeping {
			l.handleUnlistedInstance(name)
		}
	}
	maps.DeleteFunc(l.unknownWorkers, func(_ string, seen *sighting) bool { return l.isAbsent(seen) })
}

// isAbsent tells whether something was not seen for several rounds of the list, and for
// long enough.
func (l *InstanceList) isAbsent(seen *sighting) bool {
	return seen.listRound < l.listRound-absentRounds && l.Now > seen.lastSeenAt+l.unlistedTimeout()
}
