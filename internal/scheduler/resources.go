package scheduler

import (
	"math"
	"strconv"

	"spurmoor/internal/api"
)

// thousandthsPerUnit scales decimal amounts of cores, GPUs and gigabytes to integers.
// Integers add and subtract exactly, floating-point numbers do not.
const thousandthsPerUnit = 1000

// unlimitedFitCount is the FitCount of an empty request.
const unlimitedFitCount = 1 << 30

// Resources is an amount of resources in thousandths of a core, a GPU and a gigabyte, and the
// space that tasks take in the heartbeats of their machine's worker, in bytes.
type Resources struct{ MilliCPU, MilliGPU, MilliGB, HeartbeatBytes int64 }

// NewResources converts decimal amounts, rounded to the nearest thousandth.
func NewResources(cpus, gpus, memoryGB float64) Resources {
	return Resources{MilliCPU: toThousandths(cpus), MilliGPU: toThousandths(gpus), MilliGB: toThousandths(memoryGB)}
}

// TaskRequest returns what each task of a job takes of its machine.
func TaskRequest(spec *api.Job) Resources {
	request := NewResources(spec.CPUs, spec.GPUs, spec.MemoryGB)
	lastTask := spec.ID + "/" + strconv.Itoa(max(0, spec.Tasks-1))
	request.HeartbeatBytes = int64(api.MaxStatusBytes(lastTask))
	return request
}

// MachineCapacity returns the resources of an empty machine of a type.
func MachineCapacity(machineType *api.MachineType) Resources {
	capacity := NewResources(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)
	capacity.HeartbeatBytes = api.MaxStatusesBytes
	return capacity
}

func toThousandths(amount float64) int64 {
	return int64(math.Round(amount * thousandthsPerUnit))
}

// AddScaled returns r + times·other. times may be negative.
func (r Resources) AddScaled(other Resources, times int64) Resources {
	return Resources{
		MilliCPU:       r.MilliCPU + times*other.MilliCPU,
		MilliGPU:       r.MilliGPU + times*other.MilliGPU,
		MilliGB:        r.MilliGB + times*other.MilliGB,
		HeartbeatBytes: r.HeartbeatBytes + times*other.HeartbeatBytes,
	}
}

// Fits reports whether other fits into r.
func (r Resources) Fits(other Resources) bool {
	return other.MilliCPU <= r.MilliCPU && other.MilliGPU <= r.MilliGPU && other.MilliGB <= r.MilliGB &&
		other.HeartbeatBytes <= r.HeartbeatBytes
}

// FitCount returns how many times other fits into r. For an other that requests nothing it
// is a large number.
func (r Resources) FitCount(other Resources) int {
	count := int64(unlimitedFitCount)
	count = min(count, fitCount(r.MilliCPU, other.MilliCPU))
	count = min(count, fitCount(r.MilliGPU, other.MilliGPU))
	count = min(count, fitCount(r.MilliGB, other.MilliGB))
	count = min(count, fitCount(r.HeartbeatBytes, other.HeartbeatBytes))
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
