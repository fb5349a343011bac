package main

import (
	"math/rand"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The soak is no case. It draws jobs and troubles from SEED and checks all rules.
func init() {
	plays["soak"] = play{rule: "any", deployment: soakDeployment, run: playSoak}
}

func soakDeployment() Deployment {
	d := predial()
	d.Nodes, d.Capacity = 3, 6
	d.Store.RPS, d.Store.WriteRPS = 150, 60
	for i := range d.Teams {
		d.Teams[i].CPUsMax = 40
	}
	return d
}

const (
	soakTime  = 85 * time.Second
	soakUsers = 4
)

type soak struct {
	*World
	end time.Time

	mu      sync.Mutex // guards the fields below
	random  *rand.Rand
	refused int     // the controller that the state service refuses; -1: none
	lossy   float64 // share of transactions without an answer
	slow    time.Duration
}

func playSoak(w *World, trouble bool) error {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	for i := range w.nodes {
		if err := w.Start(i); err != nil {
			return err
		}
	}
	if err := w.AwaitReady(20 * time.Second); err != nil {
		return err
	}
	s := &soak{World: w, end: time.Now().Add(soakTime), random: rand.New(rand.NewSource(seed)), refused: -1}
	w.store.Hook = s.treat
	ids := s.random.Perm(5000)
	var wait sync.WaitGroup
	for user := range soakUsers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			s.use(user, ids, rand.New(rand.NewSource(seed*100+int64(user))))
		}()
	}
	go func() {
		for range time.Tick(time.Second) {
			w.checkCancelled()
		}
	}()
	for trouble && time.Now().Before(s.end) {
		time.Sleep(time.Duration(1000+s.intn(3000)) * time.Millisecond)
		s.trouble()
	}
	wait.Wait()
	return nil
}

func (s *soak) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Intn(n)
}

// treat decides how the state service treats a request.
func (s *soak) treat(node int, r *http.Request, _ []byte) Treatment {
	s.mu.Lock()
	defer s.mu.Unlock()
	if node == s.refused {
		return Treatment{Status: 503}
	}
	t := Treatment{Delay: time.Duration(s.random.Int63n(int64(s.slow + 1)))}
	if strings.HasPrefix(r.URL.Path, "/store/over") && s.random.Float64() < 0.3 {
		t.Delay += time.Duration(s.random.Intn(400)) * time.Millisecond
	}
	if r.URL.Path == "/txn" && s.random.Float64() < s.lossy {
		if t.Lose = s.random.Intn(2) == 0; !t.Lose {
			t.LateBy = time.Duration(2000+s.random.Intn(6000)) * time.Millisecond
		}
	}
	return t
}

// use submits, cancels and asks as one user.
func (s *soak) use(user int, ids []int, random *rand.Rand) {
	var mine []string
	for time.Now().Before(s.end) {
		node := random.Intn(len(s.nodes))
		switch kind := random.Intn(10); {
		case kind < 4 && len(mine) < 400:
			job := s.draw(1+ids[len(mine)]*soakUsers+user, mine, random)
			if s.SubmitUntil(job, 20*time.Second, node, (node+1)%len(s.nodes), (node+2)%len(s.nodes)) == nil {
				mine = append(mine, job.Id)
			}
		case kind == 4 && len(mine) > 3:
			_ = s.Cancel(mine[random.Intn(len(mine))], node, 3*time.Second)
		case len(mine) > 0:
			id := mine[random.Intn(len(mine))]
			for n := range s.nodes {
				s.Poll(id, n)
			}
		}
		time.Sleep(time.Duration(100+random.Intn(250)) * time.Millisecond)
	}
}

// draw draws a job, which may need earlier ones of the same user.
func (s *soak) draw(number int, mine []string, random *rand.Rand) *Job {
	teams := soakDeployment().Teams
	job := array(number, teams[random.Intn(len(teams))].Name, 1+random.Intn(5), 0.5+random.Float64()*8)
	job.Vcpus = 1 + float64(random.Intn(6))
	switch random.Intn(6) {
	case 0:
		job.Forma, job.Together, job.RespaldoS, job.GuardadoS = "group", random.Intn(2) == 0, 2, 1
	case 1:
		job.Forma, job.Apart, job.EstimadoS = "daemon", true, 0
	case 2:
		job.Together = true
	}
	for len(mine) > 0 && len(job.Espera) < 3 && random.Intn(3) == 0 {
		need := mine[random.Intn(len(mine))]
		s.World.mu.Lock()
		service := s.jobs[need].Forma == "daemon"
		s.World.mu.Unlock()
		if !service && !slices.Contains(job.Espera, need) {
			job.Espera = append(job.Espera, need)
		}
	}
	return job
}

// trouble draws one trouble.
func (s *soak) trouble() {
	node := s.intn(len(s.nodes))
	set := func(change, undo func(), after time.Duration) {
		s.mu.Lock()
		change()
		s.mu.Unlock()
		time.AfterFunc(after, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			undo()
		})
	}
	switch kind := s.intn(9); kind {
	case 0:
		s.KillNode(node)
		time.Sleep(time.Duration(100+s.intn(5000)) * time.Millisecond)
		_ = s.Start(node)
	case 1:
		s.Signal(node, syscall.SIGSTOP)
		time.Sleep(time.Duration(1000+s.intn(12000)) * time.Millisecond)
		s.Signal(node, syscall.SIGCONT)
	case 2:
		s.record("a share of transactions gets no answer for 8 s")
		set(func() { s.lossy = 0.3 }, func() { s.lossy = 0 }, 8*time.Second)
	case 3:
		s.record("the state service refuses nodo-%d", node)
		set(func() { s.refused = node }, func() { s.refused = -1 }, time.Duration(2000+s.intn(12000))*time.Millisecond)
	case 4:
		s.record("outage of the state service")
		s.store.SetOutage(true)
		time.Sleep(time.Duration(1000+s.intn(9000)) * time.Millisecond)
		s.store.SetOutage(false)
		s.record("outage over")
	case 5:
		set(func() { s.slow = 300 * time.Millisecond }, func() { s.slow = 0 }, 10*time.Second)
	default:
		if worker := s.anyWorker(); worker != nil {
			s.troubleWorker(worker, kind)
		}
	}
}

func (s *soak) troubleWorker(worker *Worker, kind int) {
	if kind == 6 {
		worker.Hang(time.Duration(2000+s.intn(9000)) * time.Millisecond)
		return
	}
	seed := int64(s.intn(1 << 30))
	deaf, forS := s.intn(2) == 0, time.Duration(3000+s.intn(12000))*time.Millisecond
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if kind == 7 {
		worker.Deaf, worker.Mute = deaf, !deaf
		s.record("machine %s: deaf %t, mute %t", worker.name, deaf, !deaf)
	} else {
		random := rand.New(rand.NewSource(seed))
		worker.CommandDelay = func([]byte) time.Duration {
			return time.Duration(random.Intn(2)*(2000+random.Intn(10000))) * time.Millisecond
		}
	}
	time.AfterFunc(forS, func() {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		worker.Deaf, worker.Mute, worker.CommandDelay = false, false, nil
	})
}

func (s *soak) anyWorker() *Worker {
	s.World.mu.Lock()
	defer s.World.mu.Unlock()
	var names []string
	for name, worker := range s.workers {
		worker.mu.Lock()
		if worker.up && !worker.dead {
			names = append(names, name)
		}
		worker.mu.Unlock()
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	return s.workers[names[s.intn(len(names))]]
}
