package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Worker is a stand-in of the worker on one machine.
type Worker struct {
	world *World
	name  string
	kind  MachineType
	zone  string
	spot  bool
	addr  string

	mu         sync.Mutex
	up         bool
	dead       bool
	hungUntil  time.Time
	session    uint64
	folio      uint64
	token      uint64
	leaseFrom  time.Time
	tasks      []*attempt
	images     map[string]bool
	node       int
	dirty      bool
	tokenShown time.Time
	lastTick   time.Time

	// Deaf: the worker's reports arrive, but answers and direct commands to it are lost.
	// Mute: it reaches no controller, while direct commands reach it.
	Deaf, Mute bool
	// Sick: the machine fails every task that it starts.
	Sick bool
	// CommandDelay, if not nil, holds up one direct command, which gets no answer.
	CommandDelay func(body []byte) time.Duration
	server       *http.Server
}

// attempt is one attempt of a task on a machine.
type attempt struct {
	id      string
	job     *Job
	index   int
	number  uint64
	state   string
	cause   string
	stored  bool
	left    float64 // seconds until the image is there, or until the task is done
	saveEnd time.Time
	waited  float64
	lonely  float64
}

func (a *attempt) onMachine() bool { return a.state != "pulling" && a.state != "ended" }

// Run brings the machine up after boot.
func (w *Worker) run(boot time.Duration) {
	time.Sleep(boot)
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.up = true
	w.session = 1
	w.leaseFrom = time.Now()
	w.lastTick = time.Now()
	w.node = rand.Intn(len(w.world.nodes))
	w.mu.Unlock()
	go w.reportLoop()
	for range time.Tick(50 * time.Millisecond) {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		w.tick()
		w.mu.Unlock()
	}
}

// Kill ends the machine and everything on it.
func (w *Worker) Kill(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for _, a := range w.tasks {
		w.leave(a, why)
	}
	w.tasks = nil
	go func() { _ = w.server.Close() }()
}

// SetSick makes the machine fail every task that it starts, or ends that.
func (w *Worker) SetSick(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Sick = on
	w.world.record("machine %s fails every task that it starts: %t", w.name, on)
}

// Hang stops the machine for a while. It may resume within its lease.
func (w *Worker) Hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hungUntil = time.Now().Add(d)
	w.world.record("machine %s hangs for %v", w.name, d)
}

// hung reports whether the machine hangs. On resuming, the lease is checked first.
func (w *Worker) hung() bool {
	now := time.Now()
	if now.Before(w.hungUntil) {
		w.checkLease() // a hanging machine may resume within its lease alone
		return true
	}
	if !w.hungUntil.IsZero() {
		w.hungUntil = time.Time{}
		w.lastTick = now
		w.checkLease()
	}
	return false
}

// checkLease starts a new session if the lease is over.
func (w *Worker) checkLease() {
	if time.Since(w.leaseFrom) <= secs(w.world.leaseS) {
		return
	}
	w.world.record("machine %s: lease over, session %d ends with %d tasks", w.name, w.session, len(w.tasks))
	for _, a := range w.tasks {
		w.leave(a, "lease over")
	}
	w.tasks = nil
	w.session++
	w.leaseFrom = time.Now()
	w.dirty = true
}

// tick advances the tasks. The caller holds mu.
func (w *Worker) tick() {
	if !w.up || w.hung() {
		return
	}
	now := time.Now()
	step := now.Sub(w.lastTick).Seconds()
	w.lastTick = now
	w.checkLease()
	for _, a := range w.tasks {
		w.advance(a, step)
	}
}

func (w *Worker) advance(a *attempt, step float64) {
	switch a.state {
	case "pulling":
		if a.left -= step; a.left <= 0 {
			w.images[a.job.Image] = true
			w.arrive(a)
		}
	case "waiting":
		a.waited += step
		switch {
		case w.world.gangComplete(a):
			a.state, a.left = "running", w.world.remaining(a)
			w.dirty = true
		case a.waited > w.world.gangWaitS:
			w.exit(a, "alone")
		}
	case "running":
		if a.job.Forma == "group" {
			if w.world.gangAlive(a) {
				a.lonely = 0
			} else if a.lonely += step; a.lonely > w.world.gangPeerS/2 {
				if w.world.gangDone(a) {
					w.finish(a)
				} else {
					w.exit(a, "mates_gone")
				}
				return
			}
		}
		if a.job.Forma == "daemon" {
			return
		}
		if a.left -= step; a.left <= 0 {
			w.finish(a)
		}
	case "flushing":
		if time.Now().After(a.saveEnd) {
			a.stored = true
			w.world.save(a)
			w.exit(a, "halted")
		}
	}
}

