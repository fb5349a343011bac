// Package server runs the core: one loop that feeds it inputs and carries
// out its effects, with the sockets round it.
package server

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"spurmoor/internal/logkey"

	"spurmoor/internal/message"
	"spurmoor/internal/records"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"spurmoor/internal/api"
	"spurmoor/internal/clock"
	"spurmoor/internal/cloud"
	"spurmoor/internal/core"
	"spurmoor/internal/history"
	"spurmoor/internal/jsonhttp"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/settings"
	"spurmoor/internal/store"
)

// Server is a running controller.
type Server struct {
	set     *settings.Settings
	log     *slog.Logger
	core    *core.Controller
	first   chan input // what others wait for: looked at before inputs
	inputs  chan input
	waiting map[uint64]chan decided
	nextReq atomic.Uint64
	store   *store.Client
	cloud   *cloud.Client
	peers   []*fasthttp.HostClient
	telling []atomic.Bool
	workers *fasthttp.Client
	pushes  chan struct{}
	garbage atomic.Uint64
	open    func() int32         // public connections now
	crowded atomic.Bool          // they were too many once
	now     func() micros.Micros // without looking for suspensions
	fresh   func() micros.Micros
	gate    *gate
	stopped chan struct{} // closed when the core holds nothing more
}

// input is an input to the core, or a request that awaits its answer.
type input struct {
	in  message.Input
	req uint64
	to  chan decided
}

// decided is an answer and when the core gave it.
type decided struct {
	message.Answer
	at micros.Micros
}

// staleAfter is how long after the core decided it an answer or a command may
// leave the process: one that stood still in between knows nothing of what was
// told elsewhere meanwhile.
const staleAfter = micros.Second

// errStoodStill says why what was decided too long ago does not leave.
var errStoodStill = errors.New("this controller stood still")

// stale tells whether what was decided at a time must not leave any more.
func (s *Server) stale(at micros.Micros) bool { return s.now() > at+staleAfter }

// New makes a controller's server and fits the process to its limits. orders, if it is
// not nil, keeps every order that comes to the gate.
func New(set *settings.Settings, log *slog.Logger, orders *history.Writer) (*Server, error) {
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("random seed: %w", err)
	}
	// One thread runs at a time there; memory over the limit is death.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(set.Deployment.Process.MemMB * 0.7 * (1 << 20)))
	inc := binary.LittleEndian.Uint64(seed[:8]) >> 12
	rng := rand.New(rand.NewPCG(inc, binary.LittleEndian.Uint64(seed[8:])))
	steady := clock.New()
	if !steady.CountsSuspension() {
		log.Warn("this system has no clock that counts a suspension of the host")
	}
	s := &Server{
		set: set, log: log, core: core.New(set, inc, rng), now: steady.Now, fresh: steady.Fresh, stopped: make(chan struct{}),
		// As many as can ask at a time: a queue of a fixed length turned
		// workers away that the sockets had room for.
		inputs: make(chan input, set.Deployment.Process.MaxConnections), first: make(chan input, 256),
		waiting: map[uint64]chan decided{},
		pushes:  make(chan struct{}, set.Sockets.DirectCommands),
		telling: make([]atomic.Bool, len(set.Peers)),
		workers: &fasthttp.Client{MaxConnsPerHost: 2, ReadTimeout: 4 * time.Second, WriteTimeout: 2 * time.Second,
			MaxIdleConnDuration: time.Second, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 1 << 20},
	}
	s.gate = &gate{now: func() micros.Micros { return s.fresh() }, refused: func(r message.OrderRefused) { s.feed(r) }, orders: orders}
	s.store, s.cloud = store.New(set, s.gate.admit, s.unreadable), cloud.New(set, s.gate.admit, s.unreadable)
	for _, p := range set.Peers {
		s.peers = append(s.peers, &fasthttp.HostClient{Addr: p.Addr, MaxConns: set.Sockets.Peers, ReadTimeout: 3 * time.Second,
			WriteTimeout: 2 * time.Second, MaxIdleConnDuration: 30 * time.Second, MaxIdemponentCallAttempts: 1})
	}
	return s, nil
}

