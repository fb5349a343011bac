package main

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type team struct {
	name          string
	gpus, gpusMax float64
	cpus, cpusMax float64
}

// site holds the numbers of a deployment.
type site struct {
	zones                                          []string
	teams                                          []team
	reportS, leaseS, gangWaitS, gangPeerS, cancelS float64
	rps, writeRPS                                  float64
	valueKB, txnOps                                int
	cloudRPS, listLagS                             float64
	cores, memMB                                   float64
	maxConnections                                 int
	types                                          []machineType
}

// solComun is the small deployment of the site file sol-comun-xela.
func solComun() site {
	zones := []string{"volcan", "costa", "lago"}
	return site{
		zones: zones,
		teams: []team{
			{name: "lecturas", gpus: 8, gpusMax: 24}, {name: "tarifas", gpus: 24, gpusMax: 40},
			{name: "pronostico", gpus: 8, gpusMax: 24}, {name: "socios", gpus: 16, gpusMax: 48},
			{name: "cobranza", gpus: 16, gpusMax: 24}, {name: "redes", gpus: 16, gpusMax: 48},
		},
		reportS: 3, leaseS: 18, gangWaitS: 45, gangPeerS: 4, cancelS: 48,
		rps: 150, writeRPS: 60, valueKB: 16, txnOps: 48, cloudRPS: 2, listLagS: 10,
		cores: 0.12, memMB: 98, maxConnections: 1200,
		types: []machineType{
			{"quetzal", 12, 2, 72, 70, 0.3, 6.34, 2.15, 40, zones},
			{"ceiba", 24, 4, 144, 120, 0.8, 7.81, 2.62, 45, zones},
		},
	}
}

// job is a submission, with its true run time.
type job struct {
	Id, Clase, Dueno, Forma, Prelacion string
	Tareas                             int
	Vcpus, Accelerators, MemoryGb      float64
	Imagen                             string
	SizeGb                             float64
	Tipos                              []string
	Zona                               *string
	Together, Apart, Prestadas         bool
	EstimadoS, RespaldoS, GuardadoS    float64
	PlazoS                             *float64
	Espera                             []string `json:",omitempty"`

	runS        float64
	mu          sync.Mutex
	doneTasks   map[string]bool
	confirmed   time.Time // when its user was told that it is cancelled
	cancelAsked atomic.Bool
}

func (j *job) done(name string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.doneTasks[name]
}

// world connects the stand-ins and checks the rules as they are written.
type world struct {
	rec         *record
	site        site
	store       *store
	cloud       *cloud
	nodes       []*node
	mu          sync.Mutex
	jobs        map[string]*job
	workers     []*worker
	on          map[*task]*worker // tasks on machines
	broken      []string
	started     map[string]int // starts of each task on a machine
	sickFn      func(*instance) bool
	lateCommand func(*worker) time.Duration
	lateReport  func(*worker, []byte)
	rateFn      func(*instance, float64) float64
	runFn       func(*task) float64
	cutsLinks   bool             // the controllers reach each other through links
	links       map[[2]int]*link // between controllers
	away        [3]atomic.Bool   // controllers that no worker reaches
	largest     atomic.Int64     // bytes of the largest report of a worker
	alone       int              // exits with cause alone
	ran         map[string]bool  // jobs of which a task has run
}

func (w *world) sick(m *instance) bool { return w.sickFn != nil && w.sickFn(m) }

func (w *world) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.rec.log("RULE BROKEN: %s", text)
}

func (w *world) addWorker(k *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers = append(w.workers, k)
}

func (w *world) nodeNamed(name string) int {
	for i := range w.nodes {
		if name == fmt.Sprintf("nodo-%d", i) {
			return i
		}
	}
	return -1
}

func (w *world) jobOf(id string) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

func (w *world) taskDone(t *task) {
	t.job.mu.Lock()
	defer t.job.mu.Unlock()
	t.job.doneTasks[t.name] = true
	if t.job.Forma == "group" { // they complete together
		for i := range t.job.Tareas {
			t.job.doneTasks[fmt.Sprintf("%s/%d", t.job.Id, i)] = true
		}
	}
}

// gangComplete reports whether all tasks of an attempt have their image.
func (w *world) gangComplete(t *task) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for other, k := range w.on {
		if other.job == t.job && other.attempt == t.attempt && !k.hangs.Load() {
			count++
		}
	}
	return count == t.job.Tareas
}

