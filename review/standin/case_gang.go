package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	plays["gang"] = play{rule: "forgotten", deployment: small, run: playGang}
}

// unanswered is how long no question about an accepted job may be answered.
const unanswered = 75 * time.Second

// playGang submits two gangs of as many tasks as a job may have, and asks about another job.
func playGang(w *World, trouble bool) error {
	for i := range w.nodes {
		if err := w.Start(i); err != nil {
			return err
		}
	}
	if err := w.AwaitReady(20 * time.Second); err != nil {
		return err
	}
	other := array(1, "lecturas", 2, 600)
	if err := w.SubmitUntil(other, 10*time.Second, 0, 1, 2); err != nil {
		return err
	}
	if err := w.PollUntil(other.Id, 1, "running", time.Second, 15*time.Second); err != nil {
		return err
	}
	if trouble {
		if err := submitGangs(w); err != nil {
			return err
		}
	}
	var last atomic.Int64
	last.Store(time.Now().UnixMilli())
	end := time.Now().Add(100 * time.Second)
	var wait sync.WaitGroup
	for node := range w.nodes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(end) {
				if w.Poll(other.Id, node).Status == 200 {
					last.Store(time.Now().UnixMilli())
				}
				if time.Now().UnixMilli()-last.Load() > unanswered.Milliseconds() {
					return
				}
				time.Sleep(2 * time.Second)
			}
		}()
	}
	wait.Wait()
	if names := w.EndedByItself(); names != nil {
		return fmt.Errorf("%v ended", names)
	}
	if silent := time.Since(time.UnixMilli(last.Load())); silent > unanswered {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.breaks("forgotten", "no question about %s, an accepted job, was answered for %.0f s", other.Id, silent.Seconds())
	}
	return nil
}

// submitGangs submits the gangs at once, so that one plan has both. One of them alone is enough
// to stop the controllers; with two, the time does not depend on how fast the machine is.
func submitGangs(w *World) error {
	errs := make(chan error, 2)
	for i := range 2 {
		go func() {
			gang := array(2+i, "tarifas", 100_000, 20)
			gang.Forma, gang.Vcpus, gang.MemoryGb = "group", 0.0002, 0.0004
			errs <- w.SubmitUntil(gang, 10*time.Second, 1+i, 2-i, 0)
		}()
	}
	return errors.Join(<-errs, <-errs)
}
