package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["soak"] = caseSoak }

// known is what a user knows of a job.
type known struct {
	accepted bool
	final    string
}

// told is what users were told of a job.
type told struct {
	mu sync.Mutex
	known
}

type soak struct {
	*world
	told sync.Map
}

func (s *soak) observe(j *job, asked time.Time, status int, answer string, before known) {
	value, _ := s.told.LoadOrStore(j.Id, &told{})
	t := value.(*told)
	t.mu.Lock()
	defer t.mu.Unlock()
	breach := func(format string, args ...any) {
		s.mu.Lock()
		s.breach(format, args...)
		s.mu.Unlock()
	}
	if status == 404 && before.accepted {
		breach("forgotten: %s answered 404", j.Id)
	}
	if status != 200 && status != 201 {
		if (status == 400 || status == 422) && before.accepted {
			breach("forgotten: %s answered %d %s", j.Id, status, answer)
		}
		return
	}
	var body struct{ Estado string }
	json.Unmarshal([]byte(answer), &body)
	t.accepted = true
	if before.final != "" && body.Estado != before.final {
		breach("went_back: %s was %s, now %s", j.Id, before.final, body.Estado)
	}
	s.mu.Lock()
	off, toldAt := s.calledOff(j)
	s.mu.Unlock()
	if body.Estado == "withdrawn" && !off {
		breach("went_back: %s is withdrawn, nobody cancelled it", j.Id)
	}
	if (body.Estado == "pending" || body.Estado == "running") && !toldAt.IsZero() && asked.After(toldAt.Add(time.Duration(s.site.cancelS*float64(time.Second)))) {
		breach("orphaned: %s is called %s", j.Id, body.Estado)
	}
	if body.Estado == "done" {
		for i := range j.Tareas {
			if !j.done(fmt.Sprintf("%s/%d", j.Id, i)) {
				breach("not_done: %s called done, task %d is not", j.Id, i)
				break
			}
		}
	}
	if body.Estado == "done" || body.Estado == "withdrawn" {
		if t.final != "" && t.final != body.Estado {
			breach("went_back: %s was %s, is %s", j.Id, t.final, body.Estado)
		}
		t.final = body.Estado
	}
	if body.Estado == "withdrawn" && j.confirmedZero(s.world) {
		s.mu.Lock()
		j.confirmed = time.Now()
		s.mu.Unlock()
	}
}

func (t *told) isAccepted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.accepted
}

func (j *job) confirmedZero(w *world) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return j.confirmed.IsZero()
}

