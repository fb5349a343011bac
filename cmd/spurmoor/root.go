package main

import (
	"context"
	"errors"
	"os"

	"github.com/spf13/cobra"

	"spurmoor/internal/settings"
)

// errNoConfig is a command that needs the platform's settings and got none.
var errNoConfig = errors.New("--config FILE is needed")

// settingsFiles are the files that the flags name.
type settingsFiles struct {
	platform  string
	operators string // may be empty
}

// load reads and checks the files.
func (f *settingsFiles) load() (*settings.Settings, error) {
	if f.platform == "" {
		return nil, exitError{exitSettings, errNoConfig}
	}
	loaded, err := settings.Load(f.platform, f.operators)
	if err != nil {
		return nil, exitError{exitSettings, err}
	}
	return loaded, nil
}

// rootCommand gives the command that runs a controller, with all others below it.
func rootCommand() *cobra.Command {
	files := &settingsFiles{}
	var ordersPath string
	cmd := &cobra.Command{
		Use:           "spurmoor",
		Short:         "A cluster scheduler's controller",
		Long:          "With --config, runs a controller until it is killed. LOG_LEVEL is error, info or debug.",
		Version:       versionText(),
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := files.load()
			if err != nil {
				return err
			}
			log, err := newLogger()
			if err != nil {
				return exitError{exitSettings, err}
			}
			return runController(cmd.Context(), loaded, log, ordersPath)
		},
	}
	cmd.SetContext(context.Background())
	cmd.Flags().StringVar(&ordersPath, "orders", "",
		"keep a history of all orders in `FILE`, to be read with the command history")
	cmd.PersistentFlags().StringVar(&files.platform, "config", "", "the platform's settings `FILE` (JSON)")
	cmd.PersistentFlags().StringVar(&files.operators, "operators", os.Getenv("SPURMOOR_OPERATORS"),
		"the operators' settings `FILE` (TOML); also SPURMOOR_OPERATORS")
	cmd.AddCommand(checkCommand(files), versionCommand(), historyCommand())
	cmd.AddCommand(clientCommands()...)
	return cmd
}
