package simulation

import (
	"flag"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"time"

	"spurmoor/internal/history"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

var (
	freezes         = flag.Int("freezes", 0, "measure so many simulated freezes of a holder, at random moments")
	loopbackFreezes = flag.Int("loopback-freezes", 0, "measure so many freezes of a real process on loopback")
)

// TestFreezes measures, over simulated freezes at random moments, the time until the next
// holder's first order and what became of the orders that the frozen one had decided.
// It is off without its flag: go test ./internal/simulation -run TestFreezes -freezes 200 -v.
func TestFreezes(t *testing.T) {
	if *freezes == 0 {
		t.Skip("no -freezes")
	}
	text, err := os.ReadFile("testdata/roles_paused_leader_with_orders.toml")
	if err != nil {
		t.Fatal(err)
	}
	first := history.NewDistribution()
	var sum staleOrderCount
	for seed := range *freezes {
		sc, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(uint64(seed), 5))
		sc.Seed, sc.DurationS, sc.AtLeast = uint64(seed), 150, nil
		sc.Expectations, sc.MayLeaveUnserved = nil, true
		at := 15 + rng.Float64()*60
		sc.Faults = []Fault{{AtS: at - 1, ForS: 2, Kind: "sends_wait", Partition: 1}, {AtS: at, ForS: 30, Kind: "freeze", Partition: 1}}
		if seed%2 == 0 { // what it sent right before is held back in the network as well
			sc.Faults = append(sc.Faults, Fault{AtS: at - 0.7, ForS: 31, Kind: "cut:all", HoldPackets: true, Partition: 1})
		}
		w, broken, err := Play(sc)
		if err != nil || len(broken) > 0 {
			t.Errorf("seed %d: %v %q", seed, err, broken)
			continue
		}
		frozenAt := w.startedAt + micros.FromSeconds(at)
		sum.add(w, frozenAt, first)
	}
	t.Logf("from the freeze to the next holder's first order: %s", first)
	t.Logf("%+v", sum)
}

// staleOrderCount counts the orders of replaced holders.
type staleOrderCount struct {
	StoppedAtTheGate, RefusedOutside, CarriedOut, Freezes int
}

// add counts a day's, and takes the time to the next holder's first order.
func (s *staleOrderCount) add(w *Simulation, frozenAt micros.Micros, first *history.Distribution) {
	s.Freezes++
	s.StoppedAtTheGate += w.occurrences["orders refused at the gate"]
	var before uint64
	taken := micros.Micros(0)
	for _, o := range w.orders {
		if o.role != leadership.PartitionRole(0).String() {
			continue
		}
		switch {
		case o.at < frozenAt:
			before = max(before, o.term)
		case o.term > before && taken == 0:
			taken = o.at
			first.Add(taken - frozenAt)
		case o.term == before && taken > 0 && o.tookEffect && o.action != leadership.Delete:
			s.CarriedOut++
		case o.term == before && taken > 0:
			s.RefusedOutside++
		}
	}
}

// TestLoopbackFreezes is TestFreezes with real processes that are stopped and go on.
func TestLoopbackFreezes(t *testing.T) {
	if *loopbackFreezes == 0 {
		t.Skip("no -loopback-freezes")
	}
	sc, err := Parse([]byte("duties = true\nlease_s = 20\ncancel_s = 45\n[[type]]\nname = \"g4\"\ncpus = 24\ngpus = 4\nprice = 8\nboot_s = 2\ncount = 12\n"))
	if err != nil {
		t.Fatal(err)
	}
	l := newLoopback(t, sc)
	l.enableRoles("")
	bin := l.build("spurmoor", ".")
	for i := range 3 {
		l.start(i, bin)
	}
	for i := range 3 {
		l.waitReady(i)
	}
	first := history.NewDistribution()
	for n := range *loopbackFreezes {
		holder := -1
		l.waitUntil("the partition is held", func() bool { holder = l.leaderOf(0); return holder >= 0 })
		l.submit(100+n, Job{Tasks: 2, GPUs: 1, RunS: 2, Team: l.teamOf(0)})
		if err := l.processes[holder].Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		at := time.Now()
		order := func(o *relayedOrder) bool {
			return o.sender != holder && o.role == leadership.PartitionRole(0).String() && o.arrivedAt.After(at)
		}
		l.waitUntil("another gives an order", func() bool { return len(l.relay.ordersMatching(order)) > 0 })
		first.Add(micros.Micros(l.relay.ordersMatching(order)[0].arrivedAt.Sub(at).Microseconds()))
		if err := l.processes[holder].Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		l.waitReady(holder)
	}
	t.Logf("from the freeze to the next holder's first order: %s", first)
	l.checkTermsDisjoint()
	l.checkNoViolations()
}
