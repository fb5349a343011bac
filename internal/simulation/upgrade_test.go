//go:build upgrade

package simulation

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"spurmoor/internal/api"
)

// TestUpgrade builds the version in production (deploy/service.toml) from the
// repository's history and changes three processes over to these sources while
// they serve: part after part, with kills in between, take-overs in both
// directions, machines lent across and the limits of the state service lowered
// at the end. It needs the history, so CI does not run it:
//
//	go test -tags upgrade -run TestUpgrade ./internal/simulation
func TestUpgrade(t *testing.T) {
	sc, err := Parse([]byte(`lease_s = 6
cancel_s = 14
value_kb = 8
[next]
value_kb = 2
txn_ops = 4
write_rps = 15
[[type]]
name = "g4"
cpus = 24
gpus = 4
price = 8
boot_s = 0.5
count = 4
`))
	if err != nil {
		t.Fatal(err)
	}
	l := newLoopback(t, sc)
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	named := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(deploy)
	if named == nil {
		t.Fatal("deploy/service.toml names no commit in production")
	}
	tree := filepath.Join(l.dir, "production")
	if out, err := exec.Command("git", "-C", root, "worktree", "add", "--detach", tree, string(named[1])).CombinedOutput(); err != nil {
		t.Fatalf("the history of production is not here: %v\n%s", err, out)
	}
	t.Cleanup(func() { _ = exec.Command("git", "-C", root, "worktree", "remove", "--force", tree).Run() })
	was, now := l.build("was", tree), l.build("now", ".")
	l.enableRoles("")
	operators := l.operators
	old := func(i int) { // it does not know these settings
		l.operators = ""
		l.start(i, was)
		l.operators = operators
	}
	// Duties of the fleet have one holder each only while all know of them.
	exclusive := func(n int, want bool) {
		l.waitUntil("one holder for each of the fleet's duties", func() bool {
			list := l.roleList(n)
			return list.Node != "" && list.Exclusive == want && list.RecordsRequests == want
		})
	}
	for i := range 3 {
		old(i)
	}
	for i := range 3 {
		l.waitReady(i)
	}
	// Long work in every partition, gangs of whole machines, a cancellation; of all
	// that runs meanwhile nothing may be lost or run twice.
	n := 0
	var ids []string
	burst := func() {
		for _, team := range []string{"norte", "sur", "oeste"} {
			n++
			ids = append(ids, l.submit(n, Job{Tasks: 8, GPUs: 1, RunS: 4, Team: team}))
			n++
			ids = append(ids, l.submit(n, Job{Tasks: 2, GPUs: 4, RunS: 2, Team: team, Kind: api.Gang, Priority: "urgent"}))
		}
	}
	daemon := l.submit(900, Job{Tasks: 2, GPUs: 1, Team: "norte", Kind: api.Service})
	long := l.submit(901, Job{Tasks: 2, CPUs: 1, RunS: 600, Team: "sur"})
	burst()
	l.waitForState(daemon, 0, api.JobRunning)
	l.waitForState(long, 1, api.JobRunning)
	holder := func(part int) int {
		at := -1
		l.locked(func() {
			if h := l.sim.leaderOf(part); h != nil {
				at = h.index
			}
		})
		return at
	}
	before := l.machinesTransferred.Load()
	for i := range 3 {
		l.kill(i)
		burst()
		// Another's version takes the partition over: the old one's here first,
		// then the new one's of what an old one held.
		l.waitUntil("another holds the part of "+nodeName(i), func() bool { h := holder(i); return h >= 0 && h != i })
		if i == 1 { // dies before its turn, and comes back old once more
			old(1)
			l.waitReady(1)
			l.kill(1)
			l.kill(0)
			l.start(0, now)
			l.waitReady(0)
		}
		l.start(i, now)
		l.waitReady(i)
		if i < 2 {
			l.waitUntil("jobs that wait for jobs are put off while an old version lives", func() bool {
				s, _ := l.request("POST", i, "/work", submission(Job{RunS: 1, Dependencies: []int{901}}.spec(950)))
				return s == 503
			})
		}
		burst()
		l.waitUntil(nodeName(i)+" has its part back", func() bool { return holder(i) == i })
		exclusive(i, i == 2)
	}
	if l.machinesTransferred.Load() == before {
		t.Error("no machine was lent while both versions served")
	}
	// A part of the new version's goes to an old process and back: it reads
	// what was written, and nothing of jobs that wait is there yet.
	l.kill(0)
	old(0)
	l.waitReady(0)
	exclusive(1, false)
	l.waitUntil("the old version holds a part again", func() bool { return holder(0) == 0 })
	burst()
	l.kill(0)
	l.start(0, now)
	l.waitReady(0)
	exclusive(1, true)
	l.locked(func() {
		sc.ValueKB, sc.MaxTransactionOps, sc.WriteRPS = sc.NextLimits.ValueKB, sc.NextLimits.MaxTransactionOps, sc.NextLimits.WriteRPS
		l.sim.store.writes.rate = sc.WriteRPS
	})
	burst()
	last := l.submit(951, Job{Tasks: 1, RunS: 1, Team: "oeste", Dependencies: []int{n, n - 1, n - 2}})
	behind := l.submit(952, Job{Tasks: 1, RunS: 1, Team: "norte", Dependencies: []int{901, 951}})
	for _, id := range append(ids, last) {
		l.waitForState(id, n%3, api.JobDone)
	}
	l.cancel(long, 1)
	l.waitForState(behind, 2, api.JobCancelled)
	l.cancel(daemon, 2)
	l.checkNoViolations()
}
