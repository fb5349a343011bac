package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type task struct {
	name      string
	job       *job
	attempt   uint64
	state     string // pulling, waiting, running, flushing, ended
	cause     string
	stored    bool
	since     time.Time // when the state began
	doneAt    time.Time
	alone     time.Time
	onMachine bool // from the image on, until the exit
	fails     bool // was started while the machine was sick
}

type command struct {
	Accion  string
	Tarea   string
	Intento uint64
	GraciaS float64
}

type taskReport struct {
	Tarea   string
	Intento uint64
	Estado  string
	Causa   string `json:",omitempty"`
	Stored  bool   `json:",omitempty"`
}

// worker is one machine's worker.
type worker struct {
	world        *world
	m            *instance
	typ          machineType
	addr         string
	server       *http.Server
	client       *http.Client
	mu           sync.Mutex
	session      uint64
	folio        uint64
	token        uint64
	tasks        []*task
	images       map[string]time.Time // when an image is or will be there
	began        time.Time            // of the session
	answeredSent time.Time
	dead         bool
	node         int
	wake         chan struct{}
	sick         bool // fails every task that it starts
	deaf         bool // answers and direct commands to it are lost
	mute         bool // its reports reach no controller
	hung         bool
	takenAt      time.Time   // when the cloud takes it; zero: no notice
	hangs        atomic.Bool // the same, for the gang's other tasks
	rate         float64
}

func newWorker(w *world, m *instance, typ machineType) *worker {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		w.rec.log("worker %s can't listen: %v", m.name, err)
		return nil
	}
	k := &worker{
		world: w, m: m, typ: typ, addr: listener.Addr().String(), session: 1, images: map[string]time.Time{},
		began: time.Now(), wake: make(chan struct{}, 1), node: rand.Intn(len(w.nodes)), rate: typ.FetchGbPerS,
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
	k.sick = w.sick(m)
	if w.rateFn != nil {
		k.rate = w.rateFn(m, k.rate)
	}
	k.server = &http.Server{Handler: http.HandlerFunc(k.serve)}
	go k.server.Serve(listener)
	w.addWorker(k)
	go k.reportLoop()
	go k.tickLoop()
	w.rec.log("worker %s is up: %s %s spot=%t", m.name, m.typ, m.zone, m.spot)
	return k
}

func (k *worker) kill(why string) {
	k.mu.Lock()
	k.dead = true
	for _, t := range k.tasks {
		k.leave(t, why)
	}
	k.tasks = nil
	k.mu.Unlock()
	k.server.Close()
	k.world.rec.log("worker %s is gone: %s", k.m.name, why)
}

func (k *worker) changed() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// report returns the worker's report. k.mu is held.
func (k *worker) report() []byte {
	k.folio++
	list := []taskReport{}
	for _, t := range k.tasks {
		list = append(list, taskReport{t.name, t.attempt, t.state, t.cause, t.stored})
	}
	data, _ := json.Marshal(map[string]any{
		"Maquina": k.m.name, "Endpoint": k.addr, "Tipo": k.m.typ, "Zona": k.m.zone, "Prestadas": k.m.spot,
		"Jornada": k.session, "Folio": k.folio, "Baston": k.token, "AvisoS": k.notice(), "Tareas": list,
	})
	if len(data) > 64<<10 {
		k.world.rec.log("worker %s: its report of %d tasks has %d bytes", k.m.name, len(list), len(data))
	}
	k.world.largestReport(len(data))
	return data
}

// notice returns the seconds until the cloud takes the machine away, or nil. k.mu is held.
func (k *worker) notice() any {
	if k.takenAt.IsZero() {
		return nil
	}
	return max(0, time.Until(k.takenAt).Seconds())
}

