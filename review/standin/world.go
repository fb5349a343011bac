package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Job is a job as its user submits it, and what is known of it here.
type Job struct {
	Id, Clase, Dueno, Forma, Prelacion string
	Tareas                             int
	Vcpus, Accelerators, MemoryGb      float64
	Image                              string `json:"Imagen"`
	SizeGb                             float64
	Tipos                              []string
	Zona                               *string
	Together, Apart, Prestadas         bool
	EstimadoS, RespaldoS, GuardadoS    float64
	PlazoS                             *float64
	Espera                             []string `json:",omitempty"`

	RunS            float64 `json:"-"` // how long a task runs
	FailsEverywhere bool    `json:"-"`
}

// Imagen returns the job's image.
func (j *Job) Imagen() string { return j.Image }

// World holds all stand-ins and processes of a case, and what they did.
type World struct {
	repo, dir string
	start     time.Time
	out       *os.File
	outMu     sync.Mutex

	store *Store
	cloud *Cloud
	nodes []*node

	reportS, leaseS, gangWaitS, gangPeerS, cancelS float64
	teams                                          []Team

	mu        sync.Mutex
	workers   map[string]*Worker
	jobs      map[string]*Job
	done      map[string]bool               // tasks that completed
	saved     map[string]float64            // saved progress by task
	on        map[string]map[string]*placed // attempts on a machine, by task and machine
	cancelled map[string]time.Time          // when the user was told, by job
	called    map[string]string             // final state that some user was told, by job
	broken    map[string][]string           // by rule
	gangs     map[string]int                // tasks on machines, by job and attempt
	usage     map[string][2]float64         // CPUs and GPUs in use, by team
	zones     map[string]map[string]int     // tasks on machines, by job and zone

	// OnReport is called before a worker's report is sent.
	OnReport func(w *Worker, node int, body []byte)
	// WorkerCut reports whether reports of a worker don't reach a node.
	WorkerCut func(w *Worker, node int) bool

	starts chan func()
}

type placed struct {
	a      *attempt
	worker *Worker
	since  time.Time
}

// Team is a team of the settings.
type Team struct {
	Name                         string
	CPUs, CPUsMax, GPUs, GPUsMax float64
}

type node struct {
	name, site, public, internal, state, cloud string
	config                                     string
	cmd                                        *exec.Cmd
	ended                                      chan struct{}
}

// Deployment is the size and the limits of a deployment.
type Deployment struct {
	Nodes                                          int
	Zones                                          []string
	Teams                                          []Team
	ReportS, LeaseS, GangWaitS, GangPeerS, CancelS float64
	Store                                          StoreLimits
	CloudRPS, ListLagS                             float64
	Cores, MemMB                                   float64
	Connections                                    int
	TimeBoundMS                                    float64
	Types                                          []MachineType
	Capacity                                       int
	Boot                                           time.Duration
}

// NewWorld starts the stand-ins. record is the file for what happens.
func NewWorld(repo, record string, d Deployment) (*World, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &World{
		repo: repo, dir: dir, start: time.Now(), out: out,
		reportS: d.ReportS, leaseS: d.LeaseS, gangWaitS: d.GangWaitS, gangPeerS: d.GangPeerS, cancelS: d.CancelS,
		teams:   d.Teams,
		workers: map[string]*Worker{}, jobs: map[string]*Job{}, done: map[string]bool{}, saved: map[string]float64{},
		on: map[string]map[string]*placed{}, cancelled: map[string]time.Time{}, called: map[string]string{},
		gangs: map[string]int{}, usage: map[string][2]float64{}, zones: map[string]map[string]int{},
		broken: map[string][]string{}, starts: make(chan func()),
	}
	go func() {
		// The processes end with the thread that started them, so that thread is kept.
		runtime.LockOSThread()
		for f := range w.starts {
			f()
		}
	}()
	w.store = NewStore(d.Store)
	w.store.OnWrite = func(key string, value json.RawMessage, deleted bool) {
		switch {
		case strings.HasPrefix(key, "over/"), strings.HasPrefix(key, "live/p/") && !deleted:
			w.record("state service: %s = %s", key, value)
		case strings.HasPrefix(key, "live/p/"), strings.HasPrefix(key, "live/j/") && deleted:
			w.record("state service: %s deleted", key)
		}
	}
	w.cloud = NewCloud(w, d.Types, d.Capacity, d.Boot, secs(d.ListLagS), d.CloudRPS)
	for i := range d.Nodes {
		n := &node{name: fmt.Sprintf("nodo-%d", i), site: d.Zones[i%len(d.Zones)], public: freeAddr(), internal: freeAddr()}
		n.state = serve(w.store.Handler(i))
		n.cloud = serve(w.cloud)
		n.config = filepath.Join(dir, n.name+".json")
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := w.writeSettings(n, d); err != nil {
			return nil, err
		}
	}
	return w, nil
}

var usedAddrs = map[string]bool{}

// freeAddr returns a free loopback address.
func freeAddr() string {
	for {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		addr := l.Addr().String()
		_ = l.Close()
		if !usedAddrs[addr] {
			usedAddrs[addr] = true
			return addr
		}
	}
}

