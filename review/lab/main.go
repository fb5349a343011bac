package main

import (
	"fmt"
	"os"
	"time"
)

// Results of a case, as exit codes.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

type caseFunc func(w *world, trouble bool) int

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-lab CASE RECORD FOLDER")
		os.Exit(couldNotRun)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	limit := 119 * time.Second
	if os.Args[1] == "soak" {
		limit = time.Hour
	}
	time.AfterFunc(limit, func() { os.Exit(couldNotRun) }) // the controllers end with this process
	w, err := newWorld(rec, os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	code := couldNotRun
	if w.waitReady(20 * time.Second) {
		// A job that comes before the machine types are known is planned up to 5 s later.
		time.Sleep(2 * time.Second)
		code = run(w, trouble)
	} else {
		rec.log("the controllers did not become ready")
	}
	for _, n := range w.nodes {
		n.kill()
	}
	for _, text := range w.brokenRules() {
		fmt.Println(text)
	}
	rec.log("result %d (0 held, 1 broken, 2 could not run), trouble %t", code, trouble)
	os.Exit(code)
}

func newWorld(rec *record, folder string) (*world, error) {
	w := &world{rec: rec, site: solComun(), jobs: map[string]*job{}, on: map[*task]*worker{}, started: map[string]int{}, ran: map[string]bool{}, links: map[[2]int]*link{}, cutsLinks: os.Args[1] == "soak"}
	if os.Getenv("TRAZO") != "" { // the state service's and the workers' limits of the other small deployment
		w.site.writeRPS, w.site.txnOps, w.site.valueKB, w.site.rps, w.site.leaseS, w.site.cancelS = 20, 12, 8, 200, 38, 58
	}
	var err error
	if w.store, err = newStore(rec, 3, w.site.rps, w.site.writeRPS, w.site.valueKB, w.site.txnOps); err != nil {
		return nil, err
	}
	if w.cloud, err = newCloud(rec, w); err != nil {
		return nil, err
	}
	w.cloud.types = w.site.types
	if err := w.startNodes(folder); err != nil {
		return nil, err
	}
	go w.watchCancelled()
	return w, nil
}

// verdict returns the exit code for the rules broken so far.
func (w *world) verdict() int {
	if len(w.brokenRules()) > 0 {
		return ruleBroken
	}
	return ruleHeld
}

func text(s string) *string { return &s }

// arrayJob returns an array of the class limpieza-curvas.
func arrayJob(id, team string, tasks int, runS float64) *job {
	return &job{
		Id: id, Clase: "limpieza-curvas", Dueno: team, Forma: "array", Prelacion: "best_effort", Tareas: tasks,
		Vcpus: 5, Accelerators: 1, MemoryGb: 27, Imagen: "img-01", SizeGb: 0.3, Tipos: nil, Prestadas: false,
		EstimadoS: runS, runS: runS,
	}
}