// arrives checks the rules when a task has its image and so is on its machine.
func (w *world) arrives(k *worker, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, at := range w.on {
		if other.name == t.name && at != k {
			w.breach("ran_twice: %s attempt %d starts on %s while attempt %d is on %s", t.name, t.attempt, k.m.name, other.attempt, at.m.name)
		}
	}
	for _, id := range t.job.Espera {
		if before := w.jobs[id]; before != nil && !before.allDone() {
			w.breach("too_early: %s starts before %s is done", t.name, id)
		}
	}
	w.checkPlace(k, t)
	w.on[t] = k
	w.started[t.name]++
	if at := t.job.confirmed; !at.IsZero() && time.Since(at).Seconds() > w.site.cancelS {
		w.breach("ran_cancelled: %s starts %.1f s after its user was told", t.name, time.Since(at).Seconds())
	}
	w.checkQuota(t.job.Dueno)
}

func (w *world) checkPlace(k *worker, t *task) {
	j := t.job
	allowed := j.Tipos == nil
	for _, name := range j.Tipos {
		allowed = allowed || name == k.m.typ
	}
	if !allowed || j.Zona != nil && *j.Zona != k.m.zone || k.m.spot && !j.Prestadas {
		w.breach("wrong_place: %s starts on %s (%s %s spot=%t)", t.name, k.m.name, k.m.typ, k.m.zone, k.m.spot)
	}
	zones := map[string]int{k.m.zone: 1}
	for other, at := range w.on {
		if other.job == j && other.name != t.name {
			zones[at.m.zone]++
		}
	}
	if j.Together && len(zones) > 1 {
		w.breach("wrong_place: %s starts in %s, others of its job are elsewhere: %v", t.name, k.m.zone, zones)
	}
	if j.Apart && zones[k.m.zone] > (j.Tareas+1)/2 {
		w.breach("wrong_place: %s is task %d of %d in %s", t.name, zones[k.m.zone], j.Tareas, k.m.zone)
	}
}

func (w *world) checkQuota(name string) {
	cpus, gpus, count := 0.0, 0.0, 0
	for other := range w.on {
		if other.job.Dueno == name {
			cpus, gpus, count = cpus+other.job.Vcpus, gpus+other.job.Accelerators, count+1
		}
	}
	const slack = 1e-6
	for _, t := range w.site.teams {
		if t.name != name {
			continue
		}
		if t.gpusMax > 0 && gpus > t.gpusMax+slack || t.cpusMax > 0 && cpus > t.cpusMax+slack {
			w.breach("quota: %d tasks of %s use %.4f GPUs and %.4f CPUs, limits %.1f and %.1f", count, name, gpus, cpus, t.gpusMax, t.cpusMax)
		}
	}
}

func (w *world) leaves(_ *worker, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.on, t)
}

// watchCancelled checks that no task of a cancelled job is on a machine after cancel_s.
func (w *world) watchCancelled() {
	reported := map[string]bool{}
	for range time.Tick(100 * time.Millisecond) {
		w.mu.Lock()
		for t, k := range w.on {
			at := t.job.confirmed
			if !at.IsZero() && time.Since(at).Seconds() > w.site.cancelS && !reported[t.name] {
				reported[t.name] = true
				w.breach("ran_cancelled: %s is on %s %.1f s after its user was told", t.name, k.m.name, time.Since(at).Seconds())
			}
		}
		w.mu.Unlock()
	}
}

// usage returns the GPUs that a team's tasks on machines use.
func (w *world) usage(name string) (gpus float64, count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t := range w.on {
		if t.job.Dueno == name {
			gpus, count = gpus+t.job.Accelerators, count+1
		}
	}
	return math.Round(gpus*1e6) / 1e6, count
}

// runningOf returns how many tasks of a job run, and on which machines.
func (w *world) runningOf(id string) (count int, machines string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for t, k := range w.on {
		if t.job.Id == id {
			count++
			names = append(names, k.m.name)
		}
	}
	return count, strings.Join(names, " ")
}

func (w *world) brokenRules() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.broken...)
}

func (w *world) findWorker(match func(*worker) bool) *worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		if !k.dead && match(k) {
			return k
		}
	}
	return nil
}

// begun reports whether a task of a job has run.
func (w *world) begun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[id]
}

// allDone reports whether all tasks of a job are done.
func (j *job) allDone() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.doneTasks) == j.Tareas
}

// calledOff reports whether a job or one that it needs was cancelled by its user, and the
// earliest time at which a user was told of a cancellation of one that it needs. w.mu is held.
func (w *world) calledOff(j *job) (asked bool, told time.Time) {
	asked = j.cancelAsked.Load()
	for _, id := range j.Espera {
		before := w.jobs[id]
		if before == nil {
			continue
		}
		askedBefore, toldBefore := w.calledOff(before)
		asked = asked || askedBefore
		for _, at := range []time.Time{toldBefore, before.confirmed} {
			if !at.IsZero() && (told.IsZero() || at.Before(told)) {
				told = at
			}
		}
	}
	return asked, told
}

// largestReport keeps the size of the largest report.
func (w *world) largestReport(size int) {
	for {
		known := w.largest.Load()
		if int64(size) <= known || w.largest.CompareAndSwap(known, int64(size)) {
			return
		}
	}
}
