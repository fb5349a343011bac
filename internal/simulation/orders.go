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

// order is an order as it arrived at a stand-in.
type order struct {
	at      micros.Micros
	sender  string
	duty    string
	term    uint64
	action  leadership.Action
	machine string // that it commands
	request string // of a rental
	// took: it took effect. Else it was refused, or changed nothing.
	took bool
}

// arrived notes an order, and checks that what takes effect under a duty does so under
// one term at a time: writes altogether, commands at each worker. A deletion is harmless
// under any term, for it was committed before; so is a rental that is recorded as open,
// for whoever holds the partition gets its machines.
func (w *World) arrived(o order) {
	o.at = w.now
	if o.action == leadership.Launch {
		w.rentalArrived(o)
	}
	w.orders = append(w.orders, o)
	if !o.took || o.term == 0 || o.action == leadership.Delete {
		return
	}
	if o.action == leadership.Launch && (!w.sc.Duties || w.recordedOpen(o)) {
		return
	}
	if o.action == leadership.Launch && slices.ContainsFunc(w.orders, func(e order) bool { return e.request == o.request && !e.took }) {
		w.happened("late copies of refused rentals") // adopted as strays
		return
	}
	key := o.duty + " " + o.machine
	if last := w.terms[key]; o.term < last {
		w.check.breaks("stale_order", fmt.Sprintf("%s of %s under term %d of %s took effect after one under term %d", o.action, o.sender, o.term, key, last))
	}
	w.terms[key] = max(w.terms[key], o.term)
}

// agreeWithin is how long after the start controllers may take to learn that all of them
// know the records of duties.
const agreeWithin = 10 * micros.Second

// rentalArrived checks that a rental is recorded when it arrives first.
func (w *World) rentalArrived(o order) {
	first := !slices.ContainsFunc(w.orders, func(e order) bool { return e.request == o.request })
	if w.sc.Duties && first && w.now > w.begun+agreeWithin && !w.recordedOpen(o) {
		w.check.breaks("unrecorded_rental", fmt.Sprintf("%s of %s under term %d of %s", o.request, o.sender, o.term, o.duty))
	}
}

// recordedOpen tells whether a rental is recorded as open, by whoever.
func (w *World) recordedOpen(o order) bool {
	part, _, _ := strings.Cut(strings.TrimPrefix(o.request, "p"), "-")
	record := w.store.keys["live/r/"+part]
	return record != nil && strings.Contains(string(record.value), `"`+o.request+`"`)
}

// arrivedUnder notes an order that came with its grant.
func (w *World) arrivedUnder(n *node, g leadership.Grant, machine string, took bool) {
	w.arrived(order{sender: n.name, duty: g.RoleName(), term: g.Term(), action: g.Action(), machine: machine, took: took})
}

// commandsStale is how long after they were decided commands may leave a process, as in
// internal/server: a job may have been cancelled elsewhere since.
const commandsStale = micros.Second

// depart lets an order leave a controller's process: after it waited for a connection
// there, and not while the process stands still. What its grant does not permit by
// then is refused, as by the gate of the program.
func (w *World) depart(n *node, g leadership.Grant, action leadership.Action, leave, refused func()) {
	epoch, decided := n.epoch, w.now
	send := func() {
		if n.epoch != epoch {
			return
		}
		if action == leadership.Command && w.now > decided+commandsStale {
			refused()
			return
		}
		reason := g.Check(action, n.time(w.now))
		if reason == "" {
			leave()
			return
		}
		w.happened("orders refused at the gate")
		refused()
		w.step(n, message.OrderRefused{Role: g.RoleName(), Action: action, Reason: reason})
	}
	if w.now >= n.connectUntil && !n.frozen {
		send()
		return
	}
	w.after(max(0, n.connectUntil-w.now), func() { n.whenAwake(send) })
}

// whenAwake does something once a process does not stand still.
func (n *node) whenAwake(do func()) {
	if n.frozen {
		n.asleep = append(n.asleep, do)
		return
	}
	do()
}

// awaken has a process go on that stood still: first what was about to leave it, then
// what came meanwhile.
func (w *World) awaken(n *node) {
	n.frozen = false
	asleep, queued := n.asleep, n.queued
	n.asleep, n.queued = nil, nil
	for _, do := range asleep {
		do()
	}
	for _, in := range queued {
		w.step(n, in)
	}
}

// commandsOf gives the commands of an answer to a report, if it is one that may still
// leave.
func (w *World) commandsOf(n *node, a message.Answer) message.Answer {
	o, ok := a.Body.(leadership.Order[api.HeartbeatResponse])
	if !ok {
		return a
	}
	if reason := o.Grant().Check(leadership.Command, n.time(w.now)); reason != "" {
		w.happened("orders refused at the gate")
		return message.Answer{RequestID: a.RequestID, Status: 503}
	}
	a.Body = o.Body()
	w.check.ordered(n, o.Body().Commands)
	return a
}
