package simulation

import (
	"fmt"

	"spurmoor/internal/message"

	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// Time after which a call without an answer is given up.
const (
	storeTimeout   = 5 * micros.Second / 2
	cloudTimeout   = 5 * micros.Second
	commandTimeout = 3 * micros.Second
)

// perform carries out what a controller decided.
func (w *Simulation) perform(n *node, e message.Effect) {
	switch v := e.(type) {
	case message.Answer:
		w.answerRequest(n, v)
	case message.StoreCall:
		w.callStore(n, v)
	case message.CloudCall:
		w.callCloud(n, v)
	case message.SendCommands:
		w.pushCommands(n, v)
	case message.Broadcast:
		hello := *v.Heartbeat
		for _, o := range w.nodes {
			if o != n {
				w.deliver(n, "peers", func() { w.deliver(o, "peers", func() { w.step(o, message.PeerHeartbeat{Heartbeat: &hello}) }) })
			}
		}
	case message.Log:
		w.logf("%s %s %s", n.name, v.Message, fmt.Sprintln(v.Args...))
	}
}

// firstInput gives a function that hands a process the first of several inputs, unless it
// has ended since.
func (w *Simulation) firstInput(n *node) func(in message.Input) {
	epoch, answered := n.incarnation, false
	return func(in message.Input) {
		if answered {
			return
		}
		answered = true
		if n.incarnation == epoch {
			w.step(n, in)
		}
	}
}

func (w *Simulation) answerRequest(n *node, a message.Answer) {
	a = w.gateCommands(n, a)
	if f := n.pendingRequests[a.RequestID]; f != nil {
		delete(n.pendingRequests, a.RequestID)
		f(a)
	}
}

func (w *Simulation) callStore(n *node, v message.StoreCall) {
	back := w.firstInput(n)
	w.after(storeTimeout+micros.FromMilliseconds(v.WaitMs), func() { back(&message.StoreReply{Call: v.Call}) })
	if v.Op != message.OpTransaction {
		w.sendToStore(n, v, back)
		return
	}
	w.sendOrder(n, v.Transaction.Grant(), leadership.Write, func() { w.sendToStore(n, v, back) },
		func() { back(&message.StoreReply{Call: v.Call, Unsent: true}) })
}

// sendToStore carries a request to the state service.
func (w *Simulation) sendToStore(n *node, v message.StoreCall, back func(message.Input)) {
	if w.delayTransaction(n, v) {
		return
	}
	late := micros.Micros(0)
	if v.Op == message.OpTransaction && w.rng.Float64() < w.scenario.LateRequests {
		late = micros.Random(w.rng, 8*micros.Second)
	}
	w.after(late, func() {
		w.deliver(n, "store", func() {
			if v.Op == message.OpTransaction {
				w.maybeRepeat(func() { w.store.call(n, v, func(*message.StoreReply) {}) })
			}
			w.store.call(n, v, func(r *message.StoreReply) {
				if v.Op != message.OpWatch && w.rng.Float64() < w.scenario.LostReplies || v.WaitMs > 0 && n.watchStalled {
					return
				}
				w.deliver(n, "store", func() { back(r) })
			})
		})
	})
}

func (w *Simulation) callCloud(n *node, v message.CloudCall) {
	back := w.firstInput(n)
	w.after(cloudTimeout, func() { back(&message.CloudReply{Call: v.Call}) })
	kept := func() { back(&message.CloudReply{Call: v.Call, Unsent: true}) }
	send := func() { w.sendToCloud(n, v, back) }
	switch v.Op {
	case message.OpLaunch:
		w.sendOrder(n, v.Launch.Grant(), leadership.Launch, send, kept)
	case message.OpDelete:
		w.sendOrder(n, v.Delete.Grant(), leadership.Delete, send, kept)
	default:
		send()
	}
}

// sendToCloud carries a request to the cloud.
func (w *Simulation) sendToCloud(n *node, v message.CloudCall, back func(message.Input)) {
	w.after(micros.Second/5, func() {
		w.deliver(n, "cloud", func() {
			r := w.cloud.call(n, v)
			if v.Op == message.OpLaunch || v.Op == message.OpDelete {
				w.maybeRepeat(func() { w.cloud.call(n, v) })
			}
			w.after(micros.Second/20, func() {
				w.deliver(n, "cloud", func() { back(r) })
			})
		})
	})
}

// pushCommands carries commands to a worker.
func (w *Simulation) pushCommands(n *node, v message.SendCommands) {
	back := w.firstInput(n)
	answer := message.CommandReply{Machine: v.Machine, Token: v.Body.Body().FencingToken, Starts: v.Starts}
	unsent := answer
	unsent.Unsent = true
	w.sendOrder(n, v.Body.Grant(), leadership.Command, func() { w.deliverCommands(n, v, answer, back) }, func() { back(unsent) })
}

// deliverCommands carries commands that may leave to a worker.
func (w *Simulation) deliverCommands(n *node, v message.SendCommands, answer message.CommandReply, back func(message.Input)) {
	body := v.Body.Body()
	w.checker.checkCommands(n, body.Commands)
	if n.commandsInFlight >= n.maxCommandsInFlight {
		answer.Unsent = true
		back(answer)
		return
	}
	n.commandsInFlight++
	w.peakCommandsInFlight = max(w.peakCommandsInFlight, n.commandsInFlight)
	settled := false
	settle := func(a message.CommandReply) {
		if !settled {
			settled = true
			n.commandsInFlight--
			back(a)
		}
	}
	w.after(commandTimeout, func() { settle(answer) })
	wk := w.workerAt(v.Addr)
	if wk == nil {
		return
	}
	w.deliverWorkerLink(n, wk, func() {
		if wk.gone || !wk.up || wk.inboundCut {
			return
		}
		wk.whenRunning(func() {
			answered := answer
			answered.Status, answered.Heartbeat = wk.receiveCommands(body)
			w.noteOrderUnder(n, v.Body.Grant(), v.Machine, answered.Status == 200 && len(body.Commands) > 0)
			w.maybeRepeat(func() { wk.whenRunning(func() { wk.receiveCommands(body) }) })
			w.deliverWorkerLink(n, wk, func() { settle(answered) })
		})
	})
}
