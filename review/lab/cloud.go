package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type machineType struct {
	Label        string
	Vcpus        float64
	Accelerators float64
	MemoryGb     float64
	LocalGb      float64
	FetchGbPerS  float64
	Price        float64
	MarketPrice  float64
	BootS        float64
	Zonas        []string
}

type instance struct {
	name, typ, zone string
	spot            bool
	rented          time.Time
	up              bool
	gone            time.Time // zero: still there
	worker          *worker
	died            time.Time // zero: it works
}

// cloud rents machines.
type cloud struct {
	rec      *record
	addr     string
	world    *world
	mu       sync.Mutex
	types    []machineType
	capacity map[string]int // machines of a kind: type/zone/spot
	requests map[string][]string
	list     []*instance
	rate     bucket
	lag      time.Duration
	boot     time.Duration
}

func kindOf(typ, zone string, spot bool) string { return fmt.Sprintf("%s/%s/%t", typ, zone, spot) }

func newCloud(rec *record, w *world) (*cloud, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{
		rec: rec, addr: listener.Addr().String(), world: w, capacity: map[string]int{}, requests: map[string][]string{},
		rate: bucket{rate: w.site.cloudRPS}, lag: time.Duration(w.site.listLagS * float64(time.Second)), boot: 1500 * time.Millisecond,
	}
	go http.Serve(listener, http.HandlerFunc(c.serve))
	return c, nil
}

func (c *cloud) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.rate.take(1) {
		reply(w, 429, map[string]string{"error": "rate"})
		return
	}
	switch {
	case r.URL.Path == "/catalog":
		reply(w, 200, map[string]any{"Tipos": c.types})
	case r.URL.Path == "/machines" && r.Method == http.MethodPost:
		c.rent(w, body)
	case r.URL.Path == "/machines/delete":
		var request struct{ Maquinas []string }
		json.Unmarshal(body, &request)
		for _, name := range request.Maquinas {
			c.end(name, "deleted")
		}
		c.rec.log("cloud: deleted %v", request.Maquinas)
		reply(w, 200, map[string]any{})
	case r.URL.Path == "/machines":
		c.serveList(w, r)
	default:
		reply(w, 400, map[string]string{"error": "no such path"})
	}
}

func (c *cloud) rent(w http.ResponseWriter, body []byte) {
	var request struct {
		Pedido, Tipo, Zona string
		Prestadas          bool
		HowMany            int
	}
	if json.Unmarshal(body, &request) != nil || request.HowMany < 1 || request.HowMany > 50 {
		reply(w, 400, map[string]string{"error": "malformed"})
		return
	}
	if names, ok := c.requests[request.Pedido]; ok {
		reply(w, 200, map[string]any{"Maquinas": names})
		return
	}
	kind := kindOf(request.Tipo, request.Zona, request.Prestadas)
	inUse := 0
	for _, m := range c.list {
		if m.gone.IsZero() && kindOf(m.typ, m.zone, m.spot) == kind {
			inUse++
		}
	}
	count := min(request.HowMany, c.capacity[kind]-inUse)
	if count <= 0 {
		c.rec.log("cloud: %s asks for %d %s: no capacity", request.Pedido, request.HowMany, kind)
		reply(w, 503, map[string]string{"error": "no capacity"})
		return
	}
	names := []string{}
	for range count {
		m := &instance{
			name: fmt.Sprintf("n-%06d", len(c.list)+1), typ: request.Tipo, zone: request.Zona, spot: request.Prestadas, rented: time.Now(),
		}
		c.list = append(c.list, m)
		names = append(names, m.name)
		time.AfterFunc(c.boot, func() { c.bootUp(m) })
	}
	c.requests[request.Pedido] = names
	c.rec.log("cloud: %s asks for %d %s: %v", request.Pedido, request.HowMany, kind, names)
	reply(w, 200, map[string]any{"Maquinas": names})
}

func (c *cloud) bootUp(m *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !m.gone.IsZero() {
		return
	}
	for _, t := range c.types {
		if t.Label == m.typ {
			m.up = true
			m.worker = newWorker(c.world, m, t)
		}
	}
}

// end removes a machine. c.mu is held.
func (c *cloud) end(name, why string) {
	for _, m := range c.list {
		if m.name == name && m.gone.IsZero() {
			m.gone = time.Now()
			if m.worker != nil {
				m.worker.kill(why)
			}
		}
	}
}

// take takes a spot machine back without a notice.
func (c *cloud) take(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rec.log("fault: the cloud takes %s back", name)
	c.end(name, "taken")
}

func (c *cloud) serveList(w http.ResponseWriter, r *http.Request) {
	most, _ := strconv.Atoi(r.URL.Query().Get("Most"))
	since := r.URL.Query().Get("Since")
	as := time.Now().Add(-c.lag)
	type listed struct {
		Id, Endpoint, Tipo, Zona string
		Prestadas                bool
		Estado                   string
		AgeS                     float64
	}
	list, truncated := []listed{}, false
	for _, m := range c.list {
		if m.name <= since || m.rented.After(as) || !m.gone.IsZero() && m.gone.Before(as) {
			continue
		}
		if len(list) == most {
			truncated = true
			break
		}
		entry := listed{Id: m.name, Tipo: m.typ, Zona: m.zone, Prestadas: m.spot, Estado: "starting", AgeS: as.Sub(m.rented).Seconds()}
		if m.worker != nil {
			entry.Endpoint = m.worker.addr
			if as.Sub(m.rented) > c.boot {
				entry.Estado = "running"
			}
			if !m.died.IsZero() && as.Sub(m.died) > 30*time.Second {
				entry.Estado = "failed"
			}
		}
		list = append(list, entry)
	}
	reply(w, 200, map[string]any{"Maquinas": list, "Truncated": truncated})
}

// die stops a machine with all that is on it.
func (c *cloud) die(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rec.log("fault: %s stops with all that is on it", name)
	for _, m := range c.list {
		if m.name == name && m.gone.IsZero() {
			m.died = time.Now()
			m.worker.kill("died")
		}
	}
}
