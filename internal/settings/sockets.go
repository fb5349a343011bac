package settings

import "fmt"

// Sockets deals a process's sockets out among its uses, each with room of its
// own, so that none takes the last one from another: a lease is renewed and
// the balancer answered however many workers there are.
type Sockets struct {
	Public         int // users, health checks and workers' reports
	Crowded        int // open public connections beyond which a worker's is closed once answered
	Internal       int // the other controllers' messages
	DirectCommands int // direct commands to workers, closed once answered
	Peers          int // to each other controller
	Store          int // requests to the state service
	Lease          int // the same, for lease renewals and the reads that users wait for
	Cloud          int
}

// sockets deals max_connections out. Two are the listeners', and a reserve is
// left for connections that are being closed.
func (s *Settings) sockets() Sockets {
	most := s.Deployment.Process.MaxConnections
	k := Sockets{Internal: max(8, 4*len(s.Peers)), DirectCommands: min(256, max(8, most/16)), Peers: 2,
		Store: min(64, max(8, most/32)), Lease: 4, Cloud: 4}
	rest := 2 + k.Internal + k.DirectCommands + k.Peers*len(s.Peers) + k.Store + k.Lease + k.Cloud
	k.Public = max(16, most-rest-most/32)
	k.Crowded = k.Public * 4 / 5
	return k
}

// Warnings names what will hardly work though it is no error: the controller
// starts all the same and serves as far as it can.
func (s *Settings) Warnings() []string {
	var list []string
	if n := s.Deployment.Process.MaxConnections; n < 200 {
		list = append(list, "facts.machine_limits.max_connections is below 200: workers and users will be turned away")
	}
	if s.Deployment.Process.MemMB < 48 {
		list = append(list, "facts.machine_limits.mem_mb is below 48: the process may be ended for its memory")
	}
	if h := s.Deployment.AnswerWindowS(); h < s.Operators.LeaseTTLS+2 {
		list = append(list, fmt.Sprintf("facts.workers.cancel_s leaves %.1f s beside a lease: when the state service is away for longer, or a controller ends, workers' tasks end", h))
	}
	return list
}
