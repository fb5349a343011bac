package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	plays["pipeline"] = play{rule: "too_early", deployment: small, run: playPipeline}
}

// pairs is the number of pipelines of two steps whose first step is done.
const pairs = 220

// playPipeline cancels the first job of a pipeline while two of three controllers restart.
func playPipeline(w *World, trouble bool) error {
	for i := range w.nodes {
		if err := w.Start(i); err != nil {
			return err
		}
	}
	if err := w.AwaitReady(20 * time.Second); err != nil {
		return err
	}
	// The pipeline: first <- second <- third <- last. Ids come in no order.
	first := array(500, "tarifas", 1, 600)
	second := array(990, "cobranza", 1, 5, first.Id)
	third := array(50, "cobranza", 1, 5, second.Id)
	last := array(970, "redes", 1, 5, third.Id)
	for _, job := range []*Job{first, second, third, last} {
		if err := w.SubmitUntil(job, 20*time.Second, 0, 1, 2); err != nil {
			return err
		}
	}
	if err := submitPairs(w); err != nil {
		return err
	}
	if err := w.PollUntil(first.Id, 0, "running", time.Second, 20*time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	w.store.OnRead = func(node int, r *http.Request, status int) {
		if strings.HasPrefix(r.URL.Path, "/store") {
			w.record("state service: GET %s from nodo-%d -> %d", r.URL, node, status)
		}
	}
	crash := time.Now()
	if trouble {
		w.KillNode(1)
		w.KillNode(2)
	}
	time.Sleep(300 * time.Millisecond)
	if err := w.Cancel(first.Id, 0, 10*time.Second); err != nil {
		return err
	}
	for _, job := range []*Job{second, third, last} {
		w.Poll(job.Id, 0)
	}
	if trouble {
		time.Sleep(time.Until(crash.Add(5 * time.Second)))
		if err := w.Start(1); err != nil {
			return err
		}
		time.Sleep(1100 * time.Millisecond)
		if err := w.Start(2); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	if err := w.AwaitReady(20 * time.Second); err != nil {
		return err
	}
	for range 4 {
		for node := range w.nodes {
			for _, job := range []*Job{first, second, third, last} {
				w.Poll(job.Id, node)
			}
		}
		time.Sleep(3 * time.Second)
	}
	return nil
}

// submitPairs submits pipelines of two steps and waits until all first steps are done. The
// second steps run on or wait for room.
func submitPairs(w *World) error {
	teams := []string{"lecturas", "tarifas", "pronostico", "socios", "cobranza", "redes"}
	var wait sync.WaitGroup
	errs := make(chan error, 3)
	for lane := range 3 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := lane; i < pairs; i += 3 {
				step := array(2000+i, teams[i%len(teams)], 1, 1)
				next := array(100+i, teams[i%len(teams)], 1, 600, step.Id)
				for _, job := range []*Job{step, next} {
					if err := w.SubmitUntil(job, 30*time.Second, lane, (lane+1)%3); err != nil {
						errs <- err
						return
					}
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	wait.Wait()
	select {
	case err := <-errs:
		return err
	default:
	}
	deadline := time.Now().Add(40 * time.Second)
	for i := 0; i < pairs; {
		if w.Poll(jobID(2000+i), 0).State == "done" {
			i++
			continue
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d first steps are done", i)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}
