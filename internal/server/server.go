// Package server runs the controller's state machine: an event loop that feeds it inputs
// and carries out its effects, with the HTTP servers and clients around it.
package server

import (
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"runtime/debug"

	"spurmoor/internal/clock"
	"spurmoor/internal/cloud"
	"spurmoor/internal/core"
	"spurmoor/internal/history"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
	"spurmoor/internal/store"
)

// Server is a running controller.
type Server struct {
	settings *settings.Settings
	log      *slog.Logger
	loop     *eventLoop
	queue    *inputQueue
	public   *publicHandler
	internal *internalHandler
}

// timeSource is what the server needs of clock.Steady.
type timeSource interface {
	// Now gives the time, less any suspension of the host since Refresh was called last.
	Now() micros.Micros
	// Refresh looks for suspensions and gives the time with all of them.
	Refresh() micros.Micros
}

// New makes a controller's server and fits the process to its limits. orders, if it is
// not nil, records every order that comes to the gate.
func New(set *settings.Settings, log *slog.Logger, orders *history.Writer) (*Server, error) {
	steady := clock.New()
	if !steady.CountsSuspension() {
		log.Warn("this system has no clock that counts a suspension of the host")
	}
	return newServer(set, log, orders, steady)
}

// newServer makes a server with the given clock.
func newServer(set *settings.Settings, log *slog.Logger, orders *history.Writer, steady timeSource) (*Server, error) {
	incarnation, random, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	limitProcess(set.Deployment.Process.MemMB)
	malformed := &malformedCounter{log: log}
	queue := newInputQueue(set.Deployment.Process.MaxConnections)
	gate := &orderGate{clock: steady, queue: queue, orders: orders}
	effects := &effectExecutor{
		log:             log,
		queue:           queue,
		store:           store.New(set, gate.admit, malformed.report),
		cloud:           cloud.New(set, gate.admit, malformed.report),
		workers:         newWorkerClient(set.Sockets.DirectCommands, steady, gate, malformed),
		peers:           newPeerClient(set, log),
		pendingRequests: map[uint64]chan<- decision{},
		stopped:         make(chan struct{}),
	}
	return &Server{
		settings: set,
		log:      log,
		queue:    queue,
		loop:     &eventLoop{core: core.New(set, incarnation, random), clock: steady, queue: queue, effects: effects},
		public:   &publicHandler{settings: set, log: log, queue: queue, clock: steady, gate: gate, malformed: malformed},
		internal: &internalHandler{queue: queue, malformed: malformed},
	}, nil
}

// Sizes of the random seed: half of it gives the incarnation, all of it the generator.
const (
	seedBytes     = 16
	seedHalfBytes = seedBytes / 2
	// incarnationShift leaves 52 bits, which JSON's numbers hold exactly.
	incarnationShift = 12
)

// newIncarnation draws the number that tells this run of the controller from all others,
// and seeds the state machine's random generator.
func newIncarnation() (leadership.Incarnation, *rand.Rand, error) {
	var seed [seedBytes]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return 0, nil, fmt.Errorf("random seed: %w", err)
	}
	incarnation := binary.LittleEndian.Uint64(seed[:seedHalfBytes]) >> incarnationShift
	source := rand.NewPCG(incarnation, binary.LittleEndian.Uint64(seed[seedHalfBytes:]))
	return leadership.Incarnation(incarnation), rand.New(source), nil
}

const (
	// heapShare is the share of the process's memory limit beyond which the garbage
	// collector works harder: a process that goes over the limit itself is killed.
	heapShare  = 0.7
	bytesPerMB = 1 << 20
)

// limitProcess fits the Go runtime to the machine, on which one thread runs at a time.
func limitProcess(memoryMB float64) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryMB * heapShare * bytesPerMB))
}
