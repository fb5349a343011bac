package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"spurmoor/internal/settings"
)

// checkCommand gives the command that checks the settings files.
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

// printCheck prints each team's partition, and what a controller would warn of at its
// start.
func printCheck(out io.Writer, loaded *settings.Settings) error {
	for _, team := range loaded.Deployment.Teams {
		_, err := fmt.Fprintf(out, "%s: partition %d of %d\n",
			team.Name, loaded.TeamPartition[team.Name], loaded.Operators.Parts)
		if err != nil {
			return failed(err)
		}
	}
	for _, warning := range loaded.Warnings() {
		if _, err := fmt.Fprintf(out, "warning: %s\n", warning); err != nil {
			return failed(err)
		}
	}
	return nil
}
