package simulation

import (
	"fmt"
	"strings"

	"spurmoor/internal/message"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// fault carries out one trouble.
func (w *World) fault(f Fault) {
	n := w.nodes[f.Node%3]
	if f.Part > 0 {
		if h := w.holder(f.Part - 1); h != nil {
			n = h
		}
	}
	w.say("FAULT %s %s for %.1f s", f.Kind, n.name, f.ForS)
	lasts := micros.FromSeconds(f.ForS)
	if w.trouble(f, n, lasts) || w.nodeFault(f, n, lasts) || w.serviceFault(f, lasts) || w.breach(f, n) {
		return
	}
	switch f.Kind {
	case "machine_die", "machine_hang", "machine_sick", "spot_notice", "late_rental", "machine_deaf", "machine_mute", "machine_blink":
		for range max(1, f.Count) {
			w.machineFault(f.Kind, f.Zone, lasts)
		}
	default:
		w.check.breaks("scenario", "unknown fault "+f.Kind)
	}
}

// nodeFault carries out a trouble of controllers, if it is one.
func (w *World) nodeFault(f Fault, n *node, lasts micros.Micros) bool {
	kind, arg, _ := strings.Cut(f.Kind, ":")
	switch kind {
	case "crash":
		w.crash(n, lasts)
	case "crash_all":
		for _, n := range w.nodes {
			w.crash(n, lasts)
		}
	case "blink":
		w.end(n, func() micros.Micros { return micros.Second/20 + micros.Random(w.rng, micros.Second/4) })
	case "upgrade": // back with settings that name the next limits
		n.announced = true
		w.crash(n, lasts)
	case "cut":
		w.cutOff(n, arg, f.Hold, lasts)
	case "refused":
		n.refused = true
		w.after(lasts, func() { n.refused = false })
	case "isolated": // from all but its workers
		w.cutOff(n, "store", f.Hold, lasts)
		w.cutOff(n, "peers", f.Hold, lasts)
	case "zone_cut": // held back until it ends
		w.cutOffZone(f.Zone, lasts)
	case "freeze":
		w.freeze(n, lasts)
	case "sends_wait": // in the process, as when connections are short
		n.connectUntil = w.now + lasts
	default:
		return false
	}
	return true
}

// serviceFault carries out a trouble of the state service or the cloud, if it is one.
func (w *World) serviceFault(f Fault, lasts micros.Micros) bool {
	switch f.Kind {
	case "store_outage":
		w.store.outage(lasts)
	case "cloud_outage":
		w.cloud.down = true
		w.after(lasts, func() { w.cloud.down = false })
	case "no_capacity":
		w.cloud.empty = true
		w.after(lasts, func() { w.cloud.empty = false })
	case "slow_links":
		w.slowUntil = w.now + lasts
	case "limits":
		w.sc.WriteRPS, w.sc.ValueKB, w.sc.TxnOps = w.sc.Next.WriteRPS, w.sc.Next.ValueKB, w.sc.Next.TxnOps
		w.store.changes.rate = w.sc.WriteRPS
	case "garble": // a log entry's value becomes unreadable
		if keys := w.store.sorted(fmt.Sprintf("live/l/%d/", max(0, f.Part-1))); len(keys) > 0 {
			w.store.apply([]api.Write{{Put: keys[0], Value: []byte(`"?"`)}})
		}
	default:
		return false
	}
	return true
}

// crash ends a controller, and starts it again after a time.
func (w *World) crash(n *node, lasts micros.Micros) {
	if n.up {
		w.end(n, func() micros.Micros { return max(lasts, micros.Second/5) })
	}
}

// end ends a controller's process, and starts it again after what back gives.
func (w *World) end(n *node, back func() micros.Micros) {
	n.up = false
	n.epoch++
	w.after(back(), func() {
		if err := w.boot(n); err != nil {
			w.check.breaks("boot", err.Error())
		}
	})
}

// cutOff cuts a controller off from a party for a time.
func (w *World) cutOff(n *node, what string, hold bool, lasts micros.Micros) {
	n.cut[what], n.hold = true, hold
	w.after(lasts, func() {
		n.cut[what] = false
		held := n.held
		n.held = nil
		for _, do := range held {
			do()
		}
	})
}

// cutOffZone cuts a zone off from all that is outside it.
func (w *World) cutOffZone(zone string, lasts micros.Micros) {
	w.cutZone = zone
	for _, n := range w.nodes {
		if n.zone() != zone {
			continue
		}
		for _, what := range []string{"store", "peers", "cloud", "users"} {
			w.cutOff(n, what, true, lasts)
		}
	}
	w.after(lasts, func() {
		w.cutZone = ""
		crossed := w.crossed
		w.crossed = nil
		for _, do := range crossed {
			do()
		}
	})
}

// freeze has a controller stand still while its clock runs on.
func (w *World) freeze(n *node, lasts micros.Micros) {
	epoch := n.epoch
	n.frozen = true
	w.after(lasts, func() {
		if n.epoch != epoch {
			return
		}
		w.awaken(n)
	})
}

// breach commits a deliberate breach of a rule, to show that the checker sees it; of
// the job with the number in Node, where it is one of a job.
func (w *World) breach(f Fault, n *node) bool {
	u := w.byID[fmt.Sprintf("wk-%06d", f.Node)]
	switch f.Kind {
	case "mute": // nobody answers the job's user any more
		w.muted = fmt.Sprintf("wk-%06d", f.Node)
	case "early_start":
		rogue := &worker{w: w, name: "n-rogue", typ: w.cloud.types[0], zone: zones[0], session: 1}
		w.check.started(rogue, &wtask{id: u.id + "/0", job: u.id, attempt: 1, w: rogue})
	case "orphan":
		w.check.told(u, api.JobPending)
	case "unasked":
		w.check.told(u, api.JobCancelled)
	case "older_look":
		w.check.looked(u)(message.Answer{Status: 200, Body: api.JobStatus{ID: u.id, State: api.JobRunning}}, true, u.final)
	case "bad_accepted":
		w.check.refused(u.id, message.Answer{Status: 201}, 422)
	case "start_told":
		w.check.ordered(n, []api.Command{{Op: api.CommandStart, Task: u.id + "/0", Attempt: 1}})
	case "held_back":
		// A job that no controller knows of, beside room on the other's machine.
		w.truth["wk-999999"] = u.job
		w.users = append(w.users, &user{w: w, id: "wk-999999", job: u.job, accepted: true, sent: w.now, heard: w.now})
	case "double_start":
		w.startTwice()
	default:
		return false
	}
	return true
}

// startTwice starts a task that runs on a machine of its own.
func (w *World) startTwice() {
	for _, wk := range w.workers {
		for _, t := range wk.tasks {
			if t.on {
				other := &worker{w: w, name: "n-rogue", typ: wk.typ, zone: wk.zone, session: 1}
				w.check.started(other, &wtask{id: t.id, attempt: t.attempt + 1, w: other})
				return
			}
		}
	}
}

// machineFault carries out a trouble of the machine with most tasks.
func (w *World) machineFault(kind, zone string, lasts micros.Micros) {
	if kind == "late_rental" {
		w.cloud.rent(&api.LaunchRequest{Name: "late", Type: w.sc.Types[0].Name, Zone: zones[0], Count: 1})
		return
	}
	busy := w.busiest(kind == "spot_notice", zone)
	if busy == nil {
		return
	}
	w.say("%s %s", kind, busy.name)
	switch kind {
	case "machine_die":
		busy.die()
	case "machine_hang":
		busy.hung = true
		w.after(lasts, func() { busy.resume() })
	case "machine_deaf":
		busy.deaf = true
		w.after(lasts, func() { busy.deaf = false })
	case "machine_mute":
		busy.mute = true
		w.after(lasts, func() { busy.mute = false })
	case "machine_blink":
		busy.blink()
	case "machine_sick":
		busy.sick = true
		w.after(lasts, func() { busy.sick = false })
	case "spot_notice":
		busy.noticeAt = w.now + 8*micros.Second
		busy.changed()
		w.after(8*micros.Second, busy.die)
	}
}

// busiest is the machine with most tasks that nothing troubles, of a zone if one is
// named; nil: none.
func (w *World) busiest(spot bool, zone string) *worker {
	var busy *worker
	for _, wk := range w.workers {
		if !wk.well() || spot && !wk.spot || zone != "" && wk.zone != zone {
			continue
		}
		if busy == nil || len(wk.tasks) > len(busy.tasks) {
			busy = wk
		}
	}
	return busy
}

// well tells whether a machine is up and nothing troubles it.
func (wk *worker) well() bool {
	return wk.up && !wk.gone && !wk.hung && !wk.deaf && !wk.mute && !wk.sick
}
