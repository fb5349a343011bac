package scheduler

import "math"

// unitsPerWhole is how many units a core, a GPU or a gigabyte is counted as: integer
// amounts add and subtract exactly, decimal ones do not.
const unitsPerWhole = 1000

// unlimitedMultiples is how often a request for nothing fits.
const unlimitedMultiples = 1 << 30

// Resources is an amount of resources, in thousandths of a core, a GPU and a gigabyte.
type Resources struct{ CPU, GPU, Memory int64 }

// ResourcesOf turns decimal amounts into thousandths, rounded to the nearest.
func ResourcesOf(cpus, gpus, memoryGB float64) Resources {
	return Resources{toThousandths(cpus), toThousandths(gpus), toThousandths(memoryGB)}
}

func toThousandths(amount float64) int64 {
	return int64(math.Round(amount * unitsPerWhole))
}

// Add gives r + times·other; times may be negative.
func (r Resources) Add(other Resources, times int64) Resources {
	return Resources{
		CPU:    r.CPU + times*other.CPU,
		GPU:    r.GPU + times*other.GPU,
		Memory: r.Memory + times*other.Memory,
	}
}

// Fits tells whether other fits into r.
func (r Resources) Fits(other Resources) bool {
	return other.CPU <= r.CPU && other.GPU <= r.GPU && other.Memory <= r.Memory
}

// Multiples tells how often other fits into r.
func (r Resources) Multiples(other Resources) int {
	multiples := int64(unlimitedMultiples)
	multiples = min(multiples, multiplesOf(r.CPU, other.CPU))
	multiples = min(multiples, multiplesOf(r.GPU, other.GPU))
	multiples = min(multiples, multiplesOf(r.Memory, other.Memory))
	return int(multiples)
}

// multiplesOf tells how often an amount fits into what is available.
func multiplesOf(available, amount int64) int64 {
	if amount <= 0 {
		return unlimitedMultiples
	}
	return max(0, available) / amount
}

// largestShare is the largest share of total that so many tasks of the request r take
// of any one resource.
func (r Resources) largestShare(tasks int, total Resources) float64 {
	share := 0.0
	share = math.Max(share, shareOf(tasks, r.CPU, total.CPU))
	share = math.Max(share, shareOf(tasks, r.GPU, total.GPU))
	share = math.Max(share, shareOf(tasks, r.Memory, total.Memory))
	return share
}

// shareOf is the share of total that so many requests take; 0 where there is none.
func shareOf(tasks int, request, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(int64(tasks)*request) / float64(total)
}
