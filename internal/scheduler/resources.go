package scheduler

import "math"

// thousandthsPerUnit scales decimal amounts of cores, GPUs and gigabytes to integers.
// Integers add and subtract exactly, floating-point numbers do not.
const thousandthsPerUnit = 1000

// unlimitedFitCount is the FitCount of an empty request.
const unlimitedFitCount = 1 << 30

// Resources is an amount of resources in thousandths of a core, a GPU and a gigabyte.
type Resources struct{ MilliCPU, MilliGPU, MilliGB int64 }

// NewResources converts decimal amounts, rounded to the nearest thousandth.
func NewResources(cpus, gpus, memoryGB float64) Resources {
	return Resources{toThousandths(cpus), toThousandths(gpus), toThousandths(memoryGB)}
}

func toThousandths(amount float64) int64 {
	return int64(math.Round(amount * thousandthsPerUnit))
}

// AddScaled returns r + times·other. times may be negative.
func (r Resources) AddScaled(other Resources, times int64) Resources {
	return Resources{
		MilliCPU: r.MilliCPU + times*other.MilliCPU,
		MilliGPU: r.MilliGPU + times*other.MilliGPU,
		MilliGB:  r.MilliGB + times*other.MilliGB,
	}
}

// Fits reports whether other fits into r.
func (r Resources) Fits(other Resources) bool {
	return other.MilliCPU <= r.MilliCPU && other.MilliGPU <= r.MilliGPU && other.MilliGB <= r.MilliGB
}

// FitCount returns how many times other fits into r. For an other that requests nothing it
// is a large number.
func (r Resources) FitCount(other Resources) int {
	count := int64(unlimitedFitCount)
	count = min(count, fitCount(r.MilliCPU, other.MilliCPU))
	count = min(count, fitCount(r.MilliGPU, other.MilliGPU))
	count = min(count, fitCount(r.MilliGB, other.MilliGB))
	return int(count)
}

// fitCount returns how many times an amount of one resource fits into what is available.
func fitCount(available, amount int64) int64 {
	if amount <= 0 {
		return unlimitedFitCount
	}
	return max(0, available) / amount
}

// dominantShare returns the largest share of any one resource in total that the given
// number of tasks with request r takes.
func (r Resources) dominantShare(tasks int, total Resources) float64 {
	share := 0.0
	share = math.Max(share, shareOf(tasks, r.MilliCPU, total.MilliCPU))
	share = math.Max(share, shareOf(tasks, r.MilliGPU, total.MilliGPU))
	share = math.Max(share, shareOf(tasks, r.MilliGB, total.MilliGB))
	return share
}

// shareOf returns the share of total that the given number of tasks takes. It is 0 if total
// is not positive.
func shareOf(tasks int, request, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(int64(tasks)*request) / float64(total)
}
