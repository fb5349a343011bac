package settings

import (
	"math"
	"slices"
	"strings"
)

// Parameters of a team's size when teams are assigned to partitions.
const (
	// cpusPerGPU is the number of CPUs that a guaranteed GPU counts as.
	cpusPerGPU = 6
	// baseTeamSizeCPUs is added to each team's size. Without it, all teams that have no
	// guarantee would be assigned to the same partition.
	baseTeamSizeCPUs = 1e-3
)

// assignTeams returns each team's partition by the team's name. It takes the teams in
// order of their guarantees, largest first, and assigns each to the partition with the
// smallest sum so far. Ties are broken by name, because all controllers must compute the
// same assignment.
func assignTeams(teams []Team, partitions int) map[string]int {
	bySize := slices.Clone(teams)
	slices.SortStableFunc(bySize, func(a, b Team) int {
		if difference := b.sizeCPUs() - a.sizeCPUs(); difference != 0 {
			return int(math.Copysign(1, difference))
		}
		return strings.Compare(a.Name, b.Name)
	})
	loadCPUs := make([]float64, partitions)
	assigned := map[string]int{}
	for _, team := range bySize {
		leastLoaded := slices.Index(loadCPUs, slices.Min(loadCPUs))
		loadCPUs[leastLoaded] += team.sizeCPUs() + baseTeamSizeCPUs
		assigned[team.Name] = leastLoaded
	}
	return assigned
}

// sizeCPUs returns a team's guarantee, with GPUs converted to CPUs.
func (t Team) sizeCPUs() float64 { return t.GuaranteedGPUs*cpusPerGPU + t.GuaranteedCPUs }
