package provisioning

import (
	"maps"
	"slices"

	"spurmoor/internal/logkey"

	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/records"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// InstanceList follows the cloud's list of machines: their addresses, those that failed
// or went, and those of which no record is known.
type InstanceList struct {
	*coordination.Environment
	cluster   *cluster.State
	deletions *cluster.DeletionLog
	registry  *cluster.MachineRegistry
	roles     *coordination.RoleManager

	NextListAt      micros.Micros
	listInFlight    bool
	listRound       int
	listedInstances map[string]*listedInstance
	sweeping        bool // this controller acts on the list
	findings        listFindings
}

// NewInstanceList makes an instance list.
func NewInstanceList(env *coordination.Environment, cluster *cluster.State, deletions *cluster.DeletionLog, registry *cluster.MachineRegistry, roles *coordination.RoleManager) *InstanceList {
	return &InstanceList{Environment: env, cluster: cluster, deletions: deletions, registry: registry, roles: roles,
		listedInstances: map[string]*listedInstance{}}
}

// listedInstance is what the cloud's list said of a machine lately.
type listedInstance struct {
	firstSeenAt micros.Micros
	lastSeenAt  micros.Micros
	listRound   int
}

// TrackSweeping notes when it becomes or ceases to be this controller's task to act on
// the cloud's list.
func (i *InstanceList) TrackSweeping() {
	if sweeps := i.roles.MayPerform(leadership.InstanceSweeper); sweeps != i.sweeping {
		i.sweeping, i.NextListAt = sweeps, i.Now
	}
}

// SweepsExclusively tells whether no other controller acts on the cloud's list.
func (i *InstanceList) SweepsExclusively() bool {
	return i.sweeping && i.roles.IsExclusive(leadership.InstanceSweeper)
}

// ListInstancesWhenDue reads the cloud's list now and then.
func (i *InstanceList) ListInstancesWhenDue() {
	if !i.listInFlight && i.Now >= i.NextListAt {
		i.listInFlight = true
		i.listRound++
		i.listInstances("")
	}
}

func (i *InstanceList) listInstances(after string) {
	i.CallCloud(message.CloudCall{Op: message.OpListInstances, After: after}, func(r *message.CloudReply) {
		if r.Status != 200 {
			i.listInFlight = false
			i.NextListAt = i.Now + i.Jitter(5*micros.Second)
			return
		}
		for _, cm := range r.Instances.Instances {
			after = cm.ID
			i.ObserveListed(cm)
		}
		if r.Instances.More && len(r.Instances.Instances) > 0 {
			i.listInstances(after)
			return
		}
		i.listInFlight = false
		i.NextListAt = i.Now + i.Jitter(i.listInterval())
		i.expireUnlisted()
	})
}

// addressListInterval is how often a controller reads the cloud's list that does not sweep it:
// it only wants the addresses of machines that came up meanwhile.
const addressListInterval = 60 * micros.Second

// listInterval is how often the cloud's list is read. All controllers' lists together
// take at most a third of the calls that the cloud admits, however many machines
// there are.
func (i *InstanceList) listInterval() micros.Micros {
	if !i.sweeping {
		return addressListInterval
	}
	readers := len(i.Settings.Nodes)
	if i.roles.IsExclusive(leadership.InstanceSweeper) {
		readers = 1
	}
	pages := float64(1 + len(i.cluster.Machines)/instancesPerPage)
	paced := pages * float64(readers) / (listCallShare * i.Settings.Deployment.Cloud.RPS)
	return micros.FromSeconds(max(5, i.Settings.Deployment.Cloud.ListLagS, paced))
}

const (
	instancesPerPage = 500     // machines in a page of the cloud's list
	listCallShare    = 1.0 / 3 // of the cloud's calls
)

// expireUnlisted drops what was listed before and is absent from several lists.
func (i *InstanceList) expireUnlisted() {
	for _, name := range slices.Sorted(maps.Keys(i.listedInstances)) {
		l := i.listedInstances[name]
		if l.listRound < i.listRound-2 && i.Now > l.lastSeenAt+i.unlistedTimeout() {
			delete(i.listedInstances, name)
			if i.sweeping {
				i.handleUnlistedInstance(name)
			}
		}
	}
}

// ObserveListed takes in a machine of the cloud's list.
func (i *InstanceList) ObserveListed(cm api.Instance) {
	l := i.listedInstances[cm.ID]
	if l == nil {
		l = &listedInstance{firstSeenAt: i.Now}
		i.listedInstances[cm.ID] = l
	}
	l.lastSeenAt, l.listRound = i.Now, i.listRound
	if m := i.cluster.Machines[cm.ID]; m != nil {
		if m.Address == "" {
			m.Address = cm.Address
		}
		m.LaunchedAt = min(m.LaunchedAt, i.Now-micros.FromSeconds(cm.AgeS))
		if cm.State == api.InstanceFailed && !m.Record.Condemned {
			i.handleFailedInstance(m)
		}
		return
	}
	// A rental that was not expected: of a late request, or one whose renter
	// ended before it could record it. Lists lag, so it is given time.
	if i.sweeping && i.Now > l.firstSeenAt+micros.FromSeconds(2*i.Settings.Deployment.Cloud.ListLagS+orphanGraceS) {
		i.handleOrphan(cm)
		l.firstSeenAt = i.Now
	}
}

// ObserveUnknownWorker notes a worker that no record is known of.
func (i *InstanceList) ObserveUnknownWorker(r *api.Heartbeat) {
	l := i.listedInstances["report "+r.Machine]
	if l == nil {
		i.listedInstances["report "+r.Machine] = &listedInstance{firstSeenAt: i.Now, lastSeenAt: i.Now, listRound: i.listRound}
		return
	}
	l.lastSeenAt, l.listRound = i.Now, i.listRound
	if i.Now > l.firstSeenAt+6*micros.Second && i.roles.MayPerform(leadership.OrphanAdopter) {
		// Only what answers is there: the report may be a late copy of one
		// from a machine long returned.
		l.firstSeenAt = i.Now
		i.Emit(message.ProbeCommand(r.Machine, r.Address, r.Incarnation))
	}
}

// AdoptOrphan records a stray machine in a partition of ours; it is used or returned
// like any other. It tells whether that is ours to do.
func (i *InstanceList) AdoptOrphan(stray peer.Orphan, how string) bool {
	if !i.roles.MayPerform(leadership.OrphanAdopter) || !i.roles.LeadsAnyPartition() {
		return false
	}
	if i.deletions.RecentlyDeleted(stray.Machine) || i.isBeingRecorded(stray.Machine) {
		return true
	}
	for _, p := range i.cluster.Partitions {
		if !p.Leads() {
			continue
		}
		i.LogInfo("orphaned machine adopted", logkey.Machine, stray.Machine, logkey.Type, stray.Type, logkey.Source, how)
		row := records.MachineRecord{Name: stray.Machine, Type: stray.Type, Zone: stray.Zone, Spot: stray.Spot, HomePartition: p.Index, Partition: p.Index, LaunchedAt: i.Now}
		p.MachineBatches = append(p.MachineBatches, &cluster.MachineBatch{Records: []records.MachineRecord{row}, Adopt: true, OnRecorded: func() {}})
		break
	}
	return true
}

// isBeingRecorded tells whether a machine is about to be recorded.
func (i *InstanceList) isBeingRecorded(name string) bool {
	for _, p := range i.cluster.Partitions {
		for _, n := range p.MachineBatches {
			if slices.ContainsFunc(n.Records, func(r records.MachineRecord) bool { return r.Name == name }) {
				return true
			}
		}
	}
	return false
}
