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
	// processCount is the number of processes of a loopback cluster.
	processCount = 3
	// waitTimeout bounds every wait, so that a test ends when its condition never holds.
	waitTimeout = 90 * time.Second
	// pollInterval is the time between two checks of a condition that is waited for.
	pollInterval = 50 * time.Millisecond
	// advanceInterval is the time between two advances of simulated time to real time.
	advanceInterval = 2 * time.Millisecond
	// clientTimeout bounds every request to a process.
	clientTimeout = 4 * time.Second
)

// loopbackCluster runs three processes of the built program on loopback addresses, against a
// simulation of the key-value store, the cloud and the workers. The simulation runs in real
// time and is reached over real sockets.
type loopbackCluster struct {
	t         *testing.T
	mu        sync.Mutex // guards sim and workerAddrs
	sim       *Simulation
	startedAt time.Time
	client    *http.Client
	relay     *relay
	dir       string // the temporary directory of the test
	// operatorsFile is the path of the operators' settings file; empty if there is none.
	operatorsFile       string
	machinesTransferred atomic.Int32 // counted in the log lines of the processes

	// Indexed by process.
	processes     [processCount]*exec.Cmd
	publicAddrs   [processCount]string
	internalAddrs [processCount]string
	storeAddrs    [processCount]string // at which each process reaches the store
	cloudAddrs    [processCount]string
	workerAddrs   map[string][processCount]string // keyed by the address for the first process
}

// newLoopbackCluster starts a simulation in real time and serves the store and the cloud to
// each process. It starts no process. When the test ends, it kills the processes that run.
func newLoopbackCluster(t *testing.T, scenario *Scenario) *loopbackCluster {
	t.Helper()
	cluster := &loopbackCluster{
		t: t, startedAt: time.Now(), client: &http.Client{Timeout: clientTimeout}, dir: t.TempDir(),
		workerAddrs: map[string][processCount]string{},
	}
	cluster.relay = newRelay(cluster)
	cluster.sim = newSimulation(scenario, cluster)
	cluster.keepAdvancing()
	for i := range processCount {
		cluster.storeAddrs[i] = cluster.listenAndServe(cluster.relay.handler(i, cluster.serveStore))
		cluster.cloudAddrs[i] = cluster.listenAndServe(cluster.relay.handler(i, func(writer http.ResponseWriter, request *http.Request) {
			cluster.serveCloud(i, writer, request)
		}))
		cluster.publicAddrs[i], cluster.internalAddrs[i] = freeAddr(t), freeAddr(t)
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

// keepAdvancing starts a goroutine that advances simulated time with real time until the
// test ends.
func (l *loopbackCluster) keepAdvancing() {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			l.withLock(func() {})
			time.Sleep(advanceInterval)
		}
	}()
	l.t.Cleanup(func() {
		stop()
		<-done
	})
}

// withLock advances the simulation to the present and calls action, with mu held throughout.
func (l *loopbackCluster) withLock(action func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sim.runUntil(epochStart + micros.Micros(time.Since(l.startedAt).Microseconds()))
	action()
}

// build builds the program from the sources in a directory and returns the path of the
// binary.
func (l *loopbackCluster) build(name, dir string) string {
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

// start starts a controller's process and does not wait until it is ready.
func (l *loopbackCluster) start(index int, binary string) {
	l.t.Helper()
	args := []string{"--config", l.writeSettings(index)}
	if l.operatorsFile != "" {
		args = append(args, "--operators", l.operatorsFile)
	}
	process := exec.CommandContext(l.t.Context(), binary, args...)
	process.Stderr = &processLog{cluster: l, name: nodeName(index)}
	if err := process.Start(); err != nil {
		l.t.Fatal(err)
	}
	l.processes[index] = process
}

// startAll starts all controllers' processes and waits until they are ready.
func (l *loopbackCluster) startAll(binary string) {
	l.t.Helper()
	for i := range l.processes {
		l.start(i, binary)
	}
	for i := range l.processes {
		l.waitReady(i)
	}
}

// writeSettings writes a controller's settings file with loopback addresses, and returns its
// path.
func (l *loopbackCluster) writeSettings(index int) string {
	l.t.Helper()
	set, err := l.sim.scenario.settingsFor(index, true)
	if err != nil {
		l.t.Fatal(err)
	}
	platform := set.Platform
	platform.PublicAddr, platform.InternalAddr = l.publicAddrs[index], l.internalAddrs[index]
	platform.Endpoints.State, platform.Endpoints.Cloud = l.storeAddrs[index], l.cloudAddrs[index]
	platform.Peers = nil
	for peer := range processCount {
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

// kill kills a controller's process with SIGKILL and waits until it has exited.
func (l *loopbackCluster) kill(index int) {
	_ = l.processes[index].Process.Kill() // fails if the process has exited
	_ = l.processes[index].Wait()         // reports that the process was killed
}

func (l *loopbackCluster) signal(index int, signal os.Signal) {
	l.t.Helper()
	if err := l.processes[index].Process.Signal(signal); err != nil {
		l.t.Fatal(err)
	}
}

// waitReady waits until a controller answers /ready with 200.
func (l *loopbackCluster) waitReady(index int) {
	l.t.Helper()
	l.waitUntil(nodeName(index)+" is ready", func() bool {
		status, _ := l.request(http.MethodGet, index, "/ready", nil)
		return status == http.StatusOK
	})
}

// waitUntil waits until a condition holds, and fails the test if it does not within
// waitTimeout. The failure message contains what, a description of the condition.
func (l *loopbackCluster) waitUntil(what string, condition func() bool) {
	l.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if condition() {
			return
		}
		time.Sleep(pollInterval)
	}
	l.t.Fatalf("timed out, want: %s", what)
}

// request sends a request to a controller, and returns the status and body of the response.
// The status is 0 if there is no response.
func (l *loopbackCluster) request(method string, index int, path string, body []byte) (int, []byte) {
	url := "http://" + l.publicAddrs[index] + path
	request, err := http.NewRequestWithContext(l.t.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := l.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }() // the body was read to its end
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, raw
}

// listenAndServe serves a handler at a loopback address until the test ends, and returns the
// address.
func (l *loopbackCluster) listenAndServe(handler http.HandlerFunc) string {
	listener, err := (&net.ListenConfig{}).Listen(context.WithoutCancel(l.t.Context()), "tcp4", "127.0.0.1:0")
	if err != nil {
		l.t.Error(err)
		return "127.0.0.1:1"
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	l.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// freeAddr returns a loopback address with a port that was free a moment ago.
func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // nothing was accepted
	return listener.Addr().String()
}

// processLog is the standard error of a process, to which it logs.
type processLog struct {
	cluster *loopbackCluster
	name    string
}

// Write implements io.Writer. It counts the log lines about transferred machines, which the
// version in production may call "lent".
func (p *processLog) Write(text []byte) (int, error) {
	transfers := bytes.Count(text, []byte("machine lent")) + bytes.Count(text, []byte("machine transferred"))
	p.cluster.machinesTransferred.Add(int32(transfers))
	if os.Getenv("SIMULATION_LOG") != "" {
		p.cluster.t.Logf("%s %s", p.name, bytes.TrimSpace(text))
	}
	return len(text), nil
}
