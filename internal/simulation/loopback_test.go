package simulation

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"spurmoor/internal/micros"
	"spurmoor/internal/settings"

	"github.com/go-json-experiment/json"
)

const (
	// waitLimit is only there so that a failure ends.
	waitLimit = 90 * time.Second
	// waitPoll is how often a condition that is waited for is checked.
	waitPoll = 50 * time.Millisecond
	// advancePeriod is how often simulated time catches up with real time.
	advancePeriod = 2 * time.Millisecond
	// clientTimeout bounds every request to a process.
	clientTimeout = 4 * time.Second
)

// loopback runs a simulation in real time behind real sockets, for three processes of the
// built program.
type loopback struct {
	t         *testing.T
	mu        sync.Mutex
	sim       *Simulation
	startedAt time.Time
	client    *http.Client
	relay     *relay
	dir       string
	// operators is the operators' settings file; empty: none.
	operators           string
	machinesTransferred atomic.Int32 // as the processes log

	// By process.
	processes     [controllerCount]*exec.Cmd
	publicAddrs   [controllerCount]string
	internalAddrs [controllerCount]string
	storeAddrs    [controllerCount]string // as each process reaches the store
	cloudAddrs    [controllerCount]string
	workerAddrs   map[string][controllerCount]string // by the address that the first process reaches
}

// newLoopback starts a simulation in real time, with the interfaces that processes of the
// program need.
func newLoopback(t *testing.T, scenario *Scenario) *loopback {
	t.Helper()
	cluster := &loopback{
		t: t, startedAt: time.Now(), client: &http.Client{Timeout: clientTimeout}, dir: t.TempDir(),
		workerAddrs: map[string][controllerCount]string{},
	}
	cluster.relay = newRelay(cluster)
	cluster.sim = newSimulation(scenario, cluster)
	cluster.keepAdvancing()
	for i := range controllerCount {
		cluster.storeAddrs[i] = cluster.listenAndServe(cluster.relay.handler(i, cluster.serveStore))
		cluster.cloudAddrs[i] = cluster.listenAndServe(cluster.relay.handler(i, func(writer http.ResponseWriter, request *http.Request) {
			cluster.serveCloud(i, writer, request)
		}))
		cluster.publicAddrs[i], cluster.internalAddrs[i] = freePort(t), freePort(t)
	}
	t.Cleanup(func() {
		for i := range cluster.processes {
			if cluster.processes[i] != nil {
				cluster.kill(i)
			}
		}
	})
	return cluster
}

// keepAdvancing has simulated time follow real time until the test ends.
func (l *loopback) keepAdvancing() {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			l.locked(func() {})
			time.Sleep(advancePeriod)
		}
	}()
	l.t.Cleanup(func() {
		stop()
		<-done
	})
}

// locked brings the simulation to the present and does something with it.
func (l *loopback) locked(action func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sim.runUntil(epochStart + micros.Micros(time.Since(l.startedAt).Microseconds()))
	action()
}

// build builds the program from the sources in a directory.
func (l *loopback) build(name, dir string) string {
	l.t.Helper()
	binary := filepath.Join(l.dir, name)
	build := exec.CommandContext(l.t.Context(),
		"go", "build", "-ldflags=-linkmode=external", "-o", binary, "spurmoor/cmd/spurmoor")
	build.Dir = dir
	if output, err := build.CombinedOutput(); err != nil {
		l.t.Fatalf("build: %v\n%s", err, output)
	}
	return binary
}

// start starts a controller's process.
func (l *loopback) start(index int, binary string) {
	l.t.Helper()
	args := []string{"--config", l.writeSettings(index)}
	if l.operators != "" {
		args = append(args, "--operators", l.operators)
	}
	process := exec.CommandContext(l.t.Context(), binary, args...)
	process.Stderr = &processLog{loopback: l, name: nodeName(index)}
	if err := process.Start(); err != nil {
		l.t.Fatal(err)
	}
	l.processes[index] = process
}

// startAll starts all controllers' processes and waits until they are ready.
func (l *loopback) startAll(binary string) {
	l.t.Helper()
	for i := range l.processes {
		l.start(i, binary)
	}
	for i := range l.processes {
		l.waitReady(i)
	}
}

// writeSettings writes a controller's settings with real addresses, and returns the file.
func (l *loopback) writeSettings(index int) string {
	l.t.Helper()
	set, err := l.sim.scenario.settingsFor(index, true)
	if err != nil {
		l.t.Fatal(err)
	}
	platform := set.Platform
	platform.PublicAddr, platform.InternalAddr = l.publicAddrs[index], l.internalAddrs[index]
	platform.Endpoints.State, platform.Endpoints.Cloud = l.storeAddrs[index], l.cloudAddrs[index]
	platform.Peers = nil
	for peer := range controllerCount {
		if peer != index {
			platform.Peers = append(platform.Peers, settings.Peer{
				Name: nodeName(peer), Zone: zones[0], Addr: l.internalAddrs[peer],
			})
		}
	}
	raw, err := json.Marshal(platform)
	if err != nil {
		l.t.Fatal(err)
	}
	file := filepath.Join(l.dir, nodeName(index)+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		l.t.Fatal(err)
	}
	return file
}

// kill kills a controller's process.
func (l *loopback) kill(index int) {
	_ = l.processes[index].Process.Kill() // it may have ended
	_ = l.processes[index].Wait()         // it ends with the signal
}

// signal sends a signal to a controller's process.
func (l *loopback) signal(index int, signal os.Signal) {
	l.t.Helper()
	if err := l.processes[index].Process.Signal(signal); err != nil {
		l.t.Fatal(err)
	}
}

// waitReady waits until a controller is ready.
func (l *loopback) waitReady(index int) {
	l.t.Helper()
	l.waitUntil(nodeName(index)+" is ready", func() bool {
		status, _ := l.request(http.MethodGet, index, "/ready", nil)
		return status == http.StatusOK
	})
}

// waitUntil waits until a condition holds; what describes it.
func (l *loopback) waitUntil(what string, condition func() bool) {
	l.t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); {
		if condition() {
			return
		}
		time.Sleep(waitPoll)
	}
	l.t.Fatalf("never: %s", what)
}

// request sends a request to a controller, and returns the status and body of the answer;
// status 0: no answer.
func (l *loopback) request(method string, index int, path string, body []byte) (int, []byte) {
	url := "http://" + l.publicAddrs[index] + path
	request, err := http.NewRequestWithContext(l.t.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := l.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }() // it was read
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, raw
}

// listenAndServe serves a handler until the test ends, and returns its address.
func (l *loopback) listenAndServe(handler http.HandlerFunc) string {
	listener, err := (&net.ListenConfig{}).Listen(context.WithoutCancel(l.t.Context()), "tcp4", "127.0.0.1:0")
	if err != nil {
		l.t.Error(err)
		return "127.0.0.1:1"
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // until it is closed
	l.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// freePort returns a local address that nobody listens at.
func freePort(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // nothing was sent
	return listener.Addr().String()
}

// processLog receives what a process logs.
type processLog struct {
	loopback *loopback
	name     string
}

// Write implements io.Writer. It counts the machines that are transferred, which the
// version in production may call "lent".
func (p *processLog) Write(text []byte) (int, error) {
	transfers := bytes.Count(text, []byte("machine lent")) + bytes.Count(text, []byte("machine transferred"))
	p.loopback.machinesTransferred.Add(int32(transfers))
	if os.Getenv("SIMULATION_LOG") != "" {
		p.loopback.t.Logf("%s %s", p.name, bytes.TrimSpace(text))
	}
	return len(text), nil
}
