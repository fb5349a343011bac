// Command stand plays a case of the review: it starts the controllers of this project as
// processes, with stand-ins of the state service, the cloud, workers and users beside them.
//
//	stand CASE REPOSITORY RECORD
//
// It exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// play is a case. trouble tells whether it has its disruption.
type play struct {
	rule       string
	deployment func() Deployment
	run        func(w *World, trouble bool) error
}

var plays = map[string]play{}

func main() {
	if len(os.Args) != 4 || plays[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE REPOSITORY RECORD")
		os.Exit(failed)
	}
	os.Exit(playCase(plays[os.Args[1]], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func playCase(p play, repo, record string, trouble bool) int {
	w, err := NewWorld(repo, record, p.deployment())
	if err != nil {
		fmt.Println("the case couldn't run:", err)
		return failed
	}
	ended := make(chan error, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	w.record("rule %s, with the disruption: %t", p.rule, trouble)
	go func() { ended <- p.run(w, trouble) }()
	select {
	case err = <-ended:
	case <-stop:
		err = fmt.Errorf("stopped")
	case <-time.After(112 * time.Second):
		err = fmt.Errorf("out of time")
	}
	if names := w.EndedByItself(); names != nil {
		w.record("controllers that ended by themselves: %v", names)
	}
	w.mu.Lock()
	var rules []string
	for rule, texts := range w.broken {
		rules = append(rules, rule)
		fmt.Printf("%s broken %d times, first: %s\n", rule, len(texts), texts[0])
	}
	count := len(w.broken[p.rule])
	if p.rule == "any" {
		count = len(w.broken)
	}
	w.mu.Unlock()
	sort.Strings(rules)
	code := held
	switch {
	case count > 0:
		code = broken
	case err != nil:
		fmt.Println("the case couldn't run:", err)
		code = failed
	default:
		fmt.Println(p.rule, "held")
	}
	w.record("rules broken: %v; error: %v; exit code %d", rules, err, code)
	w.Close()
	return code
}

// small is a deployment with the size and limits of kit/sites/sol-comun-xela.toml.
func small() Deployment {
	zones := []string{"volcan", "costa", "lago"}
	return Deployment{
		Nodes: 3, Zones: zones,
		Teams: []Team{
			{Name: "lecturas", GPUs: 8, GPUsMax: 24}, {Name: "tarifas", GPUs: 24, GPUsMax: 40},
			{Name: "pronostico", GPUs: 8, GPUsMax: 24}, {Name: "socios", GPUs: 16, GPUsMax: 48},
			{Name: "cobranza", GPUs: 16, GPUsMax: 24}, {Name: "redes", GPUs: 16, GPUsMax: 48},
		},
		ReportS: 3, LeaseS: 18, GangWaitS: 45, GangPeerS: 4, CancelS: 48,
		Store:    StoreLimits{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 48},
		CloudRPS: 2, ListLagS: 10, Cores: 0.12, MemMB: 98, Connections: 1200, TimeBoundMS: 25,
		Types: []MachineType{
			{"quetzal", 12, 2, 72, 70, 0.3, 6.34, 2.15, 40, zones},
			{"ceiba", 24, 4, 144, 120, 0.8, 7.81, 2.62, 45, zones},
		},
		Capacity: 4, Boot: 1500 * time.Millisecond,
	}
}

// array returns an array of one-CPU tasks.
func array(number int, team string, tasks int, runS float64, needs ...string) *Job {
	return &Job{
		Id: jobID(number), Clase: "revision", Dueno: team, Forma: "array", Prelacion: "standard", Tareas: tasks,
		Vcpus: 1, MemoryGb: 1, Image: "img-01", SizeGb: 0.1, EstimadoS: runS, Espera: needs, RunS: runS,
	}
}

func jobID(number int) string { return fmt.Sprintf("wk-%06d", number) }
