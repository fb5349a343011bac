// Command spurmoor is a cluster scheduler's controller and its command line.
//
// Without a subcommand it runs a controller. The subcommands submit, status, cancel and
// duties are clients of a running one; check, history and version need none.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitFailed   = 1 // the command failed
	exitSettings = 2 // settings or flags are not valid
	exitRefused  = 3 // the service refused the request
)

// exitError carries the exit code of a failed command. Its text is that of the error.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }
func (e exitError) Unwrap() error { return e.err }

// failed is for an error whose text needs no context; nil stays nil.
func failed(err error) error {
	if err == nil {
		return nil
	}
	return exitError{exitFailed, err}
}

func main() {
	err := rootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "spurmoor:", err)
	os.Exit(exitCode(err))
}

// exitCode is the code to exit with because of an error.
func exitCode(err error) int {
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailed
}
