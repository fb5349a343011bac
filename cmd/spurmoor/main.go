// Command spurmoor is a cluster scheduler's controller and its command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"spurmoor/internal/history"
	"spurmoor/internal/logkey"
	"spurmoor/internal/records"
	"spurmoor/internal/server"
	"spurmoor/internal/settings"
)

// build names the commit that this was built from, where the build knows it.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return " " + s.Value[:min(12, len(s.Value))]
		}
	}
	return ""
}

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
	exitRefused  = 3
)

// exitError carries the exit code of a failed command.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }
func (e exitError) Unwrap() error { return e.err }

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "spurmoor:", err)
		code := exitFailed
		var e exitError
		if errors.As(err, &e) {
			code = e.code
		}
		os.Exit(code)
	}
}

func root() *cobra.Command {
	var config, operators, orders string
	load := func() (*settings.Settings, error) {
		if config == "" {
			return nil, exitError{exitSettings, errors.New("--config FILE is needed")}
		}
		set, err := settings.Load(config, operators)
		if err != nil {
			return nil, exitError{exitSettings, err}
		}
		return set, nil
	}
	cmd := &cobra.Command{
		Use: "spurmoor", Short: "A cluster scheduler's controller",
		Long:          "With --config, runs a controller until it is killed. LOG_LEVEL is error, info or debug.",
		Version:       records.Version + build(),
		SilenceErrors: true, SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := load()
			if err != nil {
				return err
			}
			log, err := logger()
			if err != nil {
				return exitError{exitSettings, err}
			}
			return run(cmd.Context(), set, log, orders)
		},
	}
	cmd.SetContext(context.Background())
	cmd.Flags().StringVar(&orders, "orders", "", "keep a history of all orders in `FILE`, to be read with the command history")
	cmd.PersistentFlags().StringVar(&config, "config", "", "the platform's settings `FILE` (JSON)")
	cmd.PersistentFlags().StringVar(&operators, "operators", os.Getenv("SPURMOOR_OPERATORS"),
		"the operators' settings `FILE` (TOML); also SPURMOOR_OPERATORS")
	cmd.AddCommand(&cobra.Command{
		Use: "check", Short: "Check the settings and show how teams are dealt into parts", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := load()
			if err != nil {
				return err
			}
			return show(cmd.OutOrStdout(), set)
		},
	}, &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "spurmoor", records.Version+build())
			return err
		},
	})
	cmd.AddCommand(clients()...)
	cmd.AddCommand(historyCommand())
	return cmd
}

// run runs a controller until it is killed, or told to stop by SIGTERM or SIGINT: then it
// gives up what it holds first.
func run(ctx context.Context, set *settings.Settings, log *slog.Logger, orders string) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	var kept *history.Writer
	if orders != "" {
		file, err := os.OpenFile(orders, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
		if err != nil {
			return exitError{exitSettings, fmt.Errorf("--orders: %w", err)}
		}
		defer func() { _ = file.Close() }()
		kept, err = history.NewWriter(file, func(err error) { log.Error("order history stopped", logkey.Error, err) })
		if err != nil {
			return err
		}
	}
	s, err := server.New(set, log, kept)
	if err != nil {
		return err
	}
	return errors.Join(s.Run(ctx), kept.Close())
}

// historyCommand reads a history of orders back.
func historyCommand() *cobra.Command {
	return &cobra.Command{
		Use: "history FILE", Short: "Sum up the orders that a controller kept with --orders", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer func() { _ = file.Close() }()
			sum := history.NewSummary()
			cut, err := history.Read(file, sum.Add)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if err := sum.Print(cmd.OutOrStdout()); err != nil || !cut {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "the file ends in the middle: its process was killed or still runs")
			return err
		},
	}
}

func logger() (*slog.Logger, error) {
	var level slog.Level
	if v := os.Getenv("LOG_LEVEL"); v != "" {
		if err := level.UnmarshalText([]byte(v)); err != nil {
			return nil, fmt.Errorf("LOG_LEVEL: %w", err)
		}
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

// show prints how teams are dealt into partitions, and what a controller would warn of
// at its start.
func show(out io.Writer, set *settings.Settings) error {
	for _, t := range set.Deployment.Teams {
		if _, err := fmt.Fprintf(out, "%s: partition %d of %d\n", t.Name, set.TeamPartition[t.Name], set.Operators.Partitions); err != nil {
			return err
		}
	}
	for _, w := range set.Warnings() {
		if _, err := fmt.Fprintf(out, "warning: %s\n", w); err != nil {
			return err
		}
	}
	return nil
}
