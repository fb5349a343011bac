package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
)

// maxJobFile is how much is read of a job's description on standard input, in bytes.
const maxJobFile = 1 << 20

// submitCommand gives the command that submits a job.
func submitCommand(service *client) *cobra.Command {
	return &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit the job described in FILE (JSON; - for standard input)",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := readJob(cmd.InOrStdin(), args[0])
			if err != nil {
				return fmt.Errorf("read the job: %w", err)
			}
			return service.printResponse(cmd, fasthttp.MethodPost, "/work", job)
		},
	}
}

// readJob reads a job's description from a file, or from standard input where that is "-".
func readJob(stdin io.Reader, path string) ([]byte, error) {
	if path == "-" {
		job, err := io.ReadAll(io.LimitReader(stdin, maxJobFile))
		return job, failed(err)
	}
	job, err := os.ReadFile(path)
	return job, failed(err)
}
