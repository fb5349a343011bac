package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// MachineType is a type of machine of the catalogue.
type MachineType struct {
	Label                         string
	Vcpus, Accelerators, MemoryGb float64
	LocalGb, FetchGbPerS          float64
	Price, MarketPrice, BootS     float64
	Zonas                         []string
}

// Cloud is a stand-in of the cloud.
type Cloud struct {
	mu       sync.Mutex
	world    *World
	types    []MachineType
	capacity int // machines of one type, zone and kind
	boot     time.Duration
	lag      time.Duration
	asked    map[string][]string // by Pedido
	machines map[string]*rented
	last     int
	requests *bucket
}

type rented struct {
	Id, Endpoint, Tipo, Zona string
	Prestadas                bool
	worker                   *Worker
	rentedAt, upAt, goneAt   time.Time
}

// NewCloud returns a cloud whose machines are up after boot.
func NewCloud(world *World, types []MachineType, capacity int, boot, lag time.Duration, rps float64) *Cloud {
	b := newBucket(rps * 2)
	b.rate = rps * 2
	return &Cloud{
		world: world, types: types, capacity: capacity, boot: boot, lag: lag,
		asked: map[string][]string{}, machines: map[string]*rented{}, requests: b,
	}
}

// ServeHTTP serves all controllers.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	time.Sleep(20 * time.Millisecond)
	if !c.requests.take(1) {
		reply(w, 429, map[string]string{"error": "too many requests"})
		return
	}
	c.mu.Lock()
	status, answer := c.serve(r, body)
	c.mu.Unlock()
	reply(w, status, answer)
}

func (c *Cloud) serve(r *http.Request, body []byte) (int, any) {
	switch {
	case r.URL.Path == "/catalog":
		return 200, map[string]any{"Tipos": c.types}
	case r.URL.Path == "/machines/delete":
		var names struct{ Maquinas []string }
		if json.Unmarshal(body, &names) != nil || len(names.Maquinas) > 100 {
			return 400, map[string]string{"error": "malformed"}
		}
		for _, name := range names.Maquinas {
			if m := c.machines[name]; m != nil && m.goneAt.IsZero() {
				m.goneAt = time.Now()
				m.worker.Kill("deleted")
			}
		}
		return 200, struct{}{}
	case r.URL.Path == "/machines" && r.Method == "POST":
		return c.rent(body)
	case r.URL.Path == "/machines":
		return c.list(r)
	}
	return 400, map[string]string{"error": "malformed"}
}

func (c *Cloud) rent(body []byte) (int, any) {
	var ask struct {
		Pedido, Tipo, Zona string
		Prestadas          bool
		HowMany            int
	}
	if json.Unmarshal(body, &ask) != nil || ask.Pedido == "" || ask.HowMany < 1 || ask.HowMany > 50 {
		return 400, map[string]string{"error": "malformed"}
	}
	if names, ok := c.asked[ask.Pedido]; ok {
		return 200, map[string]any{"Maquinas": names}
	}
	left := c.capacity
	if ask.Prestadas {
		left = 0
	}
	for _, m := range c.machines {
		if m.goneAt.IsZero() && m.Tipo == ask.Tipo && m.Zona == ask.Zona && m.Prestadas == ask.Prestadas {
			left--
		}
	}
	count := min(left, ask.HowMany)
	if count <= 0 {
		return 503, map[string]string{"error": "no capacity"}
	}
	names := []string{}
	for range count {
		c.last++
		name := fmt.Sprintf("n-%06d", c.last)
		names = append(names, name)
		now := time.Now()
		m := &rented{Id: name, Tipo: ask.Tipo, Zona: ask.Zona, Prestadas: ask.Prestadas, rentedAt: now, upAt: now.Add(c.boot)}
		m.worker = c.world.newWorker(name, c.typeNamed(ask.Tipo), ask.Zona, ask.Prestadas, c.boot)
		m.Endpoint = m.worker.addr
		c.machines[name] = m
	}
	c.asked[ask.Pedido] = names
	c.world.record("cloud rents %v type %s zone %s for %s", names, ask.Tipo, ask.Zona, ask.Pedido)
	return 200, map[string]any{"Maquinas": names}
}

func (c *Cloud) typeNamed(label string) MachineType {
	for _, t := range c.types {
		if t.Label == label {
			return t
		}
	}
	return MachineType{}
}

func (c *Cloud) list(r *http.Request) (int, any) {
	most, err := strconv.Atoi(r.URL.Query().Get("Most"))
	if err != nil || most > 500 {
		most = 500
	}
	at := time.Now().Add(-c.lag)
	var names []string
	for name, m := range c.machines {
		if name > r.URL.Query().Get("Since") && !m.rentedAt.After(at) && (m.goneAt.IsZero() || m.goneAt.After(at)) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > most
	if more {
		names = names[:most]
	}
	list := []map[string]any{}
	for _, name := range names {
		m := c.machines[name]
		state := "running"
		if m.upAt.After(at) {
			state = "starting"
		}
		list = append(list, map[string]any{
			"Id": m.Id, "Endpoint": m.Endpoint, "Tipo": m.Tipo, "Zona": m.Zona, "Prestadas": m.Prestadas,
			"Estado": state, "AgeS": at.Sub(m.rentedAt).Seconds(),
		})
	}
	return 200, map[string]any{"Maquinas": list, "Truncated": more}
}