func (w *Worker) finish(a *attempt) {
	w.world.taskDone(a)
	w.exit(a, "done")
}

// arrive is called when the image is there: from now on the task is on its machine.
func (w *Worker) arrive(a *attempt) {
	w.dirty = true
	a.state = "running"
	w.world.onMachine(w, a)
	if w.world.isDone(a.id) {
		w.exit(a, "done")
		return
	}
	if w.Sick {
		w.exit(a, "error")
		return
	}
	if a.job.Forma == "group" {
		a.state = "waiting"
		return
	}
	a.left = w.world.remaining(a)
	if a.job.FailsEverywhere {
		w.exit(a, "error")
	}
}

func (w *Worker) exit(a *attempt, cause string) {
	w.leave(a, cause)
	a.state, a.cause = "ended", cause
	w.dirty = true
}

func (w *Worker) leave(a *attempt, why string) {
	if a.onMachine() {
		w.world.offMachine(w, a, why)
	}
}

// execute carries out commands in order. The caller holds mu.
func (w *Worker) execute(commands []command, via string) {
	for _, c := range commands {
		switch c.Accion {
		case "run":
			w.start(c, via)
		case "halt":
			w.halt(c)
		case "forget":
			for i, a := range w.tasks {
				if a.id == c.Tarea && a.number == c.Intento && a.state == "ended" {
					w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
					w.dirty = true
					break
				}
			}
		}
	}
}

func (w *Worker) start(c command, via string) {
	used := [3]float64{}
	busy := false
	for _, a := range w.tasks {
		if a.id == c.Tarea && a.number == c.Intento {
			return
		}
		if a.state == "ended" {
			continue
		}
		busy = busy || a.id == c.Tarea
		used[0] += a.job.Vcpus
		used[1] += a.job.Accelerators
		used[2] += a.job.MemoryGb
	}
	job, index := w.world.jobOf(c.Tarea)
	a := &attempt{id: c.Tarea, job: job, index: index, number: c.Intento, state: "ended"}
	w.tasks = append(w.tasks, a)
	w.dirty = true
	const slack = 1e-9
	switch {
	case job == nil:
		a.cause = "no_such"
	case busy:
		a.cause = "busy"
	case used[0]+job.Vcpus > w.kind.Vcpus+slack || used[1]+job.Accelerators > w.kind.Accelerators+slack ||
		used[2]+job.MemoryGb > w.kind.MemoryGb+slack:
		a.cause = "no_room"
	default:
		a.state = "pulling"
		if !w.images[job.Imagen()] {
			a.left = job.SizeGb / w.kind.FetchGbPerS
		}
	}
	w.world.record("machine %s told by %s: run %s attempt %d -> %s %s", w.name, via, c.Tarea, c.Intento, a.state, a.cause)
}

func (w *Worker) halt(c command) {
	for _, a := range w.tasks {
		if a.id != c.Tarea || a.number != c.Intento || a.state == "ended" {
			continue
		}
		w.world.record("machine %s told: halt %s attempt %d grace %v", w.name, c.Tarea, c.Intento, c.GraciaS)
		if a.state == "running" && a.job.RespaldoS > 0 && c.GraciaS >= a.job.GuardadoS {
			a.state, a.saveEnd = "flushing", time.Now().Add(secs(a.job.GuardadoS))
			w.dirty = true
			continue
		}
		if a.state == "flushing" && c.GraciaS > 0 {
			continue
		}
		w.exit(a, "halted")
	}
}

type command struct {
	Accion, Tarea string
	Intento       uint64
	GraciaS       float64
}

// report returns the next report. The caller holds mu.
func (w *Worker) report() []byte {
	w.folio++
	tasks := []map[string]any{}
	for _, a := range w.tasks {
		t := map[string]any{"Tarea": a.id, "Intento": a.number, "Estado": a.state}
		if a.state == "ended" {
			t["Causa"] = a.cause
		}
		if a.stored {
			t["Stored"] = true
		}
		tasks = append(tasks, t)
	}
	body, _ := json.Marshal(map[string]any{
		"Maquina": w.name, "Endpoint": w.addr, "Tipo": w.kind.Label, "Zona": w.zone, "Prestadas": w.spot,
		"Jornada": w.session, "Folio": w.folio, "Baston": w.token, "AvisoS": nil, "Tareas": tasks,
	})
	return body
}

func (w *Worker) reportLoop() {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	next := time.Now()
	var last time.Time
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		due := now.After(next) || w.dirty && now.Sub(last) > 500*time.Millisecond && now.After(next.Add(-secs(w.world.reportS*1.25)))
		if w.hung() || !due {
			w.mu.Unlock()
			continue
		}
		w.dirty = false
		body, session, node := w.report(), w.session, w.node
		mute := w.Mute
		w.mu.Unlock()
		last = now
		wait := w.send(client, node, session, body, now, mute)
		next = time.Now().Add(secs(w.world.reportS * (0.75 + 0.5*rand.Float64())))
		if wait > 0 {
			time.Sleep(wait)
			next = time.Now()
		}
	}
}

