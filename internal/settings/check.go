package settings

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
)

// minTxnOps is how many changes a transaction must hold: a job's final state, the
// deletion of its key, and a log entry.
const minTxnOps = 3

// check tells which field of the platform's settings is missing or not valid.
func (s *Settings) check() error {
	for _, part := range []func() error{s.checkAddresses, s.checkAmounts, s.checkLimits, s.checkTeams} {
		if err := part(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	type field struct{ name, value string }
	fields := []field{
		{"node_name", s.Node}, {"public_addr", s.PublicAddr}, {"internal_addr", s.InternalAddr},
		{"endpoints.cloud", s.Endpoints.Cloud}, {"endpoints.state", s.Endpoints.State},
	}
	for _, p := range s.Peers {
		fields = append(fields, field{"known.node_name", p.Name}, field{"known.addr", p.Addr})
	}
	for _, f := range fields {
		if f.value == "" {
			return fmt.Errorf("field %s is missing", f.name)
		}
		if !strings.HasSuffix(f.name, "addr") && !strings.HasPrefix(f.name, "endpoints") {
			continue
		}
		if a, err := netip.ParseAddrPort(f.value); err != nil || !a.Addr().Is4() {
			return fmt.Errorf("field %s: %q is no IPv4 address with a port", f.name, f.value)
		}
	}
	for _, p := range s.Peers {
		if p.Name == s.Node {
			return fmt.Errorf("field known: %q names this controller itself", p.Name)
		}
	}
	return nil
}

// amount is a number of the settings with the field that it stands in.
type amount struct {
	field string
	value float64
}

// positive tells of the first amount that is not above 0 and finite.
func positive(amounts []amount) error {
	for _, a := range amounts {
		if !(a.value > 0) || math.IsInf(a.value, 0) {
			return fmt.Errorf("field %s: must be above 0, is %v", a.field, a.value)
		}
	}
	return nil
}

func (s *Settings) checkAmounts() error {
	f := &s.Deployment
	return positive([]amount{
		{"facts.workers.report_s", f.Workers.ReportS}, {"facts.workers.lease_s", f.Workers.LeaseS},
		{"facts.workers.gang_wait_s", f.Workers.GangWaitS}, {"facts.workers.gang_peer_s", f.Workers.GangPeerS},
		{"facts.workers.cancel_s", f.Workers.CancelS}, {"facts.state.rps", f.Store.RPS},
		{"facts.state.write_rps", f.Store.WriteRPS}, {"facts.state.value_kb", f.Store.ValueKB},
		{"facts.state.txn_ops", float64(f.Store.MaxTransactionOps)}, {"facts.cloud.rps", f.Cloud.RPS},
		{"facts.cloud.list_lag_s", f.Cloud.ListLagS}, {"facts.machine_limits.cores", f.Process.Cores},
		{"facts.machine_limits.mem_mb", f.Process.MemMB},
		{"facts.machine_limits.max_connections", float64(f.Process.MaxConnections)},
	})
}

// checkLimits checks the state service's limits, now and announced, and what the
// workers' lease leaves of the time that a cancellation has.
func (s *Settings) checkLimits() error {
	f := &s.Deployment
	if f.Store.MaxTransactionOps < minTxnOps {
		return fmt.Errorf("field facts.state.txn_ops: must be at least %d, is %d", minTxnOps, f.Store.MaxTransactionOps)
	}
	if next := f.Store.Next; next != nil {
		var given []amount
		add := func(field string, value *float64) {
			if value != nil {
				given = append(given, amount{"facts.state.next." + field, *value})
			}
		}
		add("rps", next.RPS)
		add("write_rps", next.WriteRPS)
		add("value_kb", next.ValueKB)
		if err := positive(given); err != nil {
			return err
		}
		if next.MaxTransactionOps != nil && *next.MaxTransactionOps < minTxnOps {
			return fmt.Errorf("field facts.state.next.txn_ops: must be at least %d, is %d", minTxnOps, *next.MaxTransactionOps)
		}
	}
	if f.Workers.CancelS < f.Workers.LeaseS*1.01+2 {
		return fmt.Errorf("field facts.workers.cancel_s: %v leaves no room after lease_s %v", f.Workers.CancelS, f.Workers.LeaseS)
	}
	return nil
}

func (s *Settings) checkTeams() error {
	f := &s.Deployment
	if len(f.Zones) == 0 {
		return fmt.Errorf("field facts.zones is missing")
	}
	if len(f.Teams) == 0 {
		return fmt.Errorf("field facts.teams is missing")
	}
	seen := map[string]bool{}
	for _, t := range f.Teams {
		if t.Name == "" || seen[t.Name] {
			return fmt.Errorf("field facts.teams: name %q is empty or given twice", t.Name)
		}
		seen[t.Name] = true
		for _, v := range []float64{t.GuaranteedCPUs, t.MaxCPUs, t.GuaranteedGPUs, t.MaxGPUs} {
			if !(v >= 0) || math.IsInf(v, 0) {
				return fmt.Errorf("field facts.teams: %s has the amount %v", t.Name, v)
			}
		}
	}
	return nil
}
