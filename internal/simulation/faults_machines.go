package simulation

import "spurmoor/internal/micros"

// interruptionNotice is how long before the cloud takes a spot machine back it says so.
const interruptionNotice = 8 * micros.Second

// injectMachineFaults injects a fault of machines, of one after the other.
func (s *Simulation) injectMachineFaults(fault injection) {
	for range max(1, fault.Count) {
		busiest := s.busiestWorker(fault.Kind == FaultInterruption, fault.Zone)
		if busiest == nil {
			return
		}
		s.logf("%s %s", fault.Kind, busiest.name)
		s.injectMachineFault(fault.Kind, busiest, fault.lasts)
	}
}

// injectMachineFault injects a fault of a machine.
func (s *Simulation) injectMachineFault(kind FaultKind, target *worker, lasts micros.Micros) {
	switch kind {
	case FaultMachineDeath:
		target.terminate()
	case FaultMachineHang:
		target.hung = true
		s.after(lasts, target.resume)
	case FaultMachineInboundCut:
		target.inboundCut = true
		s.after(lasts, func() { target.inboundCut = false })
	case FaultMachineOutboundCut:
		target.outboundCut = true
		s.after(lasts, func() { target.outboundCut = false })
	case FaultMachineRestart:
		target.restart()
	case FaultMachineFailing:
		target.failing = true
		s.after(lasts, func() { target.failing = false })
	case FaultInterruption:
		target.interruptionAt = s.now + interruptionNotice
		target.hastenHeartbeat()
		s.after(interruptionNotice, target.terminate)
	default:
		s.checker.violated(invariantScenario, "not a fault of machines: "+string(kind))
	}
}

// busiestWorker returns the healthy machine with most tasks, of a zone if one is named; nil:
// none.
func (s *Simulation) busiestWorker(spotOnly bool, zone string) *worker {
	var busiest *worker
	for _, candidate := range s.workers {
		if !candidate.healthy() || spotOnly && !candidate.spot || zone != "" && candidate.zone != zone {
			continue
		}
		if busiest == nil || len(candidate.tasks) > len(busiest.tasks) {
			busiest = candidate
		}
	}
	return busiest
}
