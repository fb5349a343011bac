package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
)

// client calls a running controller.
type client struct{ addr string }

// requestTimeout is how long a controller may take to answer.
const requestTimeout = 5 * time.Second

// clientCommands returns the commands that call a running controller.
func clientCommands() []*cobra.Command {
	apiClient := &client{}
	commands := []*cobra.Command{
		submitCommand(apiClient), statusCommand(apiClient), cancelCommand(apiClient), rolesCommand(apiClient),
	}
	for _, cmd := range commands {
		cmd.Flags().StringVar(&apiClient.addr, "addr", "127.0.0.1:8080", "a controller's public `ADDRESS`")
	}
	return commands
}

// requestAndPrint sends a request and prints the response's body. It returns an error if the
// controller refuses the request.
func (c *client) requestAndPrint(cmd *cobra.Command, method, path string, body []byte) error {
	text, err := c.request(method, path, body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), text)
	return asFailure(err)
}

// request sends a request and returns the response's body. If the controller refuses the
// request, the error is an exitError with exitRefused.
func (c *client) request(method, path string, body []byte) (string, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + c.addr + path)
	request.Header.SetMethod(method)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	if err := fasthttp.DoTimeout(request, response, requestTimeout); err != nil {
		return "", fmt.Errorf("%s does not answer: %w", c.addr, err)
	}
	text := strings.TrimSpace(string(response.Body()))
	if response.StatusCode() < fasthttp.StatusMultipleChoices {
		return text, nil
	}
	refusal := &refusalError{
		statusCode: response.StatusCode(),
		body:       text,
		retryAfter: string(response.Header.Peek(fasthttp.HeaderRetryAfter)),
	}
	return "", exitError{exitRefused, refusal}
}

// refusalError reports a response whose status refuses the request.
type refusalError struct {
	statusCode int
	body       string // of the response
	retryAfter string // in seconds; empty if the response has none
}

func (e *refusalError) Error() string {
	text := fmt.Sprintf("status %d: %s", e.statusCode, e.body)
	if e.retryAfter != "" {
		text += fmt.Sprintf(" (come back in %s s)", e.retryAfter)
	}
	return text
}
