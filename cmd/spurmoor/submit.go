package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
)

// maxStdinJobBytes is how much of a job's description is read from standard input. The
// rest is dropped.
const maxStdinJobBytes = 1 << 20

// submitCommand returns the command that submits a job.
func submitCommand(apiClient *client) *cobra.Command {
	return &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit the job described in FILE (JSON; - for standard input)",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := readJob(cmd.InOrStdin(), args[0])
			if err != nil {
				return fmt.Errorf("read the job: %w", err)
			}
			return apiClient.requestAndPrint(cmd, fasthttp.MethodPost, "/work", job)
		},
	}
}

// readJob reads a job's description from a file, or from standard input if path is "-".
func readJob(stdin io.Reader, path string) ([]byte, error) {
	if path == "-" {
		job, err := io.ReadAll(io.LimitReader(stdin, maxStdinJobBytes))
		return job, asFailure(err)
	}
	job, err := os.ReadFile(path)
	return job, asFailure(err)
}
