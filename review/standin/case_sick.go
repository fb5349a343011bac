package main

import (
	"fmt"
	"time"
)

func init() {
	plays["sick"] = play{rule: "left_waiting", deployment: oneCeiba, run: playSick}
}

// oneCeiba is the small deployment with one machine of each type in each zone.
func oneCeiba() Deployment {
	d := small()
	d.Capacity = 1
	return d
}

// leftWaiting is how long a job may wait, once the troubles are over, while a machine that
// fits has room.
const leftWaiting = 90 * time.Second

// playSick runs a service on the only machine that a second job may use. That machine fails the
// tasks that it starts for a few seconds.
func playSick(w *World, trouble bool) error {
	for i := range w.nodes {
		if err := w.Start(i); err != nil {
			return err
		}
	}
	if err := w.AwaitReady(20 * time.Second); err != nil {
		return err
	}
	zone := "volcan"
	service := array(1, "tarifas", 1, 0)
	service.Forma = "daemon"
	service.EstimadoS = 0
	job := array(2, "tarifas", 1, 5)
	for _, j := range []*Job{service, job} {
		j.Zona, j.Tipos, j.Vcpus, j.Accelerators, j.MemoryGb = &zone, []string{"ceiba"}, 5, 1, 27
	}
	if err := w.SubmitUntil(service, 10*time.Second, 0, 1, 2); err != nil {
		return err
	}
	var machine *Worker
	for range 80 {
		if machine = w.machineOf(service.Id + "/0"); machine != nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if machine == nil {
		return fmt.Errorf("the service does not run")
	}
	if trouble {
		machine.SetSick(true)
	}
	if err := w.SubmitUntil(job, 10*time.Second, 1, 2, 0); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	machine.SetSick(false)
	over := time.Now()
	for time.Since(over) < leftWaiting {
		if w.Poll(job.Id, 2).State == "done" {
			return nil
		}
		if w.machineOf(service.Id+"/0") != machine {
			return fmt.Errorf("the service left its machine")
		}
		time.Sleep(2 * time.Second)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaks("left_waiting", "%s waits for %.0f s after the trouble, while %s, which fits, has room for it",
		job.Id, time.Since(over).Seconds(), machine.name)
	return nil
}
