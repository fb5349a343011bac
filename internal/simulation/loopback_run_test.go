package simulation

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"spurmoor/internal/api"

	"github.com/go-json-experiment/json"
)

// loopbackScenario has short leases, so that failovers take seconds of real time.
const loopbackScenario = `lease_s = 6
cancel_s = 14
[[type]]
name = "g4"
cpus = 24
gpus = 4
price = 8
boot_s = 0.5
count = 4
`

// mustParse parses a scenario, and fails the test if it is invalid.
func mustParse(t *testing.T, text string) *Scenario {
	t.Helper()
	scenario, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

// TestLoopback runs three processes of the built program. It submits and cancels jobs, sends
// invalid requests, uses the commands of the program, and kills one process and then all of
// them. The invariants are checked throughout.
func TestLoopback(t *testing.T) {
	cluster := newLoopbackCluster(t, mustParse(t, loopbackScenario))
	binary := cluster.build("spurmoor", ".")
	cluster.startAll(binary)
	cluster.checkInvalidRequests()
	var jobs []string
	for i, job := range []Job{
		{Tasks: 6, GPUs: 1, RunS: 1, Team: "norte"},
		{Tasks: 2, GPUs: 4, RunS: 1, Team: "sur", Kind: api.KindGang, Priority: "urgent"},
		{Tasks: 4, GPUs: 1, RunS: 2, Team: "oeste"},
	} {
		jobs = append(jobs, cluster.submit(i+1, job))
	}
	service := cluster.submit(10, Job{Tasks: 2, GPUs: 1, Team: "norte", Kind: api.KindService})
	cluster.waitForState(service, 1, api.JobRunning)
	cluster.checkDependencies()
	cluster.cancel(cluster.checkExplanation(), 1)
	for _, id := range jobs {
		cluster.waitForState(id, 2, api.JobDone)
	}
	cluster.checkCommandLine(binary)

	// One process, then all of them, are killed while jobs run.
	running := cluster.submit(20, Job{Tasks: 6, GPUs: 1, RunS: 3, Team: "norte"})
	cluster.kill(0)
	submittedMeanwhile := cluster.submit(22, Job{Tasks: 2, GPUs: 1, RunS: 1, Team: "sur"})
	cluster.start(0, binary)
	cluster.waitForState(running, 1, api.JobDone)
	cluster.waitForState(submittedMeanwhile, 1, api.JobDone)
	for i := range cluster.processes {
		cluster.kill(i)
	}
	for i := range cluster.processes {
		cluster.start(i, binary)
	}
	cluster.cancel(service, 2)
	cluster.waitUntil("the tasks of the cancelled service have stopped", func() bool {
		remaining := 0
		cluster.withLock(func() {
			running := cluster.sim.checker.activeAttempts
			remaining = len(running[taskID(service, 0)]) + len(running[taskID(service, 1)])
		})
		return remaining == 0
	})
	for _, id := range append(jobs, running, submittedMeanwhile) {
		cluster.waitForState(id, 0, api.JobDone)
	}
	cluster.checkNoViolations()
}

// checkInvalidRequests sends invalid requests and checks the status that refuses each.
func (l *loopbackCluster) checkInvalidRequests() {
	l.t.Helper()
	const get, post, put = http.MethodGet, http.MethodPost, http.MethodPut
	body := func(job Job, number int) string { return string(submission(job.spec(number))) }
	dependent := body(Job{RunS: 1, Dependencies: []int{78}}, 79)
	for _, tc := range []struct {
		method, path, body string
		status             int
	}{
		{post, "/work", "{", http.StatusBadRequest},
		{post, "/work", "[]", http.StatusBadRequest},
		{get, "/work/wk-999999", "", http.StatusNotFound},
		{get, "/nothing", "", http.StatusNotFound},
		{put, "/work", "", http.StatusMethodNotAllowed},
		{post, "/v1/report", "{}", http.StatusBadRequest},
		{post, "/work", body(Job{Team: "nobody", RunS: 1}, 77), http.StatusUnprocessableEntity},
		{post, "/work", dependent, http.StatusUnprocessableEntity},
		{post, "/work", body(Job{RunS: 1, Dependencies: []int{79}}, 79), http.StatusUnprocessableEntity},
		{post, "/work", strings.Replace(dependent, "wk-000078", "job", 1), http.StatusBadRequest},
		{post, "/work", `{"Id":"` + strings.Repeat("x", 70000) + `"}`, http.StatusBadRequest},
	} {
		l.waitUntil(fmt.Sprintf("%s %s is answered with status %d", tc.method, tc.path, tc.status), func() bool {
			status, _ := l.request(tc.method, 0, tc.path, []byte(tc.body))
			return status == tc.status
		})
	}
}

// explanation returns why a job waits, as a controller answers it, and whether the
// controller answers.
func (l *loopbackCluster) explanation(index int, id string) (api.Explanation, bool) {
	status, raw := l.request(http.MethodGet, index, "/why/"+id, nil)
	var explanation api.Explanation
	ok := status == http.StatusOK && json.Unmarshal(raw, &explanation) == nil
	return explanation, ok
}

// checkDependencies checks that the explanation of a job names its unfinished dependencies,
// that the dependants of a cancelled job are cancelled, and that a job cannot depend on a
// service.
func (l *loopbackCluster) checkDependencies() {
	l.t.Helper()
	first := l.submit(30, Job{Tasks: 1, RunS: 600, Team: "sur"})
	second := l.submit(31, Job{Tasks: 2, RunS: 20, Team: "oeste", Dependencies: []int{30}})
	third := l.submit(32, Job{
		Tasks: 1, RunS: 5, Team: "norte", Dependencies: []int{31, 30}, DeadlineS: 60, Priority: "urgent",
	})
	l.waitUntil("the explanation of "+third+" names its dependencies and says that it will be late", func() bool {
		explanation, ok := l.explanation(1, third)
		return ok && len(explanation.WaitsFor) == 2 && explanation.EarliestS > explanation.DeadlineInS &&
			explanation.InTime == api.InTimeNo
	})
	l.waitUntil("a job that depends on a service is refused", func() bool {
		dependent := submission(Job{RunS: 1, Dependencies: []int{10}}.spec(33))
		status, _ := l.request(http.MethodPost, 0, "/work", dependent)
		return status == http.StatusUnprocessableEntity
	})
	l.cancel(second, 2)
	l.waitForState(third, 0, api.JobCancelled)
	l.waitForState(l.submit(34, Job{RunS: 1, Dependencies: []int{32, 30}}), 1, api.JobCancelled)
	l.cancel(first, 0)
}

// checkExplanation submits a job for which there are too few machines, and checks that the
// leader of its partition explains why it waits. It returns the job's id.
func (l *loopbackCluster) checkExplanation() string {
	l.t.Helper()
	large := l.submit(13, Job{Tasks: 30, GPUs: 4, RunS: 60, Team: "norte"})
	l.waitUntil("the explanation of "+large+" says why it waits and when it should be done", func() bool {
		for i := range processCount {
			explanation, ok := l.explanation(i, large)
			if ok && explanation.Leader == nodeName(i) && explanation.Reason != "" && explanation.ExpectedInS > 0 &&
				explanation.EarliestS < explanation.ExpectedInS && explanation.ExpectedInS < explanation.LatestS {
				return true
			}
		}
		return false
	})
	return large
}

// checkCommandLine submits, queries and cancels jobs with the commands of the program, and
// checks their output and exit codes.
func (l *loopbackCluster) checkCommandLine(binary string) {
	l.t.Helper()
	job := Job{Tasks: 1, GPUs: 1, RunS: 600, Team: "sur", Kind: api.KindArray}
	spec := job.spec(15)
	l.withLock(func() { l.registerJob(spec, job) })
	jobFile := l.writeFile("job.json", submission(spec))
	dependentFile := l.writeFile("dependent.json", submission(Job{RunS: 5, Dependencies: []int{15}}.spec(16)))
	for _, tc := range []struct {
		args   []string
		output string // a part of it
		code   int
	}{
		{[]string{"submit", jobFile}, `"wk-000015"`, 0},
		{[]string{"status", "wk-000015"}, `"Estado"`, 0},
		{[]string{"status", "--why", "wk-000015"}, `"holder"`, 0},
		{[]string{"submit", dependentFile}, `"wk-000016"`, 0},
		{[]string{"status", "--why", "wk-000016"}, `"waits_for":["wk-000015"]`, 0},
		{[]string{"cancel", "wk-000015"}, string(api.JobCancelled), 0},
		{[]string{"status", "wk-000016"}, string(api.JobCancelled), 0},
		{[]string{"status", "wk-999999"}, "", 3},
	} {
		l.waitUntil(strings.Join(tc.args, " "), func() bool {
			output, code := l.runCommand(binary, tc.args...)
			return code == tc.code && strings.Contains(output, tc.output)
		})
	}
}

// runCommand runs a command of the program against one controller, and returns its standard
// output and exit code.
func (l *loopbackCluster) runCommand(binary string, args ...string) (string, int) {
	l.t.Helper()
	command := exec.CommandContext(l.t.Context(), binary, append(args, "--addr", l.publicAddrs[1])...)
	output, err := command.Output()
	if err != nil && command.ProcessState == nil {
		l.t.Fatal(err)
	}
	return string(output), command.ProcessState.ExitCode()
}

// writeFile writes a file to the temporary directory of the test, and returns its path.
func (l *loopbackCluster) writeFile(name string, content []byte) string {
	l.t.Helper()
	path := filepath.Join(l.dir, name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		l.t.Fatal(err)
	}
	return path
}
