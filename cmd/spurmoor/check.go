package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"spurmoor/internal/settings"
)

// checkCommand returns the command that checks the settings files.
func checkCommand(files *settingsFiles) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check the settings and show how teams are dealt into parts",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := files.load()
			if err != nil {
				return err
			}
			return printCheck(cmd.OutOrStdout(), loaded)
		},
	}
}

// printCheck prints each team's partition, and the warnings that a controller would log at
// its start.
func printCheck(out io.Writer, loaded *settings.Settings) error {
	for _, team := range loaded.Deployment.Teams {
		_, err := fmt.Fprintf(out, "%s: partition %d of %d\n",
			team.Name, loaded.TeamPartition[team.Name], loaded.Operators.Parts)
		if err != nil {
			return asFailure(err)
		}
	}
	for _, warning := range loaded.Warnings() {
		if _, err := fmt.Fprintf(out, "warning: %s\n", warning); err != nil {
			return asFailure(err)
		}
	}
	return nil
}
