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
	// commandMaxAge is the longest time between the decision on commands and their sending, as
	// in internal/server. Older ones are not sent, as another controller may have cancelled
	// the job since.
	commandMaxAge = micros.Second
	// roleRecordsAgreementTime is how long after the start controllers may take to learn that
	// all of them know the records of roles.
	roleRecordsAgreementTime = 10 * micros.Second
)

// receivedOrder is an order that arrived at a simulated service or worker.
type receivedOrder struct {
	at         micros.Micros
	sender     string
	role       string
	term       leadership.Term // zero: without a term
	action     leadership.Action
	machine    string // the machine that commands are for
	request    string // name of the launch request
	tookEffect bool   // false: refused, or without a change
}

// recordOrder records an order, and checks that no order of a role takes effect under an older
// term than one that took effect before. Commands are compared with the commands at the same
// worker, and writes and launches with each other. A deletion is harmless under any term, as its
// decision was committed before. So is a launch that is recorded as open, as the partition's
// current leader gets its machines. Without ExclusiveRoles, launches are not checked.
func (s *Simulation) recordOrder(order receivedOrder) {
	order.at = s.now
	if order.action == leadership.ActionLaunch {
		s.checkLaunchRecorded(order)
	}
	s.orders = append(s.orders, order)
	if !order.tookEffect || order.term == 0 || order.action == leadership.ActionDelete {
		return
	}
	if order.action == leadership.ActionLaunch {
		if !s.scenario.ExclusiveRoles || s.recordedAsOpen(order) {
			return
		}
		if s.hadNoEffectBefore(order) {
			s.countOccurrence(occurredLateLaunch) // the leader adopts its machines as orphans
			return
		}
	}
	key := order.role + " " + order.machine
	if last := s.highestTerms[key]; order.term < last {
		s.checker.reportf(invariantStaleOrder, "%s of %s under term %d of %s took effect after one under term %d",
			order.action, order.sender, order.term, key, last)
	}
	s.highestTerms[key] = max(s.highestTerms[key], order.term)
}

// hadNoEffectBefore reports whether an earlier launch request of the same name had no effect.
func (s *Simulation) hadNoEffectBefore(order receivedOrder) bool {
	return slices.ContainsFunc(s.orders, func(earlier receivedOrder) bool {
		return earlier.request == order.request && !earlier.tookEffect
	})
}

// checkLaunchRecorded checks that a launch is recorded as open when its request arrives for the
// first time.
func (s *Simulation) checkLaunchRecorded(order receivedOrder) {
	if !s.scenario.ExclusiveRoles || s.now <= s.startedAt+roleRecordsAgreementTime {
		return
	}
	repeated := slices.ContainsFunc(s.orders, func(earlier receivedOrder) bool { return earlier.request == order.request })
	if !repeated && !s.recordedAsOpen(order) {
		s.checker.reportf(invariantUnrecordedLaunch, "%s of %s under term %d of %s",
			order.request, order.sender, order.term, order.role)
	}
}

// recordedAsOpen reports whether the store records a launch request as open, under any term.
func (s *Simulation) recordedAsOpen(order receivedOrder) bool {
	partition, _, _ := strings.Cut(strings.TrimPrefix(order.request, "p"), "-")
	record := s.store.keys[records.RequestsPrefix+partition]
	return record != nil && strings.Contains(string(record.data), quoted(order.request))
}

// recordGrantedOrder records an order with the role, term and action of its grant.
func (s *Simulation) recordGrantedOrder(sender *node, grant leadership.Grant, machine string, tookEffect bool) {
	s.recordOrder(receivedOrder{
		sender: sender.name, role: grant.RoleName(), term: grant.Term(), action: grant.Action(),
		machine: machine, tookEffect: tookEffect,
	})
}

// sendOrder sends an order from a controller's process: after any wait for a connection, and
// not while the process is paused. It calls refuse instead of send if the order's grant no
// longer permits it by then, as in server.grantChecker, or if it is a command that was decided
// more than commandMaxAge ago.
func (s *Simulation) sendOrder(
	node *node, grant leadership.Grant, action leadership.Action, send, refuse func(),
) {
	incarnation, decidedAt := node.incarnation, s.now
	checkAndSend := func() {
		if node.incarnation != incarnation {
			return
		}
		if action == leadership.ActionCommand && s.now > decidedAt+commandMaxAge {
			refuse()
			return
		}
		reason := grant.Check(action, node.localTime(s.now))
		if reason == "" {
			send()
			return
		}
		s.countOccurrence(occurredOrderRefused)
		refuse()
		s.step(node, message.OrderRefused{Role: grant.RoleName(), Action: action, Reason: reason})
	}
	if s.now >= node.ordersDelayedUntil && !node.paused {
		checkAndSend()
		return
	}
	s.after(max(0, node.ordersDelayedUntil-s.now), func() { node.whenRunning(checkAndSend) })
}

// admitCommands returns the answer to a heartbeat with its commands if their grant still permits
// them, or else an answer with status 503. It returns other answers unchanged.
func (s *Simulation) admitCommands(node *node, answer message.Answer) message.Answer {
	order, ok := answer.Body.(leadership.Order[api.HeartbeatResponse])
	if !ok {
		return answer
	}
	if reason := order.Grant().Check(leadership.ActionCommand, node.localTime(s.now)); reason != "" {
		s.countOccurrence(occurredOrderRefused)
		return message.Answer{RequestID: answer.RequestID, Status: http.StatusServiceUnavailable}
	}
	answer.Body = order.Body()
	s.checker.checkCommands(node, order.Body().Commands)
	return answer
}
