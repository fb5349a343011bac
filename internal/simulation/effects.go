package simulation

import (
	"fmt"

	"spurmoor/internal/message"

	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// Time after which a call without an answer is given up.
const (
	storeWait   = 5 * micros.Second / 2
	cloudWait   = 5 * micros.Second
	commandWait = 3 * micros.Second
)

// effect carries out what a controller decided.
func (w *World) effect(n *node, e message.Effect) {
	switch v := e.(type) {
	case message.Answer:
		w.answerOf(n, v)
	case message.StoreCall:
		w.storeCall(n, v)
	case message.CloudCall:
		w.cloudCall(n, v)
	case message.SendCommands:
		w.push(n, v)
	case message.Broadcast:
		hello := *v.Heartbeat
		for _, o := range w.nodes {
			if o != n {
				w.carry(n, "peers", func() { w.carry(o, "peers", func() { w.step(o, message.PeerHeartbeat{Heartbeat: &hello}) }) })
			}
		}
	case message.Log:
		w.say("%s %s %s", n.name, v.Message, fmt.Sprintln(v.Args...))
	}
}

// once gives a function that hands a process the first of several inputs, unless it
// has ended since.
func (w *World) once(n *node) func(in message.Input) {
	epoch, answered := n.epoch, false
	return func(in message.Input) {
		if answered {
			return
		}
		answered = true
		if n.epoch == epoch {
			w.step(n, in)
		}
	}
}

func (w *World) answerOf(n *node, a message.Answer) {
	a = w.commandsOf(n, a)
	if f := n.reqs[a.RequestID]; f != nil {
		delete(n.reqs, a.RequestID)
		f(a)
	}
}

func (w *World) storeCall(n *node, v message.StoreCall) {
	back := w.once(n)
	w.after(storeWait+micros.FromMilliseconds(v.WaitMs), func() { back(&message.StoreReply{Call: v.Call}) })
	if v.Op != message.OpTransaction {
		w.storeSend(n, v, back)
		return
	}
	w.depart(n, v.Transaction.Grant(), leadership.Write, func() { w.storeSend(n, v, back) },
		func() { back(&message.StoreReply{Call: v.Call, Unsent: true}) })
}

// storeSend carries a request to the state service.
func (w *World) storeSend(n *node, v message.StoreCall, back func(message.Input)) {
	if w.txn(n, v) {
		return
	}
	late := micros.Micros(0)
	if v.Op == message.OpTransaction && w.rng.Float64() < w.sc.Late {
		late = micros.Random(w.rng, 8*micros.Second)
	}
	w.after(late, func() {
		w.carry(n, "store", func() {
			if v.Op == message.OpTransaction {
				w.again(func() { w.store.call(n, v, func(*message.StoreReply) {}) })
			}
			w.store.call(n, v, func(r *message.StoreReply) {
				if v.Op != message.OpWatch && w.rng.Float64() < w.sc.Lost || v.WaitMs > 0 && n.watchHangs {
					return
				}
				w.carry(n, "store", func() { back(r) })
			})
		})
	})
}

func (w *World) cloudCall(n *node, v message.CloudCall) {
	back := w.once(n)
	w.after(cloudWait, func() { back(&message.CloudReply{Call: v.Call}) })
	kept := func() { back(&message.CloudReply{Call: v.Call, Unsent: true}) }
	send := func() { w.cloudSend(n, v, back) }
	switch v.Op {
	case message.OpLaunch:
		w.depart(n, v.Launch.Grant(), leadership.Launch, send, kept)
	case message.OpDelete:
		w.depart(n, v.Delete.Grant(), leadership.Delete, send, kept)
	default:
		send()
	}
}

// cloudSend carries a request to the cloud.
func (w *World) cloudSend(n *node, v message.CloudCall, back func(message.Input)) {
	w.after(micros.Second/5, func() {
		w.carry(n, "cloud", func() {
			r := w.cloud.call(n, v)
			if v.Op == message.OpLaunch || v.Op == message.OpDelete {
				w.again(func() { w.cloud.call(n, v) })
			}
			w.after(micros.Second/20, func() {
				w.carry(n, "cloud", func() { back(r) })
			})
		})
	})
}

// push carries commands to a worker.
func (w *World) push(n *node, v message.SendCommands) {
	back := w.once(n)
	answer := message.CommandReply{Machine: v.Machine, FencingToken: v.Body.Body().FencingToken, StartsTasks: v.StartsTasks}
	unsent := answer
	unsent.Unsent = true
	w.depart(n, v.Body.Grant(), leadership.Command, func() { w.pushNow(n, v, answer, back) }, func() { back(unsent) })
}

// pushNow carries commands that may leave to a worker.
func (w *World) pushNow(n *node, v message.SendCommands, answer message.CommandReply, back func(message.Input)) {
	body := v.Body.Body()
	w.check.ordered(n, body.Commands)
	if n.pushing >= n.pushes {
		answer.Unsent = true
		back(answer)
		return
	}
	n.pushing++
	w.pushing = max(w.pushing, n.pushing)
	settled := false
	settle := func(a message.CommandReply) {
		if !settled {
			settled = true
			n.pushing--
			back(a)
		}
	}
	w.after(commandWait, func() { settle(answer) })
	wk := w.workerAt(v.Addr)
	if wk == nil {
		return
	}
	w.between(n, wk, func() {
		if wk.gone || !wk.up || wk.deaf {
			return
		}
		wk.awake(func() {
			answered := answer
			answered.Status, answered.Heartbeat = wk.commands(body)
			w.arrivedUnder(n, v.Body.Grant(), v.Machine, answered.Status == 200 && len(body.Commands) > 0)
			w.again(func() { wk.awake(func() { wk.commands(body) }) })
			w.between(n, wk, func() { settle(answered) })
		})
	})
}
