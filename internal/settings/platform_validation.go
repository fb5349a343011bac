package settings

import "math"

// minTransactionOps is the least number of changes that the store must admit in a
// transaction: one writes a job's terminal state, deletes the job's key and adds a log
// entry.
const minTransactionOps = 3

// cancel_s must be at least minCancelLeaseFactor times a worker's lease plus
// minCancelMarginS. The factor allows for a worker's clock that runs much too slow, the
// margin for the time that the order and the end of the task take.
const (
	minCancelLeaseFactor = 1.01
	minCancelMarginS     = 2
)

// validate returns a *FieldError for the first field that is missing or not valid.
func (p *Platform) validate() error {
	return firstError(
		p.validateAddresses(),
		p.Deployment.validatePositive(),
		p.Deployment.validateLimits(),
		p.Deployment.validateZonesAndTeams(),
	)
}

// validateAddresses checks the names and addresses of this controller and its peers, and
// the addresses of the services.
func (p *Platform) validateAddresses() error {
	errs := []error{
		requiredText("node_name", p.Node),
		ipv4AddressWithPort("public_addr", p.PublicAddr),
		ipv4AddressWithPort("internal_addr", p.InternalAddr),
		ipv4AddressWithPort("endpoints.cloud", p.Endpoints.Cloud),
		ipv4AddressWithPort("endpoints.state", p.Endpoints.State),
	}
	for _, peer := range p.Peers {
		errs = append(errs,
			requiredText("known.node_name", peer.Name),
			ipv4AddressWithPort("known.addr", peer.Addr))
	}
	for _, peer := range p.Peers {
		errs = append(errs, p.validatePeer(peer))
	}
	return firstError(errs...)
}

// validatePeer checks that a peer is not this controller.
func (p *Platform) validatePeer(peer Peer) error {
	if peer.Name != p.Node {
		return nil
	}
	return newFieldError("known", peer.Name, "the other controllers", "field known: %q names this controller itself", peer.Name)
}

// validatePositive checks the amounts that must be above 0.
func (f *Facts) validatePositive() error {
	return firstError(
		positive("facts.workers.report_s", f.Workers.ReportS),
		positive("facts.workers.lease_s", f.Workers.LeaseS),
		positive("facts.workers.gang_wait_s", f.Workers.GangWaitS),
		positive("facts.workers.gang_peer_s", f.Workers.GangPeerS),
		positive("facts.workers.cancel_s", f.Workers.CancelS),
		positive("facts.state.rps", f.Store.RPS),
		positive("facts.state.write_rps", f.Store.WriteRPS),
		positive("facts.state.value_kb", f.Store.ValueKB),
		positive("facts.state.txn_ops", float64(f.Store.MaxTransactionOps)),
		positive("facts.cloud.rps", f.Cloud.RPS),
		positive("facts.cloud.list_lag_s", f.Cloud.ListLagS),
		positive("facts.machine_limits.cores", f.Process.Cores),
		positive("facts.machine_limits.mem_mb", f.Process.MemMB),
		positive("facts.machine_limits.max_connections", float64(f.Process.MaxConnections)),
	)
}

// validateLimits checks the key-value store's limits, current and announced, and that
// cancel_s is long enough for the workers' lease.
func (f *Facts) validateLimits() error {
	return firstError(
		atLeast("facts.state.txn_ops", f.Store.MaxTransactionOps, minTransactionOps),
		f.Store.Next.validate(),
		f.validateCancelTime(),
	)
}

// validate checks the announced limits. A nil receiver means that none are announced.
func (n *NextState) validate() error {
	if n == nil {
		return nil
	}
	return firstError(
		ifSet("facts.state.next.rps", n.RPS, positive),
		ifSet("facts.state.next.write_rps", n.WriteRPS, positive),
		ifSet("facts.state.next.value_kb", n.ValueKB, positive),
		ifSet("facts.state.next.txn_ops", n.MaxTransactionOps, func(field string, ops int) error {
			return atLeast(field, ops, minTransactionOps)
		}),
	)
}

// validateCancelTime checks that a task can end in time even if the lease of its worker
// was renewed just before the job was cancelled.
func (f *Facts) validateCancelTime() error {
	cancelS, leaseS := f.Workers.CancelS, f.Workers.LeaseS
	if cancelS >= leaseS*minCancelLeaseFactor+minCancelMarginS {
		return nil
	}
	return newFieldError("facts.workers.cancel_s", cancelS, "what leaves room after lease_s",
		"field facts.workers.cancel_s: %v leaves no room after lease_s %v", cancelS, leaseS)
}

// validateZonesAndTeams checks that there are zones and teams, and checks each team.
func (f *Facts) validateZonesAndTeams() error {
	errs := []error{
		notEmpty("facts.zones", f.Zones),
		notEmpty("facts.teams", f.Teams),
	}
	seen := map[string]bool{}
	for _, team := range f.Teams {
		errs = append(errs, validateTeamName(team.Name, seen), team.validateAmounts())
		seen[team.Name] = true
	}
	return firstError(errs...)
}

// validateTeamName checks that a team's name is not empty and not in seen.
func validateTeamName(name string, seen map[string]bool) error {
	if name != "" && !seen[name] {
		return nil
	}
	return newFieldError("facts.teams", name, "a name of its own for each team",
		"field facts.teams: name %q is empty or given twice", name)
}

// validateAmounts checks that guarantees and limits are finite and not below 0.
func (t Team) validateAmounts() error {
	for _, amount := range []float64{t.GuaranteedCPUs, t.MaxCPUs, t.GuaranteedGPUs, t.MaxGPUs} {
		if amount >= 0 && !math.IsInf(amount, 0) {
			continue
		}
		return newFieldError("facts.teams", amount, "amounts of 0 or above",
			"field facts.teams: %s has the amount %v", t.Name, amount)
	}
	return nil
}
