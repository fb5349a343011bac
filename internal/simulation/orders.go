package simulation

import (
	"net/http"
	"slices"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

const (
	// commandMaxAge is how long after they were decided commands may leave a process, as in
	// internal/server: a job may have been cancelled elsewhere since.
	commandMaxAge = micros.Second
	// rolesAgreedWithin is how long after the start controllers may take to learn that all
	// of them know the records of roles.
	rolesAgreedWithin = 10 * micros.Second
)

// receivedOrder is an order as it arrived at a stand-in.
type receivedOrder struct {
	at         micros.Micros
	sender     string
	role       string
	term       leadership.Term // zero: under no term
	action     leadership.Action
	machine    string // that it commands
	request    string // name of a launch request
	tookEffect bool   // else it was refused, or changed nothing
}

// noteOrder notes an order, and checks that what takes effect under a role does so under
// one term at a time: writes altogether, commands at each worker. A deletion is harmless
// under any term, for it was committed before; so is a launch that is recorded as open,
// for whoever leads the partition gets its machines.
func (s *Simulation) noteOrder(order receivedOrder) {
	order.at = s.now
	if order.action == leadership.Launch {
		s.checkLaunchRecorded(order)
	}
	s.orders = append(s.orders, order)
	if !order.tookEffect || order.term == 0 || order.action == leadership.Delete {
		return
	}
	if order.action == leadership.Launch {
		if !s.scenario.ExclusiveRoles || s.recordedAsOpen(order) {
			return
		}
		if s.refusedBefore(order) {
			s.countOccurrence(occurredLateLaunch) // its machines are adopted as orphans
			return
		}
	}
	key := order.role + " " + order.machine
	if last := s.highestTerms[key]; order.term < last {
		s.checker.violatedf(invariantStaleOrder, "%s of %s under term %d of %s took effect after one under term %d",
			order.action, order.sender, order.term, key, last)
	}
	s.highestTerms[key] = max(s.highestTerms[key], order.term)
}

// refusedBefore reports whether a launch of the same name changed nothing at an earlier time.
func (s *Simulation) refusedBefore(order receivedOrder) bool {
	return slices.ContainsFunc(s.orders, func(earlier receivedOrder) bool {
		return earlier.request == order.request && !earlier.tookEffect
	})
}

// checkLaunchRecorded checks that a launch is recorded as open when it arrives first.
func (s *Simulation) checkLaunchRecorded(order receivedOrder) {
	if !s.scenario.ExclusiveRoles || s.now <= s.startedAt+rolesAgreedWithin {
		return
	}
	repeated := slices.ContainsFunc(s.orders, func(earlier receivedOrder) bool { return earlier.request == order.request })
	if !repeated && !s.recordedAsOpen(order) {
		s.checker.violatedf(invariantUnrecordedLaunch, "%s of %s under term %d of %s",
			order.request, order.sender, order.term, order.role)
	}
}

// recordedAsOpen reports whether a launch request is recorded as open, under whichever term.
func (s *Simulation) recordedAsOpen(order receivedOrder) bool {
	partition, _, _ := strings.Cut(strings.TrimPrefix(order.request, "p"), "-")
	record := s.store.keys[records.RequestsPrefix+partition]
	return record != nil && strings.Contains(string(record.data), quoted(order.request))
}

// noteOrderUnder notes an order that came with its grant.
func (s *Simulation) noteOrderUnder(sender *node, grant leadership.Grant, machine string, tookEffect bool) {
	s.noteOrder(receivedOrder{
		sender: sender.name, role: grant.RoleName(), term: grant.Term(), action: grant.Action(),
		machine: machine, tookEffect: tookEffect,
	})
}

// sendOrder lets an order leave a controller's process: after it has waited for a
// connection, and not while the process is paused. What its grant no longer permits by
// then is refused, as by the gate of the program.
func (s *Simulation) sendOrder(
	node *node, grant leadership.Grant, action leadership.Action, send, refuse func(),
) {
	incarnation, decidedAt := node.incarnation, s.now
	passGate := func() {
		if node.incarnation != incarnation {
			return
		}
		if action == leadership.Command && s.now > decidedAt+commandMaxAge {
			refuse()
			return
		}
		reason := grant.Check(action, node.localTime(s.now))
		if reason == "" {
			send()
			return
		}
		s.countOccurrence(occurredGateRefusal)
		refuse()
		s.step(node, message.OrderRefused{Role: grant.RoleName(), Action: action, Reason: reason})
	}
	if s.now >= node.sendsBlockedUntil && !node.paused {
		passGate()
		return
	}
	s.after(max(0, node.sendsBlockedUntil-s.now), func() { node.whenRunning(passGate) })
}

// gateCommands lets the commands in an answer to a heartbeat pass, if their grant still
// permits it; else the heartbeat is answered with 503. Other answers pass unchanged.
func (s *Simulation) gateCommands(node *node, answer message.Answer) message.Answer {
	order, ok := answer.Body.(leadership.Order[api.HeartbeatResponse])
	if !ok {
		return answer
	}
	if reason := order.Grant().Check(leadership.Command, node.localTime(s.now)); reason != "" {
		s.countOccurrence(occurredGateRefusal)
		return message.Answer{RequestID: answer.RequestID, Status: http.StatusServiceUnavailable}
	}
	answer.Body = order.Body()
	s.checker.checkCommands(node, order.Body().Commands)
	return answer
}
