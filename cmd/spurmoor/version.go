package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"spurmoor/internal/records"
)

// shortCommitDigits is how many digits of a commit's hash are shown.
const shortCommitDigits = 12

// versionCommand returns the command that prints the program's version.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "spurmoor", versionText())
			return asFailure(err)
		},
	}
}

// versionText returns the program's version, with the commit if the build knows it.
func versionText() string { return records.Version + commitSuffix() }

// commitSuffix returns a space and the commit that the program was built from, or an empty
// text if the build does not know it.
func commitSuffix() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return " " + setting.Value[:min(shortCommitDigits, len(setting.Value))]
		}
	}
	return ""
}
