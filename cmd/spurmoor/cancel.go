package main

import (
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
)

// cancelCommand returns the command that cancels a job.
func cancelCommand(apiClient *client) *cobra.Command {
	return &cobra.Command{
		Use:   "cancel ID",
		Short: "Cancel a job",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return apiClient.requestAndPrint(cmd, fasthttp.MethodPost, "/work/"+args[0]+"/cancel", nil)
		},
	}
}
