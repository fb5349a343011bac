package provisioning

import (
	"slices"

	"spurmoor/internal/cluster"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// Reasons in the log for scaling in a machine because of the cloud's list.
const (
	reasonFailed   = "failed"
	reasonUnlisted = "no longer listed"
)

const (
	// MaxFindings is the most findings of one kind in a heartbeat to other controllers.
	MaxFindings = 100
	// findingDuration is how long a finding is sent to the other controllers. It spans
	// several heartbeats, as one may be lost.
	findingDuration = 5 * micros.Second
	// orphanGraceS is how many seconds beyond listLagFactor times the lag of the list an
	// instance may be listed without a record, see orphanTimeout.
	orphanGraceS = 5
	// unlistedGraceS is how many seconds beyond listLagFactor times its lag the list may
	// take to show an instance again, see unlistedTimeout.
	unlistedGraceS = 10
	// listLagFactor is how many times the lag of the list both timeouts allow for.
	listLagFactor = 2
)

// ListFindings is what an instance sweeper found in the cloud's list that other controllers
// are to act on: machines whose partitions they lead, and orphans. The findings are sent for
// findingDuration. They may get lost, since missed heartbeats of a machine are noticed without
// the list. Each receiver checks them against its own state: it scales in only machines of
// partitions that it leads, and adopts only orphans without a record.
type ListFindings struct {
	Failed   []ListFinding
	Unlisted []ListFinding
	Orphans  []ListFinding
}

// ListFinding is an instance that was found, and when.
type ListFinding struct {
	instance peer.Orphan // only Machine is set if it has a record
	foundAt  micros.Micros
}

// addFinding adds an instance to findings, unless it is already there or there are
// MaxFindings.
func (l *InstanceList) addFinding(findings *[]ListFinding, instance peer.Orphan) {
	known := slices.ContainsFunc(*findings, func(finding ListFinding) bool {
		return finding.instance.Machine == instance.Machine
	})
	if !known && len(*findings) < MaxFindings {
		*findings = append(*findings, ListFinding{instance: instance, foundAt: l.Now})
	}
}

// CurrentFindings drops the findings that are older than findingDuration and returns the
// others. The caller must not change them.
func (l *InstanceList) CurrentFindings() ListFindings {
	expired := func(finding ListFinding) bool { return l.Now > finding.foundAt+findingDuration }
	l.findings.Failed = slices.DeleteFunc(l.findings.Failed, expired)
	l.findings.Unlisted = slices.DeleteFunc(l.findings.Unlisted, expired)
	l.findings.Orphans = slices.DeleteFunc(l.findings.Orphans, expired)
	return l.findings
}

// FindingNames returns the names of the machines in findings.
func FindingNames(findings []ListFinding) []string {
	var names []string
	for _, finding := range findings {
		names = append(names, finding.instance.Machine)
	}
	return names
}

// FindingOrphans returns the orphans in findings.
func FindingOrphans(findings []ListFinding) []peer.Orphan {
	var orphans []peer.Orphan
	for _, finding := range findings {
		orphans = append(orphans, finding.instance)
	}
	return orphans
}

// handleFailedInstance scales in a machine that the cloud lists as failed, or tells the other
// controllers of it if this one does not lead its partition.
func (l *InstanceList) handleFailedInstance(machine *cluster.Machine) {
	if l.cluster.LedPartition(machine) != nil {
		l.registry.ScaleIn(machine, reasonFailed)
		return
	}
	l.addFinding(&l.findings.Failed, peer.Orphan{Machine: machine.Name})
}

// handleUnlistedInstance acts on an instance that the cloud listed before and no longer
// lists. Its machine is scaled in only if its worker has been silent for unlistedTimeout too.
// If this controller does not lead its partition, the others are told.
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

// unlistedTimeout returns how long a machine must be absent from the list and silent before
// it counts as gone.
func (l *InstanceList) unlistedTimeout() micros.Micros {
	return micros.FromSeconds(listLagFactor*l.Settings.Deployment.Cloud.ListLagS + unlistedGraceS)
}

// orphanTimeout returns how long an instance may be listed without a record before it
// counts as an orphan.
func (l *InstanceList) orphanTimeout() micros.Micros {
	return micros.FromSeconds(listLagFactor*l.Settings.Deployment.Cloud.ListLagS + orphanGraceS)
}

// ApplyPeerFindings acts on what another controller found in the cloud's list: on machines of
// partitions that this controller leads, and on orphans.
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

// ledMachine returns the machine with the name, or nil if there is none or this controller
// does not lead its partition.
func (l *InstanceList) ledMachine(name string) *cluster.Machine {
	machine := l.cluster.Machines[name]
	if machine == nil || l.cluster.LedPartition(machine) == nil {
		return nil
	}
	return machine
}
