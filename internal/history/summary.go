package history

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spurmoor/internal/micros"
)

// Distribution gathers spans, up to an hour.
type Distribution struct{ values *hdrhistogram.Histogram }

const (
	longestSpan        = 3600 * micros.Second
	significantFigures = 3
)

// NewDistribution makes an empty one.
func NewDistribution() *Distribution {
	return &Distribution{hdrhistogram.New(1, int64(longestSpan), significantFigures)}
}

// Add adds a span; one beyond an hour counts as an hour.
func (d *Distribution) Add(span micros.Micros) {
	_ = d.values.RecordValue(int64(min(max(span, 1), longestSpan))) // within its bounds: cannot fail
}

// Count is how many spans were added.
func (d *Distribution) Count() int64 { return d.values.TotalCount() }

// String gives quantiles, in seconds.
func (d *Distribution) String() string {
	if d.Count() == 0 {
		return "none"
	}
	at := func(percent float64) float64 { return micros.Micros(d.values.ValueAtPercentile(percent)).Seconds() }
	return fmt.Sprintf("n=%d p50=%.3fs p90=%.3fs p99=%.3fs max=%.3fs", d.Count(), at(50), at(90), at(99), micros.Micros(d.values.Max()).Seconds())
}

// tenure is what was ordered under one duty and term.
type tenure struct {
	duty string
	term uint64
}

// span is the time in which something was ordered.
type span struct {
	first, last micros.Micros
	left        map[string]int // orders by action
	refused     map[string]int // by action and reason
}

// Summary sums a history up.
type Summary struct {
	begin   micros.Micros
	spans   map[tenure]*span
	waiting *Distribution
}

// NewSummary makes an empty one.
func NewSummary() *Summary {
	return &Summary{spans: map[tenure]*span{}, waiting: NewDistribution()}
}

// Add adds an order.
func (s *Summary) Add(o Order) {
	if s.begin == 0 {
		s.begin = o.At
	}
	k := tenure{o.Role, o.Term}
	t := s.spans[k]
	if t == nil {
		t = &span{first: o.At, left: map[string]int{}, refused: map[string]int{}}
		s.spans[k] = t
	}
	if o.Refused != "" {
		t.refused[o.Action+", "+o.Refused]++
		return
	}
	t.last = max(t.last, o.At)
	t.left[o.Action]++
	if o.GrantedAt > 0 {
		s.waiting.Add(o.At - o.GrantedAt)
	}
}

// Print prints a line for each duty and term, in the order in which they began.
func (s *Summary) Print(to io.Writer) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(table, "DUTY\tTERM\tFROM\tTO\tORDERS\tREFUSED"); err != nil {
		return err
	}
	order := slices.SortedFunc(maps.Keys(s.spans), func(a, b tenure) int {
		return cmp.Or(cmp.Compare(s.spans[a].first, s.spans[b].first), cmp.Compare(a.duty, b.duty), cmp.Compare(a.term, b.term))
	})
	for _, k := range order {
		t := s.spans[k]
		from, until := (t.first - s.begin).Seconds(), (max(t.last, t.first) - s.begin).Seconds()
		if _, err := fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%s\t%s\n", k.duty, k.term, from, until, counts(t.left), counts(t.refused)); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(to, "from decision to departure:", s.waiting)
	return err
}

// counts gives counts by name.
func counts(m map[string]int) string {
	if len(m) == 0 {
		return "-"
	}
	text := ""
	for _, name := range slices.Sorted(maps.Keys(m)) {
		if text != "" {
			text += "; "
		}
		text += fmt.Sprintf("%s: %d", name, m[name])
	}
	return text
}
