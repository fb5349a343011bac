package provisioning

import (
	"slices"

	"spurmoor/internal/cluster"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// Why a machine is scaled in by what the cloud's list says, as the log gives it.
const (
	reasonFailed   = "failed"
	reasonUnlisted = "no longer listed"
)

const (
	// MaxFindings is how many findings of one kind a message to another controller holds.
	MaxFindings = 100
	// findingDuration is how long a finding is told to the other controllers: several
	// heartbeats, for one may be lost.
	findingDuration = 5 * micros.Second
	// orphanGraceS and unlistedGraceS are how many seconds beyond listLags times its lag
	// the list is given to show a record's machine, or an instance again.
	orphanGraceS   = 5
	unlistedGraceS = 10
	listLags       = 2
)

// ListFindings is what the controller that sweeps the cloud's list found of machines that
// other controllers lead. They are told for a few seconds. Nothing rests on it, for each
// judges by what it knows itself, and a machine's missed heartbeats are noticed without
// the list.
type ListFindings struct {
	Failed   []ListFinding
	Unlisted []ListFinding
	Orphans  []ListFinding
}

// ListFinding is something found in the cloud's list at a time.
type ListFinding struct {
	instance peer.Orphan // only its name, of a machine that has a record
	foundAt  micros.Micros
}

// addFinding notes something for the other controllers, unless it is known or the list is
// full.
func (l *InstanceList) addFinding(list *[]ListFinding, instance peer.Orphan) {
	known := slices.ContainsFunc(*list, func(finding ListFinding) bool {
		return finding.instance.Machine == instance.Machine
	})
	if !known && len(*list) < MaxFindings {
		*list = append(*list, ListFinding{instance: instance, foundAt: l.Now})
	}
}

// CurrentFindings drops what was told for long enough and gives the rest.
func (l *InstanceList) CurrentFindings() ListFindings {
	expired := func(finding ListFinding) bool { return l.Now > finding.foundAt+findingDuration }
	l.findings.Failed = slices.DeleteFunc(l.findings.Failed, expired)
	l.findings.Unlisted = slices.DeleteFunc(l.findings.Unlisted, expired)
	l.findings.Orphans = slices.DeleteFunc(l.findings.Orphans, expired)
	return l.findings
}

// FindingNames gives the names of the machines found.
func FindingNames(list []ListFinding) []string {
	var names []string
	for _, finding := range list {
		names = append(names, finding.instance.Machine)
	}
	return names
}

// FindingOrphans gives the orphans found.
func FindingOrphans(list []ListFinding) []peer.Orphan {
	var orphans []peer.Orphan
	for _, finding := range list {
		orphans = append(orphans, finding.instance)
	}
	return orphans
}

// handleFailedInstance acts on a machine that the cloud lists as failed.
func (l *InstanceList) handleFailedInstance(machine *cluster.Machine) {
	if l.cluster.LedPartition(machine) != nil {
		l.registry.ScaleIn(machine, reasonFailed)
		return
	}
	l.addFinding(&l.findings.Failed, peer.Orphan{Machine: machine.Name})
}

// handleUnlistedInstance acts on an instance that the cloud listed once and does not list
// any more. A machine of ours is scaled in only if it sent nothing for as long either.
func (l *InstanceList) handleUnlistedInstance(name string) {
	machine := l.cluster.Machines[name]
	if machine == nil || machine.Record.MarkedForDeletion {
		return
	}
	if l.cluster.LedPartition(machine) == nil {
		l.addFinding(&l.findings.Unlisted, peer.Orphan{Machine: name})
		return
	}
	if l.Now > machine.LastSeenAt+l.unlistedTimeout() {
		l.registry.ScaleIn(machine, reasonUnlisted)
	}
}

// unlistedTimeout is how long a machine must be absent from the list, and silent, to be
// taken for gone.
func (l *InstanceList) unlistedTimeout() micros.Micros {
	return micros.FromSeconds(listLags*l.Settings.Deployment.Cloud.ListLagS + unlistedGraceS)
}

// orphanTimeout is how long an instance may be listed without a record before it is taken
// for an orphan.
func (l *InstanceList) orphanTimeout() micros.Micros {
	return micros.FromSeconds(listLags*l.Settings.Deployment.Cloud.ListLagS + orphanGraceS)
}

// ApplyPeerFindings acts on what another controller found in the list, where it concerns
// machines of ours or orphans.
func (l *InstanceList) ApplyPeerFindings(heartbeat *peer.Heartbeat) {
	for _, name := range heartbeat.FailedMachines {
		if machine := l.ledMachine(name); machine != nil {
			l.registry.ScaleIn(machine, reasonFailed)
		}
	}
	for _, name := range heartbeat.UnlistedMachines {
		if l.ledMachine(name) != nil {
			l.handleUnlistedInstance(name)
		}
	}
	for _, orphan := range heartbeat.Orphans {
		if l.cluster.Machines[orphan.Machine] == nil {
			l.AdoptOrphan(orphan, sourceListed)
		}
	}
}

// ledMachine gives a machine of a partition that we lead; nil: there is none of this name.
func (l *InstanceList) ledMachine(name string) *cluster.Machine {
	machine := l.cluster.Machines[name]
	if machine == nil || l.cluster.LedPartition(machine) == nil {
		return nil
	}
	return machine
}
