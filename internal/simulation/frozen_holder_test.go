package simulation

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"

	"github.com/go-json-experiment/json"
)

// allActions lists what orders can do.
var allActions = []leadership.Action{leadership.Write, leadership.Launch, leadership.Delete, leadership.Command}

// enableRoles has the processes started from now on with their duties on, and with these
// other settings of the operators.
func (l *loopback) enableRoles(others string) {
	l.t.Helper()
	l.operators = filepath.Join(l.dir, "operators.toml")
	text := others + "[duties]\nexclusive = [\"strays\", \"sweep\", \"catalogue\"]\nrecord_rentals = true\n"
	if err := os.WriteFile(l.operators, []byte(text), 0o600); err != nil {
		l.t.Fatal(err)
	}
}

// roleList asks a controller about the duties.
func (l *loopback) roleList(n int) api.Roles {
	s, raw := l.request("GET", n, "/duties", nil)
	var list api.Roles
	if s != 200 || json.Unmarshal(raw, &list) != nil {
		return api.Roles{}
	}
	return list
}

// rolesByName asks a controller who holds which duty.
func (l *loopback) rolesByName(n int) map[string]api.RoleStatus {
	list := l.roleList(n)
	byName := map[string]api.RoleStatus{}
	for _, d := range list.Roles {
		byName[d.Role] = d
	}
	return byName
}

// leaderOf gives which process holds a partition; -1: none.
func (l *loopback) leaderOf(part int) int {
	at := -1
	l.locked(func() {
		if h := l.sim.leaderOf(part); h != nil {
			at = h.index
		}
	})
	return at
}

// TestFrozenHolder freezes the holder of a partition while orders of every kind that it
// sent are held back in the network, lets another take over, delivers what was held and
// wakes the old holder: each of its orders is refused or changes nothing.
func TestFrozenHolder(t *testing.T) {
	sc, err := Parse([]byte("duties = true\nlease_s = 20\ncancel_s = 45\n[[type]]\nname = \"g4\"\ncpus = 24\ngpus = 4\nprice = 8\nboot_s = 2\ncount = 12\n"))
	if err != nil {
		t.Fatal(err)
	}
	l := newLoopback(t, sc)
	l.enableRoles("hold_ttl_s = 2\n")
	bin := l.build("spurmoor", ".")
	for i := range 3 {
		l.start(i, bin)
	}
	for i := range 3 {
		l.waitReady(i)
	}
	l.waitUntil("the fleet's duties have three holders", func() bool {
		d := l.rolesByName(0)
		return d["strays"].Leader == nodeName(0) && d["sweep"].Leader == nodeName(1) && d["catalogue"].Leader == nodeName(2)
	})
	const frozen = 0
	team := l.teamOf(frozen)
	l.waitForState(l.submit(1, Job{Tasks: 4, GPUs: 4, RunS: 0.5, Team: team}), 1, api.JobDone)

	jobs := l.holdOrdersOfEveryKind(frozen, team)
	if err := l.processes[frozen].Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	l.waitUntil("another holds the partition", func() bool { h := l.leaderOf(frozen); return h >= 0 && h != frozen })
	l.waitForNextLeader(frozen)
	l.relay.deliver()
	l.waitUntil("all that was held is delivered", func() bool {
		return len(l.relay.ordersMatching(func(o *relayedOrder) bool { return o.held && o.deliveredAt.IsZero() })) == 0
	})
	if err := l.processes[frozen].Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	l.waitUntil("the old holder knows that it was replaced", func() bool {
		d := l.rolesByName(frozen)["partition/0"]
		return d.Leader != "" && d.Leader != nodeName(frozen) && d.RemainingS == nil
	})
	for _, id := range jobs {
		l.waitForState(id, 1, api.JobDone)
	}
	l.checkStaleOrders(frozen)
	l.checkTermsDisjoint()
	l.checkNoViolations()
	l.stopGracefully(2)
}

// teamOf gives a team of the partition that belongs to a process by default.
func (l *loopback) teamOf(part int) string {
	l.t.Helper()
	set, err := l.sim.scenario.settingsFor(0, false)
	if err != nil {
		l.t.Fatal(err)
	}
	for _, team := range l.sim.scenario.Teams {
		if set.TeamPartition[team.Name] == part {
			return team.Name
		}
	}
	l.t.Fatalf("no team in partition %d", part)
	return ""
}

// holdOrdersOfEveryKind holds back what a process sends until there is an order of every kind, and
// gives the jobs that they are for.
func (l *loopback) holdOrdersOfEveryKind(node int, team string) []string {
	l.t.Helper()
	held := func(a leadership.Action) func() bool {
		return func() bool {
			return len(l.relay.ordersMatching(func(o *relayedOrder) bool { return o.sender == node && o.action == a && o.held })) > 0
		}
	}
	l.relay.hold(node, leadership.Launch, leadership.Delete, leadership.Command)
	l.waitUntil("a machine that is empty will be taken", func() bool { return l.interruptIdleMachine(node) })
	l.waitUntil("a deletion is held back", held(leadership.Delete))
	// More than there is room for: some start on machines that are there.
	jobs := []string{l.submit(2, Job{Tasks: 6, GPUs: 4, RunS: 3, Team: team})}
	l.waitUntil("a rental is held back", held(leadership.Launch))
	l.waitUntil("a command is held back", held(leadership.Command))
	l.relay.hold(node, leadership.Write)
	jobs = append(jobs, l.submit(4, Job{Tasks: 2, GPUs: 4, RunS: 1, Team: team}))
	l.waitUntil("a write is held back", held(leadership.Write))
	return jobs
}

