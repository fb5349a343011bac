package history

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spurmoor/internal/micros"
)

// Distribution counts time spans of up to an hour, and gives their quantiles.
type Distribution struct{ histogram *hdrhistogram.Histogram }

const (
	longestSpan        = 3600 * micros.Second
	significantFigures = 3
)

// The quantiles that String gives, in percent.
const (
	median         = 50
	percentile90th = 90
	percentile99th = 99
)

// NewDistribution makes an empty one.
func NewDistribution() *Distribution {
	return &Distribution{hdrhistogram.New(1, int64(longestSpan), significantFigures)}
}

// Add adds a span; one beyond an hour counts as an hour.
func (d *Distribution) Add(span micros.Micros) {
	_ = d.histogram.RecordValue(int64(min(max(span, 1), longestSpan))) // within its bounds: cannot fail
}

// Count is how many spans were added.
func (d *Distribution) Count() int64 { return d.histogram.TotalCount() }

// String gives quantiles, in seconds.
func (d *Distribution) String() string {
	if d.Count() == 0 {
		return "none"
	}
	longest := micros.Micros(d.histogram.Max()).Seconds()
	return fmt.Sprintf("n=%d p50=%.3fs p90=%.3fs p99=%.3fs max=%.3fs",
		d.Count(), d.quantile(median), d.quantile(percentile90th), d.quantile(percentile99th), longest)
}

// quantile gives the span that so many percent of the spans do not exceed, in seconds.
func (d *Distribution) quantile(percent float64) float64 {
	return micros.Micros(d.histogram.ValueAtPercentile(percent)).Seconds()
}
