package settings

import "fmt"

// Values below which Warnings says that a controller will hardly work.
const (
	warnBelowConnections = 200
	warnBelowMemMB       = 48
	// The answer window should cover a failover, which takes the time to live of a
	// controller's lease and warnBelowWindowMarginS more.
	warnBelowWindowMarginS = 2
)

// Warnings returns a text for each setting that is allowed but so low that the controller
// will hardly work. The controller starts all the same.
func (s *Settings) Warnings() []string {
	var warnings []string
	if s.Deployment.Process.MaxConnections < warnBelowConnections {
		warnings = append(warnings, fmt.Sprintf("facts.machine_limits.max_connections is below %d: "+
			"workers and users will be turned away", warnBelowConnections))
	}
	if s.Deployment.Process.MemMB < warnBelowMemMB {
		warnings = append(warnings, fmt.Sprintf("facts.machine_limits.mem_mb is below %d: "+
			"the process may be ended for its memory", warnBelowMemMB))
	}
	if windowS := s.Deployment.AnswerWindowS(); windowS < s.Operators.HoldTTLS+warnBelowWindowMarginS {
		warnings = append(warnings, fmt.Sprintf("facts.workers.cancel_s leaves %.1f s beside a lease: "+
			"when the state service is away for longer, or a controller ends, workers' tasks end", windowS))
	}
	return warnings
}
