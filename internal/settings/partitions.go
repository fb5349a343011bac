package settings

import (
	"math"
	"slices"
	"strings"
)

// How large a team counts where teams are spread over partitions.
const (
	// cpusPerGPU is how many CPUs a guaranteed GPU counts as.
	cpusPerGPU = 6
	// minTeamSize has teams without a guarantee spread over the partitions too.
	minTeamSize = 1e-3
)

// assignTeams spreads the teams over the partitions, largest guarantee first, each to
// the partition with the least so far; it gives each team's partition by the team's name.
// All controllers must come to the same result, so ties are broken by name.
func assignTeams(teams []Team, partitions int) map[string]int {
	bySize := slices.Clone(teams)
	slices.SortStableFunc(bySize, func(a, b Team) int {
		if difference := b.size() - a.size(); difference != 0 {
			return int(math.Copysign(1, difference))
		}
		return strings.Compare(a.Name, b.Name)
	})
	load := make([]float64, partitions)
	assigned := map[string]int{}
	for _, team := range bySize {
		least := slices.Index(load, slices.Min(load))
		load[least] += team.size() + minTeamSize
		assigned[team.Name] = least
	}
	return assigned
}

// size is a team's guarantee, in CPUs.
func (t Team) size() float64 { return t.GuaranteedGPUs*cpusPerGPU + t.GuaranteedCPUs }
