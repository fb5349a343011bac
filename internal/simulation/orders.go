package simulation

import (
	"fmt"
	"slices"
	"strings"

	"spurmoor/internal/message"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// receivedOrder is an order as it arrived at a stand-in.
type receivedOrder struct {
	at      micros.Micros
	sender  string
	role    string
	term    uint64
	action  leadership.Action
	machine string // that it commands
	request string // of a rental
	// tookEffect: it took effect. Else it was refused, or changed nothing.
	tookEffect bool
}

// noteOrder notes an order, and checks that what takes effect under a duty does so under
// one term at a time: writes altogether, commands at each worker. A deletion is harmless
// under any term, for it was committed before; so is a rental that is recorded as open,
// for whoever holds the partition gets its machines.
func (w *Simulation) noteOrder(o receivedOrder) {
	o.at = w.now
	if o.action == leadership.Launch {
		w.checkLaunchRecorded(o)
	}
	w.orders = append(w.orders, o)
	if !o.tookEffect || o.term == 0 || o.action == leadership.Delete {
		return
	}
	if o.action == leadership.Launch && (!w.scenario.ExclusiveRoles || w.recordedAsOpen(o)) {
		return
	}
	if o.action == leadership.Launch && slices.ContainsFunc(w.orders, func(e receivedOrder) bool { return e.request == o.request && !e.tookEffect }) {
		w.countOccurrence("late copies of refused rentals") // adopted as strays
		return
	}
	key := o.role + " " + o.machine
	if last := w.highestTerms[key]; o.term < last {
		w.checker.violated("stale_order", fmt.Sprintf("%s of %s under term %d of %s took effect after one under term %d", o.action, o.sender, o.term, key, last))
	}
	w.highestTerms[key] = max(w.highestTerms[key], o.term)
}

// rolesAgreedWithin is how long after the start controllers may take to learn that all of them
// know the records of duties.
const rolesAgreedWithin = 10 * micros.Second

// checkLaunchRecorded checks that a rental is recorded when it arrives first.
func (w *Simulation) checkLaunchRecorded(o receivedOrder) {
	first := !slices.ContainsFunc(w.orders, func(e receivedOrder) bool { return e.request == o.request })
	if w.scenario.ExclusiveRoles && first && w.now > w.startedAt+rolesAgreedWithin && !w.recordedAsOpen(o) {
		w.checker.violated("unrecorded_rental", fmt.Sprintf("%s of %s under term %d of %s", o.request, o.sender, o.term, o.role))
	}
}

// recordedAsOpen tells whether a rental is recorded as open, by whoever.
func (w *Simulation) recordedAsOpen(o receivedOrder) bool {
	part, _, _ := strings.Cut(strings.TrimPrefix(o.request, "p"), "-")
	record := w.store.keys["live/r/"+part]
	return record != nil && strings.Contains(string(record.data), `"`+o.request+`"`)
}

// noteOrderUnder notes an order that came with its grant.
func (w *Simulation) noteOrderUnder(n *node, g leadership.Grant, machine string, took bool) {
	w.noteOrder(receivedOrder{sender: n.name, role: g.RoleName(), term: g.Term(), action: g.Action(), machine: machine, tookEffect: took})
}

// commandMaxAge is how long after they were decided commands may leave a process, as in
// internal/server: a job may have been cancelled elsewhere since.
const commandMaxAge = micros.Second

// sendOrder lets an order leave a controller's process: after it waited for a connection
// there, and not while the process stands still. What its grant does not permit by
// then is refused, as by the gate of the program.
func (w *Simulation) sendOrder(n *node, g leadership.Grant, action leadership.Action, leave, refused func()) {
	epoch, decided := n.incarnation, w.now
	send := func() {
		if n.incarnation != epoch {
			return
		}
		if action == leadership.Command && w.now > decided+commandMaxAge {
			refused()
			return
		}
		reason := g.Check(action, n.localTime(w.now))
		if reason == "" {
			leave()
			return
		}
		w.countOccurrence("orders refused at the gate")
		refused()
		w.step(n, message.OrderRefused{Role: g.RoleName(), Action: action, Reason: reason})
	}
	if w.now >= n.sendsBlockedUntil && !n.paused {
		send()
		return
	}
	w.after(max(0, n.sendsBlockedUntil-w.now), func() { n.whenRunning(send) })
}

// whenRunning does something once a process does not stand still.
func (n *node) whenRunning(do func()) {
	if n.paused {
		n.pausedSends = append(n.pausedSends, do)
		return
	}
	do()
}

// resumeNode has a process go on that stood still: first what was about to leave it, then
// what came meanwhile.
func (w *Simulation) resumeNode(n *node) {
	n.paused = false
	asleep, queued := n.pausedSends, n.pausedInputs
	n.pausedSends, n.pausedInputs = nil, nil
	for _, do := range asleep {
		do()
	}
	for _, in := range queued {
		w.step(n, in)
	}
}

// gateCommands gives the commands of an answer to a report, if it is one that may still
// leave.
func (w *Simulation) gateCommands(n *node, a message.Answer) message.Answer {
	o, ok := a.Body.(leadership.Order[api.HeartbeatResponse])
	if !ok {
		return a
	}
	if reason := o.Grant().Check(leadership.Command, n.localTime(w.now)); reason != "" {
		w.countOccurrence("orders refused at the gate")
		return message.Answer{RequestID: a.RequestID, Status: 503}
	}
	a.Body = o.Body()
	w.checker.checkCommands(n, o.Body().Commands)
	return a
}
