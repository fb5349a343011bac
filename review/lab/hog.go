package main

import (
	"fmt"
	"math/rand"
	"strings"
	"time"
)

func init() { cases["hog"] = caseHog }

// caseHog: one-task jobs beside an array of 100,000 short tasks of the same team. It records the
// times and checks the general rules.
func caseHog(w *world, trouble bool) int {
	for _, zone := range w.site.zones {
		w.cloud.capacity[kindOf("ceiba", zone, true)] = 13
		w.cloud.capacity[kindOf("quetzal", zone, true)] = 13
	}
	hog := arrayJob("wk-000001", "lecturas", 100000, 4)
	hog.Vcpus, hog.Accelerators, hog.MemoryGb, hog.Prestadas = 0.25, 0, 0.5, true
	w.runFn = func(t *task) float64 {
		if t.job == hog {
			return 1 + 5*rand.Float64()
		}
		return t.job.runS
	}
	w.submit(hog, 0)
	for i := 0; w.rec.seconds() < 105; i++ {
		time.Sleep(5 * time.Second)
		j := arrayJob(fmt.Sprintf("wk-9%05d", i), "lecturas", 1, 1)
		j.Vcpus, j.Accelerators, j.MemoryGb, j.Prestadas, j.Prelacion = 0.25, 0, 0.5, true, "urgent"
		at := time.Now()
		w.submit(j, i)
		go func() {
			for !w.begun(j.Id) {
				time.Sleep(20 * time.Millisecond)
			}
			begun := time.Since(at)
			for !j.done(j.Id + "/0") {
				time.Sleep(20 * time.Millisecond)
			}
			done := time.Since(at)
			for {
				if _, a := w.nodes[0].ask("GET", "/work/"+j.Id, nil, 2*time.Second); len(a) > 0 && strings.Contains(a, `"Estado":"done"`) {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			w.rec.log("HOG %s begun %.1f done %.1f told %.1f", j.Id, begun.Seconds(), done.Seconds(), time.Since(at).Seconds())
		}()
		hog.mu.Lock()
		n := len(hog.doneTasks)
		hog.mu.Unlock()
		_, on := w.usage("lecturas")
		w.rec.log("HOG done %d, on machines %d, rss %.0f", n, on, w.nodes[0].rssMB())
	}
	return w.verdict()
}
