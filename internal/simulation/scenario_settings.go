package simulation

import (
	"fmt"

	"spurmoor/internal/leadership"
	"spurmoor/internal/settings"

	"github.com/go-json-experiment/json"
)

// Settings with the same values in all scenarios.
const (
	gangWaitS       = 40
	gangPeerS       = 4
	cloudRPS        = 6
	listLagS        = 5
	processCores    = 0.2
	processMemoryMB = 100
	storeEndpoint   = "10.2.0.1:2379"
	cloudEndpoint   = "10.2.0.2:8443"
	publicPort      = 8080
	internalPort    = 8081
)

// zones lists the zones of the cluster. The controllers are spread over them in turn.
var zones = []string{"alta", "baja"}

// nodeName returns the name of the controller with this index.
func nodeName(index int) string { return fmt.Sprintf("nodo-%d", index) }

// zoneOfNode returns the zone of the controller with this index.
func zoneOfNode(index int) string { return zones[index%len(zones)] }

// nodeAddr returns the address of the controller with this index, for the given port.
func nodeAddr(index, port int) string { return fmt.Sprintf("10.0.0.%d:%d", index+1, port) }

// partitionOf returns the partition that the settings assign to a user's team, or 0 if the
// settings are invalid.
func (s *Scenario) partitionOf(owner *user) int {
	set, err := s.settingsFor(0, false)
	if err != nil {
		return 0
	}
	return set.TeamPartition[owner.job.spec(0).Team]
}

// settingsFor returns the settings of the controller with this index. They include the
// store's next limits if announced is set.
func (s *Scenario) settingsFor(index int, announced bool) (*settings.Settings, error) {
	platform := settings.Platform{
		Node: nodeName(index), Zone: zoneOfNode(index),
		PublicAddr: nodeAddr(index, publicPort), InternalAddr: nodeAddr(index, internalPort),
	}
	for peer := range s.Controllers {
		if peer != index {
			platform.Peers = append(platform.Peers, settings.Peer{
				Name: nodeName(peer), Zone: zoneOfNode(peer), Addr: nodeAddr(peer, internalPort),
			})
		}
	}
	platform.Endpoints.Cloud, platform.Endpoints.State = cloudEndpoint, storeEndpoint
	s.describeDeployment(&platform.Deployment, announced)
	raw, err := json.Marshal(platform)
	if err != nil {
		return nil, fmt.Errorf("encode the settings of %s: %w", platform.Node, err)
	}
	set, err := settings.Parse(raw, s.operators())
	if err != nil {
		return nil, fmt.Errorf("settings of %s: %w", platform.Node, err)
	}
	return set, nil
}

// describeDeployment sets the facts that are the same in the settings of all controllers.
func (s *Scenario) describeDeployment(deployment *settings.Facts, announced bool) {
	deployment.Nodes, deployment.Zones = s.Controllers, zones
	for _, team := range s.Teams {
		deployment.Teams = append(deployment.Teams, settings.Team{
			Name: team.Name, GuaranteedGPUs: team.GPUs, MaxGPUs: team.GPUsMax,
		})
	}
	workers := &deployment.Workers
	workers.ReportS, workers.LeaseS, workers.CancelS = s.HeartbeatS, s.LeaseS, s.CancelS
	workers.GangWaitS, workers.GangPeerS = gangWaitS, gangPeerS
	store := &deployment.Store
	store.RPS, store.WriteRPS = s.RPS, s.WriteRPS
	store.ValueKB, store.MaxTransactionOps = s.ValueKB, s.MaxTransactionOps
	if next := &s.NextLimits; announced && next.MaxTransactionOps > 0 {
		store.Next = &settings.NextState{
			WriteRPS: &next.WriteRPS, ValueKB: &next.ValueKB, MaxTransactionOps: &next.MaxTransactionOps,
		}
	}
	deployment.Cloud.RPS, deployment.Cloud.ListLagS = cloudRPS, listLagS
	process := &deployment.Process
	process.Cores, process.MemMB, process.MaxConnections = processCores, processMemoryMB, s.MaxConnections
}

// operators returns the default operators' settings, with the fleet's roles exclusive and
// launches recorded if the scenario demands it.
func (s *Scenario) operators() settings.Operators {
	operators := settings.DefaultOperators()
	if s.ExclusiveRoles {
		operators.Duties = settings.Duties{Exclusive: leadership.FleetRoleNames(), RecordRentals: true}
	}
	return operators
}
