package main

import (
	"context"
	"errors"
	"os"

	"github.com/spf13/cobra"

	"spurmoor/internal/settings"
)

// errNoConfig is the error of a command that needs the platform's settings if --config is
// missing.
var errNoConfig = errors.New("--config FILE is needed")

// settingsFiles holds the paths of the settings files, as the flags give them.
type settingsFiles struct {
	platformPath  string
	operatorsPath string // may be empty
}

// load reads and validates the files. Its error is an exitError with exitInvalidSettings.
func (f *settingsFiles) load() (*settings.Settings, error) {
	if f.platformPath == "" {
		return nil, exitError{exitInvalidSettings, errNoConfig}
	}
	loaded, err := settings.Load(f.platformPath, f.operatorsPath)
	if err != nil {
		return nil, exitError{exitInvalidSettings, err}
	}
	return loaded, nil
}

// rootCommand returns the command that runs a controller, with all subcommands.
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
				return exitError{exitInvalidSettings, err}
			}
			return runController(cmd.Context(), loaded, log, ordersPath)
		},
	}
	cmd.SetContext(context.Background())
	cmd.Flags().StringVar(&ordersPath, "orders", "",
		"keep a history of all orders in `FILE`, to be read with the command history")
	cmd.PersistentFlags().StringVar(&files.platformPath, "config", "", "the platform's settings `FILE` (JSON)")
	cmd.PersistentFlags().StringVar(&files.operatorsPath, "operators", os.Getenv("SPURMOOR_OPERATORS"),
		"the operators' settings `FILE` (TOML); also SPURMOOR_OPERATORS")
	cmd.AddCommand(checkCommand(files), versionCommand(), historyCommand())
	cmd.AddCommand(clientCommands()...)
	return cmd
}
