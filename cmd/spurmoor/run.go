package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"spurmoor/internal/history"
	"spurmoor/internal/logkey"
	"spurmoor/internal/server"
	"spurmoor/internal/settings"
)

// orderHistoryMode lets all users read the history of orders.
const orderHistoryMode = 0o644

// runController runs a controller until it is killed or until SIGTERM or SIGINT. On these
// signals the controller resigns its roles before it stops. Unless ordersPath is
// empty, a history of all orders is written to that file.
func runController(ctx context.Context, loaded *settings.Settings, log *slog.Logger, ordersPath string) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if ordersPath == "" {
		return serve(ctx, loaded, log, nil)
	}
	// O_EXCL keeps an earlier process's history from being overwritten.
	file, err := os.OpenFile(ordersPath, os.O_WRONLY|os.O_CREATE|os.O_EXCL, orderHistoryMode)
	if err != nil {
		return exitError{exitInvalidSettings, fmt.Errorf("--orders: %w", err)}
	}
	defer func() { _ = file.Close() }()
	orders, err := history.NewWriter(file, func(err error) { log.Error("order history stopped", logkey.Error, err) })
	if err != nil {
		return asFailure(err)
	}
	return serve(ctx, loaded, log, orders)
}

// serve runs a controller that records its orders in a history. A nil history records nothing.
func serve(ctx context.Context, loaded *settings.Settings, log *slog.Logger, orders *history.Writer) error {
	controller, err := server.New(loaded, log, orders)
	if err != nil {
		return asFailure(err)
	}
	return errors.Join(controller.Run(ctx), orders.Close())
}

// newLogger returns a logger that writes to standard error, with the level of LOG_LEVEL.
func newLogger() (*slog.Logger, error) {
	var level slog.Level
	if name := os.Getenv("LOG_LEVEL"); name != "" {
		if err := level.UnmarshalText([]byte(name)); err != nil {
			return nil, fmt.Errorf("LOG_LEVEL: %w", err)
		}
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}
