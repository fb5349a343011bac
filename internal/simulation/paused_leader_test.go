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

// rolesScenario has one leader for each of the fleet's roles, and enough machines for a few
// jobs.
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

// allActions are the actions that an order can carry out.
var allActions = []leadership.Action{leadership.ActionWrite, leadership.ActionLaunch, leadership.ActionDelete, leadership.ActionCommand}

// enableRoles writes an operators' settings file for the processes that are started from
// now on. It gives each of the fleet's roles one leader and has launches recorded;
// otherSettings, in TOML, is put before that.
func (l *loopbackCluster) enableRoles(otherSettings string) {
	l.t.Helper()
	roles := "[duties]\nexclusive = [\"strays\", \"sweep\", \"catalogue\"]\nrecord_rentals = true\n"
	l.operatorsFile = l.writeFile("operators.toml", []byte(otherSettings+roles))
}

// roles returns what a controller answers about the roles; the zero value if it does not
// answer.
func (l *loopbackCluster) roles(index int) api.Roles {
	status, raw := l.request(http.MethodGet, index, "/duties", nil)
	var roles api.Roles
	if status != http.StatusOK || json.Unmarshal(raw, &roles) != nil {
		return api.Roles{}
	}
	return roles
}

// rolesByName returns the status of each role, by its name, as a controller answers it.
func (l *loopbackCluster) rolesByName(index int) map[string]api.RoleStatus {
	byName := map[string]api.RoleStatus{}
	for _, role := range l.roles(index).Roles {
		byName[role.Role] = role
	}
	return byName
}

// leaderOf returns the index of the process that leads a partition, or -1 if none does.
func (l *loopbackCluster) leaderOf(partition int) int {
	index := -1
	l.withLock(func() {
		if leader := l.sim.leaderOf(partition); leader != nil {
			index = leader.index
		}
	})
	return index
}

// replaced reports whether another process leads the partition of which the process with
// this index is the default leader.
func (l *loopbackCluster) replaced(index int) bool {
	leader := l.leaderOf(index)
	return leader >= 0 && leader != index
}