func (k *worker) reportLoop() {
	for {
		k.mu.Lock()
		if k.dead {
			k.mu.Unlock()
			return
		}
		sent, session, body, node := time.Now(), k.session, k.report(), k.node
		mute, hung := k.mute, k.hung
		k.mu.Unlock()
		wait := time.Duration((0.75 + 0.5*rand.Float64()) * k.world.site.reportS * float64(time.Second))
		if hung {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if mute {
			time.Sleep(4 * time.Second)
			k.next()
			continue
		}
		if k.world.lateReport != nil {
			k.world.lateReport(k, body)
		}
		status, answer := 0, []byte(nil)
		if k.world.away[node].Load() {
			time.Sleep(4 * time.Second)
		} else {
			status, answer = k.send(node, body)
		}
		switch {
		case status == 200:
			k.accept(sent, session, answer)
		case status == 421:
			var redirect struct{ ReportaA string }
			json.Unmarshal(answer, &redirect)
			other := k.world.nodeNamed(redirect.ReportaA)
			k.client.CloseIdleConnections()
			if other >= 0 && other != node {
				k.mu.Lock()
				k.node = other
				k.mu.Unlock()
				time.Sleep(time.Duration(rand.Intn(500)) * time.Millisecond)
				continue
			}
			k.next()
			continue
		default:
			k.next()
			continue
		}
		time.Sleep(500 * time.Millisecond)
		select {
		case <-time.After(wait - 500*time.Millisecond):
		case <-k.wake:
		}
	}
}

func (k *worker) next() {
	time.Sleep(time.Second)
	k.mu.Lock()
	k.node = (k.node + 1) % len(k.world.nodes)
	k.mu.Unlock()
}

func (k *worker) send(node int, body []byte) (int, []byte) {
	response, err := k.client.Post("http://"+k.world.nodes[node].public+"/v1/report", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

func (k *worker) accept(sent time.Time, session uint64, answer []byte) {
	var response struct {
		Baston  uint64
		Ordenes []command
	}
	if json.Unmarshal(answer, &response) != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.deaf || k.dead || k.hung || session != k.session || response.Baston < k.token {
		return
	}
	if response.Baston > k.token {
		k.token = response.Baston
		k.changed()
	}
	k.answeredSent = sent
	k.execute(response.Ordenes, "answer")
}

func (k *worker) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if k.world.lateCommand != nil {
		if delay := k.world.lateCommand(k); delay > 0 {
			k.world.rec.log("fault: command to %s held for %v: %s", k.m.name, delay, body)
			time.Sleep(delay)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.deaf || k.dead || k.hung {
		k.mu.Unlock()
		<-r.Context().Done()
		k.mu.Lock()
		return
	}
	if r.URL.Path != "/commands" {
		w.Write(k.report())
		return
	}
	var request struct {
		Baston, Jornada *uint64
		Ordenes         []command
	}
	if json.Unmarshal(body, &request) != nil || request.Baston == nil || request.Jornada == nil {
		w.WriteHeader(400)
		return
	}
	if *request.Baston < k.token || *request.Jornada != k.session {
		w.WriteHeader(409)
		w.Write(k.report())
		return
	}
	if *request.Baston > k.token {
		k.token = *request.Baston
		k.changed()
	}
	k.execute(request.Ordenes, "direct")
	w.Write(k.report())
}

func (k *worker) find(name string, attempt uint64) *task {
	for _, t := range k.tasks {
		if t.name == name && t.attempt == attempt {
			return t
		}
	}
	return nil
}

// execute executes commands in order. k.mu is held.
func (k *worker) execute(commands []command, how string) {
	for _, c := range commands {
		k.world.rec.log("worker %s: %s %s %s attempt %d grace %.1f", k.m.name, how, c.Accion, c.Tarea, c.Intento, c.GraciaS)
		t := k.find(c.Tarea, c.Intento)
		switch c.Accion {
		case "run":
			if t == nil {
				k.startTask(c)
			}
		case "halt":
			if t != nil && t.state != "ended" {
				if t.state == "running" && t.job.RespaldoS > 0 && c.GraciaS >= t.job.GuardadoS && c.GraciaS > 0 {
					k.set(t, "flushing", "")
					t.doneAt = time.Now().Add(time.Duration(t.job.GuardadoS * float64(time.Second)))
				} else if t.state != "flushing" || c.GraciaS == 0 {
					k.end(t, "halted")
				}
			}
		case "forget":
			if t != nil && t.state == "ended" {
				kept := k.tasks[:0]
				for _, other := range k.tasks {
					if other != t {
						kept = append(kept, other)
					}
				}
				k.tasks = kept
			}
		}
	}
}

func (k *worker) startTask(c command) {
	t := &task{name: c.Tarea, attempt: c.Intento, since: time.Now()}
	k.tasks = append(k.tasks, t)
	t.job = k.world.jobOf(strings.Split(c.Tarea, "/")[0])
	if t.job == nil {
		k.end(t, "no_such")
		return
	}
	cpus, gpus, memory := t.job.Vcpus, t.job.Accelerators, t.job.MemoryGb
	for _, other := range k.tasks {
		if other == t || other.state == "ended" || other.job == nil {
			continue
		}
		if other.name == t.name {
			k.end(t, "busy")
			return
		}
		cpus, gpus, memory = cpus+other.job.Vcpus, gpus+other.job.Accelerators, memory+other.job.MemoryGb
	}
	const slack = 1e-6
	if cpus > k.typ.Vcpus+slack || gpus > k.typ.Accelerators+slack || memory > k.typ.MemoryGb+slack {
		k.end(t, "no_room")
		return
	}
	k.set(t, "pulling", "")
	if _, ok := k.images[t.job.Imagen]; !ok {
		k.images[t.job.Imagen] = time.Now().Add(time.Duration(t.job.SizeGb / k.rate * float64(time.Second)))
	}
}

func (k *worker) set(t *task, state, cause string) {
	t.state, t.cause, t.since = state, cause, time.Now()
	k.world.rec.log("worker %s: %s attempt %d is %s %s", k.m.name, t.name, t.attempt, state, cause)
	k.changed()
}

func (k *worker) end(t *task, cause string) {
	k.leave(t, cause)
	k.set(t, "ended", cause)
	if cause == "done" {
		k.world.taskDone(t)
	}
}

// leave takes a task off its machine for the checks.
func (k *worker) leave(t *task, _ string) {
	if t.onMachine {
		t.onMachine = false
		k.world.leaves(k, t)
	}
}

func (k *worker) tickLoop() {
	for range time.Tick(20 * time.Millisecond) {
		k.mu.Lock()
		if k.dead {
			k.mu.Unlock()
			return
		}
		if !k.hung {
			k.tick()
		}
		k.mu.Unlock()
	}
}

func (k *worker) tick() {
	now := time.Now()
	from := k.answeredSent
	if from.Before(k.began) {
		from = k.began
	}
	if now.Sub(from) > time.Duration(k.world.site.leaseS*float64(time.Second)) {
		k.world.rec.log("worker %s: its lease ended, session %d", k.m.name, k.session+1)
		for _, t := range k.tasks {
			k.leave(t, "lease")
		}
		k.tasks = nil
		k.session++
		k.folio = 0
		k.began = now
		k.changed()
		return
	}
	k.dropUnwantedFetches(now)
	for _, t := range k.tasks {
		k.tickTask(t, now)
	}
}

// dropUnwantedFetches gives up the fetch of an image for which no task waits any more.
func (k *worker) dropUnwantedFetches(now time.Time) {
	for image, at := range k.images {
		wanted := !now.Before(at)
		for _, t := range k.tasks {
			wanted = wanted || t.state == "pulling" && t.job.Imagen == image
		}
		if !wanted {
			delete(k.images, image)
		}
	}
}

func (k *worker) tickTask(t *task, now time.Time) {
	switch t.state {
	case "pulling":
		if now.Before(k.images[t.job.Imagen]) {
			return
		}
		t.onMachine = true
		k.world.arrives(k, t)
		if t.job.done(t.name) {
			k.end(t, "done")
			return
		}
		if t.job.Forma == "group" {
			k.set(t, "waiting", "")
			return
		}
		k.begin(t)
	case "waiting":
		if k.world.gangComplete(t) {
			k.begin(t)
		} else if now.Sub(t.since).Seconds() > k.world.site.gangWaitS {
			k.end(t, "alone")
			k.world.mu.Lock()
			k.world.alone++
			k.world.mu.Unlock()
		}
	case "running":
		if t.job.Forma == "group" && !t.job.done(t.name) {
			if k.world.gangComplete(t) {
				t.alone = time.Time{}
			} else if t.alone.IsZero() {
				t.alone = now
			} else if now.Sub(t.alone).Seconds() > k.world.site.gangPeerS {
				k.end(t, "mates_gone")
				return
			}
		}
		if t.job.Forma == "group" && t.job.done(t.name) {
			k.end(t, "done")
			return
		}
		if t.fails && now.Sub(t.since) > time.Second {
			k.end(t, "error")
		} else if t.job.Forma != "daemon" && now.After(t.doneAt) {
			k.end(t, "done")
		}
	case "flushing":
		if now.After(t.doneAt) {
			t.stored = true
			k.end(t, "halted")
		}
	}
}

func (k *worker) begin(t *task) {
	runS := t.job.runS
	if k.world.runFn != nil {
		runS = k.world.runFn(t)
	}
	t.doneAt = time.Now().Add(time.Duration(runS * float64(time.Second)))
	t.fails = k.sick
	k.set(t, "running", "")
	k.world.mu.Lock()
	k.world.ran[t.job.Id] = true
	k.world.mu.Unlock()
}