func serve(handler http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

func (w *World) writeSettings(n *node, d Deployment) error {
	known := []map[string]string{}
	for _, other := range w.nodes {
		if other != n {
			known = append(known, map[string]string{"node_name": other.name, "site": other.site, "addr": other.internal})
		}
	}
	teams := []map[string]any{}
	for _, t := range d.Teams {
		teams = append(teams, map[string]any{
			"name": t.Name, "cpus": t.CPUs, "cpus_max": t.CPUsMax, "gpus": t.GPUs, "gpus_max": t.GPUsMax,
		})
	}
	settings := map[string]any{
		"node_name": n.name, "site": n.site, "public_addr": n.public, "internal_addr": n.internal, "known": known,
		"endpoints": map[string]string{"cloud": n.cloud, "state": n.state},
		"facts": map[string]any{
			"nodes": d.Nodes, "zones": d.Zones, "teams": teams, "objectives": []any{},
			"workers": map[string]float64{
				"report_s": d.ReportS, "lease_s": d.LeaseS, "gang_wait_s": d.GangWaitS, "gang_peer_s": d.GangPeerS,
				"cancel_s": d.CancelS,
			},
			"state": map[string]any{
				"rps": d.Store.RPS, "write_rps": d.Store.WriteRPS, "value_kb": d.Store.ValueKB, "txn_ops": d.Store.TxnOps,
			},
			"cloud":          map[string]float64{"rps": d.CloudRPS, "list_lag_s": d.ListLagS},
			"machine_limits": map[string]any{"cores": d.Cores, "mem_mb": d.MemMB, "max_connections": d.Connections},
			"time_bound_ms":  d.TimeBoundMS,
		},
	}
	raw, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.config, raw, 0o600)
}

// record writes a line with the time since the start.
func (w *World) record(format string, args ...any) {
	w.outMu.Lock()
	defer w.outMu.Unlock()
	fmt.Fprintf(w.out, "%8.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
}

// Start starts the process of a controller with the command of the deploy file.
func (w *World) Start(i int) error {
	n := w.nodes[i]
	text, err := os.ReadFile(filepath.Join(w.repo, "deploy/service.toml"))
	if err != nil {
		return err
	}
	var run []string
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			run = strings.Fields(strings.TrimSuffix(rest, "\""))
		}
	}
	if run == nil {
		return fmt.Errorf("no run command in the deploy file")
	}
	log, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(run[0], append(run[1:], n.config)...)
	n.cmd.Dir = w.repo
	n.cmd.Stderr = log
	n.cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	failed := make(chan error)
	w.starts <- func() { failed <- n.cmd.Start() }
	if err := <-failed; err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(n.cmd, n.ended)
	w.record("%s started", n.name)
	return nil
}

func logLevel() string {
	if level := os.Getenv("REVIEW_LOG"); level != "" {
		return level
	}
	return "info"
}

// KillNode kills a controller without a signal that it could handle.
func (w *World) KillNode(i int) {
	n := w.nodes[i]
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGCONT)
	_ = n.cmd.Process.Kill()
	<-n.ended
	n.cmd = nil
	w.record("%s killed", n.name)
}

// Signal sends a signal to a controller.
func (w *World) Signal(i int, signal syscall.Signal) {
	_ = w.nodes[i].cmd.Process.Signal(signal)
	w.record("%s gets signal %v", w.nodes[i].name, signal)
}

// EndedByItself returns the controllers that ended without being killed.
func (w *World) EndedByItself() []string {
	var names []string
	for _, n := range w.nodes {
		if n.cmd == nil {
			continue
		}
		select {
		case <-n.ended:
			names = append(names, n.name)
		default:
		}
	}
	return names
}

// Close ends all processes and removes the temporary folder.
func (w *World) Close() {
	for i := range w.nodes {
		w.KillNode(i)
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
	_ = w.out.Close()
}

func (w *World) newWorker(name string, kind MachineType, zone string, spot bool, boot time.Duration) *Worker {
	worker := &Worker{world: w, name: name, kind: kind, zone: zone, spot: spot, images: map[string]bool{}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	worker.addr = l.Addr().String()
	worker.server = &http.Server{Handler: worker}
	go func() { _ = worker.server.Serve(l) }()
	w.mu.Lock()
	w.workers[name] = worker
	w.mu.Unlock()
	go worker.run(boot)
	return worker
}

func (w *World) workerCut(worker *Worker, node int) bool {
	return w.WorkerCut != nil && w.WorkerCut(worker, node)
}

func (w *World) jobOf(task string) (*Job, int) {
	id, index := splitTask(task)
	w.mu.Lock()
	defer w.mu.Unlock()
	job := w.jobs[id]
	if job == nil || index < 0 || index >= job.Tareas {
		return nil, 0
	}
	return job, index
}

func (w *World) isDone(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[task]
}

func (w *World) taskDone(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[a.id] = true
	if a.job.Forma == "group" {
		for i := range a.job.Tareas {
			w.done[fmt.Sprintf("%s/%d", a.job.Id, i)] = true
		}
	}
}

func (w *World) save(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.saved[a.id] = max(w.saved[a.id], a.job.RunS-a.left)
}

func (w *World) remaining(a *attempt) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0.05, a.job.RunS-w.saved[a.id])
}