func (s *soak) before(j *job) known {
	value, _ := s.told.LoadOrStore(j.Id, &told{})
	t := value.(*told)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

func (s *soak) ask(j *job, method, path string, body []byte, timeout time.Duration) (int, string) {
	before, at := s.before(j), time.Now()
	n := s.nodes[rand.Intn(len(s.nodes))]
	status, answer := n.ask(method, path, body, timeout)
	if status != 200 || method == "POST" {
		s.rec.log("user: %s %s at node %d: %d %s", method, path, n.index, status, answer)
	}
	s.observe(j, at, status, answer, before)
	return status, answer
}

func (s *soak) user(j *job, cancelAfter time.Duration, until time.Time) {
	j.doneTasks = map[string]bool{}
	s.mu.Lock()
	s.jobs[j.Id] = j
	s.mu.Unlock()
	body, _ := json.Marshal(j)
	accepted := false
	for begin := time.Now(); time.Since(begin) < 60*time.Second; time.Sleep(time.Second) {
		status, _ := s.ask(j, "POST", "/work", body, 5*time.Second)
		if accepted = status == 200 || status == 201; accepted || status == 400 || status == 422 {
			break
		}
	}
	if !accepted {
		return
	}
	began, asked := time.Now(), false
	for time.Now().Before(until) {
		if cancelAfter > 0 && time.Since(began) > cancelAfter && !asked {
			j.cancelAsked.Store(true)
			if status, _ := s.ask(j, "POST", "/work/"+j.Id+"/cancel", nil, 5*time.Second); status == 200 {
				asked = true
			}
		}
		s.ask(j, "GET", "/work/"+j.Id, nil, 2*time.Second)
		if rand.Intn(10) == 0 {
			s.ask(j, "POST", "/work", body, 5*time.Second)
		}
		if t := s.before(j); t.final != "" && rand.Intn(8) == 0 {
			return
		}
		time.Sleep(time.Duration(500+rand.Intn(2500)) * time.Millisecond)
	}
}

// caseSoak plays random troubles for SOAK_S seconds, pipelines included, and checks the rules. It
// is no case: it takes longer than one may.
func caseSoak(w *world, trouble bool) int {
	seconds, _ := strconv.Atoi(os.Getenv("SOAK_S"))
	if seconds == 0 {
		seconds = 180
	}
	s := &soak{world: w}
	w.siteCapacity()
	until := time.Now().Add(time.Duration(seconds) * time.Second)
	calm := until.Add(-60 * time.Second)
	if trouble {
		w.lateCommand = func(*worker) time.Duration {
			if rand.Intn(6) == 0 && time.Now().Before(calm) {
				return time.Duration(500+rand.Intn(15000)) * time.Millisecond
			}
			return 0
		}
		w.lateReport = func(k *worker, body []byte) {
			if rand.Intn(5) != 0 {
				return
			}
			delay := time.Duration(1000+rand.Intn(30000)) * time.Millisecond
			copied := append([]byte(nil), body...)
			time.AfterFunc(delay, func() {
				for _, n := range w.nodes {
					client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
					if r, err := client.Post("http://"+n.public+"/v1/report", "application/json", bytes.NewReader(copied)); err == nil {
						r.Body.Close()
					}
				}
			})
		}
		for i := range 3 {
			w.store.doors[i].onTxn = func(string) (time.Duration, bool) {
				switch {
				case time.Now().After(calm):
					return 0, false
				case rand.Intn(25) == 0:
					return time.Duration(2000+rand.Intn(10000)) * time.Millisecond, true
				case rand.Intn(25) == 0:
					return 0, true
				}
				return 0, false
			}
		}
		go s.faults(calm)
	}
	next := 1
	teams := []string{"lecturas", "tarifas", "pronostico", "socios", "cobranza", "redes"}
	for time.Now().Before(until.Add(-90 * time.Second)) {
		j := arrayJob(fmt.Sprintf("wk-%06d", next), teams[rand.Intn(6)], 1+rand.Intn(6), 2+30*rand.Float64()*rand.Float64())
		j.Prestadas = rand.Intn(2) == 0
		j.Imagen = fmt.Sprintf("img-%02d", rand.Intn(4))
		j.Prelacion = []string{"best_effort", "standard", "urgent"}[rand.Intn(3)]
		switch rand.Intn(6) {
		case 0:
			j.Forma, j.Tareas, j.Together = "group", 1+rand.Intn(4), rand.Intn(2) == 0
			j.RespaldoS, j.GuardadoS = 5, 1
		case 1:
			j.Apart = true
		case 2:
			j.Together = true
		case 3:
			j.Zona = text(w.site.zones[rand.Intn(3)])
		}
		if rand.Intn(3) == 0 {
			for range 1 + rand.Intn(2) {
				id := fmt.Sprintf("wk-%06d", 1+rand.Intn(next))
				if value, ok := s.told.Load(id); ok && value.(*told).isAccepted() {
					j.Espera = append(j.Espera, id)
				}
			}
		}
		cancelAfter := time.Duration(0)
		if rand.Intn(4) == 0 {
			cancelAfter = time.Duration(rand.Intn(25000)) * time.Millisecond
		}
		next++
		go s.user(j, cancelAfter, until)
		time.Sleep(time.Duration(200+rand.Intn(1600)) * time.Millisecond)
	}
	time.Sleep(time.Until(until))
	unfinished := 0
	s.told.Range(func(key, value any) bool {
		if t := value.(*told); t.accepted && t.final == "" {
			unfinished++
			count, machines := w.runningOf(key.(string))
			w.rec.log("unfinished at the end: %v, %d tasks on %s, %+v", key, count, machines, w.jobs[key.(string)].Forma)
		}
		return true
	})
	fmt.Println("jobs", next-1, "unfinished", unfinished)
	return w.verdict()
}

func (s *soak) faults(until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(2000+rand.Intn(6000)) * time.Millisecond)
		at := rand.Intn(3)
		n := s.nodes[at]
		wait := time.Duration(1000+rand.Intn(14000)) * time.Millisecond
		switch rand.Intn(14) {
		case 0:
			n.signal(syscall.SIGKILL)
			<-n.exited
			time.Sleep(time.Duration(rand.Intn(5000)) * time.Millisecond)
			n.start()
		case 1:
			n.signal(syscall.SIGSTOP)
			time.Sleep(wait)
			n.signal(syscall.SIGCONT)
		case 2:
			s.store.setDoor(at, func(d *door) { d.refuse = true })
			time.Sleep(wait)
			s.store.setDoor(at, func(d *door) { d.refuse = false })
		case 3:
			s.store.setDoor(at, func(d *door) { d.hang = true })
			time.Sleep(wait)
			s.store.setDoor(at, func(d *door) { d.hang = false })
		case 4: // outage
			for i := range 3 {
				s.store.setDoor(i, func(d *door) { d.refuse = true })
			}
			s.store.out.Store(true)
			time.Sleep(wait)
			s.store.refreshLeases()
			s.store.out.Store(false)
			for i := range 3 {
				s.store.setDoor(i, func(d *door) { d.refuse = false })
			}
		case 5:
			for _, n := range s.nodes {
				n.signal(syscall.SIGKILL)
				<-n.exited
			}
			time.Sleep(time.Duration(rand.Intn(6000)) * time.Millisecond)
			for _, n := range s.nodes {
				n.start()
			}
		case 6: // a controller loses the others; what is sent is held back
			s.rec.log("fault: node %d loses the other controllers for %v", at, wait)
			s.cutPeers(at, true)
			time.Sleep(wait)
			s.cutPeers(at, false)
		case 7: // and the state service with them
			s.rec.log("fault: node %d loses the others and the state service for %v", at, 2*wait)
			s.cutPeers(at, true)
			s.store.setDoor(at, func(d *door) { d.hang = true })
			time.Sleep(2 * wait)
			s.store.setDoor(at, func(d *door) { d.hang = false })
			s.cutPeers(at, false)
		case 8: // a controller loses the workers
			s.rec.log("fault: no worker reaches node %d for %v", at, wait)
			s.away[at].Store(true)
			time.Sleep(wait)
			s.away[at].Store(false)
		case 9: // spot notices
			s.notices()
		default:
			s.machineFault(wait * 2)
		}
	}
}

