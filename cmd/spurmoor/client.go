package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
)

// client calls a running service.
type client struct{ addr string }

// answerWait is how long the service may take.
const answerWait = 5 * time.Second

// clientCommands are the commands that talk to a running service.
func clientCommands() []*cobra.Command {
	service := &client{}
	commands := []*cobra.Command{
		submitCommand(service), statusCommand(service), cancelCommand(service), rolesCommand(service),
	}
	for _, cmd := range commands {
		cmd.Flags().StringVar(&service.addr, "addr", "127.0.0.1:8080", "a controller's public `ADDRESS`")
	}
	return commands
}

// printResponse makes a request and prints the response's body; a refusal is an error.
func (c *client) printResponse(cmd *cobra.Command, method, path string, body []byte) error {
	text, err := c.request(method, path, body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), text)
	return failed(err)
}

// request makes a request and gives the response's body; a refusal is an exitError.
func (c *client) request(method, path string, body []byte) (string, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + c.addr + path)
	request.Header.SetMethod(method)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	if err := fasthttp.DoTimeout(request, response, answerWait); err != nil {
		return "", fmt.Errorf("%s does not answer: %w", c.addr, err)
	}
	text := strings.TrimSpace(string(response.Body()))
	if response.StatusCode() < fasthttp.StatusMultipleChoices {
		return text, nil
	}
	refusal := &refusalError{
		status:     response.StatusCode(),
		text:       text,
		retryAfter: string(response.Header.Peek(fasthttp.HeaderRetryAfter)),
	}
	return "", exitError{exitRefused, refusal}
}

// refusalError is a response that refuses the request.
type refusalError struct {
	status     int
	text       string // the response's body
	retryAfter string // seconds; empty: the response has none
}

func (e *refusalError) Error() string {
	text := fmt.Sprintf("status %d: %s", e.status, e.text)
	if e.retryAfter != "" {
		text += fmt.Sprintf(" (come back in %s s)", e.retryAfter)
	}
	return text
}
