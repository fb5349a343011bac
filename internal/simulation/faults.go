package simulation

import (
	"fmt"
	"strings"

	"spurmoor/internal/message"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// inject carries out one trouble.
func (w *Simulation) inject(f Fault) {
	n := w.nodes[f.Node%3]
	if f.Partition > 0 {
		if h := w.leaderOf(f.Partition - 1); h != nil {
			n = h
		}
	}
	w.logf("FAULT %s %s for %.1f s", f.Kind, n.name, f.ForS)
	lasts := micros.FromSeconds(f.ForS)
	if w.injectTimingFault(f, n, lasts) || w.injectNodeFault(f, n, lasts) || w.injectServiceFault(f, lasts) || w.injectViolation(f, n) {
		return
	}
	switch f.Kind {
	case "machine_die", "machine_hang", "machine_sick", "spot_notice", "late_rental", "machine_deaf", "machine_mute", "machine_blink":
		for range max(1, f.Count) {
			w.injectMachineFault(f.Kind, f.Zone, lasts)
		}
	default:
		w.checker.violated("scenario", "unknown fault "+f.Kind)
	}
}

// injectNodeFault carries out a trouble of controllers, if it is one.
func (w *Simulation) injectNodeFault(f Fault, n *node, lasts micros.Micros) bool {
	kind, arg, _ := strings.Cut(f.Kind, ":")
	switch kind {
	case "crash":
		w.crash(n, lasts)
	case "crash_all":
		for _, n := range w.nodes {
			w.crash(n, lasts)
		}
	case "blink":
		w.restartNode(n, func() micros.Micros { return micros.Second/20 + micros.Random(w.rng, micros.Second/4) })
	case "upgrade": // back with settings that name the next limits
		n.nextLimitsAnnounced = true
		w.crash(n, lasts)
	case "cut":
		w.cutLink(n, arg, f.HoldPackets, lasts)
	case "refused":
		n.refusedByStore = true
		w.after(lasts, func() { n.refusedByStore = false })
	case "isolated": // from all but its workers
		w.cutLink(n, "store", f.HoldPackets, lasts)
		w.cutLink(n, "peers", f.HoldPackets, lasts)
	case "zone_cut": // held back until it ends
		w.cutZone(f.Zone, lasts)
	case "freeze":
		w.pauseNode(n, lasts)
	case "sends_wait": // in the process, as when connections are short
		n.sendsBlockedUntil = w.now + lasts
	default:
		return false
	}
	return true
}

// injectServiceFault carries out a trouble of the state service or the cloud, if it is one.
func (w *Simulation) injectServiceFault(f Fault, lasts micros.Micros) bool {
	switch f.Kind {
	case "store_outage":
		w.store.outage(lasts)
	case "cloud_outage":
		w.cloud.down = true
		w.after(lasts, func() { w.cloud.down = false })
	case "no_capacity":
		w.cloud.noCapacity = true
		w.after(lasts, func() { w.cloud.noCapacity = false })
	case "slow_links":
		w.slowLinksUntil = w.now + lasts
	case "limits":
		w.scenario.WriteRPS, w.scenario.ValueKB, w.scenario.MaxTransactionOps = w.scenario.NextLimits.WriteRPS, w.scenario.NextLimits.ValueKB, w.scenario.NextLimits.TxnOps
		w.store.writes.rate = w.scenario.WriteRPS
	case "garble": // a log entry's value becomes unreadable
		if keys := w.store.sortedKeys(fmt.Sprintf("live/l/%d/", max(0, f.Partition-1))); len(keys) > 0 {
			w.store.apply([]api.Write{{Put: keys[0], Value: []byte(`"?"`)}})
		}
	default:
		return false
	}
	return true
}

// crash ends a controller, and starts it again after a time.
func (w *Simulation) crash(n *node, lasts micros.Micros) {
	if n.up {
		w.restartNode(n, func() micros.Micros { return max(lasts, micros.Second/5) })
	}
}

// restartNode ends a controller's process, and starts it again after what back gives.
func (w *Simulation) restartNode(n *node, back func() micros.Micros) {
	n.up = false
	n.incarnation++
	w.after(back(), func() {
		if err := w.boot(n); err != nil {
			w.checker.violated("boot", err.Error())
		}
	})
}

// cutLink cuts a controller off from a party for a time.
func (w *Simulation) cutLink(n *node, what string, hold bool, lasts micros.Micros) {
	n.cutLinks[what], n.holdPackets = true, hold
	w.after(lasts, func() {
		n.cutLinks[what] = false
		held := n.heldPackets
		n.heldPackets = nil
		for _, do := range held {
			do()
		}
	})
}

// cutZone cuts a zone off from all that is outside it.
func (w *Simulation) cutZone(zone string, lasts micros.Micros) {
	w.isolatedZone = zone
	for _, n := range w.nodes {
		if n.zone() != zone {
			continue
		}
		for _, what := range []string{"store", "peers", "cloud", "users"} {
			w.cutLink(n, what, true, lasts)
		}
	}
	w.after(lasts, func() {
		w.isolatedZone = ""
		crossed := w.heldAtZoneCut
		w.heldAtZoneCut = nil
		for _, do := range crossed {
			do()
		}
	})
}

// pauseNode has a controller stand still while its clock runs on.
func (w *Simulation) pauseNode(n *node, lasts micros.Micros) {
	epoch := n.incarnation
	n.paused = true
	w.after(lasts, func() {
		if n.incarnation != epoch {
			return
		}
		w.resumeNode(n)
	})
}

// injectViolation commits a deliberate breach of a rule, to show that the checker sees it; of
// the job with the number in Node, where it is one of a job.
func (w *Simulation) injectViolation(f Fault, n *node) bool {
	u := w.usersByID[fmt.Sprintf("wk-%06d", f.Node)]
	switch f.Kind {
	case "mute": // nobody answers the job's user any more
		w.mutedJob = fmt.Sprintf("wk-%06d", f.Node)
	case "early_start":
		rogue := &worker{sim: w, name: "n-rogue", machineType: w.cloud.catalog[0], zone: zones[0], incarnation: 1}
		w.checker.taskStarted(rogue, &workerTask{id: u.id + "/0", job: u.id, attempt: 1, worker: rogue})
	case "orphan":
		w.checker.stateReported(u, api.JobPending)
	case "unasked":
		w.checker.stateReported(u, api.JobCancelled)
	case "older_look":
		w.checker.checkQuery(u)(message.Answer{Status: 200, Body: api.JobStatus{ID: u.id, State: api.JobRunning}}, true, u.finalState)
	case "bad_accepted":
		w.checker.checkRefused(u.id, message.Answer{Status: 201}, 422)
	case "start_told":
		w.checker.checkCommands(n, []api.Command{{Op: api.CommandStart, Task: u.id + "/0", Attempt: 1}})
	case "held_back":
		// A job that no controller knows of, beside room on the other's machine.
		w.jobs["wk-999999"] = u.job
		w.users = append(w.users, &user{sim: w, id: "wk-999999", job: u.job, accepted: true, submittedAt: w.now, lastAnswerAt: w.now})
	case "double_start":
		w.startTaskTwice()
	default:
		return false
	}
	return true
}

// startTaskTwice starts a task that runs on a machine of its own.
func (w *Simulation) startTaskTwice() {
	for _, wk := range w.workers {
		for _, t := range wk.tasks {
			if t.counted {
				other := &worker{sim: w, name: "n-rogue", machineType: wk.machineType, zone: wk.zone, incarnation: 1}
				w.checker.taskStarted(other, &workerTask{id: t.id, attempt: t.attempt + 1, worker: other})
				return
			}
		}
	}
}

// injectMachineFault carries out a trouble of the machine with most tasks.
func (w *Simulation) injectMachineFault(kind, zone string, lasts micros.Micros) {
	if kind == "late_rental" {
		w.cloud.launch(&api.LaunchRequest{Name: "late", Type: w.scenario.MachineTypes[0].Name, Zone: zones[0], Count: 1})
		return
	}
	busy := w.busiestWorker(kind == "spot_notice", zone)
	if busy == nil {
		return
	}
	w.logf("%s %s", kind, busy.name)
	switch kind {
	case "machine_die":
		busy.terminate()
	case "machine_hang":
		busy.hung = true
		w.after(lasts, func() { busy.resume() })
	case "machine_deaf":
		busy.inboundCut = true
		w.after(lasts, func() { busy.inboundCut = false })
	case "machine_mute":
		busy.outboundCut = true
		w.after(lasts, func() { busy.outboundCut = false })
	case "machine_blink":
		busy.restart()
	case "machine_sick":
		busy.failing = true
		w.after(lasts, func() { busy.failing = false })
	case "spot_notice":
		busy.interruptionAt = w.now + 8*micros.Second
		busy.hastenHeartbeat()
		w.after(8*micros.Second, busy.terminate)
	}
}

// busiestWorker is the machine with most tasks that nothing troubles, of a zone if one is
// named; nil: none.
func (w *Simulation) busiestWorker(spot bool, zone string) *worker {
	var busy *worker
	for _, wk := range w.workers {
		if !wk.healthy() || spot && !wk.spot || zone != "" && wk.zone != zone {
			continue
		}
		if busy == nil || len(wk.tasks) > len(busy.tasks) {
			busy = wk
		}
	}
	return busy
}

// healthy tells whether a machine is up and nothing troubles it.
func (wk *worker) healthy() bool {
	return wk.up && !wk.gone && !wk.hung && !wk.inboundCut && !wk.outboundCut && !wk.failing
}