// gangCount counts the tasks of an attempt of a gang that are on machines.
func (w *World) gangCount(a *attempt) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gangs[gangKey(a)]
}

func gangKey(a *attempt) string { return fmt.Sprintf("%s#%d", a.job.Id, a.number) }

// count adds a task to the counts or removes it from them. The caller holds mu.
func (w *World) count(worker *Worker, a *attempt, delta int) {
	w.gangs[gangKey(a)] += delta
	usage := w.usage[a.job.Dueno]
	usage[0] += float64(delta) * a.job.Vcpus
	usage[1] += float64(delta) * a.job.Accelerators
	w.usage[a.job.Dueno] = usage
	if w.zones[a.job.Id] == nil {
		w.zones[a.job.Id] = map[string]int{}
	}
	w.zones[a.job.Id][worker.zone] += delta
	if w.zones[a.job.Id][worker.zone] == 0 {
		delete(w.zones[a.job.Id], worker.zone)
	}
}

func (w *World) gangComplete(a *attempt) bool { return w.gangCount(a) == a.job.Tareas }
func (w *World) gangAlive(a *attempt) bool    { return w.gangCount(a) == a.job.Tareas }
func (w *World) gangDone(a *attempt) bool     { return w.isDone(a.id) }

// breaks records that a rule was broken.
func (w *World) breaks(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.record("BROKEN %s: %s", rule, text)
	w.broken[rule] = append(w.broken[rule], text)
}

// jobDone reports whether all tasks of a job completed. The caller holds mu.
func (w *World) jobDone(id string) bool {
	job := w.jobs[id]
	if job == nil {
		return false
	}
	for i := range job.Tareas {
		if !w.done[fmt.Sprintf("%s/%d", id, i)] {
			return false
		}
	}
	return true
}

// onMachine checks the rules for a task that gets onto its machine.
func (w *World) onMachine(worker *Worker, a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record("on machine %s: %s attempt %d", worker.name, a.id, a.number)
	for name, p := range w.on[a.id] {
		w.breaks("ran_twice", "%s starts as attempt %d on %s while attempt %d is on %s", a.id, a.number, worker.name, p.a.number, name)
	}
	if w.on[a.id] == nil {
		w.on[a.id] = map[string]*placed{}
	}
	w.on[a.id][worker.name] = &placed{a, worker, time.Now()}
	w.count(worker, a, 1)
	for _, need := range a.job.Espera {
		if !w.jobDone(need) {
			w.breaks("too_early", "%s starts on %s, but %s, which its job needs, is not done", a.id, worker.name, need)
		}
	}
	if told, ok := w.cancelled[a.job.Id]; ok && time.Since(told) > secs(w.cancelS) {
		w.breaks("ran_cancelled", "%s starts %.1f s after its user was told that the job is cancelled", a.id, time.Since(told).Seconds())
	}
	w.checkPlace(worker, a)
	w.checkQuota(a.job.Dueno)
}

func (w *World) checkPlace(worker *Worker, a *attempt) {
	job := a.job
	if job.Zona != nil && *job.Zona != worker.zone || worker.spot && !job.Prestadas {
		w.breaks("wrong_place", "%s on %s in zone %s", a.id, worker.name, worker.zone)
	}
	zones := w.zones[job.Id]
	if job.Together && len(zones) > 1 {
		w.breaks("wrong_place", "%s on %s: tasks in zones %v", a.id, worker.name, zones)
	}
	if job.Apart && zones[worker.zone] > (job.Tareas+1)/2 {
		w.breaks("wrong_place", "%s on %s: tasks in zones %v", a.id, worker.name, zones)
	}
}

func (w *World) checkQuota(team string) {
	cpus, gpus := w.usage[team][0], w.usage[team][1]
	const slack = 1e-6
	for _, t := range w.teams {
		if t.Name == team && (t.CPUsMax > 0 && cpus > t.CPUsMax+slack || t.GPUsMax > 0 && gpus > t.GPUsMax+slack) {
			w.breaks("quota", "%s uses %v CPUs and %v GPUs", team, cpus, gpus)
		}
	}
}

func (w *World) offMachine(worker *Worker, a *attempt, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.on[a.id][worker.name] != nil {
		w.count(worker, a, -1)
	}
	delete(w.on[a.id], worker.name)
	w.record("off machine %s: %s attempt %d (%s)", worker.name, a.id, a.number, why)
}

// checkCancelled breaks ran_cancelled for tasks that are on machines too long.
func (w *World) checkCancelled() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, places := range w.on {
		id, _ := splitTask(task)
		told, ok := w.cancelled[id]
		if ok && len(places) > 0 && time.Since(told) > secs(w.cancelS) {
			w.breaks("ran_cancelled", "%s is on a machine %.1f s after its user was told that the job is cancelled",
				task, time.Since(told).Seconds())
		}
	}
}

// machineOf returns the machine that a task is on, or nil.
func (w *World) machineOf(task string) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.on[task] {
		return p.worker
	}
	return nil
}