// Run serves until ctx ends or a listener fails.
func (s *Server) Run(ctx context.Context) error {
	for _, w := range s.set.Warnings() {
		s.log.Warn("settings", logkey.Warning, w)
	}
	serving, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	public, internal := s.serves(s.public, s.set.Sockets.Public), s.serves(s.internal, s.set.Sockets.Internal)
	s.open = public.GetOpenConnectionsCount
	g, serving := errgroup.WithContext(serving)
	if err := listen(serving, g, s.set.PublicAddr, public); err != nil {
		return err
	}
	if err := listen(serving, g, s.set.InternalAddr, internal); err != nil {
		return err
	}
	g.Go(func() error { return s.loop(serving) })
	g.Go(func() error {
		defer end()
		return s.awaitStop(ctx, serving)
	})
	s.log.Info("controller started", logkey.Node, s.set.Node, logkey.Version, records.Version, logkey.Schema, records.SchemaVersion, logkey.Partitions, s.set.Operators.Partitions, logkey.PublicAddr, s.set.PublicAddr)
	return g.Wait()
}

// stopWait is how long an orderly stop may take: after it the duties end with the
// lease.
const stopWait = 2 * time.Second

// awaitStop waits until the controller is told to stop, and then until it has given up
// what it holds.
func (s *Server) awaitStop(told, serving context.Context) error {
	select {
	case <-serving.Done():
		return nil
	case <-told.Done():
	}
	s.hasten(message.Stop{})
	select {
	case <-s.stopped:
		s.log.Info("controller stopped, its roles are resigned")
	case <-time.After(stopWait):
		s.log.Warn("controller stopped, its roles end with its lease")
	}
	return nil
}

// serves makes a server for so many connections.
func (s *Server) serves(h fasthttp.RequestHandler, most int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: h, Concurrency: most, MaxRequestBodySize: api.MaxBody, ReadTimeout: 10 * time.Second,
		WriteTimeout: 5 * time.Second, IdleTimeout: 90 * time.Second, NoDefaultServerHeader: true,
		ReduceMemoryUsage: true, Logger: quiet{}, ErrorHandler: s.badRequest,
	}
}

func listen(ctx context.Context, g *errgroup.Group, addr string, srv *fasthttp.Server) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	g.Go(func() error {
		if err := srv.Serve(ln); err != nil && ctx.Err() == nil {
			return fmt.Errorf("serve %s: %w", addr, err)
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		return ln.Close()
	})
	return nil
}

type quiet struct{}

// Printf drops what fasthttp would print of clients' broken connections.
func (quiet) Printf(string, ...any) {}

func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	why := "malformed request"
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		why = "body over 64 KiB"
	}
	respond(ctx, message.Answer{Status: 400, Body: api.Error{Error: why}})
	ctx.SetConnectionClose()
}

// loop is the only place that touches the core.
func (s *Server) loop(ctx context.Context) error {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		var in message.Input = message.Tick{}
		take := func(v input) {
			if v.to != nil {
				s.waiting[v.req] = v.to
			}
			in = v.in
		}
		select {
		case v := <-s.first:
			take(v)
		default:
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
			case v := <-s.first:
				take(v)
			case v := <-s.inputs:
				take(v)
			}
		}
		now := s.now()
		if _, tick := in.(message.Tick); tick {
			now = s.fresh()
		}
		for _, e := range s.core.Step(now, in) {
			s.effect(e, now)
		}
	}
}

func (s *Server) feed(in message.Input) { s.inputs <- input{in: in} }

// hasten feeds what others wait for: a lease's renewal once stood behind a
// thousand reports.
func (s *Server) hasten(in message.Input) { s.first <- input{in: in} }

func (s *Server) effect(e message.Effect, now micros.Micros) {
	switch v := e.(type) {
	case message.Answer:
		if to := s.waiting[v.RequestID]; to != nil {
			delete(s.waiting, v.RequestID)
			to <- decided{v, now}
		}
	case message.StoreCall:
		go func() { s.hasten(s.store.Do(v)) }()
	case message.CloudCall:
		go func() { s.feed(s.cloud.Do(v)) }()
	case message.SendCommands:
		go s.push(v, now)
	case message.Stopped:
		close(s.stopped)
	case message.Broadcast:
		s.tell(v.Heartbeat)
	case message.Log:
		s.log.Log(context.Background(), v.Level, v.Message, v.Args...)
	}
}

