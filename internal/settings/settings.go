// Package settings reads and validates a controller's settings: a JSON file from the
// platform, and a TOML file in which operators may change the defaults.
package settings

import (
	"fmt"
	"os"
	"slices"

	"github.com/go-json-experiment/json"
)

// minPartitions is the minimum number of partitions, even with a single controller.
const minPartitions = 2

// The limit on unfinished jobs if the operators set none. A fifth of the process's memory is
// for unfinished jobs, and each takes about 2 KB.
const (
	minUnfinishedJobs   = 4000
	unfinishedJobsPerMB = 100
)

// Settings holds all settings of a controller and the values derived from them.
type Settings struct {
	Platform

	// Operators holds the operators' settings. Parse replaces a Parts of 0 by the actual
	// number of partitions.
	Operators Operators
	// TeamPartition maps each team's name to the index of its partition.
	TeamPartition map[string]int
	// Nodes holds the names of all controllers, this one included, sorted.
	Nodes []string
	// Sockets holds how many sockets the process may open for each use.
	Sockets Sockets
}

// Load reads the platform's file and, unless operatorsPath is empty, the operators' file.
// Errors name the file. A setting that is not valid is reported as a *FieldError.
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

// loadOperators reads the operators' file. With an empty path it returns the defaults.
func loadOperators(path string) (Operators, error) {
	if path == "" {
		return DefaultOperators(), nil
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

// Parse parses and validates the platform's settings, which are JSON, and derives the
// other fields of Settings. Unknown fields are ignored, because the platform may add some.
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
	// The time at which the limits change is not announced, so the lower of both holds
	// from the start.
	settings.Deployment.Store.lowerToNext()
	settings.TeamPartition = assignTeams(settings.Deployment.Teams, settings.Operators.Parts)
	settings.Sockets = allocateSockets(settings.Deployment.Process.MaxConnections, len(settings.Peers))
	return settings, nil
}

// nodeNames returns the names of all controllers, this one included, sorted.
func (p *Platform) nodeNames() []string {
	names := []string{p.Node}
	for _, peer := range p.Peers {
		names = append(names, peer.Name)
	}
	slices.Sort(names)
	return names
}

// MaxUnfinishedJobs returns the limit on unfinished jobs.
func (s *Settings) MaxUnfinishedJobs() int {
	if s.Operators.QueueJobs > 0 {
		return s.Operators.QueueJobs
	}
	return max(minUnfinishedJobs, int(s.Deployment.Process.MemMB*unfinishedJobsPerMB))
}
