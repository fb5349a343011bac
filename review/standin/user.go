package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Answer is what a user was answered.
type Answer struct {
	Status int // 0: no answer
	State  string
	Text   string
}

var userClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func (w *World) request(method, path string, node int, body []byte, wait time.Duration) Answer {
	ctx, cancel := withTimeout(wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.nodes[node].public+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	response, err := userClient.Do(r)
	if err != nil {
		return Answer{}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}
	}
	answer := Answer{Status: response.StatusCode, Text: string(bytes.TrimSpace(raw))}
	var status struct{ Estado string }
	if response.StatusCode < 300 && json.Unmarshal(raw, &status) == nil {
		answer.State = status.Estado
	}
	return answer
}

// told checks the rules for an answer about a job.
//
// before is what some user had been told when the request was sent: an answer that is on its
// way while another node answers is not held against the older state.
func (w *World) told(id, before string, answer Answer, node int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer.Status == 404 && before != "" {
		w.breaks("forgotten", "%s, an accepted job, is answered 404 by %s", id, w.nodes[node].name)
	}
	if answer.State == "" {
		return
	}
	final := func(state string) bool { return state == "done" || state == "withdrawn" }
	if final(before) && answer.State != before {
		w.breaks("went_back", "%s was called %s and is called %s by %s", id, before, answer.State, w.nodes[node].name)
	}
	if answer.State == "done" && !w.jobDone(id) {
		w.breaks("not_done", "%s is called done by %s, but not all its tasks are", id, w.nodes[node].name)
	}
	if !final(w.called[id]) {
		w.called[id] = answer.State
	}
	if _, ok := w.cancelled[id]; !ok && answer.State == "withdrawn" {
		w.cancelled[id] = time.Now()
	}
}

// calledNow returns what the user of a job was told last.
func (w *World) calledNow(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.called[id]
}

// Submit submits a job at a node once.
func (w *World) Submit(job *Job, node int) Answer {
	w.mu.Lock()
	w.jobs[job.Id] = job // users upload the description before they submit the job
	w.mu.Unlock()
	body, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	before := w.calledNow(job.Id)
	answer := w.request("POST", "/work", node, body, 5*time.Second)
	w.record("user: POST /work %s to %s -> %d %s", body, w.nodes[node].name, answer.Status, answer.Text)
	w.told(job.Id, before, answer, node)
	return answer
}

// SubmitUntil submits a job until it is accepted, at the given nodes in turn.
func (w *World) SubmitUntil(job *Job, wait time.Duration, nodes ...int) error {
	deadline := time.Now().Add(wait)
	for i := 0; time.Now().Before(deadline); i++ {
		answer := w.Submit(job, nodes[i%len(nodes)])
		if answer.Status == 200 || answer.Status == 201 {
			return nil
		}
		if answer.Status == 400 || answer.Status == 422 {
			return fmt.Errorf("%s refused: %s", job.Id, answer.Text)
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%s not accepted", job.Id)
}

// Poll asks a node about a job.
func (w *World) Poll(id string, node int) Answer {
	before := w.calledNow(id)
	answer := w.request("GET", "/work/"+id, node, nil, 2*time.Second)
	w.record("user: GET /work/%s at %s -> %d %s", id, w.nodes[node].name, answer.Status, answer.Text)
	w.told(id, before, answer, node)
	return answer
}

// Cancel cancels a job at a node until it is confirmed.
func (w *World) Cancel(id string, node int, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for time.Now().Before(deadline) {
		before := w.calledNow(id)
		answer := w.request("POST", "/work/"+id+"/cancel", node, nil, 5*time.Second)
		w.record("user: POST /work/%s/cancel at %s -> %d %s", id, w.nodes[node].name, answer.Status, answer.Text)
		w.told(id, before, answer, node)
		if answer.Status == 200 {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("cancellation of %s not confirmed", id)
}

// PollUntil polls a job about every interval until it has a state.
func (w *World) PollUntil(id string, node int, state string, interval, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for time.Now().Before(deadline) {
		if w.Poll(id, node).State == state {
			return nil
		}
		time.Sleep(interval)
	}
	return fmt.Errorf("%s is not called %s by %s", id, state, w.nodes[node].name)
}

// AwaitReady waits until all controllers answer /ready with 200.
func (w *World) AwaitReady(wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for i := range w.nodes {
		for w.request("GET", "/ready", i, nil, time.Second).Status != 200 {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", w.nodes[i].name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
