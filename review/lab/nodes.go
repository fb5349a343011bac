package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// node is one controller process.
type node struct {
	world            *world
	index            int
	public, internal string
	config           string
	logPath          string
	cmd              *exec.Cmd
	exited           chan struct{}
	stopping         atomic.Bool // its end is not its own
	starting         bool        // its first start, which an address that is taken may end
}

// freeAddr returns a free address below the ports that the system gives to outgoing connections,
// so that no other run takes it before the controller listens there.
func freeAddr() string {
	for {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", 10000+rand.Intn(20000)))
		if err != nil {
			continue
		}
		defer listener.Close()
		return listener.Addr().String()
	}
}

// startNodes starts the controllers. If one can't listen at its address, all are started again
// at other ones.
func (w *world) startNodes(folder string) error {
	for range 5 {
		w.nodes = nil
		if err := w.prepareNodes(3, folder); err != nil {
			return err
		}
		for _, n := range w.nodes {
			n.starting = true
			if err := n.start(); err != nil {
				return err
			}
			n.starting = false
		}
		time.Sleep(300 * time.Millisecond)
		if !w.anyExited() {
			for _, n := range w.nodes {
				n.stopping.Store(false)
			}
			return nil
		}
		w.rec.log("a controller did not start: all are started again at other addresses")
		for _, n := range w.nodes {
			n.kill()
		}
	}
	return fmt.Errorf("the controllers could not be started")
}

func (w *world) anyExited() bool {
	for _, n := range w.nodes {
		select {
		case <-n.exited:
			return true
		default:
		}
	}
	return false
}

// runCommand returns the words of run in the deploy file.
func runCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, fmt.Errorf("no run in the deploy file")
}

func (w *world) prepareNodes(count int, folder string) error {
	for i := range count {
		w.nodes = append(w.nodes, &node{world: w, index: i, public: freeAddr(), internal: freeAddr()})
	}
	for i := range w.nodes {
		for j, other := range w.nodes {
			if i == j || !w.cutsLinks {
				continue
			}
			l, err := newLink(other.internal)
			if err != nil {
				return err
			}
			w.links[[2]int{i, j}] = l
		}
	}
	for i, n := range w.nodes {
		n.config = filepath.Join(folder, fmt.Sprintf("settings-%d.json", i))
		n.logPath = filepath.Join(folder, fmt.Sprintf("nodo-%d.log", i))
		data, _ := json.MarshalIndent(w.settings(i), "", " ")
		if err := os.WriteFile(n.config, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) settings(index int) map[string]any {
	s := w.site
	zone := func(i int) string { return s.zones[i%len(s.zones)] }
	known, teams := []any{}, []any{}
	for i, n := range w.nodes {
		if i != index {
			addr := n.internal
			if l := w.links[[2]int{index, i}]; l != nil {
				addr = l.at
			}
			known = append(known, map[string]any{"node_name": fmt.Sprintf("nodo-%d", i), "site": zone(i), "addr": addr})
		}
	}
	for _, t := range s.teams {
		teams = append(teams, map[string]any{"name": t.name, "cpus": t.cpus, "cpus_max": t.cpusMax, "gpus": t.gpus, "gpus_max": t.gpusMax})
	}
	return map[string]any{
		"node_name": fmt.Sprintf("nodo-%d", index), "site": zone(index),
		"public_addr": w.nodes[index].public, "internal_addr": w.nodes[index].internal, "known": known,
		"endpoints": map[string]any{"cloud": w.cloud.addr, "state": w.store.doors[index].addr},
		"facts": map[string]any{
			"nodes": len(w.nodes), "zones": s.zones, "teams": teams,
			"objectives": []any{map[string]any{"kind": "wait", "class": "pronostico-sol", "within_s": 30.0, "share": 0.82}},
			"workers": map[string]any{
				"report_s": s.reportS, "lease_s": s.leaseS, "gang_wait_s": s.gangWaitS, "gang_peer_s": s.gangPeerS, "cancel_s": s.cancelS,
			},
			"state":          map[string]any{"rps": s.rps, "write_rps": s.writeRPS, "value_kb": float64(s.valueKB), "txn_ops": s.txnOps},
			"cloud":          map[string]any{"rps": s.cloudRPS, "list_lag_s": s.listLagS},
			"machine_limits": map[string]any{"cores": s.cores, "mem_mb": s.memMB, "max_connections": s.maxConnections},
			"time_bound_ms":  25.0,
		},
	}
}

func (n *node) start() error {
	words, err := runCommand()
	if err != nil {
		return err
	}
	words = append(words, n.config)
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command(words[0], words[1:]...)
	level := os.Getenv("CASE_LOG")
	if level == "" {
		level = "info"
	}
	n.cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	n.cmd.Stderr, n.cmd.Stdout = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.stopping.Store(n.starting)
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		state, _ := cmd.Process.Wait()
		n.world.rec.log("node %d ended: %v", n.index, state)
		if !n.stopping.Load() {
			n.world.mu.Lock()
			n.world.breach("crash: node %d ended by itself: %v", n.index, state)
			n.world.mu.Unlock()
		}
		close(exited)
	}(n.cmd, n.exited)
	n.world.rec.log("node %d started: %s", n.index, strings.Join(words[:len(words)-1], " "))
	return nil
}

func (n *node) signal(signal syscall.Signal) {
	n.world.rec.log("fault: node %d gets %v", n.index, signal)
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		n.stopping.Store(true)
	}
	n.cmd.Process.Signal(signal)
}

