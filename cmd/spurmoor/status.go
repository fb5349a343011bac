package main

import (
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
)

// statusCommand returns the command that shows a job's state, or why it waits.
func statusCommand(apiClient *client) *cobra.Command {
	var why bool
	cmd := &cobra.Command{
		Use:   "status ID",
		Short: "Show a job's state",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := "/work/"
			if why {
				path = "/why/"
			}
			return apiClient.requestAndPrint(cmd, fasthttp.MethodGet, path+args[0], nil)
		},
	}
	cmd.Flags().BoolVar(&why, "why", false, "say why it waits and when it should be done")
	return cmd
}
