package provisioning

import (
	"slices"

	"spurmoor/internal/cluster"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// What the controller that sweeps the cloud's list finds concerns others' machines
// too. It tells them for a few seconds; nothing rests on it, for each judges by what
// it knows itself, and a machine's silence is noticed without the list.

// listFindings is what was found in the list and is told to the others.
type listFindings struct {
	Failed   []listFinding
	Unlisted []listFinding
	Orphans  []listFinding
}

// listFinding is something found in the cloud's list at a time.
type listFinding struct {
	instance peer.Orphan // only its name, of a machine that is known
	foundAt  micros.Micros
}

// How long a finding is told, how many of a sort one message holds, and the graces in
// seconds beyond twice the lag of the list.
const (
	findingDuration = 5 * micros.Second
	MaxFindings     = 100 // of a sort, in one message
	orphanGraceS    = 5   // beyond twice the lag of the list
	unlistGraceS    = 10
)

// addFinding notes something for the others.
func (i *InstanceList) addFinding(list *[]listFinding, stray peer.Orphan) {
	known := slices.ContainsFunc(*list, func(f listFinding) bool { return f.instance.Machine == stray.Machine })
	if !known && len(*list) < MaxFindings {
		*list = append(*list, listFinding{instance: stray, foundAt: i.Now})
	}
}

// CurrentFindings drops what was told for long enough and gives the rest.
func (i *InstanceList) CurrentFindings() listFindings {
	for _, list := range []*[]listFinding{&i.findings.Failed, &i.findings.Unlisted, &i.findings.Orphans} {
		*list = slices.DeleteFunc(*list, func(f listFinding) bool { return i.Now > f.foundAt+findingDuration })
	}
	return i.findings
}

// FindingNames gives the names of the machines found.
func FindingNames(list []listFinding) []string {
	var names []string
	for _, f := range list {
		names = append(names, f.instance.Machine)
	}
	return names
}

// FindingOrphans gives the machines found of which no record is known.
func FindingOrphans(list []listFinding) []peer.Orphan {
	var strays []peer.Orphan
	for _, f := range list {
		strays = append(strays, f.instance)
	}
	return strays
}

// handleFailedInstance acts on a machine that the cloud lists as failed.
func (i *InstanceList) handleFailedInstance(m *cluster.Machine) {
	if i.cluster.LedPartition(m) != nil {
		i.registry.ScaleIn(m, "failed")
		return
	}
	i.addFinding(&i.findings.Failed, peer.Orphan{Machine: m.Name})
}

// handleUnlistedInstance acts on a machine that the cloud listed once and does not any more.
func (i *InstanceList) handleUnlistedInstance(name string) {
	m := i.cluster.Machines[name]
	if m == nil || m.Record.Condemned {
		return
	}
	if i.cluster.LedPartition(m) == nil {
		i.addFinding(&i.findings.Unlisted, peer.Orphan{Machine: name})
		return
	}
	if i.Now > m.LastSeenAt+i.unlistedTimeout() {
		i.registry.ScaleIn(m, "no longer listed")
	}
}

// unlistedTimeout is how long a machine must be absent from the list, and silent, to be
// taken for gone.
func (i *InstanceList) unlistedTimeout() micros.Micros {
	return micros.FromSeconds(2*i.Settings.Deployment.Cloud.ListLagS + unlistGraceS)
}

// handleOrphan acts on a machine in the list of which no record is known.
func (i *InstanceList) handleOrphan(cm api.Instance) {
	stray := peer.Orphan{Machine: cm.ID, Type: cm.Type, Zone: cm.Zone, Spot: cm.Spot}
	if !i.AdoptOrphan(stray, "listed") {
		i.addFinding(&i.findings.Orphans, stray)
	}
}

// ApplyPeerFindings acts on what another controller found in the list.
func (i *InstanceList) ApplyPeerFindings(h *peer.Heartbeat) {
	for _, name := range h.Failed {
		if m := i.cluster.Machines[name]; m != nil && i.cluster.LedPartition(m) != nil {
			i.registry.ScaleIn(m, "failed")
		}
	}
	for _, name := range h.Unlisted {
		if m := i.cluster.Machines[name]; m != nil && i.cluster.LedPartition(m) != nil {
			i.handleUnlistedInstance(name)
		}
	}
	for _, stray := range h.Orphans {
		if i.cluster.Machines[stray.Machine] == nil {
			i.AdoptOrphan(stray, "listed")
		}
	}
}
