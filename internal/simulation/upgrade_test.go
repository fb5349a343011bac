//go:build upgrade

package simulation

import (
	"context"
	"net/http"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"spurmoor/internal/api"
)

// upgradeScenario has limits of the store that are lowered at the end.
const upgradeScenario = `lease_s = 6
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
`

// upgrade is a test of the change from the version in production to these sources.
type upgrade struct {
	*loopback
	oldBinary, newBinary string
	operatorsFile        string // that only the new version knows
	lastJob              int    // number of the last job of a burst
	jobs                 []string
}

// TestUpgrade builds the version in production (deploy/service.toml) from the repository's
// history and changes three processes over to these sources while they serve: one after
// the other, with kills in between, failovers in both directions, machines transferred
// between versions, and the limits of the key-value store lowered at the end. It needs the
// history, so CI does not run it:
//
//	go test -tags upgrade -run TestUpgrade ./internal/simulation
func TestUpgrade(t *testing.T) {
	upgrade := newUpgrade(t)
	for i := range controllerCount {
		upgrade.startOld(i)
	}
	for i := range controllerCount {
		upgrade.waitReady(i)
	}
	// Long work in every partition, gangs of whole machines, a cancellation; of all that
	// runs meanwhile nothing may be lost or run twice.
	service := upgrade.submit(900, Job{Tasks: 2, GPUs: 1, Team: "norte", Kind: api.KindService})
	long := upgrade.submit(901, Job{Tasks: 2, CPUs: 1, RunS: 600, Team: "sur"})
	upgrade.submitBurst()
	upgrade.waitForState(service, 0, api.JobRunning)
	upgrade.waitForState(long, 1, api.JobRunning)
	transferredBefore := upgrade.machinesTransferred.Load()
	for i := range controllerCount {
		upgrade.upgradeProcess(i)
	}
	if upgrade.machinesTransferred.Load() == transferredBefore {
		t.Error("no machine was transferred while both versions served")
	}
	upgrade.goBackAndForth()
	upgrade.lowerLimits()
	upgrade.submitBurst()
	dependencies := []int{upgrade.lastJob, upgrade.lastJob - 1, upgrade.lastJob - 2}
	last := upgrade.submit(951, Job{Tasks: 1, RunS: 1, Team: "oeste", Dependencies: dependencies})
	dependent := upgrade.submit(952, Job{Tasks: 1, RunS: 1, Team: "norte", Dependencies: []int{901, 951}})
	for _, id := range append(upgrade.jobs, last) {
		upgrade.waitForState(id, upgrade.lastJob%controllerCount, api.JobDone)
	}
	upgrade.cancel(long, 1)
	upgrade.waitForState(dependent, 2, api.JobCancelled)
	upgrade.cancel(service, 2)
	upgrade.checkNoViolations()
}

// newUpgrade builds both versions.
func newUpgrade(t *testing.T) *upgrade {
	t.Helper()
	test := &upgrade{loopback: newLoopback(t, mustParse(t, upgradeScenario))}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	service := readFile(t, filepath.Join(root, "deploy/service.toml"))
	named := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindStringSubmatch(service)
	if named == nil {
		t.Fatal("deploy/service.toml names no commit in production")
	}
	tree := filepath.Join(test.dir, "production")
	ctx := context.WithoutCancel(t.Context()) // it outlasts the test: the tree is removed after it
	git := func(args ...string) *exec.Cmd {
		return exec.CommandContext(ctx, "git", append([]string{"-C", root, "worktree"}, args...)...)
	}
	if output, err := git("add", "--detach", tree, named[1]).CombinedOutput(); err != nil {
		t.Fatalf("the history of production is not here: %v\n%s", err, output)
	}
	t.Cleanup(func() { _ = git("remove", "--force", tree).Run() })
	test.oldBinary, test.newBinary = test.build("was", tree), test.build("now", ".")
	test.enableRoles("")
	test.operatorsFile = test.operators
	return test
}

// startOld starts a process of the old version, which does not know the operators'
// settings for roles.
func (u *upgrade) startOld(index int) {
	u.t.Helper()
	u.operators = ""
	u.start(index, u.oldBinary)
	u.operators = u.operatorsFile
}

// submitBurst submits an array and a gang of each team.
func (u *upgrade) submitBurst() {
	u.t.Helper()
	for _, team := range []string{"norte", "sur", "oeste"} {
		for _, job := range []Job{
			{Tasks: 8, GPUs: 1, RunS: 4, Team: team},
			{Tasks: 2, GPUs: 4, RunS: 2, Team: team, Kind: api.KindGang, Priority: "urgent"},
		} {
			u.lastJob++
			u.jobs = append(u.jobs, u.submit(u.lastJob, job))
		}
	}
}

// waitForExclusive waits until the fleet's roles have one leader each, or until they do
// not: they have only while all controllers know of them.
func (u *upgrade) waitForExclusive(index int, want bool) {
	u.t.Helper()
	u.waitUntil("one leader for each of the fleet's roles", func() bool {
		roles := u.roles(index)
		return roles.Node != "" && roles.Exclusive == want && roles.RecordsMachineRequests == want
	})
}

// upgradeProcess changes one process over to the new version.
func (u *upgrade) upgradeProcess(index int) {
	u.t.Helper()
	u.kill(index)
	u.submitBurst()
	// Another's version takes the partition over: the old one's here first, then the new
	// one's of what an old one led.
	u.waitUntil("another leads the partition of "+nodeName(index), func() bool { return u.replaced(index) })
	if index == 1 { // ends before its turn, and comes back old once more
		u.startOld(1)
		u.waitReady(1)
		u.kill(1)
		u.kill(0)
		u.start(0, u.newBinary)
		u.waitReady(0)
	}
	u.start(index, u.newBinary)
	u.waitReady(index)
	if index < 2 {
		u.waitUntil("jobs that wait for jobs are put off while an old version lives", func() bool {
			dependent := submission(Job{RunS: 1, Dependencies: []int{901}}.spec(950))
			status, _ := u.request(http.MethodPost, index, "/work", dependent)
			return status == http.StatusServiceUnavailable
		})
	}
	u.submitBurst()
	u.waitUntil(nodeName(index)+" has its partition back", func() bool { return u.leaderOf(index) == index })
	u.waitForExclusive(index, index == 2)
}

// goBackAndForth has a partition go to an old process and back: it reads what the new
// version wrote, and nothing of jobs that wait is there yet.
func (u *upgrade) goBackAndForth() {
	u.t.Helper()
	u.kill(0)
	u.startOld(0)
	u.waitReady(0)
	u.waitForExclusive(1, false)
	u.waitUntil("the old version leads a partition again", func() bool { return u.leaderOf(0) == 0 })
	u.submitBurst()
	u.kill(0)
	u.start(0, u.newBinary)
	u.waitReady(0)
	u.waitForExclusive(1, true)
}

// lowerLimits puts the store's next limits in force.
func (u *upgrade) lowerLimits() { u.locked(func() { u.sim.injectLowerLimits(injection{}) }) }
