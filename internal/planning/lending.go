package planning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/scheduler"
)

// MachineLending moves machines between partitions: it offers idle ones, and gives what
// other partitions request where that is permitted.
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
func NewMachineLending(
	env *coordination.Environment,
	state *cluster.State,
	peers *coordination.PeerTracker,
	registry *cluster.MachineRegistry,
	reservations *ReservationPlanner,
	urgencies *UrgencyIndex,
	view *SchedulerView,
) *MachineLending {
	return &MachineLending{
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
	// MaxIdleOffers bounds what is offered at a time, so that one message to another
	// controller holds it.
	MaxIdleOffers = 400
	// minIdleToOffer is how long a machine must have been idle to be offered: its own
	// partition plans first.
	minIdleToOffer = micros.Second / 3
	// offerDuration is how long another controller's offer counts: a few of its
	// heartbeats, for one may be lost.
	offerDuration = 3 * micros.Second
)

// IdleOffers lists machines of ours that another partition may borrow. Where there are
// more than may be offered, each kind has its turn: offered by name alone, four thousand
// idle machines of one type would hide the few of another that a gang waits for.
func (l *MachineLending) IdleOffers() []peer.IdleMachine {
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

// kindOf gives the kind that a machine was requested as.
func kindOf(machine *cluster.Machine) scheduler.InstanceKind {
	return scheduler.InstanceKind{Type: machine.Record.Type, Zone: machine.Record.Zone, Spot: machine.Record.Spot}
}

// InterleaveKinds takes one machine of each kind in turn, in the order given, and no more
// than limit in all.
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

// isOffered tells whether a machine of ours is offered to other partitions.
func (l *MachineLending) isOffered(machine *cluster.Machine) bool {
	return l.isLendable(machine) && l.Now > machine.IdleSince+minIdleToOffer
}

// isLendable tells whether a machine may go to another partition now: it is ours, nothing
// runs on it or is meant for it, and it is in good order. That it is empty must be
// committed: a machine lent while its record still named a task started that task for the
// borrower, after the lender had placed it elsewhere.
func (l *MachineLending) isLendable(machine *cluster.Machine) bool {
	if l.cluster.LedPartition(machine) == nil || !machine.TokenConfirmed || l.reservations.isReserved(machine) {
		return false
	}
	if !l.cluster.IsEmptyAndCommitted(machine) || !machine.AllTasksEnded() || machine.RecordChangePending() {
		return false
	}
	return staysInService(machine) && !l.claimedByOwnPartition(machine) && l.responds(machine)
}

// staysInService tells whether a machine is neither about to be deleted or interrupted nor
// quarantined.
func staysInService(machine *cluster.Machine) bool {
	return !machine.Record.Condemned && !machine.Quarantined && machine.InterruptionAt == 0
}

// responds tells whether a machine was heard of late and does what it is told.
func (l *MachineLending) responds(machine *cluster.Machine) bool {
	return machine.IgnoringSince == 0 && l.Now < machine.LastSeenAt+l.Settings.ContactTimeout()
}

// claimedByOwnPartition tells whether a job of the machine's own partition has a claim on
// it.
func (l *MachineLending) claimedByOwnPartition(machine *cluster.Machine) bool {
	job := l.cluster.Jobs[machine.ClaimedBy]
	return job != nil && job.Partition == machine.Record.Partition
}

// isBorrowable tells whether a machine may be borrowed by a partition that is not its own:
// we lead its partition and would offer it, or the controller that does offered it lately.
func (l *MachineLending) isBorrowable(machine *cluster.Machine) bool {
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