// TestPausedLeader checks that orders of a replaced leader are refused or change nothing.
// It holds back orders of every kind that a partition's leader sent, pauses the leader
// and waits until another process has taken over. Then it delivers the held orders and
// resumes the old leader.
func TestPausedLeader(t *testing.T) {
	cluster := newLoopbackCluster(t, mustParse(t, rolesScenario))
	cluster.enableRoles("hold_ttl_s = 2\n")
	cluster.startAll(cluster.build("spurmoor", "."))
	cluster.waitUntil("the fleet's roles have three leaders", func() bool {
		roles := cluster.rolesByName(0)
		return roles["strays"].Leader == nodeName(0) && roles["sweep"].Leader == nodeName(1) &&
			roles["catalogue"].Leader == nodeName(2)
	})
	const paused = 0
	team := cluster.teamInPartition(paused)
	cluster.waitForState(cluster.submit(1, Job{Tasks: 4, GPUs: 4, RunS: 0.5, Team: team}), 1, api.JobDone)

	jobs := cluster.holdOrdersOfEveryKind(paused, team)
	cluster.signal(paused, syscall.SIGSTOP)
	cluster.waitUntil("another leads the partition", func() bool { return cluster.replaced(paused) })
	cluster.waitForNextLeaderOrders(paused)
	cluster.relay.deliver()
	cluster.waitUntil("all held orders are delivered", func() bool {
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
	cluster.checkTermsAscending()
	cluster.checkNoViolations()
	cluster.stopGracefully(2)
}

// teamInPartition returns the first team that belongs to a partition by default.
func (l *loopbackCluster) teamInPartition(partition int) string {
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

// holdOrdersOfEveryKind holds back the orders of a process until one of every kind is
// held, and returns the ids of the jobs that it submits for that.
func (l *loopbackCluster) holdOrdersOfEveryKind(index int, team string) []string {
	l.t.Helper()
	held := func(action leadership.Action) func() bool {
		matches := func(order *relayedOrder) bool {
			return order.sender == index && order.action == action && order.held
		}
		return func() bool { return len(l.relay.ordersMatching(matches)) > 0 }
	}
	l.relay.hold(index, leadership.ActionLaunch, leadership.ActionDelete, leadership.ActionCommand)
	l.waitUntil("an idle machine will be interrupted", func() bool { return l.interruptIdleMachine(index) })
	l.waitUntil("a deletion is held back", held(leadership.ActionDelete))
	// The job needs more machines than are up: some tasks start on those that are up, and
	// the leader requests a launch for the others.
	jobs := []string{l.submit(2, Job{Tasks: 6, GPUs: 4, RunS: 3, Team: team})}
	l.waitUntil("a launch is held back", held(leadership.ActionLaunch))
	l.waitUntil("a command is held back", held(leadership.ActionCommand))
	l.relay.hold(index, leadership.ActionWrite)
	jobs = append(jobs, l.submit(4, Job{Tasks: 2, GPUs: 4, RunS: 1, Team: team}))
	l.waitUntil("a write is held back", held(leadership.ActionWrite))
	return jobs
}

// interruptIdleMachine gives an interruption notice to an idle machine that sends its
// heartbeats to the process with this index, and reports whether there is such a machine.
func (l *loopbackCluster) interruptIdleMachine(index int) bool {
	found := false
	l.withLock(func() {
		for _, worker := range l.sim.workers {
			if worker.up && !worker.terminated && worker.nodeIndex == index && worker.idle() && !found {
				found = true
				worker.interruptionAt = l.sim.now + 300*micros.Second
			}
		}
	})
	return found
}

// waitForNextLeaderOrders waits until the next leader has sent its own orders in place of the
// held ones: it repeated the launches, sent commands to the same workers and had a machine
// deleted.
func (l *loopbackCluster) waitForNextLeaderOrders(paused int) {
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
		case leadership.ActionLaunch:
			l.waitUntil("the launch "+held.request+" is repeated", byNextLeader(func(order *relayedOrder) bool {
				return order.request == held.request && !order.deliveredAt.IsZero()
			}))
		case leadership.ActionCommand:
			l.waitUntil("the worker at "+held.worker+" has a higher fencing token", func() bool {
				return l.fencingTokenAt(held.worker) > api.FencingToken(held.term)
			})
		case leadership.ActionDelete:
			l.waitUntil("the next leader had the machine deleted", byNextLeader(func(order *relayedOrder) bool {
				return order.action == leadership.ActionDelete && order.tookEffect
			}))
		default: // a write is not waited for: the next leader decides anew what it was to change
		}
	}
}

// fencingTokenAt returns the highest fencing token that the worker at an address has seen.
func (l *loopbackCluster) fencingTokenAt(addr string) api.FencingToken {
	token := api.FencingToken(0)
	l.withLock(func() {
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

// checkStaleOrders checks that stale orders of every kind were delivered and that none
// took effect. It also checks that no machine was launched in excess or deleted while it
// ran tasks.
func (l *loopbackCluster) checkStaleOrders(paused int) {
	l.t.Helper()
	for _, action := range allActions {
		stale := l.relay.ordersMatching(func(order *relayedOrder) bool {
			return order.sender == paused && order.action == action && order.held
		})
		if len(stale) == 0 {
			l.t.Errorf("got no stale order to %s, want at least one", action)
		}
		for _, order := range stale {
			if order.tookEffect {
				l.t.Errorf("a stale order to %s under term %d took effect, want it refused: %s", action, order.term, order.request)
			}
		}
		l.t.Logf("stale orders to %s delivered: %d", action, len(stale))
	}
	l.withLock(func() {
		// The first job needs 4 machines. The others need 8, of which 3 are up: one of the 4
		// was interrupted.
		if launched, limit := len(l.sim.workers), 4+5; launched > limit {
			l.t.Errorf("got %d machines launched, want at most %d", launched, limit)
		}
		if deleted := l.sim.occurrences[occurredBusyMachineDeleted]; deleted > 0 {
			l.t.Errorf("got %d machines deleted while they ran tasks, want none", deleted)
		}
	})
}

// checkTermsAscending checks that, for each role, no write or launch took effect after one
// under a later term.
func (l *loopbackCluster) checkTermsAscending() {
	l.t.Helper()
	latest := map[string]relayedOrder{}
	for _, order := range l.relay.ordersMatching(func(order *relayedOrder) bool {
		return order.tookEffect && (order.action == leadership.ActionWrite || order.action == leadership.ActionLaunch)
	}) {
		last, ok := latest[order.role]
		if ok && order.term < last.term && !l.repeatedLaunch(order) {
			l.t.Errorf("%s of %s under term %d took effect after one under term %d, want ascending terms",
				order.action, order.role, order.term, last.term)
		}
		if !ok || order.term > last.term {
			latest[order.role] = order
		}
	}
}

// repeatedLaunch reports whether an order is a launch that another process requested first,
// under the same name.
func (l *loopbackCluster) repeatedLaunch(order relayedOrder) bool {
	first := l.relay.ordersMatching(func(other *relayedOrder) bool { return other.request == order.request })
	return order.action == leadership.ActionLaunch && first[0].sender != order.sender
}

// stopGracefully stops a process with SIGTERM. It checks that the process exits without an
// error and gives up its partition, and that others take over its partition and its role.
func (l *loopbackCluster) stopGracefully(index int) {
	l.t.Helper()
	l.signal(index, syscall.SIGTERM)
	if err := l.processes[index].Wait(); err != nil {
		l.t.Errorf("after SIGTERM the process exited with %v, want no error", err)
	}
	if l.leaderOf(index) == index {
		l.t.Error("after SIGTERM the process still leads its partition, want it given up")
	}
	l.waitUntil("others lead the partition and the role of the stopped process", func() bool {
		role := l.rolesByName(1)["catalogue"]
		return l.replaced(index) && role.Leader != "" && role.Leader != nodeName(index)
	})
}
