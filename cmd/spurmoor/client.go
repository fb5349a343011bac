package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"spurmoor/internal/api"
)

// client calls a running service.
type client struct{ addr string }

// answerWait is how long the service may take.
const answerWait = 5 * time.Second

// maxJobFile bounds what is read as a job's description.
const maxJobFile = 1 << 20

// clients are the commands that talk to a running service.
func clients() []*cobra.Command {
	c := &client{}
	list := []*cobra.Command{c.submit(), c.status(), c.cancel(), c.duties()}
	for _, cmd := range list {
		cmd.Flags().StringVar(&c.addr, "addr", "127.0.0.1:8080", "a controller's public `ADDRESS`")
	}
	return list
}

func (c *client) submit() *cobra.Command {
	return &cobra.Command{
		Use: "submit FILE", Short: "Submit the job described in FILE (JSON; - for standard input)", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := readJob(cmd, args[0])
			if err != nil {
				return fmt.Errorf("read the job: %w", err)
			}
			return c.call(cmd, fasthttp.MethodPost, "/work", body)
		},
	}
}

func readJob(cmd *cobra.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(cmd.InOrStdin(), maxJobFile))
	}
	return os.ReadFile(file)
}

func (c *client) status() *cobra.Command {
	var why bool
	cmd := &cobra.Command{
		Use: "status ID", Short: "Show a job's state", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := "/work/"
			if why {
				path = "/why/"
			}
			return c.call(cmd, fasthttp.MethodGet, path+args[0], nil)
		},
	}
	cmd.Flags().BoolVar(&why, "why", false, "say why it waits and when it should be done")
	return cmd
}

func (c *client) cancel() *cobra.Command {
	return &cobra.Command{
		Use: "cancel ID", Short: "Cancel a job", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.call(cmd, fasthttp.MethodPost, "/work/"+args[0]+"/cancel", nil)
		},
	}
}

func (c *client) duties() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "duties", Short: "Show who holds which duty, and what orders were refused", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := c.ask(fasthttp.MethodGet, "/duties", nil)
			if err != nil {
				return err
			}
			if asJSON {
				_, err = fmt.Fprintln(cmd.OutOrStdout(), text)
				return err
			}
			var list api.Roles
			if err := json.Unmarshal([]byte(text), &list); err != nil {
				return fmt.Errorf("%s: answer can't be read: %w", c.addr, err)
			}
			return showDuties(cmd.OutOrStdout(), &list)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the answer as it is")
	return cmd
}

// call makes a request and prints the answer; a refusal is an error.
func (c *client) call(cmd *cobra.Command, method, path string, body []byte) error {
	text, err := c.ask(method, path, body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), text)
	return err
}

// ask makes a request and gives the answer's body; a refusal is an error.
func (c *client) ask(method, path string, body []byte) (string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + c.addr + path)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	if err := fasthttp.DoTimeout(req, resp, answerWait); err != nil {
		return "", fmt.Errorf("%s does not answer: %w", c.addr, err)
	}
	text := strings.TrimSpace(string(resp.Body()))
	if resp.StatusCode() >= 300 {
		why := fmt.Errorf("status %d: %s", resp.StatusCode(), text)
		if after := resp.Header.Peek("Retry-After"); len(after) > 0 {
			why = fmt.Errorf("%w (come back in %s s)", why, after)
		}
		return "", exitError{exitRefused, why}
	}
	return text, nil
}
