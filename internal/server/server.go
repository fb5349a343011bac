// Package server runs the controller's state machine. Its event loop passes inputs to the
// state machine and executes the effects that it returns; HTTP servers and clients connect
// the loop to users, workers, the key-value store, the cloud and the other controllers.
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

// Server is one controller process: the state machine, its event loop and its HTTP servers.
// It serves nothing before Run.
type Server struct {
	settings *settings.Settings
	log      *slog.Logger
	loop     *eventLoop
	queue    *inputQueue
	public   *publicHandler
	internal *internalHandler
}

// timeSource is the part of clock.Steady that the server uses. It is safe for concurrent use.
type timeSource interface {
	// Now returns the time. It misses a suspension of the host since the last Refresh.
	Now() micros.Micros
	// Refresh detects suspensions of the host and returns the time with all of them
	// counted. It costs a system call.
	Refresh() micros.Micros
}

// New returns a server for one controller and sets the Go runtime's limits for the whole
// process. If orderHistory is not nil, it records every order whose grant is checked,
// permitted or not. New fails only if the system returns no random numbers.
func New(set *settings.Settings, log *slog.Logger, orderHistory *history.Writer) (*Server, error) {
	monotonicClock := clock.New()
	if !monotonicClock.CountsSuspension() {
		log.Warn("no system clock counts the time while the host is suspended")
	}
	return newServer(set, log, orderHistory, monotonicClock)
}

// newServer is New with the given clock.
func newServer(set *settings.Settings, log *slog.Logger, orderHistory *history.Writer, monotonicClock timeSource) (*Server, error) {
	incarnation, random, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	setRuntimeLimits(set.Deployment.Process.MemMB)
	malformed := &malformedCounter{log: log}
	queue := newInputQueue(set.Deployment.Process.MaxConnections)
	grants := &grantChecker{clock: monotonicClock, queue: queue, orderHistory: orderHistory}
	effects := &effectExecutor{
		log:             log,
		queue:           queue,
		store:           store.New(set, grants.check, malformed.report),
		cloud:           cloud.New(set, grants.check, malformed.report),
		workers:         newWorkerClient(set.Sockets.DirectCommands, monotonicClock, grants, malformed),
		peers:           newPeerClient(set, log),
		pendingRequests: map[uint64]chan<- decision{},
		stopped:         make(chan struct{}),
	}
	return &Server{
		settings: set,
		log:      log,
		queue:    queue,
		loop:     &eventLoop{core: core.New(set, incarnation, random), clock: monotonicClock, queue: queue, effects: effects},
		public:   &publicHandler{settings: set, log: log, queue: queue, clock: monotonicClock, grants: grants, malformed: malformed},
		internal: &internalHandler{queue: queue, malformed: malformed},
	}, nil
}

// Sizes of the random seed. The first half gives the incarnation; both halves together seed
// the state machine's random generator.
const (
	seedBytes     = 16
	seedHalfBytes = seedBytes / 2
	// incarnationShift leaves 52 bits, which a JSON number represents exactly.
	incarnationShift = 12
)

// newIncarnation returns a random number that distinguishes this run of the controller from
// all others, and a random generator for the state machine.
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
	// memoryLimitShare is the share of the process's memory limit that the Go runtime gets
	// as its soft limit, near which it collects garbage more often. The rest is a reserve:
	// a process that exceeds its own limit is killed.
	memoryLimitShare = 0.7
	bytesPerMB       = 1 << 20
)

// setRuntimeLimits sets the Go runtime's limits on threads and memory. The machine of a
// controller runs one thread at a time, so more than one would gain nothing.
func setRuntimeLimits(memoryMB float64) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryMB * memoryLimitShare * bytesPerMB))
}