func (s *soak) machineFault(wait time.Duration) {
	s.mu.Lock()
	var alive []*worker
	for _, k := range s.workers {
		if !k.dead {
			alive = append(alive, k)
		}
	}
	s.mu.Unlock()
	if len(alive) == 0 {
		return
	}
	k := alive[rand.Intn(len(alive))]
	kind := rand.Intn(5)
	set := func(on bool) {
		k.mu.Lock()
		defer k.mu.Unlock()
		switch kind {
		case 0:
			k.deaf = on
		case 1:
			k.mute = on
		case 2:
			k.hung = on
			k.hangs.Store(on)
		case 3:
			k.sick = on
		}
		s.rec.log("fault: machine %s kind %d (deaf, mute, hung, sick, die): %t", k.m.name, kind, on)
	}
	if kind == 4 {
		s.cloud.take(k.m.name)
		return
	}
	set(true)
	time.AfterFunc(wait, func() { set(false) })
}

func (s *soak) cutPeers(at int, cut bool) {
	for pair, l := range s.links {
		if pair[0] == at || pair[1] == at {
			l.set(cut)
		}
	}
}

// notices takes half of the spot machines back, with a notice of 8 s.
func (s *soak) notices() {
	s.mu.Lock()
	workers := append([]*worker(nil), s.workers...)
	s.mu.Unlock()
	for _, k := range workers {
		k.mu.Lock()
		taken := !k.dead && k.m.spot && k.takenAt.IsZero() && rand.Intn(2) == 0
		if taken {
			k.takenAt = time.Now().Add(8 * time.Second)
			k.changed()
		}
		k.mu.Unlock()
		if taken {
			s.rec.log("fault: notice of 8 s for %s", k.m.name)
			time.AfterFunc(8*time.Second, func() { s.cloud.take(k.m.name) })
		}
	}
}
