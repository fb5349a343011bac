package simulation

import (
	"net/http"
	"syscall"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"

	"github.com/go-json-experiment/json"
)

// rolesScenario has exclusive roles, and room for a few jobs.
const rolesScenario = `duties = true
lease_s = 20
cancel_s = 45
[[type]]
name = "g4"
cpus = 24
gpus = 4
price = 8
boot_s = 2
count = 12
`

// allActions lists what orders can do.
var allActions = []leadership.Action{leadership.Write, leadership.Launch, leadership.Delete, leadership.Command}

// enableRoles has the processes that are started from now on share the fleet's roles, and
// use these other settings of the operators.
func (l *loopback) enableRoles(others string) {
	l.t.Helper()
	roles := "[duties]\nexclusive = [\"strays\", \"sweep\", \"catalogue\"]\nrecord_rentals = true\n"
	l.operators = l.writeFile("operators.toml", []byte(others+roles))
}

// roles asks a controller about the roles.
func (l *loopback) roles(index int) api.Roles {
	status, raw := l.request(http.MethodGet, index, "/duties", nil)
	var roles api.Roles
	if status != http.StatusOK || json.Unmarshal(raw, &roles) != nil {
		return api.Roles{}
	}
	return roles
}

// rolesByName asks a controller which role has which leader.
func (l *loopback) rolesByName(index int) map[string]api.RoleStatus {
	byName := map[string]api.RoleStatus{}
	for _, role := range l.roles(index).Roles {
		byName[role.Role] = role
	}
	return byName
}

// leaderOf returns which process leads a partition; -1: none.
func (l *loopback) leaderOf(partition int) int {
	index := -1
	l.locked(func() {
		if leader := l.sim.leaderOf(partition); leader != nil {
			index = leader.index
		}
	})
	return index
}

// replaced reports whether another process leads the partition that is a process's own.
func (l *loopback) replaced(index int) bool {
	leader := l.leaderOf(index)
	return leader >= 0 && leader != index
}

// TestPausedLeader pauses the leader of a partition while orders of every kind that it
// sent are held back in the network, lets another take over, delivers what was held and
// resumes the old leader: each of its orders is refused or changes nothing.
func TestPausedLeader(t *testing.T) {
	cluster := newLoopback(t, mustParse(t, rolesScenario))
	cluster.enableRoles("hold_ttl_s = 2\n")
	cluster.startAll(cluster.build("spurmoor", "."))
	cluster.waitUntil("the fleet's roles have three leaders", func() bool {
		roles := cluster.rolesByName(0)
		return roles["strays"].Leader == nodeName(0) && roles["sweep"].Leader == nodeName(1) &&
			roles["catalogue"].Leader == nodeName(2)
	})
	const paused = 0
	team := cluster.teamOf(paused)
	cluster.waitForState(cluster.submit(1, Job{Tasks: 4, GPUs: 4, RunS: 0.5, Team: team}), 1, api.JobDone)

	jobs := cluster.holdOrdersOfEveryKind(paused, team)
	cluster.signal(paused, syscall.SIGSTOP)
	cluster.waitUntil("another leads the partition", func() bool { return cluster.replaced(paused) })
	cluster.waitForNextLeader(paused)
	cluster.relay.deliver()
	cluster.waitUntil("all that was held is delivered", func() bool {
		undelivered := func(order *relayedOrder) bool { return order.held && order.deliveredAt.IsZero() }
		return len(cluster.relay.ordersMatching(undelivered)) == 0
	})
	cluster.signal(paused, syscall.SIGCONT)
	cluster.waitUntil("the old leader knows that it was replaced", func() bool {
		role := cluster.rolesByName(paused)[leadership.PartitionRole(paused).String()]
		return role.Leader != "" && role.Leader != nodeName(paused) && role.RemainingS == nil
	})
	for _, id := range jobs {
		cluster.waitForState(id, 1, api.JobDone)
	}
	cluster.checkStaleOrders(paused)
	cluster.checkTermsDisjoint()
	cluster.checkNoViolations()
	cluster.stopGracefully(2)
}

// teamOf returns a team of a partition.
func (l *loopback) teamOf(partition int) string {
	l.t.Helper()
	set, err := l.sim.scenario.settingsFor(0, false)
	if err != nil {
		l.t.Fatal(err)
	}
	for _, team := range l.sim.scenario.Teams {
		if set.TeamPartition[team.Name] == partition {
			return team.Name
		}
	}
	l.t.Fatalf("no team in partition %d", partition)
	return ""
}

// holdOrdersOfEveryKind holds back what a process sends until there is an order of every
// kind, and returns the jobs that they are for.
func (l *loopback) holdOrdersOfEveryKind(index int, team string) []string {
	l.t.Helper()
	held := func(action leadership.Action) func() bool {
		matches := func(order *relayedOrder) bool {
			return order.sender == index && order.action == action && order.held
		}
		return func() bool { return len(l.relay.ordersMatching(matches)) > 0 }
	}
	l.relay.hold(index, leadership.Launch, leadership.Delete, leadership.Command)
	l.waitUntil("an idle machine will be interrupted", func() bool { return l.interruptIdleMachine(index) })
	l.waitUntil("a deletion is held back", held(leadership.Delete))
	// More than there is room for: some start on machines that are there.
	jobs := []string{l.submit(2, Job{Tasks: 6, GPUs: 4, RunS: 3, Team: team})}
	l.waitUntil("a launch is held back", held(leadership.Launch))
	l.waitUntil("a command is held back", held(leadership.Command))
	l.relay.hold(index, leadership.Write)
	jobs = append(jobs, l.submit(4, Job{Tasks: 2, GPUs: 4, RunS: 1, Team: team}))
	l.waitUntil("a write is held back", held(leadership.Write))
	return jobs
}

