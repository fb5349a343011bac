package planning

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/scheduler"
)

// MachineLending moves machines between partitions: it offers idle ones, and gives what
// other partitions ask for where that is permitted.
type MachineLending struct {
	*coordination.Environment
	cluster      *cluster.State
	peers        *coordination.PeerTracker
	registry     *cluster.MachineRegistry
	reservations *ReservationPlanner
	urgencies    *UrgencyIndex
	view         *SchedulerView
}

// NewMachineLending makes a machine lending.
func NewMachineLending(env *coordination.Environment, cluster *cluster.State, peers *coordination.PeerTracker, registry *cluster.MachineRegistry,
	reservations *ReservationPlanner, urgencies *UrgencyIndex, view *SchedulerView) *MachineLending {
	return &MachineLending{Environment: env, cluster: cluster, peers: peers, registry: registry, reservations: reservations, urgencies: urgencies, view: view}
}

// MaxIdleOffers bounds what is offered at a time: a message to another controller holds it.
const MaxIdleOffers = 400

// IdleOffers lists machines of ours that another partition may borrow. Where there are more
// than are offered, each kind has its turn: offered by name alone, four thousand idle
// machines of one type would hide the few of another that a gang waits for.
func (l *MachineLending) IdleOffers() []peer.IdleMachine {
	kinds := map[scheduler.InstanceKind][]peer.IdleMachine{}
	var order []scheduler.InstanceKind
	for _, m := range l.cluster.MachinesByName {
		if !l.isLendable(m) || l.Now <= m.IdleSince+micros.Second/3 {
			continue
		}
		k := scheduler.InstanceKind{Type: m.Record.Type, Zone: m.Record.Zone, Spot: m.Record.Spot}
		if kinds[k] == nil {
			order = append(order, k)
		}
		kinds[k] = append(kinds[k], peer.IdleMachine{Machine: m.Name})
	}
	return InterleaveKinds(kinds, order, MaxIdleOffers)
}

// InterleaveKinds takes one of each kind in turn, so many in all at the most.
func InterleaveKinds(kinds map[scheduler.InstanceKind][]peer.IdleMachine, order []scheduler.InstanceKind, most int) []peer.IdleMachine {
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

func (l *MachineLending) isLendable(m *cluster.Machine) bool {
	return l.cluster.LedPartition(m) != nil && m.TokenConfirmed && l.reservations.reservedForPartition(m) < 0 && l.cluster.IsEmptyAndCommitted(m) && m.AllTasksEnded() && !m.RecordChangePending() && !m.Record.Condemned && !m.Quarantined &&
		m.InterruptionAt == 0 && !l.claimedByOwnPartition(m) && m.IgnoringSince == 0 && l.Now < m.LastSeenAt+l.Settings.ContactTimeout()
}

// isBorrowable tells whether a machine of another partition may be borrowed.
func (l *MachineLending) isBorrowable(name string) bool {
	m := l.cluster.Machines[name]
	if l.cluster.LedPartition(m) != nil {
		return l.isLendable(m) && l.Now > m.IdleSince+micros.Second/3
	}
	for _, h := range l.peers.ByNode {
		if l.Now < h.LastHeartbeatAt+3*micros.Second && h.IdleMachines[name] {
			return true
		}
	}
	return false
}

// claimedByOwnPartition tells whether a job of the machine's own partition has a claim on it.
func (l *MachineLending) claimedByOwnPartition(m *cluster.Machine) bool {
	j := l.cluster.Jobs[m.ClaimedBy]
	return j != nil && j.Partition == m.Record.Partition
}

// mayPreemptAll tells whether PROTOCOL's preemption permits stopping all of a
// machine's tasks for what asks: they are of a lower tier, or of its own and
// their teams keep their guarantees without them and the asker's is within its.
func (l *MachineLending) mayPreemptAll(m *cluster.Machine, a peer.MachineRequest) bool {
	without := map[string]scheduler.Resources{}
	for _, id := range m.TaskIDsCopy() {
		j := l.cluster.Jobs[id.Job]
		tier := l.urgencies.effectiveTier(j)
		if tier < a.Tier || tier < a.InheritedTier && j.Spec.Kind == api.Array && !l.view.startedRecently(j.Task(id.Index)) {
			continue
		}
		if tier > a.Tier || l.view.startedRecently(j.Task(id.Index)) {
			return false // permitted within a guarantee, but it costs more than it serves
		}
		without[j.Spec.Team] = without[j.Spec.Team].Add(j.Request, 1)
		if team := l.view.schedulerTeam(j.Spec.Team); !a.Guaranteed || !team.KeepsGuaranteeWithout(without[j.Spec.Team]) {
			return false
		}
	}
	return true
}

// HandleMachineRequests moves the machines that others ask for, where we hold them.
func (l *MachineLending) HandleMachineRequests(asks []peer.MachineRequest) {
	for _, a := range asks {
		m := l.cluster.Machines[a.Machine]
		if m == nil || l.cluster.LedPartition(m) == nil || m.Record.Partition == a.Partition || a.Partition < 0 || a.Partition >= len(l.cluster.Partitions) {
			continue
		}
		if l.isLendable(m) {
			l.registry.TransferMachine(m, a.Partition)
		} else if l.isMovable(m) {
			l.promiseMachine(m, a)
		}
	}
}

// isMovable tells whether a machine with tasks may be set aside for another partition.
func (l *MachineLending) isMovable(m *cluster.Machine) bool {
	if m.MoveToPartition >= 0 || !m.TokenConfirmed || m.Record.Condemned || m.Quarantined || m.InterruptionAt > 0 {
		return false
	}
	return l.reservations.reservedForPartition(m) < 0 && !l.claimedByOwnPartition(m)
}

// promiseMachine sets a machine with tasks aside for another partition, if that is permitted.
func (l *MachineLending) promiseMachine(m *cluster.Machine, a peer.MachineRequest) {
	switch {
	case a.Spare:
		l.LogInfo("spare machine promised", logkey.Machine, m.Name, logkey.ToPartition, a.Partition, logkey.Tasks, len(m.TaskIDs))
		m.MoveToPartition, m.PreemptForMove = a.Partition, false
	case a.Reclaim && m.Record.HomePartition == a.Partition:
		l.LogInfo("lent machine reclaimed", logkey.Machine, m.Name, logkey.HomePartition, a.Partition)
		m.MoveToPartition, m.PreemptForMove = a.Partition, false
	case a.Tier > 0 && l.mayPreemptAll(m, a):
		l.LogInfo("machine promised", logkey.Machine, m.Name, logkey.ToPartition, a.Partition, logkey.Tasks, len(m.TaskIDs), logkey.Tier, a.Tier, logkey.Guaranteed, a.Guaranteed)
		m.MoveToPartition, m.PreemptForMove = a.Partition, true
	}
}
