package planning

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/peer"
	"spurmoor/internal/scheduler"
)

// lendingCases are changes of an idle machine that this controller leads, and what may be
// done with the machine afterwards.
var lendingCases = []struct {
	name     string
	change   func(f *fixture, machine *cluster.Machine)
	lendable bool
	offered  bool
}{
	{name: "idle", change: func(*fixture, *cluster.Machine) {}, lendable: true, offered: true},
	{name: "idle just now", change: func(f *fixture, machine *cluster.Machine) { machine.IdleSince = f.env.Now }, lendable: true},
	{name: "led by another controller", change: func(_ *fixture, machine *cluster.Machine) { machine.Record.Partition = 1 }},
	{name: "token not confirmed", change: func(_ *fixture, machine *cluster.Machine) { machine.TokenConfirmed = false }},
	{name: "with a task", change: func(f *fixture, machine *cluster.Machine) {
		f.placeTask(machine, "wk-1", api.Job{Kind: api.KindArray})
	}},
	{name: "task left, not committed", change: func(f *fixture, machine *cluster.Machine) {
		machine.UncommittedRemovals = map[string]bool{"wk-1": true}
		f.state.AddJob("wk-1", api.Job{}).UncommittedTasks = 1
	}},
	{name: "task left, committed", change: func(f *fixture, machine *cluster.Machine) {
		machine.UncommittedRemovals = map[string]bool{"wk-1": true}
		f.state.AddJob("wk-1", api.Job{})
	}, lendable: true, offered: true},
	{name: "worker still reports a task", change: func(_ *fixture, machine *cluster.Machine) {
		machine.ReportedTasks = []api.TaskStatus{{Task: "wk-1/0", State: api.TaskRunning}}
	}},
	{name: "record changes", change: func(_ *fixture, machine *cluster.Machine) { machine.PendingChange = cluster.CopyRecord }},
	{name: "marked for deletion", change: func(_ *fixture, machine *cluster.Machine) { machine.Record.MarkedForDeletion = true }},
	{name: "quarantined", change: func(_ *fixture, machine *cluster.Machine) { machine.Quarantined = true }},
	{name: "to be interrupted", change: func(f *fixture, machine *cluster.Machine) { machine.InterruptionAt = f.env.Now }},
	{name: "ignores commands", change: func(f *fixture, machine *cluster.Machine) { machine.IgnoringCommandsSince = f.env.Now }},
	{name: "not heard from", change: func(f *fixture, machine *cluster.Machine) {
		machine.LastSeenAt = f.env.Now - f.env.Settings.ContactTimeout()
	}},
	{name: "claimed by its own partition", change: func(f *fixture, machine *cluster.Machine) {
		f.state.AddJob("wk-1", api.Job{}).Partition = 0
		machine.ClaimedBy = "wk-1"
	}},
	{name: "claimed by another partition", change: func(f *fixture, machine *cluster.Machine) {
		f.state.AddJob("wk-1", api.Job{}).Partition = 1
		machine.ClaimedBy = "wk-1"
	}, lendable: true, offered: true},
	{name: "reserved", change: func(f *fixture, machine *cluster.Machine) {
		f.state.AddJob("wk-1", api.Job{})
		f.reservations.byMachine = map[string]scheduler.AdvanceReservation{machine.Name: {Job: &scheduler.Job{ID: "wk-1"}}}
	}},
	{name: "reserved for a gang that has started", change: func(f *fixture, machine *cluster.Machine) {
		f.state.AddJob("wk-1", api.Job{}).PlacedTasks = 1
		f.reservations.byMachine = map[string]scheduler.AdvanceReservation{machine.Name: {Job: &scheduler.Job{ID: "wk-1"}}}
	}, lendable: true, offered: true},
}

// TestLendableMachines guards against lending a machine that something runs on or is
// intended for, that this controller does not lead, or that would be of no use to the
// borrower.
func TestLendableMachines(t *testing.T) {
	t.Parallel()
	for _, tc := range lendingCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			machine := fix.addIdleMachine(t)
			tc.change(fix, machine)
			if got := fix.lender.isLendable(machine); got != tc.lendable {
				t.Errorf("isLendable: got %t, want %t", got, tc.lendable)
			}
			if got := len(fix.lender.IdleOffers()) == 1; got != tc.offered {
				t.Errorf("offered: got %t, want %t", got, tc.offered)
			}
			if machine.Record.Partition != 0 {
				return // another controller then decides whether it may be borrowed
			}
			if got := fix.lender.isBorrowable(machine); got != tc.offered {
				t.Errorf("isBorrowable: got %t, want %t", got, tc.offered)
			}
		})
	}
}

