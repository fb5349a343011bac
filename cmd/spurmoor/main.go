// Command spurmoor is a cluster scheduler's controller and its command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"spurmoor/internal/core"
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
	var config, operators string
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
		Version:       core.Version + build(),
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
			s, err := server.New(set, log)
			if err != nil {
				return err
			}
			return s.Run(cmd.Context())
		},
	}
	cmd.SetContext(context.Background())
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
			for _, t := range set.Facts.Teams {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: part %d of %d\n", t.Name, set.TeamPart[t.Name], set.Ops.Parts)
			}
			return nil
		},
	}, &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "spurmoor", core.Version+build())
		},
	})
	cmd.AddCommand(clients()...)
	return cmd
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

// clients are the commands that talk to a running service.
func clients() []*cobra.Command {
	var addr string
	var why bool
	call := func(cmd *cobra.Command, method, path string, body []byte) error {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + addr + path)
		req.Header.SetMethod(method)
		if body != nil {
			req.Header.SetContentType("application/json")
			req.SetBody(body)
		}
		if err := fasthttp.DoTimeout(req, resp, 5*time.Second); err != nil {
			return fmt.Errorf("%s does not answer: %w", addr, err)
		}
		text := strings.TrimSpace(string(resp.Body()))
		if resp.StatusCode() >= 300 {
			why := fmt.Errorf("status %d: %s", resp.StatusCode(), text)
			if after := resp.Header.Peek("Retry-After"); len(after) > 0 {
				why = fmt.Errorf("%w (come back in %s s)", why, after)
			}
			return exitError{exitRefused, why}
		}
		fmt.Fprintln(cmd.OutOrStdout(), text)
		return nil
	}
	submit := &cobra.Command{
		Use: "submit FILE", Short: "Submit the job described in FILE (JSON; - for standard input)", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var body []byte
			var err error
			if args[0] == "-" {
				body, err = io.ReadAll(io.LimitReader(cmd.InOrStdin(), 1<<20))
			} else {
				body, err = os.ReadFile(args[0])
			}
			if err != nil {
				return fmt.Errorf("read the job: %w", err)
			}
			return call(cmd, "POST", "/work", body)
		},
	}
	status := &cobra.Command{
		Use: "status ID", Short: "Show a job's state", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if why {
				return call(cmd, "GET", "/why/"+args[0], nil)
			}
			return call(cmd, "GET", "/work/"+args[0], nil)
		},
	}
	status.Flags().BoolVar(&why, "why", false, "say why it waits and when it should be done")
	cancel := &cobra.Command{
		Use: "cancel ID", Short: "Cancel a job", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return call(cmd, "POST", "/work/"+args[0]+"/cancel", nil)
		},
	}
	list := []*cobra.Command{submit, status, cancel}
	for _, c := range list {
		c.Flags().StringVar(&addr, "addr", "127.0.0.1:8080", "a controller's public `ADDRESS`")
	}
	return list
}
