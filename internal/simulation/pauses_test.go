package simulation

import (
	"flag"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"spurmoor/internal/history"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

var (
	simulatedPauseCount = flag.Int("freezes", 0, "measure so many simulated pauses of a leader, at random moments")
	loopbackPauseCount  = flag.Int("loopback-freezes", 0, "measure so many pauses of a real process on loopback")
)

// TestFreezes pauses a simulated leader at random moments, and measures the time until the
// next leader's first order. It also counts the orders that the paused leader had decided, by
// whether they were refused or took effect. It is skipped without its flag:
//
//	go test ./internal/simulation -run TestFreezes -freezes 200 -v
func TestFreezes(t *testing.T) {
	if *simulatedPauseCount == 0 {
		t.Skip("no -freezes")
	}
	text := readFile(t, "testdata/roles_paused_leader_with_orders.toml")
	failoverTimes := history.NewDistribution()
	var staleOrders staleOrderCount
	for seed := range *simulatedPauseCount {
		scenario := mustParse(t, text)
		pausedAtS := schedulePause(scenario, seed)
		sim, violations, err := Run(scenario)
		if err != nil || len(violations) > 0 {
			t.Errorf("seed %d: got error %v and violations %q, want none", seed, err, violations)
			continue
		}
		staleOrders.add(sim, sim.startedAt+micros.FromSeconds(pausedAtS), failoverTimes)
	}
	t.Logf("from the pause to the next leader's first order: %s", failoverTimes)
	t.Logf("%+v", staleOrders)
}

// schedulePause replaces the faults of a scenario. The first partition's leader is paused
// once, at a moment drawn from the seed, while its orders wait in the process. schedulePause
// returns that moment in seconds since the start.
func schedulePause(scenario *Scenario, seed int) float64 {
	rng := rand.New(rand.NewPCG(uint64(seed), 5))
	scenario.Seed, scenario.DurationS, scenario.AtLeast = uint64(seed), 150, nil
	scenario.Expectations, scenario.MayLeaveUnserved = nil, true
	atS := 15 + rng.Float64()*60
	scenario.Faults = []Fault{
		{AtS: atS - 1, ForS: 2, Kind: FaultDelayedOrders, Partition: 1},
		{AtS: atS, ForS: 30, Kind: FaultPause, Partition: 1},
	}
	if seed%2 == 0 { // the network also holds back what the leader sent right before
		scenario.Faults = append(scenario.Faults, Fault{
			AtS: atS - 0.7, ForS: 31, Kind: FaultLinkCut + ":" + FaultKind(linkAll), HoldPackets: true, Partition: 1,
		})
	}
	return atS
}

// staleOrderCount counts, over all runs, the orders of replaced leaders: those that the
// sender's grant check refused, those that the receiver refused or that changed nothing, and
// those that took effect. A deletion never counts as taking effect, since it is harmless under
// any term.
type staleOrderCount struct {
	RefusedBySender, RefusedByReceiver, TookEffect, Pauses int
}

// add counts the stale orders of one run, and adds the time from the pause to the next
// leader's first order to failoverTimes.
func (c *staleOrderCount) add(sim *Simulation, pausedAt micros.Micros, failoverTimes *history.Distribution) {
	c.Pauses++
	c.RefusedBySender += sim.occurrences[occurredOrderRefused]
	var termBefore leadership.Term
	replacedAt := micros.Micros(0)
	for _, order := range sim.orders {
		if order.role != leadership.PartitionRole(0).String() {
			continue
		}
		switch {
		case order.at < pausedAt:
			termBefore = max(termBefore, order.term)
		case order.term > termBefore && replacedAt == 0:
			replacedAt = order.at
			failoverTimes.Add(replacedAt - pausedAt)
		case order.term == termBefore && replacedAt > 0 && order.tookEffect && order.action != leadership.ActionDelete:
			c.TookEffect++
		case order.term == termBefore && replacedAt > 0:
			c.RefusedByReceiver++
		}
	}
}

// TestLoopbackFreezes is TestFreezes with real processes, paused by SIGSTOP and resumed by
// SIGCONT. It measures the time to the next leader's first order only.
func TestLoopbackFreezes(t *testing.T) {
	if *loopbackPauseCount == 0 {
		t.Skip("no -loopback-freezes")
	}
	cluster := newLoopbackCluster(t, mustParse(t, rolesScenario))
	cluster.enableRoles("")
	cluster.startAll(cluster.build("spurmoor", "."))
	failoverTimes := history.NewDistribution()
	for round := range *loopbackPauseCount {
		leader := -1
		cluster.waitUntil("the partition has a leader", func() bool {
			leader = cluster.leaderOf(0)
			return leader >= 0
		})
		cluster.submit(100+round, Job{Tasks: 2, GPUs: 1, RunS: 2, Team: cluster.teamInPartition(0)})
		cluster.signal(leader, syscall.SIGSTOP)
		pausedAt := time.Now()
		byNextLeader := func(order *relayedOrder) bool {
			return order.sender != leader && order.role == leadership.PartitionRole(0).String() && order.arrivedAt.After(pausedAt)
		}
		cluster.waitUntil("another leader sends an order", func() bool { return len(cluster.relay.ordersMatching(byNextLeader)) > 0 })
		first := cluster.relay.ordersMatching(byNextLeader)[0]
		failoverTimes.Add(micros.Micros(first.arrivedAt.Sub(pausedAt).Microseconds()))
		cluster.signal(leader, syscall.SIGCONT)
		cluster.waitReady(leader)
	}
	t.Logf("from the pause to the next leader's first order: %s", failoverTimes)
	cluster.checkTermsAscending()
	cluster.checkNoViolations()
}
