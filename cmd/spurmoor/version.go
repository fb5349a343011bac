package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"spurmoor/internal/records"
)

// shortCommit is how many digits of a commit are shown.
const shortCommit = 12

// versionCommand gives the command that prints the program's version.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "spurmoor", versionText())
			return failed(err)
		},
	}
}

// versionText is the program's version, with the commit where the build knows it.
func versionText() string { return records.Version + buildCommit() }

// buildCommit names the commit that this was built from, after a space; it is empty
// where the build does not know it.
func buildCommit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return " " + setting.Value[:min(shortCommit, len(setting.Value))]
		}
	}
	return ""
}