func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	n.stopping.Store(true)
	n.cmd.Process.Kill()
	<-n.exited
}

// rssMB returns the resident memory of the process.
func (n *node) rssMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident float64
	fmt.Sscan(string(data), &size, &resident)
	return resident * float64(os.Getpagesize()) / (1 << 20)
}

// ask sends one user request to a node and returns the status and the body; status 0 means no
// answer.
func (n *node) ask(method, path string, body []byte, timeout time.Duration) (int, string) {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+n.public+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

func (w *world) waitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ready := 0
		for _, n := range w.nodes {
			if status, _ := n.ask("GET", "/ready", nil, time.Second); status == 200 {
				ready++
			}
		}
		if ready == len(w.nodes) && w.store.leaderOf(0) >= 0 && w.store.leaderOf(1) >= 0 && w.store.leaderOf(2) >= 0 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// submit submits a job as a user does: it repeats the request for up to 60 s.
func (w *world) submit(j *job, first int) (int, string) {
	j.doneTasks = map[string]bool{}
	w.mu.Lock()
	w.jobs[j.Id] = j
	w.mu.Unlock()
	body, _ := json.Marshal(j)
	deadline := time.Now().Add(60 * time.Second)
	for at := first; ; at++ {
		n := w.nodes[at%len(w.nodes)]
		status, answer := n.ask("POST", "/work", body, 5*time.Second)
		w.rec.log("user: POST /work %s at node %d: %d %s", j.Id, n.index, status, answer)
		if status == 200 || status == 201 || status == 400 || status == 422 || time.Now().After(deadline) {
			return status, answer
		}
		time.Sleep(time.Second)
	}
}

func (w *world) cancel(j *job, first int) (int, string) {
	deadline := time.Now().Add(60 * time.Second)
	for at := first; ; at++ {
		n := w.nodes[at%len(w.nodes)]
		status, answer := n.ask("POST", "/work/"+j.Id+"/cancel", nil, 5*time.Second)
		w.rec.log("user: cancel %s at node %d: %d %s", j.Id, n.index, status, answer)
		if status == 200 || time.Now().After(deadline) {
			if strings.Contains(answer, "withdrawn") {
				w.mu.Lock()
				j.confirmed = time.Now()
				w.mu.Unlock()
			}
			return status, answer
		}
		time.Sleep(time.Second)
	}
}

// poll asks for a job's state at one node.
func (w *world) poll(id string, at int) (int, string) {
	n := w.nodes[at%len(w.nodes)]
	status, answer := n.ask("GET", "/work/"+id, nil, 2*time.Second)
	w.rec.log("user: GET /work/%s at node %d: %d %s", id, n.index, status, answer)
	return status, answer
}