// TestPeerOffersExpire guards against requests for machines that another controller
// offered too long ago.
func TestPeerOffersExpire(t *testing.T) {
	t.Parallel()
	fix := newFixture(t)
	machine := fix.addIdleMachine(t)
	machine.Record.Partition = 1
	if fix.lender.isBorrowable(machine) {
		t.Error("isBorrowable without an offer: got true, want false")
	}
	fix.peers.Observe(&peer.Heartbeat{Node: "nodo-2", Healthy: true, IdleMachines: []peer.IdleMachine{{Machine: machine.Name}}})
	fix.env.Now += offerDuration - 1
	if !fix.lender.isBorrowable(machine) {
		t.Error("isBorrowable with a valid offer: got false, want true")
	}
	fix.env.Now++
	if fix.lender.isBorrowable(machine) {
		t.Error("isBorrowable with an expired offer: got true, want false")
	}
}

// TestTransfersFollowPreemptionRules guards against stopping tasks for another partition
// where the rules for preemption forbid it.
func TestTransfersFollowPreemptionRules(t *testing.T) {
	t.Parallel()
	array := func(priority api.Priority) api.Job { return api.Job{Kind: api.KindArray, Priority: priority} }
	low, high := array(api.PriorityBestEffort), array(api.PriorityProduction)
	lowTier, highTier := low.Priority.Tier(), high.Priority.Tier()
	request := func(tier, inheritedTier int, guaranteed bool) peer.MachineRequest {
		return peer.MachineRequest{Tier: tier, InheritedTier: inheritedTier, Guaranteed: guaranteed}
	}
	gang := low
	gang.Kind = api.KindGang
	for _, tc := range []struct {
		name    string
		spec    api.Job
		recent  bool // the task was placed just now
		used    float64
		request peer.MachineRequest
		want    bool
	}{
		{name: "lower tier", spec: low, request: request(highTier, 0, false), want: true},
		{name: "lower tier, just started", spec: low, recent: true, request: request(highTier, 0, false), want: true},
		{name: "higher tier", spec: high, used: 100, request: request(lowTier, 0, true)},
		{name: "same tier", spec: low, used: 100, request: request(lowTier, 0, false)},
		{name: "same tier, into a guarantee", spec: low, used: 12, request: request(lowTier, 0, true), want: true},
		{name: "same tier, both need their guarantee", spec: low, used: 11, request: request(lowTier, 0, true)},
		{name: "same tier, just started", spec: low, recent: true, used: 100, request: request(lowTier, 0, true)},
		{name: "inherited tier", spec: low, request: request(lowTier, highTier, false), want: true},
		{name: "inherited tier, just started", spec: low, recent: true, request: request(lowTier, highTier, false)},
		{name: "inherited tier, gang", spec: gang, request: request(lowTier, highTier, false)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			machine := fix.addIdleMachine(t)
			task := fix.placeTask(machine, "wk-1", tc.spec)
			if tc.recent {
				task.PlacedAt = fix.env.Now - recentStartWindow + 1
			}
			*fix.state.TeamUsage["team"] = scheduler.NewResources(0, tc.used, 0)
			if got := fix.lender.mayPreemptAll(machine, tc.request); got != tc.want {
				t.Errorf("mayPreemptAll: got %t, want %t", got, tc.want)
			}
		})
	}
}

// TestScheduledTransfers guards against scheduling a machine with tasks for transfer
// twice, or to a partition that has no right to it.
func TestScheduledTransfers(t *testing.T) {
	t.Parallel()
	spare := peer.MachineRequest{Partition: 1, Spare: true}
	reclaim := peer.MachineRequest{Partition: 1, Reclaim: true}
	lentByOther := func(machine *cluster.Machine) { machine.Record.HomePartition = 1 }
	quarantine := func(machine *cluster.Machine) { machine.Quarantined = true }
	scheduleTransfer := func(machine *cluster.Machine) { machine.TransferToPartition = 0 }
	for _, tc := range []struct {
		name    string
		change  func(machine *cluster.Machine)
		request peer.MachineRequest
		moveTo  int
	}{
		{name: "spare", request: spare, moveTo: 1},
		{name: "reclaimed", change: lentByOther, request: reclaim, moveTo: 1},
		{name: "reclaimed by a partition that is not its home", request: reclaim, moveTo: noPartition},
		{name: "to its own partition", request: peer.MachineRequest{Partition: 0, Spare: true}, moveTo: noPartition},
		{name: "to no partition", request: peer.MachineRequest{Partition: 2, Spare: true}, moveTo: noPartition},
		{name: "quarantined", change: quarantine, request: spare, moveTo: noPartition},
		{name: "already scheduled for transfer", change: scheduleTransfer, request: spare, moveTo: 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			machine := fix.addIdleMachine(t)
			fix.placeTask(machine, "wk-1", api.Job{Kind: api.KindArray})
			if tc.change != nil {
				tc.change(machine)
			}
			tc.request.Machine = machine.Name
			fix.lender.HandleMachineRequests([]peer.MachineRequest{tc.request})
			if machine.TransferToPartition != tc.moveTo || machine.PreemptForTransfer {
				t.Errorf("got transfer to %d, preempting %t; want %d, false",
					machine.TransferToPartition, machine.PreemptForTransfer, tc.moveTo)
			}
		})
	}
}
