package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"spurmoor/internal/history"
)

// historyCommand returns the command that summarizes a history of orders.
func historyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history FILE",
		Short: "Sum up the orders that a controller kept with --orders",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return printHistory(cmd.OutOrStdout(), args[0])
		},
	}
}

// printHistory prints a summary of a history of orders, even if the history's end is
// missing.
func printHistory(out io.Writer, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return asFailure(err)
	}
	defer func() { _ = file.Close() }()
	summary := history.NewSummary()
	truncated, err := history.Read(file, summary.Add)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := summary.Print(out); err != nil || !truncated {
		return asFailure(err)
	}
	_, err = fmt.Fprintln(out, "the file ends in the middle: its process was killed or still runs")
	return asFailure(err)
}
