package planning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/scheduler"
)

// MachineLender transfers machines between partitions. It offers idle machines, and
// grants the requests of other partitions where that is permitted.
type MachineLender struct {
	*coordination.Environment
	cluster      *cluster.State
	peers        *coordination.PeerTracker
	registry     *cluster.MachineRegistry
	reservations *ReservationPlanner
	urgencies    *UrgencyIndex
	view         *SchedulerView
}

// NewMachineLender returns a machine lender, which keeps no state of its own.
func NewMachineLender(
	env *coordination.Environment,
	state *cluster.State,
	peers *coordination.PeerTracker,
	registry *cluster.MachineRegistry,
	reservations *ReservationPlanner,
	urgencies *UrgencyIndex,
	view *SchedulerView,
) *MachineLender {
	return &MachineLender{
		Environment:  env,
		cluster:      state,
		peers:        peers,
		registry:     registry,
		reservations: reservations,
		urgencies:    urgencies,
		view:         view,
	}
}

const (
	// MaxIdleOffers limits the machines that are offered at a time, so that they fit into
	// one message to another controller.
	MaxIdleOffers = 400
	// minIdleToOffer is how long a machine must have been idle to be offered, so that its
	// own partition plans first.
	minIdleToOffer = micros.Second / 3
	// offerDuration is how long another controller's offer is valid. It covers a few of
	// that controller's heartbeats, since one may be lost.
	offerDuration = 3 * micros.Second
)

// IdleOffers returns the machines of this controller that another partition may borrow.
// If there are more than MaxIdleOffers, it takes them from each kind in turn. In the
// order of their names alone, four thousand idle machines of one type would hide the few
// of another type that a gang waits for.
func (l *MachineLender) IdleOffers() []peer.IdleMachine {
	offers := map[scheduler.InstanceKind][]peer.IdleMachine{}
	var order []scheduler.InstanceKind
	for _, machine := range l.cluster.MachinesByName {
		if !l.isOffered(machine) {
			continue
		}
		kind := kindOf(machine)
		if offers[kind] == nil {
			order = append(order, kind)
		}
		offers[kind] = append(offers[kind], peer.IdleMachine{Machine: machine.Name})
	}
	return InterleaveKinds(offers, order, MaxIdleOffers)
}

// kindOf returns the kind that a machine was requested as from the cloud.
func kindOf(machine *cluster.Machine) scheduler.InstanceKind {
	return scheduler.InstanceKind{Type: machine.Record.Type, Zone: machine.Record.Zone, Spot: machine.Record.Spot}
}

// InterleaveKinds returns at most limit machines, one of each kind in turn in the given
// order.
func InterleaveKinds(
	kinds map[scheduler.InstanceKind][]peer.IdleMachine, order []scheduler.InstanceKind, limit int,
) []peer.IdleMachine {
	var list []peer.IdleMachine
	for round := 0; len(list) < limit; round++ {
		before := len(list)
		for _, kind := range order {
			if round < len(kinds[kind]) && len(list) < limit {
				list = append(list, kinds[kind][round])
			}
		}
		if len(list) == before {
			break
		}
	}
	return list
}

// isOffered reports whether a machine of this controller is offered to other partitions.
func (l *MachineLender) isOffered(machine *cluster.Machine) bool {
	return l.isLendable(machine) && l.Now > machine.IdleSince+minIdleToOffer
}

// isLendable reports whether a machine may go to another partition now: this controller
// leads its partition, nothing runs on it or is intended for it, and it is healthy. It
// must also be committed that the machine is empty. Otherwise the log may still name a
// task on it, which the borrower starts although the lender has placed that task
// elsewhere.
func (l *MachineLender) isLendable(machine *cluster.Machine) bool {
	if l.cluster.LedPartition(machine) == nil || !machine.TokenConfirmed || l.reservations.isReserved(machine) {
		return false
	}
	if !l.cluster.IsEmptyAndCommitted(machine) || !machine.AllTasksEnded() || machine.RecordChangePending() {
		return false
	}
	return staysInService(machine) && !l.claimedByOwnPartition(machine) && l.isResponsive(machine)
}

// staysInService reports whether a machine is neither marked for deletion nor quarantined,
// and no interruption is announced for it.
func staysInService(machine *cluster.Machine) bool {
	return !machine.Record.MarkedForDeletion && !machine.Quarantined && machine.InterruptionAt == 0
}

// isResponsive reports whether a machine was heard from recently and obeys its commands.
func (l *MachineLender) isResponsive(machine *cluster.Machine) bool {
	return machine.IgnoringCommandsSince == 0 && l.Now < machine.LastSeenAt+l.Settings.ContactTimeout()
}

// claimedByOwnPartition reports whether a job of the machine's own partition has claimed
// it.
func (l *MachineLender) claimedByOwnPartition(machine *cluster.Machine) bool {
	job := l.cluster.Jobs[machine.ClaimedBy]
	return job != nil && job.Partition == machine.Record.Partition
}

// isBorrowable reports whether a partition may borrow a machine that is not its own: this
// controller leads the machine's partition and would offer it, or the controller that
// leads it offered it recently.
func (l *MachineLender) isBorrowable(machine *cluster.Machine) bool {
	if l.cluster.LedPartition(machine) != nil {
		return l.isOffered(machine)
	}
	for _, status := range l.peers.ByNode {
		if l.Now < status.LastHeartbeatAt+offerDuration && status.IdleMachines[machine.Name] {
			return true
		}
	}
	return false
}