// interruptIdleMachine gives an interruption notice to an idle machine that sends its
// heartbeats to a process, and reports whether there is one.
func (l *loopback) interruptIdleMachine(index int) bool {
	found := false
	l.locked(func() {
		for _, worker := range l.sim.workers {
			if worker.up && !worker.terminated && worker.nodeIndex == index && worker.idle() && !found {
				found = true
				worker.interruptionAt = l.sim.now + 300*micros.Second
			}
		}
	})
	return found
}

// waitForNextLeader waits until the next leader has seen to all that was held back: it
// repeated the launches, commanded the workers and had the machines deleted.
func (l *loopback) waitForNextLeader(paused int) {
	l.t.Helper()
	byNextLeader := func(matches func(order *relayedOrder) bool) func() bool {
		return func() bool {
			return len(l.relay.ordersMatching(func(order *relayedOrder) bool {
				return order.sender != paused && matches(order)
			})) > 0
		}
	}
	for _, held := range l.relay.ordersMatching(func(order *relayedOrder) bool { return order.held }) {
		switch held.action {
		case leadership.Launch:
			l.waitUntil("the launch "+held.request+" is repeated", byNextLeader(func(order *relayedOrder) bool {
				return order.request == held.request && !order.deliveredAt.IsZero()
			}))
		case leadership.Command:
			l.waitUntil("the worker at "+held.worker+" has a higher fencing token", func() bool {
				return l.fencingTokenAt(held.worker) > api.FencingToken(held.term)
			})
		case leadership.Delete:
			l.waitUntil("the next leader had the machine deleted", byNextLeader(func(order *relayedOrder) bool {
				return order.action == leadership.Delete && order.tookEffect
			}))
		default: // what a write was to change, the next leader decides anew
		}
	}
}

// fencingTokenAt returns the highest fencing token that the worker at an address has seen.
func (l *loopback) fencingTokenAt(addr string) api.FencingToken {
	token := api.FencingToken(0)
	l.locked(func() {
		for _, worker := range l.sim.workers {
			for _, workerAddr := range l.workerAddrs[worker.addr] {
				if workerAddr == addr {
					token = worker.fencingToken
				}
			}
		}
	})
	return token
}

// checkStaleOrders checks that stale orders of every kind arrived, and that none took
// effect.
func (l *loopback) checkStaleOrders(paused int) {
	l.t.Helper()
	for _, action := range allActions {
		stale := l.relay.ordersMatching(func(order *relayedOrder) bool {
			return order.sender == paused && order.action == action && order.held
		})
		if len(stale) == 0 {
			l.t.Errorf("no stale %s came", action)
		}
		for _, order := range stale {
			if order.tookEffect {
				l.t.Errorf("a stale %s under term %d took effect %s", action, order.term, order.request)
			}
		}
		l.t.Logf("stale orders to %s delivered: %d", action, len(stale))
	}
	l.locked(func() {
		// 4 for the first job; of the 8 that the others need 3 are there.
		if launched, limit := len(l.sim.workers), 4+5; launched > limit {
			l.t.Errorf("%d machines were launched for a demand of %d", launched, limit)
		}
		if deleted := l.sim.occurrences[occurredBusyMachineDeleted]; deleted > 0 {
			l.t.Errorf("%d machines were deleted at work", deleted)
		}
	})
}

// checkTermsDisjoint checks that orders under each role took effect under one term after
// the other.
func (l *loopback) checkTermsDisjoint() {
	l.t.Helper()
	latest := map[string]relayedOrder{}
	for _, order := range l.relay.ordersMatching(func(order *relayedOrder) bool {
		return order.tookEffect && (order.action == leadership.Write || order.action == leadership.Launch)
	}) {
		last, ok := latest[order.role]
		if ok && order.term < last.term && !l.repeatedLaunch(order) {
			l.t.Errorf("%s of %s under term %d took effect after one under term %d",
				order.action, order.role, order.term, last.term)
		}
		if !ok || order.term > last.term {
			latest[order.role] = order
		}
	}
}

// repeatedLaunch reports whether an order is a launch that another leader repeats under its
// first name.
func (l *loopback) repeatedLaunch(order relayedOrder) bool {
	first := l.relay.ordersMatching(func(other *relayedOrder) bool { return other.request == order.request })
	return order.action == leadership.Launch && first[0].sender != order.sender
}

// stopGracefully has a process stop, and its roles taken over by others.
func (l *loopback) stopGracefully(index int) {
	l.t.Helper()
	l.signal(index, syscall.SIGTERM)
	if err := l.processes[index].Wait(); err != nil {
		l.t.Errorf("told to stop, it ends with %v", err)
	}
	if l.leaderOf(index) == index {
		l.t.Error("stopped gracefully, it still leads its partition")
	}
	l.waitUntil("its partition and role are another's", func() bool {
		role := l.rolesByName(1)["catalogue"]
		return l.replaced(index) && role.Leader != "" && role.Leader != nodeName(index)
	})
}
