package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

func init() {
	plays["session"] = play{rule: "ran_twice", deployment: predial, run: playSession}
}

// predial is a deployment with the limits of kit/added/predial-occidente.toml.
func predial() Deployment {
	zones := []string{"zona-pacifica", "zona-orinoquia", "zona-valle"}
	return Deployment{
		Nodes: 5, Zones: zones,
		Teams: []Team{
			{Name: "topografia", GPUs: 180, GPUsMax: 600}, {Name: "avaluos", GPUs: 250, GPUsMax: 400},
			{Name: "geodesia", GPUs: 120, GPUsMax: 700}, {Name: "notarial-enlace", GPUs: 250, GPUsMax: 800},
			{Name: "plataforma-cali", GPUs: 150, GPUsMax: 600},
		},
		ReportS: 2, LeaseS: 14, GangWaitS: 30, GangPeerS: 4, CancelS: 44,
		Store:    StoreLimits{RPS: 70, WriteRPS: 25, ValueKB: 8, TxnOps: 20},
		CloudRPS: 3, ListLagS: 10, Cores: 0.18, MemMB: 125, Connections: 1500, TimeBoundMS: 25,
		Types:    []MachineType{{"paramo", 24, 2, 96, 100, 0.5, 7.53, 2.24, 60, zones}},
		Capacity: 10, Boot: 1500 * time.Millisecond,
	}
}

// playSession mutes two machines for longer than their lease, so that they begin a new session,
// while some direct commands to them are held up.
func playSession(w *World, trouble bool) error {
	for i := range w.nodes {
		if err := w.Start(i); err != nil {
			return err
		}
	}
	if err := w.AwaitReady(20 * time.Second); err != nil {
		return err
	}
	service := array(1, "avaluos", 4, 0)
	service.Forma, service.EstimadoS, service.Vcpus, service.MemoryGb = "daemon", 0, 12, 29
	if err := w.SubmitUntil(service, 10*time.Second, 0, 1, 2); err != nil {
		return err
	}
	if err := w.awaitOn(12*time.Second, service.Id+"/0", service.Id+"/1", service.Id+"/2", service.Id+"/3"); err != nil {
		return err
	}
	// The job on the third machine ends while the service's machines are out of reach.
	filler := array(2, "avaluos", 1, 34)
	filler.Vcpus, filler.MemoryGb = 24, 36
	if err := w.SubmitUntil(filler, 10*time.Second, 1, 2, 0); err != nil {
		return err
	}
	if err := w.awaitOn(12*time.Second, filler.Id+"/0"); err != nil {
		return err
	}
	// A new machine counts as having the longest lease that another leader may have given.
	time.Sleep(15 * time.Second)
	if trouble {
		muted := map[*Worker]bool{}
		for i := range service.Tareas {
			if m := w.machineOf(fmt.Sprintf("%s/%d", service.Id, i)); m != nil && !muted[m] {
				muted[m] = true
				m.muteAndHold()
			}
		}
	}
	for range 8 {
		time.Sleep(5 * time.Second)
		w.Poll(service.Id, 2)
	}
	return nil
}

// muteAndHold mutes a machine and holds up some of the direct commands to it.
func (w *Worker) muteAndHold() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Mute = true
	w.world.record("machine %s reaches no controller from now on", w.name)
	w.CommandDelay = func(body []byte) time.Duration {
		var ask struct{ Jornada uint64 }
		_ = json.Unmarshal(body, &ask)
		switch left := secs(w.world.leaseS) - time.Since(w.leaseFrom); {
		case w.session == 1 && left > 3*time.Second, w.session > 1 && ask.Jornada < w.session, w.session > 2:
			return 0
		case bytes.Contains(body, []byte(`"run"`)):
			return 2 * time.Second
		}
		return 10 * time.Second
	}
}

// awaitOn waits until tasks are on machines.
func (w *World) awaitOn(wait time.Duration, tasks ...string) error {
	deadline := time.Now().Add(wait)
	for _, task := range tasks {
		for w.machineOf(task) == nil {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is on no machine", task)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
