package settings

import "fmt"

// Below these a controller hardly works.
const (
	fewConnections = 200
	fewMemMB       = 48
	// fewWindowRestS beside the time to live of a controller's lease: a failover needs both.
	fewWindowRestS = 2
)

// Warnings names what will hardly work though it is no error: the controller
// starts all the same and serves as far as it can.
func (s *Settings) Warnings() []string {
	var warnings []string
	if s.Deployment.Process.MaxConnections < fewConnections {
		warnings = append(warnings, fmt.Sprintf("facts.machine_limits.max_connections is below %d: "+
			"workers and users will be turned away", fewConnections))
	}
	if s.Deployment.Process.MemMB < fewMemMB {
		warnings = append(warnings, fmt.Sprintf("facts.machine_limits.mem_mb is below %d: "+
			"the process may be ended for its memory", fewMemMB))
	}
	if window := s.Deployment.AnswerWindowS(); window < s.Operators.HoldTTLS+fewWindowRestS {
		warnings = append(warnings, fmt.Sprintf("facts.workers.cancel_s leaves %.1f s beside a lease: "+
			"when the state service is away for longer, or a controller ends, workers' tasks end", window))
	}
	return warnings
}
