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

// InstanceList reads the cloud's list of instances. It sets the addresses of machines, and
// finds instances that failed, that are no longer listed, or that are orphans: they have
// no record. Every controller handles failed instances; the others are handled by a
// controller with the role of the instance sweeper.
type InstanceList struct {
	*coordination.Environment
	cluster   *cluster.State
	deletions *cluster.DeletionLog
	registry  *cluster.MachineRegistry
	roles     *coordination.RoleManager

	NextReadAt     micros.Micros
	readInFlight   bool
	readNumber     int                     // number of the current or last read of the whole list
	listed         map[string]*observation // by instance ID
	unknownWorkers map[string]*observation // workers that sent a heartbeat and have no record, by machine
	sweeping       bool                    // this controller acts as instance sweeper
	findings       ListFindings
}

// NewInstanceList returns an instance list that has not been read yet.
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
		listed:         map[string]*observation{},
		unknownWorkers: map[string]*observation{},
	}
}

// observation is when an instance was listed, or an unknown worker sent a heartbeat.
type observation struct {
	graceStartedAt micros.Micros // when it was first seen or last acted on; grace periods begin here
	lastSeenAt     micros.Micros
	lastReadNumber int // readNumber of the read in which it was last seen
}

const (
	// addressListInterval is how often the list is read by a controller that is not the
	// instance sweeper. It needs only the addresses of machines that have come up.
	addressListInterval = 60 * micros.Second
	// minListIntervalS is the least time in seconds between two reads by a sweeper.
	minListIntervalS = 5
	// listRetryInterval is about how long after a failure the list is read again.
	listRetryInterval = 5 * micros.Second
	// instancesPerPage is the most instances that a page of the list holds.
	instancesPerPage = 500
	// listCallShare is the share of the cloud's rate limit that the reads of all controllers
	// together may use.
	listCallShare = 1.0 / 3
	// maxMissedReads is how many reads of the list in a row may lack an instance that
	// exists: the pages are read one after another, and the list lags.
	maxMissedReads = 2
)

// TrackSweeperRole notices when this controller begins or ceases to act as instance
// sweeper. The list is then read at once.
func (l *InstanceList) TrackSweeperRole() {
	if sweeping := l.roles.MayActAs(leadership.InstanceSweeper); sweeping != l.sweeping {
		l.sweeping = sweeping
		l.NextReadAt = l.Now
	}
}

// SweepsExclusively reports whether this controller is the only instance sweeper.
func (l *InstanceList) SweepsExclusively() bool {
	return l.sweeping && l.roles.IsExclusive(leadership.InstanceSweeper)
}

// ReadWhenDue starts to read the cloud's list if that is due and no read is in progress.
func (l *InstanceList) ReadWhenDue() {
	if l.readInFlight || l.Now < l.NextReadAt {
		return
	}
	l.readInFlight = true
	l.readNumber++
	l.readPage("")
}

// readPage reads the pages of the list that follow the instance with the ID after, or all
// pages if it is empty.
func (l *InstanceList) readPage(after string) {
	call := message.CloudCall{Op: message.OpListInstances, After: after}
	l.CallCloud(call, func(reply *message.CloudReply) {
		if reply.Status != message.StatusOK {
			l.readInFlight = false
			l.NextReadAt = l.Now + l.Jitter(listRetryInterval)
			return
		}
		page := reply.Instances.Instances
		for _, instance := range page {
			l.ObserveInstance(instance)
		}
		if reply.Instances.More && len(page) > 0 {
			l.readPage(page[len(page)-1].ID)
			return
		}
		l.readInFlight = false
		l.NextReadAt = l.Now + l.Jitter(l.listInterval())
		l.expireUnlisted()
	})
}

// listInterval returns the time between two reads of the list. For a sweeper it is at least
// the lag of the list, and it grows with the number of pages so that the reads of all
// controllers together stay within listCallShare.
func (l *InstanceList) listInterval() micros.Micros {
	if !l.sweeping {
		return addressListInterval
	}
	readers := len(l.Settings.Nodes)
	if l.roles.IsExclusive(leadership.InstanceSweeper) {
		readers = 1
	}
	pages := float64(1 + len(l.cluster.Machines)/instancesPerPage)
	rateLimitedS := pages * float64(readers) / (listCallShare * l.Settings.Deployment.Cloud.RPS)
	return micros.FromSeconds(max(minListIntervalS, l.Settings.Deployment.Cloud.ListLagS, rateLimitedS))
}

// ObserveInstance handles an instance in the cloud's list.
func (l *InstanceList) ObserveInstance(instance api.Instance) {
	seen := l.listed[instance.ID]
	if seen == nil {
		seen = &observation{graceStartedAt: l.Now}
		l.listed[instance.ID] = seen
	}
	l.markSeen(seen)
	if machine := l.cluster.Machines[instance.ID]; machine != nil {
		l.observeRecordedInstance(machine, instance)
		return
	}
	// The request for it was answered late, or its sender ended before it recorded the
	// machine. The list lags, so the instance counts as an orphan only after orphanTimeout.
	if l.sweeping && l.Now > seen.graceStartedAt+l.orphanTimeout() {
		l.handleOrphan(instance)
		seen.graceStartedAt = l.Now
	}
}

// observeRecordedInstance handles an instance that has a record: it sets the address and the
// launch time of the machine, and acts on a failure.
func (l *InstanceList) observeRecordedInstance(machine *cluster.Machine, instance api.Instance) {
	if machine.Address == "" {
		machine.Address = instance.Address
	}
	machine.LaunchedAt = min(machine.LaunchedAt, l.Now-micros.FromSeconds(instance.AgeS))
	if instance.State == api.InstanceFailed && !machine.Record.MarkedForDeletion {
		l.handleFailedInstance(machine)
	}
}

// markSeen records that an instance or an unknown worker was seen now, during the current or
// last read of the list.
func (l *InstanceList) markSeen(seen *observation) {
	seen.lastSeenAt = l.Now
	seen.lastReadNumber = l.readNumber
}

// expireUnlisted drops the observations of instances and unknown workers that are absent.
// The instance sweeper acts on the instances among them.
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
	maps.DeleteFunc(l.unknownWorkers, func(_ string, seen *observation) bool { return l.isAbsent(seen) })
}

// isAbsent reports whether an instance or an unknown worker was last seen more than
// maxMissedReads reads of the list ago, and longer ago than unlistedTimeout.
func (l *InstanceList) isAbsent(seen *observation) bool {
	return seen.lastReadNumber < l.readNumber-maxMissedReads && l.Now > seen.lastSeenAt+l.unlistedTimeout()
}
