package core

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// What the controller that sweeps the cloud's list finds concerns others' machines
// too. It tells them for a few seconds; nothing rests on it, for each judges by what
// it knows itself, and a machine's silence is noticed without the list.

// listFindings is what was found in the list and is told to the others.
type listFindings struct {
	failed   []listFinding
	unlisted []listFinding
	orphans  []listFinding
}

// listFinding is something found in the cloud's list at a time.
type listFinding struct {
	instance peer.Orphan // only its name, of a machine that is known
	foundAt  micros.Micros
}

const (
	findingDuration = 5 * micros.Second
	maxFindings     = 100 // of a sort, in one message
	orphanGraceS    = 5   // beyond twice the lag of the list
	unlistGraceS    = 10
)

// addFinding notes something for the others.
func (i *instanceList) addFinding(list *[]listFinding, stray peer.Orphan) {
	known := slices.ContainsFunc(*list, func(f listFinding) bool { return f.instance.Machine == stray.Machine })
	if !known && len(*list) < maxFindings {
		*list = append(*list, listFinding{instance: stray, foundAt: i.now})
	}
}

// currentFindings drops what was told for long enough and gives the rest.
func (i *instanceList) currentFindings() listFindings {
	for _, list := range []*[]listFinding{&i.findings.failed, &i.findings.unlisted, &i.findings.orphans} {
		*list = slices.DeleteFunc(*list, func(f listFinding) bool { return i.now > f.foundAt+findingDuration })
	}
	return i.findings
}

func findingNames(list []listFinding) []string {
	var names []string
	for _, f := range list {
		names = append(names, f.instance.Machine)
	}
	return names
}

func findingOrphans(list []listFinding) []peer.Orphan {
	var strays []peer.Orphan
	for _, f := range list {
		strays = append(strays, f.instance)
	}
	return strays
}

// handleFailedInstance acts on a machine that the cloud lists as failed.
func (i *instanceList) handleFailedInstance(m *machine) {
	if i.cluster.ledPartition(m) != nil {
		i.registry.scaleIn(m, "failed")
		return
	}
	i.addFinding(&i.findings.failed, peer.Orphan{Machine: m.name})
}

// handleUnlistedInstance acts on a machine that the cloud listed once and does not any more.
func (i *instanceList) handleUnlistedInstance(name string) {
	m := i.cluster.machines[name]
	if m == nil || m.record.Condemned {
		return
	}
	if i.cluster.ledPartition(m) == nil {
		i.addFinding(&i.findings.unlisted, peer.Orphan{Machine: name})
		return
	}
	if i.now > m.lastSeenAt+i.unlistedTimeout() {
		i.registry.scaleIn(m, "no longer listed")
	}
}

// unlistedTimeout is how long a machine must be absent from the list, and silent, to be
// taken for gone.
func (i *instanceList) unlistedTimeout() micros.Micros {
	return micros.FromSeconds(2*i.settings.Deployment.Cloud.ListLagS + unlistGraceS)
}

// handleOrphan acts on a machine in the list of which no record is known.
func (i *instanceList) handleOrphan(cm api.Instance) {
	stray := peer.Orphan{Machine: cm.ID, Type: cm.Type, Zone: cm.Zone, Spot: cm.Spot}
	if !i.adoptOrphan(stray, "listed") {
		i.addFinding(&i.findings.orphans, stray)
	}
}

// applyPeerFindings acts on what another controller found in the list.
func (i *instanceList) applyPeerFindings(h *peer.Heartbeat) {
	for _, name := range h.Failed {
		if m := i.cluster.machines[name]; m != nil && i.cluster.ledPartition(m) != nil {
			i.registry.scaleIn(m, "failed")
		}
	}
	for _, name := range h.Unlisted {
		if m := i.cluster.machines[name]; m != nil && i.cluster.ledPartition(m) != nil {
			i.handleUnlistedInstance(name)
		}
	}
	for _, stray := range h.Orphans {
		if i.cluster.machines[stray.Machine] == nil {
			i.adoptOrphan(stray, "listed")
		}
	}
}
