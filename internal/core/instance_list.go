package core

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// instanceList follows the cloud's list of machines: their addresses, those that failed
// or went, and those of which no record is known.
type instanceList struct {
	*environment
	cluster   *clusterState
	deletions *deletionLog
	registry  *machineRegistry
	roles     *roleManager

	nextListAt      micros.Micros
	listInFlight    bool
	listRound       int
	listedInstances map[string]*listedInstance
	sweeping        bool // this controller acts on the list
	findings        listFindings
}

func newInstanceList(env *environment, cluster *clusterState, deletions *deletionLog, registry *machineRegistry, roles *roleManager) *instanceList {
	return &instanceList{environment: env, cluster: cluster, deletions: deletions, registry: registry, roles: roles,
		listedInstances: map[string]*listedInstance{}}
}

// listedInstance is what the cloud's list said of a machine lately.
type listedInstance struct {
	firstSeenAt micros.Micros
	lastSeenAt  micros.Micros
	listRound   int
}

// trackSweeping notes when it becomes or ceases to be this controller's task to act on
// the cloud's list.
func (i *instanceList) trackSweeping() {
	if sweeps := i.roles.mayPerform(leadership.InstanceSweeper); sweeps != i.sweeping {
		i.sweeping, i.nextListAt = sweeps, i.now
	}
}

// sweepsExclusively tells whether no other controller acts on the cloud's list.
func (i *instanceList) sweepsExclusively() bool {
	return i.sweeping && i.roles.isExclusive(leadership.InstanceSweeper)
}

// listInstancesWhenDue reads the cloud's list now and then.
func (i *instanceList) listInstancesWhenDue() {
	if !i.listInFlight && i.now >= i.nextListAt {
		i.listInFlight = true
		i.listRound++
		i.listInstances("")
	}
}

func (i *instanceList) listInstances(after string) {
	i.callCloud(CloudCall{Op: OpListInstances, After: after}, func(r *CloudReply) {
		if r.Status != 200 {
			i.listInFlight = false
			i.nextListAt = i.now + i.jitter(5*micros.Second)
			return
		}
		for _, cm := range r.Instances.Instances {
			after = cm.ID
			i.observeListed(cm)
		}
		if r.Instances.More && len(r.Instances.Instances) > 0 {
			i.listInstances(after)
			return
		}
		i.listInFlight = false
		i.nextListAt = i.now + i.jitter(i.listInterval())
		i.expireUnlisted()
	})
}

// addressListInterval is how often a controller reads the cloud's list that does not sweep it:
// it only wants the addresses of machines that came up meanwhile.
const addressListInterval = 60 * micros.Second

// listInterval is how often the cloud's list is read. All controllers' lists together
// take at most a third of the calls that the cloud admits, however many machines
// there are.
func (i *instanceList) listInterval() micros.Micros {
	if !i.sweeping {
		return addressListInterval
	}
	readers := len(i.settings.Nodes)
	if i.roles.isExclusive(leadership.InstanceSweeper) {
		readers = 1
	}
	pages := float64(1 + len(i.cluster.machines)/instancesPerPage)
	paced := pages * float64(readers) / (listCallShare * i.settings.Deployment.Cloud.RPS)
	return micros.FromSeconds(max(5, i.settings.Deployment.Cloud.ListLagS, paced))
}

const (
	instancesPerPage = 500     // machines in a page of the cloud's list
	listCallShare    = 1.0 / 3 // of the cloud's calls
)

// expireUnlisted drops what was listed before and is absent from several lists.
func (i *instanceList) expireUnlisted() {
	for _, name := range slices.Sorted(maps.Keys(i.listedInstances)) {
		l := i.listedInstances[name]
		if l.listRound < i.listRound-2 && i.now > l.lastSeenAt+i.unlistedTimeout() {
			delete(i.listedInstances, name)
			if i.sweeping {
				i.handleUnlistedInstance(name)
			}
		}
	}
}

func (i *instanceList) observeListed(cm api.Instance) {
	l := i.listedInstances[cm.ID]
	if l == nil {
		l = &listedInstance{firstSeenAt: i.now}
		i.listedInstances[cm.ID] = l
	}
	l.lastSeenAt, l.listRound = i.now, i.listRound
	if m := i.cluster.machines[cm.ID]; m != nil {
		if m.address == "" {
			m.address = cm.Address
		}
		m.launchedAt = min(m.launchedAt, i.now-micros.FromSeconds(cm.AgeS))
		if cm.State == api.InstanceFailed && !m.record.Condemned {
			i.handleFailedInstance(m)
		}
		return
	}
	// A rental that was not expected: of a late request, or one whose renter
	// ended before it could record it. Lists lag, so it is given time.
	if i.sweeping && i.now > l.firstSeenAt+micros.FromSeconds(2*i.settings.Deployment.Cloud.ListLagS+orphanGraceS) {
		i.handleOrphan(cm)
		l.firstSeenAt = i.now
	}
}

// observeUnknownWorker notes a worker that no record is known of.
func (i *instanceList) observeUnknownWorker(r *api.Heartbeat) {
	l := i.listedInstances["report "+r.Machine]
	if l == nil {
		i.listedInstances["report "+r.Machine] = &listedInstance{firstSeenAt: i.now, lastSeenAt: i.now, listRound: i.listRound}
		return
	}
	l.lastSeenAt, l.listRound = i.now, i.listRound
	if i.now > l.firstSeenAt+6*micros.Second && i.roles.mayPerform(leadership.OrphanAdopter) {
		// Only what answers is there: the report may be a late copy of one
		// from a machine long returned.
		l.firstSeenAt = i.now
		i.emit(probeCommand(r.Machine, r.Address, r.Incarnation))
	}
}

// adoptOrphan records a stray machine in a partition of ours; it is used or returned
// like any other. It tells whether that is ours to do.
func (i *instanceList) adoptOrphan(stray peer.Orphan, how string) bool {
	if !i.roles.mayPerform(leadership.OrphanAdopter) || !i.roles.leadsAnyPartition() {
		return false
	}
	if i.deletions.recentlyDeleted(stray.Machine) || i.isBeingRecorded(stray.Machine) {
		return true
	}
	for _, p := range i.cluster.partitions {
		if !p.Leads() {
			continue
		}
		i.logInfo("stray machine adopted", "machine", stray.Machine, "type", stray.Type, "how", how)
		row := machineRecord{Name: stray.Machine, Type: stray.Type, Zone: stray.Zone, Spot: stray.Spot, HomePartition: p.index, Partition: p.index, LaunchedAt: i.now}
		p.machineBatches = append(p.machineBatches, &machineBatch{records: []machineRecord{row}, adopt: true, onRecorded: func() {}})
		break
	}
	return true
}

// isBeingRecorded tells whether a machine is about to be recorded.
func (i *instanceList) isBeingRecorded(name string) bool {
	for _, p := range i.cluster.partitions {
		for _, n := range p.machineBatches {
			if slices.ContainsFunc(n.records, func(r machineRecord) bool { return r.Name == name }) {
				return true
			}
		}
	}
	return false
}
