package history

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spurmoor/internal/micros"
)

// Distribution is a histogram of time spans of up to an hour, precise to three significant
// figures. It must not be used by several goroutines at once.
type Distribution struct{ histogram *hdrhistogram.Histogram }

const (
	maxSpan            = 3600 * micros.Second
	significantFigures = 3
)

// The percentiles that String shows.
const (
	median         = 50
	percentile90th = 90
	percentile99th = 99
)

// NewDistribution returns an empty Distribution.
func NewDistribution() *Distribution {
	return &Distribution{hdrhistogram.New(1, int64(maxSpan), significantFigures)}
}

// Add adds a span. A span of more than an hour counts as an hour, and one below 1 us as
// 1 us.
func (d *Distribution) Add(span micros.Micros) {
	_ = d.histogram.RecordValue(int64(min(max(span, 1), maxSpan))) // cannot fail: the value is in range
}

// Count returns the number of spans that were added.
func (d *Distribution) Count() int64 { return d.histogram.TotalCount() }

// String returns the number of spans, and percentiles and the maximum in seconds. It returns
// "none" for an empty Distribution.
func (d *Distribution) String() string {
	if d.Count() == 0 {
		return "none"
	}
	maxS := micros.Micros(d.histogram.Max()).Seconds()
	return fmt.Sprintf("n=%d p50=%.3fs p90=%.3fs p99=%.3fs max=%.3fs",
		d.Count(), d.percentileS(median), d.percentileS(percentile90th), d.percentileS(percentile99th), maxS)
}

// percentileS returns the given percentile of the spans, in seconds.
func (d *Distribution) percentileS(percent float64) float64 {
	return micros.Micros(d.histogram.ValueAtPercentile(percent)).Seconds()
}
