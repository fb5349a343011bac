package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"spurmoor/internal/api"
	"spurmoor/internal/logkey"
	"spurmoor/internal/message"
	"spurmoor/internal/records"
)

// Run serves until ctx ends or a listener fails. When ctx ends, the controller resigns its
// roles before Run returns. Run must be called once only.
func (s *Server) Run(ctx context.Context) error {
	for _, warning := range s.settings.Warnings() {
		s.log.Warn("settings", logkey.Warning, warning)
	}
	// The servers and the event loop continue while the controller resigns its roles.
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	public := newHTTPServer(s.public.handle, s.settings.Sockets.Public)
	s.public.openConnections = public.GetOpenConnectionsCount
	internal := newHTTPServer(s.internal.handle, s.settings.Sockets.Internal)
	group, serving := errgroup.WithContext(serving)
	if err := listenAndServe(serving, group, s.settings.PublicAddr, public); err != nil {
		return err
	}
	if err := listenAndServe(serving, group, s.settings.InternalAddr, internal); err != nil {
		return err
	}
	group.Go(func() error { return s.loop.run(serving) })
	group.Go(func() error {
		defer stopServing()
		s.awaitStop(ctx, serving)
		return nil
	})
	s.logStarted()
	return group.Wait() //nolint:wrapcheck // the functions of the group have wrapped it
}

func (s *Server) logStarted() {
	s.log.Info("controller started",
		logkey.Node, s.settings.Node,
		logkey.Version, records.Version,
		logkey.Schema, records.SchemaVersion,
		logkey.Partitions, s.settings.Operators.Parts,
		logkey.PublicAddr, s.settings.PublicAddr)
}

// Limits on a listener's connections. serverIdleTimeout keeps a worker's connection open
// between its heartbeats, which are seconds apart.
const (
	serverReadTimeout  = 10 * time.Second
	serverWriteTimeout = 5 * time.Second
	serverIdleTimeout  = 90 * time.Second
)

// newHTTPServer returns a server that accepts at most maxConnections at a time.
func newHTTPServer(handler fasthttp.RequestHandler, maxConnections int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handler,
		Concurrency:           maxConnections,
		MaxRequestBodySize:    api.MaxBodyBytes,
		ReadTimeout:           serverReadTimeout,
		WriteTimeout:          serverWriteTimeout,
		IdleTimeout:           serverIdleTimeout,
		NoDefaultServerHeader: true,
		ReduceMemoryUsage:     true,
		Logger:                silentLogger{},
		ErrorHandler:          respondMalformed,
	}
}

// listenAndServe opens a listener and then serves it in goroutines of the group until ctx
// ends. It returns once the listener is open, or with the error of opening it.
func listenAndServe(ctx context.Context, group *errgroup.Group, addr string, httpServer *fasthttp.Server) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	group.Go(func() error {
		if err := httpServer.Serve(listener); err != nil && ctx.Err() == nil {
			return fmt.Errorf("serve %s: %w", addr, err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	return nil
}

// silentLogger discards the lines that fasthttp would print for broken client connections.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

// respondMalformed answers a request that fasthttp could not parse, and closes its
// connection.
func respondMalformed(ctx *fasthttp.RequestCtx, err error) {
	text := "malformed request"
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		text = "body over 64 KiB"
	}
	respond(ctx, message.Answer{Status: fasthttp.StatusBadRequest, Body: api.Error{Error: text}})
	ctx.SetConnectionClose()
}