// send sends a report and handles the answer. It returns how long to wait for the next
// attempt at another node, or 0.
func (w *Worker) send(client *http.Client, node int, session uint64, body []byte, sentAt time.Time, mute bool) time.Duration {
	nodes := w.world.nodes
	other := func() time.Duration {
		w.mu.Lock()
		w.node = (node + 1) % len(nodes)
		w.mu.Unlock()
		return time.Second
	}
	if mute || w.world.workerCut(w, node) {
		time.Sleep(4 * time.Second)
		return other()
	}
	if w.world.OnReport != nil {
		w.world.OnReport(w, node, body)
	}
	response, err := client.Post("http://"+nodes[node].public+"/v1/report", "application/json", bytes.NewReader(body))
	if err != nil {
		return other()
	}
	raw, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	w.mu.Lock()
	deaf := w.Deaf
	w.mu.Unlock()
	if err != nil || deaf || time.Since(sentAt) > 4*time.Second {
		return other()
	}
	switch response.StatusCode {
	case 200:
		w.accept(session, raw, sentAt, nodes[node].name)
		return 0
	case 421:
		var redirect struct{ ReportaA string }
		_ = json.Unmarshal(raw, &redirect)
		for i, n := range nodes {
			if n.name == redirect.ReportaA && i != node {
				w.mu.Lock()
				w.node = i
				w.mu.Unlock()
				return time.Duration(1+rand.Intn(500)) * time.Millisecond
			}
		}
	}
	return other()
}

// accept handles an answer with status 200.
func (w *Worker) accept(session uint64, raw []byte, sentAt time.Time, node string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var answer struct {
		Baston  uint64
		Ordenes []command
	}
	if json.Unmarshal(raw, &answer) != nil || w.dead || w.hung() || answer.Baston < w.token || session != w.session {
		return
	}
	w.checkLease()
	if session != w.session {
		return
	}
	w.sawToken(answer.Baston)
	w.leaseFrom = sentAt
	w.execute(answer.Ordenes, node)
}

// sawToken stores a higher token, which is a change at most once per half of a lease.
func (w *Worker) sawToken(token uint64) {
	if token <= w.token {
		return
	}
	w.token = token
	if time.Since(w.tokenShown) > secs(w.world.leaseS/2) {
		w.tokenShown = time.Now()
		w.dirty = true
	}
}

// ServeHTTP serves direct commands.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	w.mu.Lock()
	up, deaf, delay := w.up && !w.dead, w.Deaf, time.Duration(0)
	if w.CommandDelay != nil && r.URL.Path == "/commands" {
		delay = w.CommandDelay(body)
	}
	w.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if deaf {
		hang(out, r)
	}
	if delay > 0 {
		w.world.record("direct command to %s held up for %v: %s", w.name, delay, body)
		go func() {
			time.Sleep(delay)
			w.awaitResume()
			w.mu.Lock()
			defer w.mu.Unlock()
			w.command(body)
		}()
		hang(out, r)
	}
	w.awaitResume()
	w.mu.Lock()
	status, answer := 200, []byte(nil)
	if r.URL.Path == "/commands" {
		status, answer = w.command(body)
	} else {
		answer = w.report()
	}
	w.mu.Unlock()
	out.WriteHeader(status)
	_, _ = out.Write(answer)
}

// awaitResume waits while the machine hangs.
func (w *Worker) awaitResume() {
	for {
		w.mu.Lock()
		hung := w.hung()
		w.mu.Unlock()
		if !hung {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// command carries out a direct command. The caller holds mu.
func (w *Worker) command(body []byte) (int, []byte) {
	var ask struct {
		Baston, Jornada *uint64
		Ordenes         []command
	}
	if json.Unmarshal(body, &ask) != nil || ask.Baston == nil || ask.Jornada == nil {
		return 400, []byte("{}")
	}
	w.checkLease()
	if *ask.Baston < w.token || *ask.Jornada != w.session {
		return 409, w.report()
	}
	w.sawToken(*ask.Baston)
	w.execute(ask.Ordenes, "direct command")
	return 200, w.report()
}

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func splitTask(id string) (string, int) {
	job, number, _ := strings.Cut(id, "/")
	index, err := strconv.Atoi(number)
	if err != nil {
		return "", 0
	}
	return job, index
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func readBody(r *http.Request) []byte {
	body, _ := io.ReadAll(r.Body)
	return body
}

func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
