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

// leadershipKey names the time in which one controller led a role under one term.
type leadershipKey struct {
	role string
	term uint64
}

// activity is what was ordered under one leadership.
type activity struct {
	firstAt micros.Micros  // the first order, refused or not
	lastAt  micros.Micros  // the last order that left; 0: none did
	sent    map[string]int // orders that left, by action
	refused map[string]int // orders that did not, by action and reason
}

// Summary sums a history up.
type Summary struct {
	startedAt  micros.Micros // the first order of all
	activities map[leadershipKey]*activity
	// waits are the times from a grant to the departure of the order under it.
	waits *Distribution
}

// NewSummary makes an empty one.
func NewSummary() *Summary {
	return &Summary{activities: map[leadershipKey]*activity{}, waits: NewDistribution()}
}

// Add adds an order.
func (s *Summary) Add(order Order) {
	if s.startedAt == 0 {
		s.startedAt = order.At
	}
	current := s.activityOf(order)
	if order.Refused != "" {
		current.refused[order.Action+", "+order.Refused]++
		return
	}
	current.lastAt = max(current.lastAt, order.At)
	current.sent[order.Action]++
	if order.GrantedAt > 0 {
		s.waits.Add(order.At - order.GrantedAt)
	}
}

// activityOf gives the activity that an order belongs to, and begins it if need be.
func (s *Summary) activityOf(order Order) *activity {
	key := leadershipKey{role: order.Role, term: order.Term}
	found := s.activities[key]
	if found == nil {
		found = &activity{firstAt: order.At, sent: map[string]int{}, refused: map[string]int{}}
		s.activities[key] = found
	}
	return found
}

// columnPadding is the space between two columns of the table.
const columnPadding = 2

// Print prints a line for each role and term, in the order in which they began. Its error
// is that of the writer.
func (s *Summary) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	var rows strings.Builder
	rows.WriteString("DUTY\tTERM\tFROM\tTO\tORDERS\tREFUSED\n")
	for _, key := range s.inOrder() {
		rows.WriteString(s.row(key))
	}
	if _, err := io.WriteString(table, rows.String()); err != nil {
		return err //nolint:wrapcheck // the command prints this text as it is
	}
	if err := table.Flush(); err != nil {
		return err //nolint:wrapcheck // as above
	}
	_, err := fmt.Fprintln(out, "from decision to departure:", s.waits)
	return err //nolint:wrapcheck // as above
}

// inOrder gives the leaderships in the order in which they began.
func (s *Summary) inOrder() []leadershipKey {
	byBeginning := func(a, b leadershipKey) int {
		return cmp.Or(
			cmp.Compare(s.activities[a].firstAt, s.activities[b].firstAt),
			cmp.Compare(a.role, b.role),
			cmp.Compare(a.term, b.term),
		)
	}
	return slices.SortedFunc(maps.Keys(s.activities), byBeginning)
}

// row gives a leadership's line of the table, with times in seconds from the first order.
func (s *Summary) row(key leadershipKey) string {
	current := s.activities[key]
	from := (current.firstAt - s.startedAt).Seconds()
	until := (max(current.lastAt, current.firstAt) - s.startedAt).Seconds()
	return fmt.Sprintf("%s\t%d\t%.3f\t%.3f\t%s\t%s\n",
		key.role, key.term, from, until, FormatCounts(current.sent, noCounts), FormatCounts(current.refused, noCounts))
}

// noCounts stands in a summary where nothing was counted.
const noCounts = "-"

// FormatCounts lists counts by name, in order; none is the text where there are none.
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
