package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/scheduler"
)

// machineLending moves machines between partitions: it offers idle ones, and gives what
// other partitions ask for where that is permitted.
type machineLending struct {
	*environment
	cluster      *clusterState
	peers        *peerTracker
	registry     *machineRegistry
	reservations *reservationPlanner
	urgencies    *urgencyIndex
	view         *schedulerView
}

func newMachineLending(env *environment, cluster *clusterState, peers *peerTracker, registry *machineRegistry,
	reservations *reservationPlanner, urgencies *urgencyIndex, view *schedulerView) *machineLending {
	return &machineLending{environment: env, cluster: cluster, peers: peers, registry: registry, reservations: reservations, urgencies: urgencies, view: view}
}

// maxIdleOffers bounds what is offered at a time: a message to another controller holds it.
const maxIdleOffers = 400

// idleOffers lists machines of ours that another partition may borrow. Where there are more
// than are offered, each kind has its turn: offered by name alone, four thousand idle
// machines of one type would hide the few of another that a gang waits for.
func (l *machineLending) idleOffers() []peer.IdleMachine {
	kinds := map[scheduler.InstanceKind][]peer.IdleMachine{}
	var order []scheduler.InstanceKind
	for _, m := range l.cluster.machinesByName {
		if !l.isLendable(m) || l.now <= m.idleSince+micros.Second/3 {
			continue
		}
		k := scheduler.InstanceKind{Type: m.record.Type, Zone: m.record.Zone, Spot: m.record.Spot}
		if kinds[k] == nil {
			order = append(order, k)
		}
		kinds[k] = append(kinds[k], peer.IdleMachine{Machine: m.name})
	}
	return interleaveKinds(kinds, order, maxIdleOffers)
}

// interleaveKinds takes one of each kind in turn, so many in all at the most.
func interleaveKinds(kinds map[scheduler.InstanceKind][]peer.IdleMachine, order []scheduler.InstanceKind, most int) []peer.IdleMachine {
	var list []peer.IdleMachine
	for turn := 0; len(list) < most; turn++ {
		before := len(list)
		for _, k := range order {
			if turn < len(kinds[k]) && len(list) < most {
				list = append(list, kinds[k][turn])
			}
		}
		if len(list) == before {
			break
		}
	}
	return list
}

func (l *machineLending) isLendable(m *machine) bool {
	return l.cluster.ledPartition(m) != nil && m.tokenConfirmed && l.reservations.reservedForPartition(m) < 0 && l.cluster.isEmptyAndCommitted(m) && m.allTasksEnded() && !m.recordChangePending() && !m.record.Condemned && !m.quarantined &&
		m.interruptionAt == 0 && !l.claimedByOwnPartition(m) && m.ignoringSince == 0 && l.now < m.lastSeenAt+l.settings.contactTimeout()
}

// isBorrowable tells whether a machine of another partition may be borrowed.
func (l *machineLending) isBorrowable(name string) bool {
	m := l.cluster.machines[name]
	if l.cluster.ledPartition(m) != nil {
		return l.isLendable(m) && l.now > m.idleSince+micros.Second/3
	}
	for _, h := range l.peers.byNode {
		if l.now < h.lastHeartbeatAt+3*micros.Second && h.idleMachines[name] {
			return true
		}
	}
	return false
}

// claimedByOwnPartition tells whether a job of the machine's own partition has a claim on it.
func (l *machineLending) claimedByOwnPartition(m *machine) bool {
	j := l.cluster.jobs[m.claimedBy]
	return j != nil && j.partition == m.record.Partition
}

// mayPreemptAll tells whether PROTOCOL's preemption permits stopping all of a
// machine's tasks for what asks: they are of a lower tier, or of its own and
// their teams keep their guarantees without them and the asker's is within its.
func (l *machineLending) mayPreemptAll(m *machine, a peer.MachineRequest) bool {
	without := map[string]scheduler.Resources{}
	for _, id := range m.taskIDsCopy() {
		j := l.cluster.jobs[id.job]
		tier := l.urgencies.effectiveTier(j)
		if tier < a.Tier || tier < a.InheritedTier && j.spec.Kind == api.Array && !l.view.startedRecently(j.task(id.index)) {
			continue
		}
		if tier > a.Tier || l.view.startedRecently(j.task(id.index)) {
			return false // permitted within a guarantee, but it costs more than it serves
		}
		without[j.spec.Team] = without[j.spec.Team].Add(j.request, 1)
		if team := l.view.schedulerTeam(j.spec.Team); !a.Guaranteed || !team.KeepsGuaranteeWithout(without[j.spec.Team]) {
			return false
		}
	}
	return true
}

// handleMachineRequests moves the machines that others ask for, where we hold them.
func (l *machineLending) handleMachineRequests(asks []peer.MachineRequest) {
	for _, a := range asks {
		m := l.cluster.machines[a.Machine]
		if m == nil || l.cluster.ledPartition(m) == nil || m.record.Partition == a.Partition || a.Partition < 0 || a.Partition >= len(l.cluster.partitions) {
			continue
		}
		if l.isLendable(m) {
			l.registry.transferMachine(m, a.Partition)
		} else if l.isMovable(m) {
			l.promiseMachine(m, a)
		}
	}
}

// isMovable tells whether a machine with tasks may be set aside for another partition.
func (l *machineLending) isMovable(m *machine) bool {
	if m.moveToPartition >= 0 || !m.tokenConfirmed || m.record.Condemned || m.quarantined || m.interruptionAt > 0 {
		return false
	}
	return l.reservations.reservedForPartition(m) < 0 && !l.claimedByOwnPartition(m)
}

// promiseMachine sets a machine with tasks aside for another partition, if that is permitted.
func (l *machineLending) promiseMachine(m *machine, a peer.MachineRequest) {
	switch {
	case a.Spare:
		l.logInfo("spare machine is given once it is empty", "machine", m.name, "to", a.Partition, "tasks", len(m.taskIDs))
		m.moveToPartition, m.preemptForMove = a.Partition, false
	case a.Reclaim && m.record.HomePartition == a.Partition:
		l.logInfo("lent machine reclaimed", "machine", m.name, "home", a.Partition)
		m.moveToPartition, m.preemptForMove = a.Partition, false
	case a.Tier > 0 && l.mayPreemptAll(m, a):
		l.logInfo("machine yielded", "machine", m.name, "to", a.Partition, "tasks", len(m.taskIDs), "tier", a.Tier, "guaranteed", a.Guaranteed)
		m.moveToPartition, m.preemptForMove = a.Partition, true
	}
}
