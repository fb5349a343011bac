package settings

import "math"

// minTransactionOps is how many changes a transaction must hold: a job's terminal state,
// the deletion of its key, and a log entry.
const minTransactionOps = 3

// A cancellation must leave room for a worker's lease: the lease by a clock that is slow
// by far, and the time that the order and the task's end take.
const (
	minCancelPerLease = 1.01
	minCancelRestS    = 2
)

// validate tells which field of the platform's settings is missing or not valid: the
// first one, as a *FieldError.
func (p *Platform) validate() error {
	return firstError(
		p.validateAddresses(),
		p.Deployment.validateAmounts(),
		p.Deployment.validateLimits(),
		p.Deployment.validateTeams(),
	)
}

// validateAddresses checks names and addresses of this controller, of the others and of
// the services.
func (p *Platform) validateAddresses() error {
	errs := []error{
		present("node_name", p.Node),
		ipv4AddressWithPort("public_addr", p.PublicAddr),
		ipv4AddressWithPort("internal_addr", p.InternalAddr),
		ipv4AddressWithPort("endpoints.cloud", p.Endpoints.Cloud),
		ipv4AddressWithPort("endpoints.state", p.Endpoints.State),
	}
	for _, peer := range p.Peers {
		errs = append(errs,
			present("known.node_name", peer.Name),
			ipv4AddressWithPort("known.addr", peer.Addr))
	}
	for _, peer := range p.Peers {
		errs = append(errs, p.validateOther(peer))
	}
	return firstError(errs...)
}

// validateOther checks that a peer is not this controller.
func (p *Platform) validateOther(peer Peer) error {
	if peer.Name != p.Node {
		return nil
	}
	return invalid("known", peer.Name, "the other controllers", "field known: %q names this controller itself", peer.Name)
}

// validateAmounts checks what must be above 0.
func (d *Facts) validateAmounts() error {
	return firstError(
		positive("facts.workers.report_s", d.Workers.ReportS),
		positive("facts.workers.lease_s", d.Workers.LeaseS),
		positive("facts.workers.gang_wait_s", d.Workers.GangWaitS),
		positive("facts.workers.gang_peer_s", d.Workers.GangPeerS),
		positive("facts.workers.cancel_s", d.Workers.CancelS),
		positive("facts.state.rps", d.Store.RPS),
		positive("facts.state.write_rps", d.Store.WriteRPS),
		positive("facts.state.value_kb", d.Store.ValueKB),
		positive("facts.state.txn_ops", float64(d.Store.MaxTransactionOps)),
		positive("facts.cloud.rps", d.Cloud.RPS),
		positive("facts.cloud.list_lag_s", d.Cloud.ListLagS),
		positive("facts.machine_limits.cores", d.Process.Cores),
		positive("facts.machine_limits.mem_mb", d.Process.MemMB),
		positive("facts.machine_limits.max_connections", float64(d.Process.MaxConnections)),
	)
}

// validateLimits checks the key-value store's limits, now and announced, and what the
// workers' lease leaves of the time that a cancellation has.
func (d *Facts) validateLimits() error {
	return firstError(
		atLeast("facts.state.txn_ops", d.Store.MaxTransactionOps, minTransactionOps),
		d.Store.Next.validate(),
		d.validateCancelTime(),
	)
}

// validate checks the limits that are announced; l is nil where none are.
func (l *NextState) validate() error {
	if l == nil {
		return nil
	}
	return firstError(
		ifGiven("facts.state.next.rps", l.RPS, positive),
		ifGiven("facts.state.next.write_rps", l.WriteRPS, positive),
		ifGiven("facts.state.next.value_kb", l.ValueKB, positive),
		ifGiven("facts.state.next.txn_ops", l.MaxTransactionOps, func(field string, ops int) error {
			return atLeast(field, ops, minTransactionOps)
		}),
	)
}

// validateCancelTime checks that a task can end in time where its worker last heard of it
// just before the cancellation.
func (d *Facts) validateCancelTime() error {
	cancel, lease := d.Workers.CancelS, d.Workers.LeaseS
	if cancel >= lease*minCancelPerLease+minCancelRestS {
		return nil
	}
	return invalid("facts.workers.cancel_s", cancel, "what leaves room after lease_s",
		"field facts.workers.cancel_s: %v leaves no room after lease_s %v", cancel, lease)
}

// validateTeams checks that there are zones and teams, and the teams' amounts.
func (d *Facts) validateTeams() error {
	errs := []error{
		anyGiven("facts.zones", d.Zones),
		anyGiven("facts.teams", d.Teams),
	}
	seen := map[string]bool{}
	for _, team := range d.Teams {
		errs = append(errs, validateTeamName(team.Name, seen), team.validateAmounts())
		seen[team.Name] = true
	}
	return firstError(errs...)
}

// validateTeamName checks that a team has a name that no team before it has.
func validateTeamName(name string, seen map[string]bool) error {
	if name != "" && !seen[name] {
		return nil
	}
	return invalid("facts.teams", name, "a name of its own for each team",
		"field facts.teams: name %q is empty or given twice", name)
}

// validateAmounts checks that no guarantee and no limit is below 0.
func (t Team) validateAmounts() error {
	for _, amount := range []float64{t.GuaranteedCPUs, t.MaxCPUs, t.GuaranteedGPUs, t.MaxGPUs} {
		if amount >= 0 && !math.IsInf(amount, 0) {
			continue
		}
		return invalid("facts.teams", amount, "amounts of 0 or above",
			"field facts.teams: %s has the amount %v", t.Name, amount)
	}
	return nil
}
