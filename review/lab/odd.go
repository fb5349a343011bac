package main

import (
	"fmt"
	"time"
)

func init() { cases["odd"] = caseOdd }

// caseOdd: submissions at the edges of what the pages allow. It records answers and memory, and
// checks the general rules.
func caseOdd(w *world, trouble bool) int {
	w.siteCapacity()
	id := 0
	add := func(change func(*job)) {
		id++
		j := arrayJob(fmt.Sprintf("wk-%06d", id), []string{"lecturas", "tarifas", "redes"}[id%3], 1, 3)
		change(j)
		s, a := w.submit(j, id)
		w.rec.log("ODD %d: %d %s", id, s, a)
	}
	add(func(j *job) { j.Vcpus, j.Accelerators, j.MemoryGb, j.SizeGb = 0, 0, 0, 0 })
	add(func(j *job) { j.Vcpus, j.Accelerators, j.MemoryGb, j.Tareas, j.SizeGb = 0, 0, 0, 100000, 0 })
	add(func(j *job) { j.Forma, j.Tareas, j.Vcpus, j.Accelerators, j.MemoryGb = "group", 300, 0.1, 0, 0.1 })
	add(func(j *job) { j.Forma, j.Tareas, j.Vcpus, j.Accelerators, j.MemoryGb = "group", 3000, 0, 0, 0 })
	add(func(j *job) { j.Apart, j.Together, j.Tareas = true, true, 4 })
	add(func(j *job) { j.Apart, j.Tareas, j.Zona = true, 4, text("lago") })
	add(func(j *job) { j.Forma, j.EstimadoS, j.Tareas = "daemon", 0, 3 })
	add(func(j *job) {
		j.Forma, j.EstimadoS, j.Tareas, j.Apart, j.Vcpus, j.Accelerators = "daemon", 0, 1000, true, 0, 0
	})
	add(func(j *job) {
		j.EstimadoS, j.RespaldoS, j.GuardadoS = 1e9, 1e9, 1e9
		d := 1e9
		j.PlazoS = &d
		j.Tareas = 100000
	})
	add(func(j *job) { j.EstimadoS = 0; d := 0.0; j.PlazoS = &d; j.Tareas = 50 })
	add(func(j *job) { j.EstimadoS = 0.000001; d := 0.0001; j.PlazoS = &d; j.Tareas = 50; j.SizeGb = 1e9 })
	for range 10 {
		add(func(j *job) {
			j.Tareas, j.Vcpus, j.Accelerators, j.MemoryGb, j.runS, j.Prestadas = 100000, 0.25, 0, 1, 4, true
		})
	}
	for w.rec.seconds() < 100 {
		time.Sleep(5 * time.Second)
		for i, n := range w.nodes {
			at := time.Now()
			status, _ := n.ask("GET", "/work/wk-000001", nil, 5*time.Second)
			w.rec.log("ODD node %d rss %.1f MB, answered %d after %v", i, n.rssMB(), status, time.Since(at))
		}
	}
	w.rec.log("ODD largest report: %d bytes", w.largest.Load())
	if w.largest.Load() > 64<<10 {
		w.broke("report_size: a worker's report has %d bytes", w.largest.Load())
	}
	return w.verdict()
}
