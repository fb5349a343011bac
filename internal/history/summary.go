package history

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"spurmoor/internal/micros"
)

// leadershipKey identifies a controller's leadership of a role in one term.
type leadershipKey struct {
	role string
	term uint64
}

// activity summarizes the orders of one leadership.
type activity struct {
	firstAt micros.Micros  // time of the first order, refused or sent
	lastAt  micros.Micros  // time of the last order that was sent; 0 if none was
	sent    map[string]int // number of orders sent, by action
	refused map[string]int // number of orders refused, by action and reason
}

// Summary summarizes a history: the orders of each leadership, and how long they took
// from the grant to being sent. Create one with NewSummary.
type Summary struct {
	firstOrderAt micros.Micros // time of the first order in the history
	activities   map[leadershipKey]*activity
	// sendDelays holds the times from giving a grant to sending the order under it.
	sendDelays *Distribution
}

// NewSummary returns an empty Summary.
func NewSummary() *Summary {
	return &Summary{activities: map[leadershipKey]*activity{}, sendDelays: NewDistribution()}
}

// Add adds an order. The first one added sets the zero of the times that Print shows.
func (s *Summary) Add(order Order) {
	if s.firstOrderAt == 0 {
		s.firstOrderAt = order.At
	}
	current := s.activityFor(order)
	if order.RefusalReason != "" {
		current.refused[order.Action+", "+order.RefusalReason]++
		return
	}
	current.lastAt = max(current.lastAt, order.At)
	current.sent[order.Action]++
	if order.GrantedAt > 0 {
		s.sendDelays.Add(order.At - order.GrantedAt)
	}
}

// activityFor returns the activity that an order belongs to, and creates it if needed.
func (s *Summary) activityFor(order Order) *activity {
	key := leadershipKey{role: order.Role, term: order.Term}
	found := s.activities[key]
	if found == nil {
		found = &activity{firstAt: order.At, sent: map[string]int{}, refused: map[string]int{}}
		s.activities[key] = found
	}
	return found
}

// columnPadding is the number of spaces between two columns of the table.
const columnPadding = 2

// Print writes a table with a line for each role and term, in the order of their first
// orders, and a line with the times from grants to orders. It returns an error if out does.
func (s *Summary) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	var rows strings.Builder
	rows.WriteString("DUTY\tTERM\tFROM\tTO\tORDERS\tREFUSED\n")
	for _, key := range s.sortedLeaderships() {
		rows.WriteString(s.formatRow(key))
	}
	if _, err := io.WriteString(table, rows.String()); err != nil {
		return err //nolint:wrapcheck // the command prints this text as it is
	}
	if err := table.Flush(); err != nil {
		return err //nolint:wrapcheck // as above
	}
	_, err := fmt.Fprintln(out, "from decision to departure:", s.sendDelays)
	return err //nolint:wrapcheck // as above
}

// sortedLeaderships returns the leaderships in the order of their first orders.
func (s *Summary) sortedLeaderships() []leadershipKey {
	byFirstOrder := func(a, b leadershipKey) int {
		return cmp.Or(
			cmp.Compare(s.activities[a].firstAt, s.activities[b].firstAt),
			cmp.Compare(a.role, b.role),
			cmp.Compare(a.term, b.term),
		)
	}
	return slices.SortedFunc(maps.Keys(s.activities), byFirstOrder)
}

// formatRow returns a leadership's line of the table. Times are in seconds since the
// history's first order.
func (s *Summary) formatRow(key leadershipKey) string {
	current := s.activities[key]
	fromS := (current.firstAt - s.firstOrderAt).Seconds()
	toS := (max(current.lastAt, current.firstAt) - s.firstOrderAt).Seconds()
	return fmt.Sprintf("%s\t%d\t%.3f\t%.3f\t%s\t%s\n",
		key.role, key.term, fromS, toS, FormatCounts(current.sent, emptyCounts), FormatCounts(current.refused, emptyCounts))
}

// emptyCounts is what a summary shows for empty counts.
const emptyCounts = "-"

// FormatCounts lists counts as "name: count", sorted by name and separated by semicolons.
// It returns none if there are no counts.
func FormatCounts(counts map[string]int, none string) string {
	if len(counts) == 0 {
		return none
	}
	var entries []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		entries = append(entries, fmt.Sprintf("%s: %d", name, counts[name]))
	}
	return strings.Join(entries, "; ")
}
