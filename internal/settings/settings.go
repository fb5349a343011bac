// Package settings reads and checks what a controller runs by: the file that the
// platform hands it (JSON) and what its operators may set on top of that (TOML).
package settings

import (
	"fmt"
	"os"
	"slices"

	"github.com/go-json-experiment/json"
)

// minPartitions is the least number of partitions, on a single controller too.
const minPartitions = 2

// Unfinished jobs for which a process has room where the operators name no number: one
// takes some 2 KB, and a fifth of the memory is for them.
const (
	minUnfinishedJobs   = 4000
	unfinishedJobsPerMB = 100
)

// Settings is everything a controller runs by.
type Settings struct {
	Platform

	// Operators holds the operators' settings, with Partitions never 0.
	Operators Operators
	// TeamPartition is the partition of each team, by name.
	TeamPartition map[string]int
	// Nodes lists every controller by name, in order.
	Nodes []string
	// Sockets is what each use may open.
	Sockets Sockets
}

// Load reads the platform's file and, where operatorsPath is not empty, the
// operators' file. Errors name the file; a setting that is not valid is a *FieldError.
func Load(platformPath, operatorsPath string) (*Settings, error) {
	platform, err := os.ReadFile(platformPath)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	operators, err := loadOperators(operatorsPath)
	if err != nil {
		return nil, err
	}
	settings, err := Parse(platform, operators)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", platformPath, err)
	}
	return settings, nil
}

// loadOperators reads the operators' file; with no path it gives the defaults.
func loadOperators(path string) (Operators, error) {
	if path == "" {
		return Defaults(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Operators{}, fmt.Errorf("read operators' settings: %w", err)
	}
	operators, err := ParseOperators(text)
	if err != nil {
		return Operators{}, fmt.Errorf("%s: %w", path, err)
	}
	return operators, nil
}

// Parse checks the platform's settings, given as JSON, and derives what follows from
// them. Fields that it does not know are passed over: the platform may add some.
func Parse(platform []byte, operators Operators) (*Settings, error) {
	settings := &Settings{Operators: operators}
	if err := json.Unmarshal(platform, &settings.Platform); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.Nodes = settings.nodeNames()
	if settings.Operators.Parts == 0 {
		settings.Operators.Parts = max(minPartitions, len(settings.Nodes))
	}
	// When the limits change is not announced, so both sets are kept from the start.
	settings.Deployment.Store.lowerToNext()
	settings.TeamPartition = assignTeams(settings.Deployment.Teams, settings.Operators.Parts)
	settings.Sockets = allocateSockets(settings.Deployment.Process.MaxConnections, len(settings.Peers))
	return settings, nil
}

// nodeNames gives the names of all controllers, this one's among them, in order.
func (p *Platform) nodeNames() []string {
	names := []string{p.Node}
	for _, peer := range p.Peers {
		names = append(names, peer.Name)
	}
	slices.Sort(names)
	return names
}

// MaxUnfinishedJobs is how many unfinished jobs there may be.
func (s *Settings) MaxUnfinishedJobs() int {
	if s.Operators.QueueJobs > 0 {
		return s.Operators.QueueJobs
	}
	return max(minUnfinishedJobs, int(s.Deployment.Process.MemMB*unfinishedJobsPerMB))
}