// interruptIdleMachine gives the cloud's notice to an empty machine that reports to a process.
func (l *loopback) interruptIdleMachine(node int) bool {
	found := false
	l.locked(func() {
		for _, wk := range l.sim.workers {
			if wk.up && !wk.gone && wk.node == node && wk.idle() && !found {
				found = true
				wk.interruptionAt = l.sim.now + 300*micros.Second
			}
		}
	})
	return found
}

// waitForNextLeader waits until the next holder has seen to all that was held back: it repeated
// the rentals, commanded the workers and had the machines deleted.
func (l *loopback) waitForNextLeader(frozen int) {
	l.t.Helper()
	for _, o := range l.relay.ordersMatching(func(o *relayedOrder) bool { return o.held }) {
		switch o.action {
		case leadership.Launch:
			l.waitUntil("the rental "+o.request+" is repeated", func() bool {
				return len(l.relay.ordersMatching(func(s *relayedOrder) bool {
					return s.sender != frozen && s.request == o.request && !s.deliveredAt.IsZero()
				})) > 0
			})
		case leadership.Command:
			l.waitUntil("the worker at "+o.worker+" has a higher token", func() bool { return l.fencingTokenAt(o.worker) > o.term })
		case leadership.Delete:
			l.waitUntil("the next holder had the machine deleted", func() bool {
				return len(l.relay.ordersMatching(func(s *relayedOrder) bool { return s.sender != frozen && s.action == leadership.Delete && s.tookEffect })) > 0
			})
		}
	}
}

// fencingTokenAt gives the highest token that the worker at an address has seen.
func (l *loopback) fencingTokenAt(addr string) uint64 {
	token := uint64(0)
	l.locked(func() {
		for _, wk := range l.sim.workers {
			for _, at := range l.workerAddrs[wk.addr] {
				if at == addr {
					token = wk.fencingToken
				}
			}
		}
	})
	return token
}

// checkStaleOrders checks that stale orders of every kind came, and that none took effect.
func (l *loopback) checkStaleOrders(frozen int) {
	l.t.Helper()
	for _, a := range allActions {
		stale := l.relay.ordersMatching(func(o *relayedOrder) bool { return o.sender == frozen && o.action == a && o.held })
		if len(stale) == 0 {
			l.t.Errorf("no stale %s came", a)
		}
		for _, o := range stale {
			if o.tookEffect {
				l.t.Errorf("a stale %s under term %d took effect %s", a, o.term, o.request)
			}
		}
		l.t.Logf("stale orders to %s delivered: %d", a, len(stale))
	}
	l.locked(func() {
		// 4 for the first job; of the 8 that the others need 3 are there.
		if n, most := len(l.sim.workers), 4+5; n > most {
			l.t.Errorf("%d machines were rented for a demand of %d", n, most)
		}
		if n := l.sim.occurrences["machines deleted at work"]; n > 0 {
			l.t.Errorf("%d machines were deleted at work", n)
		}
	})
}

// checkTermsDisjoint checks that orders under each duty took effect under one term after the
// other.
func (l *loopback) checkTermsDisjoint() {
	l.t.Helper()
	latest := map[string]relayedOrder{}
	for _, o := range l.relay.ordersMatching(func(o *relayedOrder) bool {
		return o.tookEffect && (o.action == leadership.Write || o.action == leadership.Launch)
	}) {
		last, ok := latest[o.role]
		if ok && o.term < last.term && !l.repeatedLaunch(o) {
			l.t.Errorf("%s of %s under term %d took effect after one under term %d", o.action, o.role, o.term, last.term)
		}
		if !ok || o.term > last.term {
			latest[o.role] = o
		}
	}
}

// repeatedLaunch tells whether a rental is one that another holder repeats under its first name.
func (l *loopback) repeatedLaunch(o relayedOrder) bool {
	first := l.relay.ordersMatching(func(s *relayedOrder) bool { return s.request == o.request })
	return o.action == leadership.Launch && first[0].sender != o.sender
}

// stopGracefully has a process stop, and its duties taken by others.
func (l *loopback) stopGracefully(node int) {
	l.t.Helper()
	if err := l.processes[node].Process.Signal(syscall.SIGTERM); err != nil {
		l.t.Fatal(err)
	}
	if err := l.processes[node].Wait(); err != nil {
		l.t.Errorf("told to stop, it ends with %v", err)
	}
	l.locked(func() {
		if h := l.sim.leaderOf(node); h != nil && h.index == node {
			l.t.Error("stopped in order, it still holds its partition")
		}
	})
	l.waitUntil("its partition and duty are another's", func() bool {
		h, d := l.leaderOf(node), l.rolesByName(1)["catalogue"]
		return h >= 0 && h != node && d.Leader != "" && d.Leader != nodeName(node)
	})
}
