package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/go-json-experiment/json"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"spurmoor/internal/api"
	"spurmoor/internal/history"
)

// rolesCommand returns the command that shows the roles and their leaders.
func rolesCommand(apiClient *client) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "duties",
		Short: "Show who holds which duty, and what orders were refused",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if asJSON {
				return apiClient.requestAndPrint(cmd, fasthttp.MethodGet, "/duties", nil)
			}
			roles, err := apiClient.fetchRoles()
			if err != nil {
				return err
			}
			return printRoles(cmd.OutOrStdout(), roles)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the answer as it is")
	return cmd
}

// fetchRoles requests the roles as the controller knows them.
func (c *client) fetchRoles() (*api.Roles, error) {
	text, err := c.request(fasthttp.MethodGet, "/duties", nil)
	if err != nil {
		return nil, err
	}
	roles := &api.Roles{}
	if err := json.Unmarshal([]byte(text), roles); err != nil {
		return nil, fmt.Errorf("%s: answer can't be read: %w", c.addr, err)
	}
	return roles, nil
}

// columnPadding is the number of spaces between two columns.
const columnPadding = 2

// printRoles prints a table with a line for each role. A last line shows which controller
// answered, whether fleet roles are exclusive and requests recorded, and the orders that
// were refused under no role.
func printRoles(out io.Writer, roles *api.Roles) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	lines := []string{"DUTY\tHOLDER\tTERM\tSINCE\tREMAINING\tORDERS REFUSED HERE"}
	for _, role := range roles.Roles {
		lines = append(lines, formatRole(role))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return asFailure(err)
		}
	}
	if err := table.Flush(); err != nil {
		return asFailure(err)
	}
	_, err := fmt.Fprintf(out, "answered by %s; the fleet's duties have one holder each: %t; "+
		"rentals are recorded first: %t; refused under no duty: %s\n",
		roles.Node, roles.Exclusive, roles.RecordsMachineRequests, history.FormatCounts(roles.RefusedOrders, noRefusedOrders))
	return asFailure(err)
}

// noRefusedOrders is shown if no order was refused.
const noRefusedOrders = "none"

// unknown is shown for what the answering controller does not know.
const unknown = "-"

// formatRole returns a role's line of the table.
func formatRole(role api.RoleStatus) string {
	leader, term, since, remaining := unknown, unknown, unknown, unknown
	if role.Leader != "" {
		leader = role.Leader
	}
	if role.Term > 0 {
		term, since = fmt.Sprint(role.Term), fmt.Sprintf("%.1fs", role.SinceS)
	}
	if role.RemainingS != nil {
		remaining = fmt.Sprintf("%.1fs", *role.RemainingS)
	}
	refused := history.FormatCounts(role.RefusedOrders, noRefusedOrders)
	return strings.Join([]string{role.Role, leader, term, since, remaining, refused}, "\t")
}