// push sends direct commands; a worker that hangs holds one of few places.
func (s *Server) push(p message.SendCommands, decidedAt micros.Micros) {
	out := message.CommandReply{Machine: p.Machine, Token: p.Body.Body().FencingToken, Starts: p.Starts}
	defer func() { s.feed(out) }()
	select {
	case s.pushes <- struct{}{}:
		defer func() { <-s.pushes }()
	default:
		// Taken for one without an answer, it cost its machine a new token.
		out.Unsent = true
		return
	}
	if s.stale(decidedAt) {
		out.Unsent = true // no connection for what would not leave
		return
	}
	b, err := json.Marshal(p.Body.Body())
	if err != nil {
		return
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + p.Addr + "/commands")
	req.Header.SetMethod("POST")
	req.Header.SetContentType("application/json")
	jsonhttp.SetCheckedBody(req, b, func() error {
		if s.stale(decidedAt) {
			return errStoodStill
		}
		return s.gate.admit(p.Body.Grant(), leadership.Command)
	})
	// Kept open they would take the sockets of the workers' reports: one to
	// each machine within the seconds after a take-over.
	req.SetConnectionClose()
	if err := s.workers.DoTimeout(req, resp, 3*time.Second); err != nil {
		var kept *jsonhttp.NotSent
		out.Unsent = errors.As(err, &kept)
		return
	}
	if r, err := api.ParseHeartbeat(resp.Body()); err == nil {
		out.Status, out.Heartbeat = resp.StatusCode(), r
	} else {
		s.unreadable("worker", err)
	}
}

func (s *Server) unreadable(who string, err error) {
	s.log.Debug("unreadable message", logkey.Sender, who, logkey.Error, err, logkey.SoFar, s.garbage.Add(1))
}

func (s *Server) tell(h *peer.Heartbeat) {
	b, err := peer.Encode(h)
	if err != nil {
		s.log.Error("peer message", logkey.Error, err)
		return
	}
	for i, p := range s.peers {
		if s.telling[i].Swap(true) {
			continue // the last one still hangs
		}
		go func() {
			defer s.telling[i].Store(false)
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(req)
			defer fasthttp.ReleaseResponse(resp)
			req.SetRequestURI("http://" + p.Addr + "/peer")
			req.Header.SetMethod("POST")
			req.SetBody(b)
			if err := p.DoTimeout(req, resp, 2*time.Second); err != nil {
				s.log.Debug("peer does not answer", logkey.Peer, p.Addr, logkey.Error, err)
			}
		}()
	}
}

// ask hands a request to the core and waits for its answer.
func (s *Server) ask(ctx *fasthttp.RequestCtx, in chan<- input, toInput func(req uint64) message.Input) {
	req := s.nextReq.Add(1)
	to := make(chan decided, 1)
	select {
	case in <- input{toInput(req), req, to}:
	default:
		respond(ctx, message.Answer{Status: 429, Body: api.Error{Error: "too many requests"}, RetryAfterS: 2})
		return
	}
	respond(ctx, s.answer(<-to))
}

// answer gives what may still be answered of what the core decided: nothing that it
// decided too long ago, and commands only under a grant that holds.
func (s *Server) answer(a decided) message.Answer {
	refuse := func(err error) message.Answer {
		return message.Answer{Status: 503, Body: api.Error{Error: err.Error()}, RetryAfterS: 1}
	}
	if s.stale(a.at) {
		return refuse(errStoodStill)
	}
	if order, ok := a.Body.(leadership.Order[api.HeartbeatResponse]); ok {
		// A worker drops an answer that comes late, so a clock that may miss a
		// suspension until the next tick will do for the hundreds a second.
		if err := s.gate.admitAt(s.now(), order.Grant(), leadership.Command); err != nil {
			return refuse(err)
		}
		a.Body = order.Body()
	}
	return a.Answer
}

