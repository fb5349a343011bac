// Command spurmoor is a cluster scheduler's controller and its command line.
//
// Without a subcommand it runs a controller. The subcommands submit, status, cancel and
// duties are clients of a running controller; check, history and version need none.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitFailure         = 1 // the command failed
	exitInvalidSettings = 2 // settings or flags are not valid
	exitRefused         = 3 // the controller refused the request
)

// exitError adds a command's exit code to an error and keeps the error's text.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }
func (e exitError) Unwrap() error { return e.err }

// asFailure returns an error with exitFailure and an unchanged text, for errors that need
// no context. A nil error stays nil.
func asFailure(err error) error {
	if err == nil {
		return nil
	}
	return exitError{exitFailure, err}
}

func main() {
	err := rootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "spurmoor:", err)
	os.Exit(exitCode(err))
}

// exitCode returns the exit code for an error: that of an exitError, or else exitFailure.
func exitCode(err error) int {
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailure
}
