package simulation

import "spurmoor/internal/micros"

// interruptionNotice is the time from the notice of an interruption until the cloud
// terminates the spot machine.
const interruptionNotice = 8 * micros.Second

// injectMachineFaults injects a fault of machines into one machine after the other, as many
// as the fault's count. It stops when no healthy machine is left.
func (s *Simulation) injectMachineFaults(fault injection) {
	kind, _ := fault.Kind.split()
	for range max(1, fault.Count) {
		busiest := s.busiestWorker(kind == FaultInterruption, fault.Zone)
		if busiest == nil {
			return
		}
		s.logf("%s %s", fault.Kind, busiest.name)
		s.injectMachineFault(kind, busiest, fault.duration)
		if fault.argument == modeLate {
			busiest.lateCommands = fault.probabilistic()
		}
	}
}

// injectMachineFault injects a fault of a kind into one machine for a time.
func (s *Simulation) injectMachineFault(kind FaultKind, target *worker, duration micros.Micros) {
	switch kind {
	case FaultMachineTermination:
		target.terminate()
	case FaultMachineHang:
		target.hung = true
		s.after(duration, target.resume)
	case FaultMachineInboundCut:
		target.inboundCut = true
		s.after(duration, func() { target.inboundCut = false })
	case FaultMachineOutboundCut:
		target.outboundCut = true
		s.after(duration, func() { target.outboundCut = false })
	case FaultMachineRestart:
		target.restart()
	case FaultMachineFailing:
		target.failing = true
		s.after(duration, func() { target.failing = false })
	case FaultInterruption:
		target.interruptionAt = s.now + interruptionNotice
		target.expediteHeartbeat()
		s.after(interruptionNotice, target.terminate)
	default:
		s.checker.report(invariantScenario, "not a fault of machines: "+string(kind))
	}
}

// busiestWorker returns the healthy machine with most tasks, or nil if there is none. It
// considers only machines of the zone unless that is empty.
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
