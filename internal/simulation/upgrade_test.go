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

// upgradeScenario has short leases, and lower limits of the store that TestUpgrade puts in
// force at the end.
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

// upgradeTest runs processes of the version in production (old) and of these sources (new) in
// one cluster.
type upgradeTest struct {
	*loopbackCluster
	oldBinary, newBinary string
	newOperatorsFile     string // settings that only the new version knows
	lastBurstJob         int    // number of the latest job that submitBurst submitted
	burstJobs            []string
}

// TestUpgrade upgrades three processes, one after the other and while they serve, from the
// version in production (deploy/service.toml) to these sources. No task may be lost or run
// twice. Processes are killed in between, partitions fail over between the versions in both
// directions, and machines are transferred between them. At the end the limits of the
// key-value store are lowered. The test builds the version in production from the
// repository's history, so CI does not run it:
//
//	go test -tags upgrade -run TestUpgrade ./internal/simulation
func TestUpgrade(t *testing.T) {
	upgrade := newUpgrade(t)
	for i := range processCount {
		upgrade.startOld(i)
	}
	for i := range processCount {
		upgrade.waitReady(i)
	}
	// The jobs are long-running ones, bursts of arrays and of gangs that need whole machines,
	// and a cancelled one with a dependant.
	service := upgrade.submit(900, Job{Tasks: 2, GPUs: 1, Team: "norte", Kind: api.KindService})
	long := upgrade.submit(901, Job{Tasks: 2, CPUs: 1, RunS: 600, Team: "sur"})
	upgrade.submitBurst()
	upgrade.waitForState(service, 0, api.JobRunning)
	upgrade.waitForState(long, 1, api.JobRunning)
	transferredBefore := upgrade.machinesTransferred.Load()
	for i := range processCount {
		upgrade.upgradeProcess(i)
	}
	if upgrade.machinesTransferred.Load() == transferredBefore {
		t.Error("got no machine transferred while both versions served, want at least one")
	}
	upgrade.downgradeAndUpgrade()
	upgrade.lowerStoreLimits()
	upgrade.submitBurst()
	dependencies := []int{upgrade.lastBurstJob, upgrade.lastBurstJob - 1, upgrade.lastBurstJob - 2}
	last := upgrade.submit(951, Job{Tasks: 1, RunS: 1, Team: "oeste", Dependencies: dependencies})
	dependent := upgrade.submit(952, Job{Tasks: 1, RunS: 1, Team: "norte", Dependencies: []int{901, 951}})
	for _, id := range append(upgrade.burstJobs, last) {
		upgrade.waitForState(id, upgrade.lastBurstJob%processCount, api.JobDone)
	}
	upgrade.cancel(long, 1)
	upgrade.waitForState(dependent, 2, api.JobCancelled)
	upgrade.cancel(service, 2)
	upgrade.checkNoViolations()
}

// newUpgrade builds both versions and starts the simulation, but no process.
func newUpgrade(t *testing.T) *upgradeTest {
	t.Helper()
	test := &upgradeTest{loopbackCluster: newLoopbackCluster(t, mustParse(t, upgradeScenario))}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	service := readFile(t, filepath.Join(root, "deploy/service.toml"))
	commit := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindStringSubmatch(service)
	if commit == nil {
		t.Fatal("deploy/service.toml names no commit in production")
	}
	tree := filepath.Join(test.dir, "production")
	ctx := context.WithoutCancel(t.Context()) // the work tree is removed when the test's context has ended
	git := func(args ...string) *exec.Cmd {
		return exec.CommandContext(ctx, "git", append([]string{"-C", root, "worktree"}, args...)...)
	}
	if output, err := git("add", "--detach", tree, commit[1]).CombinedOutput(); err != nil {
		t.Fatalf("the commit in production cannot be checked out: %v\n%s", err, output)
	}
	t.Cleanup(func() { _ = git("remove", "--force", tree).Run() })
	test.oldBinary, test.newBinary = test.build("was", tree), test.build("now", ".")
	test.enableRoles("")
	test.newOperatorsFile = test.operatorsFile
	return test
}

// startOld starts a process of the old version without the operators' settings for roles,
// which it does not know.
func (u *upgradeTest) startOld(index int) {
	u.t.Helper()
	u.operatorsFile = ""
	u.start(index, u.oldBinary)
	u.operatorsFile = u.newOperatorsFile
}

// submitBurst submits an array and an urgent gang for each team.
func (u *upgradeTest) submitBurst() {
	u.t.Helper()
	for _, team := range []string{"norte", "sur", "oeste"} {
		for _, job := range []Job{
			{Tasks: 8, GPUs: 1, RunS: 4, Team: team},
			{Tasks: 2, GPUs: 4, RunS: 2, Team: team, Kind: api.KindGang, Priority: "urgent"},
		} {
			u.lastBurstJob++
			u.burstJobs = append(u.burstJobs, u.submit(u.lastBurstJob, job))
		}
	}
}

// waitForExclusiveRoles waits until a controller reports that each of the fleet's roles has one
// leader and that launches are recorded, or that neither is so if want is false. Both are so
// only while all controllers know the records of roles.
func (u *upgradeTest) waitForExclusiveRoles(index int, want bool) {
	u.t.Helper()
	u.waitUntil("the controller reports exclusive roles, or none, as wanted", func() bool {
		roles := u.roles(index)
		return roles.Node != "" && roles.Exclusive == want && roles.RecordsMachineRequests == want
	})
}

// upgradeProcess replaces one process of the old version by one of the new version.
func (u *upgradeTest) upgradeProcess(index int) {
	u.t.Helper()
	u.kill(index)
	u.submitBurst()
	// The first time a process of the old version takes over. Later one of the new version
	// takes over what the old version led.
	u.waitUntil("another process leads the partition of "+nodeName(index), func() bool { return u.replaced(index) })
	if index == 1 { // runs the old version once more before it is replaced
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
		u.waitUntil("a job with dependencies is answered with status 503 while an old process runs", func() bool {
			dependent := submission(Job{RunS: 1, Dependencies: []int{901}}.spec(950))
			status, _ := u.request(http.MethodPost, index, "/work", dependent)
			return status == http.StatusServiceUnavailable
		})
	}
	u.submitBurst()
	u.waitUntil(nodeName(index)+" leads its partition again", func() bool { return u.leaderOf(index) == index })
	u.waitForExclusiveRoles(index, index == 2)
}

// downgradeAndUpgrade replaces the first process by one of the old version and then by one of
// the new version. The old version has to read what the new version wrote. No job with
// dependencies may exist yet, as the old version does not know them.
func (u *upgradeTest) downgradeAndUpgrade() {
	u.t.Helper()
	u.kill(0)
	u.startOld(0)
	u.waitReady(0)
	u.waitForExclusiveRoles(1, false)
	u.waitUntil("a process of the old version leads a partition again", func() bool { return u.leaderOf(0) == 0 })
	u.submitBurst()
	u.kill(0)
	u.start(0, u.newBinary)
	u.waitReady(0)
	u.waitForExclusiveRoles(1, true)
}

// lowerStoreLimits puts the store's next limits in force.
func (u *upgradeTest) lowerStoreLimits() { u.withLock(func() { u.sim.injectLowerLimits(injection{}) }) }
