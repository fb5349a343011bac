package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"spurmoor/internal/api"
)

// showDuties prints a line for each duty.
func showDuties(out io.Writer, list *api.Roles) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	lines := []string{"DUTY\tHOLDER\tTERM\tSINCE\tREMAINING\tORDERS REFUSED HERE"}
	for _, d := range list.Roles {
		lines = append(lines, dutyLine(d))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "answered by %s; the fleet's duties have one holder each: %t; rentals are recorded first: %t; refused under no duty: %s\n",
		list.Node, list.Exclusive, list.RecordsRequests, refusedCounts(list.RefusedOrders))
	return err
}

// dutyLine gives one duty's columns. What is not known here is a dash.
func dutyLine(d api.RoleStatus) string {
	holder, term, since, remaining := "-", "-", "-", "-"
	if d.Leader != "" {
		holder = d.Leader
	}
	if d.Term > 0 {
		term, since = fmt.Sprint(d.Term), fmt.Sprintf("%.1fs", d.SinceS)
	}
	if d.RemainingS != nil {
		remaining = fmt.Sprintf("%.1fs", *d.RemainingS)
	}
	return strings.Join([]string{d.Role, holder, term, since, remaining, refusedCounts(d.RefusedOrders)}, "\t")
}

// refusedCounts gives counts of refused orders by action and reason.
func refusedCounts(refused map[string]int) string {
	if len(refused) == 0 {
		return "none"
	}
	var parts []string
	for _, why := range slices.Sorted(maps.Keys(refused)) {
		parts = append(parts, fmt.Sprintf("%s: %d", why, refused[why]))
	}
	return strings.Join(parts, "; ")
}