func respond(ctx *fasthttp.RequestCtx, a message.Answer) {
	b, err := json.Marshal(a.Body)
	if err != nil {
		ctx.SetStatusCode(500)
		return
	}
	ctx.SetStatusCode(a.Status)
	ctx.SetContentType("application/json")
	if a.RetryAfterS > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(a.RetryAfterS))
	}
	ctx.SetBody(b)
}

// public serves users, workers and health checks.
func (s *Server) public(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/ready":
		s.serve(ctx, fasthttp.MethodGet, s.first, func(req uint64) message.Input { return message.Ready{RequestID: req} })
	case path == "/duties":
		s.serve(ctx, fasthttp.MethodGet, s.inputs, func(req uint64) message.Input { return message.ListRoles{RequestID: req} })
	case path == "/work":
		s.serve(ctx, fasthttp.MethodPost, s.inputs, func(req uint64) message.Input {
			return message.Submit{RequestID: req, Body: append([]byte(nil), ctx.PostBody()...)}
		})
	case path == "/v1/report":
		s.report(ctx)
	case strings.HasPrefix(path, "/why/"):
		id := path[len("/why/"):]
		s.serve(ctx, fasthttp.MethodGet, s.inputs, func(req uint64) message.Input { return message.Explain{RequestID: req, ID: id} })
	case strings.HasPrefix(path, "/work/"):
		s.job(ctx, path[len("/work/"):])
	default:
		noSuchPath(ctx)
	}
}

// job serves what is asked of one job.
func (s *Server) job(ctx *fasthttp.RequestCtx, rest string) {
	id, cancel := strings.CutSuffix(rest, "/cancel")
	switch {
	case cancel:
		s.serve(ctx, fasthttp.MethodPost, s.inputs, func(req uint64) message.Input { return message.Cancel{RequestID: req, ID: id} })
	case strings.Contains(id, "/"):
		noSuchPath(ctx)
	default:
		s.serve(ctx, fasthttp.MethodGet, s.inputs, func(req uint64) message.Input { return message.GetStatus{RequestID: req, ID: id} })
	}
}

// report serves a worker's report.
func (s *Server) report(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		wrongMethod(ctx, fasthttp.MethodPost)
		return
	}
	r, err := api.ParseHeartbeat(ctx.PostBody())
	if err != nil {
		s.unreadable("worker", err)
		respond(ctx, message.Answer{Status: 400, Body: api.Error{Error: err.Error()}})
		return
	}
	if int(s.open()) > s.set.Sockets.KeepAliveLimit {
		// A worker asks again within seconds; users must find room, and so
		// must more workers than there are sockets.
		ctx.SetConnectionClose()
		if !s.crowded.Swap(true) {
			s.log.Warn("sockets are short: workers' connections last for one heartbeat", logkey.OpenConnections, s.open(), logkey.MaxConnections, s.set.Deployment.Process.MaxConnections)
		}
	}
	s.ask(ctx, s.inputs, func(req uint64) message.Input { return message.WorkerHeartbeat{RequestID: req, Heartbeat: r} })
}

// serve asks the core, if the method is the right one.
func (s *Server) serve(ctx *fasthttp.RequestCtx, method string, in chan input, handle func(req uint64) message.Input) {
	if string(ctx.Method()) != method {
		wrongMethod(ctx, method)
		return
	}
	s.ask(ctx, in, handle)
}

func wrongMethod(ctx *fasthttp.RequestCtx, right string) {
	ctx.Response.Header.Set("Allow", right)
	respond(ctx, message.Answer{Status: 405, Body: api.Error{Error: "wrong method"}})
}

func noSuchPath(ctx *fasthttp.RequestCtx) {
	respond(ctx, message.Answer{Status: 404, Body: api.Error{Error: "no such path"}})
}

// internal serves the other controllers.
func (s *Server) internal(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/peer" {
		ctx.SetStatusCode(404)
		return
	}
	h, err := peer.Decode(ctx.PostBody())
	if err != nil {
		s.unreadable("peer", err)
		ctx.SetStatusCode(400)
		return
	}
	select {
	case s.inputs <- input{in: message.PeerHeartbeat{Heartbeat: h}}:
	default:
	}
	ctx.SetStatusCode(204)
}
