package core

import (
	"slices"
	"strconv"

	"spurmoor/internal/sched"
	"spurmoor/internal/wire"
)

// listedMachine is what the cloud's list said of a machine lately.
type listedMachine struct {
	first int64
	last  int64
	round int
}

// keepCloud asks the cloud for what is due, one request of a sort at a time.
func (c *Core) keepCloud() {
	if !c.typesBusy && c.now >= c.typesAt {
		c.readCatalog()
	}
	if !slices.ContainsFunc(c.partitions, func(p *partition) bool { return p.held }) {
		return
	}
	if !c.listing && c.now >= c.listAt {
		c.listing = true
		c.listRound++
		c.listMachines("")
	}
	if !c.deleting && c.now >= c.cloudBad {
		c.deleteMachines()
	}
}

// How often the catalogue is read, and after a failure.
const (
	catalogEvery = 60 * Second
	catalogRetry = 2 * Second
)

func (c *Core) readCatalog() {
	c.typesBusy = true
	c.callCloud(CloudCall{Op: OpCatalog}, func(r *CloudReply) {
		c.typesBusy = false
		if r.Status != 200 || len(r.Catalog.Types) == 0 {
			c.typesAt = c.now + c.jitter(catalogRetry)
			return
		}
		c.typesAt = c.now + catalogEvery
		c.setTypes(r.Catalog.Types)
		c.keepTypes()
	})
}

// deleteMost is how many machines one request deletes.
const deleteMost = 100

// deleteMachines has the cloud delete our machines that are never to be used again.
func (c *Core) deleteMachines() {
	var names []string
	for _, m := range c.order {
		if m.rec.Gone && c.heldPartition(m) != nil && !m.busy() && !m.delSent && len(names) < deleteMost {
			m.delSent = true
			names = append(names, m.name)
		}
	}
	if names == nil {
		return
	}
	c.deleting = true
	c.callCloud(CloudCall{Op: OpDelete, Names: names}, func(r *CloudReply) {
		c.deleting = false
		c.cloudBad = c.now + Second // more come meanwhile: one call for them
		for _, name := range names {
			if m := c.machines[name]; m != nil {
				// 200: the machines and all on them are gone.
				m.delOK = m.delOK || r.Status == 200
				m.delSent = r.Status == 200
			}
		}
		if r.Status != 200 {
			c.cloudBad = c.now + c.jitter(2*Second)
		}
	})
}

func (c *Core) setTypes(types []wire.MachineType) {
	c.types = types
	for i := range types {
		c.typeOf[types[i].Name] = &types[i]
	}
	for _, m := range c.machines {
		m.typ = c.typeOf[m.rec.Type]
	}
}

// shape is a catalogue without its prices.
func shape(types []wire.MachineType) string {
	types = slices.Clone(types)
	for i := range types {
		types[i].Price, types[i].SpotPrice = 0, 0
	}
	return string(mustJSON(types))
}

// catalogPage is a page of the catalogue as the state service has it.
type catalogPage struct {
	catalogRecord
	ver uint64
}

// catalogPage takes in a page; the catalogue is known once all its pages are.
func (c *Core) catalogPage(name string, rec catalogRecord, ver uint64) {
	c.pages[name] = catalogPage{rec, ver}
	first := c.pages[""]
	types := slices.Clone(first.Types)
	for n := 1; n <= first.Pages; n++ {
		p := c.pages[strconv.Itoa(n)]
		if p.ver != first.ver {
			return
		}
		types = append(types, p.Types...)
	}
	c.typesVer, c.typesKept = first.ver, shape(types)
	if len(c.types) == 0 {
		c.info("catalogue read", "types", len(types))
		c.setTypes(types)
	}
}

// paged deals the catalogue out to pages that a value holds.
func (c *Core) paged() []catalogRecord {
	pages := []catalogRecord{{}}
	for _, t := range c.types {
		last := &pages[len(pages)-1]
		more := catalogRecord{Types: append(slices.Clip(last.Types), t), Pages: len(c.types)}
		if len(last.Types) > 0 && len(mustJSON(more)) > c.maxValue() {
			pages = append(pages, catalogRecord{Types: []wire.MachineType{t}})
			continue
		}
		last.Types = more.Types
	}
	pages[0].Pages = len(pages) - 1
	return pages
}

// keepTypes keeps the catalogue in the state service: a controller that
// starts while the cloud is away could else neither accept nor place anything.
func (c *Core) keepTypes() {
	if !c.synced || c.typesKept == shape(c.types) {
		return
	}
	pages := c.paged()
	if len(pages) > 1 && !c.allRead() || len(pages) > c.set.Facts.State.TxnOps {
		return // the first versions take the first page for all
	}
	req := &wire.Txn{If: []wire.Guard{{Key: typesKey, Version: c.typesVer}}}
	for n, p := range pages {
		key := typesKey
		if n > 0 {
			key += "/" + strconv.Itoa(n)
		}
		req.Then = append(req.Then, wire.Write{Put: key, Value: mustJSON(p)})
	}
	c.spend(len(pages))
	c.callStore(StoreCall{Op: OpTxn, Txn: req}, func(*StoreReply) {})
}

func (c *Core) listMachines(after string) {
	c.callCloud(CloudCall{Op: OpMachines, After: after}, func(r *CloudReply) {
		if r.Status != 200 {
			c.listing = false
			c.listAt = c.now + c.jitter(5*Second)
			return
		}
		for _, cm := range r.Machines.Machines {
			after = cm.ID
			c.list(cm)
		}
		if r.Machines.More && len(r.Machines.Machines) > 0 {
			c.listMachines(after)
			return
		}
		c.listing = false
		c.listAt = c.now + c.jitter(secs(max(5, c.set.Facts.Cloud.ListLagS)))
		lag := secs(2*c.set.Facts.Cloud.ListLagS + 10)
		for _, name := range sorted(c.listed) {
			l := c.listed[name]
			// Listed before and absent from several lists: gone for good.
			if l.round < c.listRound-2 && c.now > l.last+lag {
				delete(c.listed, name)
				if m := c.machines[name]; m != nil && c.heldPartition(m) != nil && c.now > m.seenAt+lag {
					c.remove(m, "no longer listed")
				}
			}
		}
	})
}

func (c *Core) list(cm wire.CloudMachine) {
	l := c.listed[cm.ID]
	if l == nil {
		l = &listedMachine{first: c.now}
		c.listed[cm.ID] = l
	}
	l.last, l.round = c.now, c.listRound
	m := c.machines[cm.ID]
	if m != nil {
		if m.addr == "" {
			m.addr = cm.Addr
		}
		if cm.State == wire.MachineFailed && c.heldPartition(m) != nil {
			c.remove(m, "failed")
		}
		return
	}
	// A rental that was not expected: of a late request, or one whose renter
	// ended before it could record it. Lists lag, so it is given time.
	if c.now > l.first+secs(2*c.set.Facts.Cloud.ListLagS+5) {
		c.adopt(cm.ID, cm.Type, cm.Zone, cm.Spot, "listed")
		l.first = c.now
	}
}

// strayReport notes a worker that no record is known of.
func (c *Core) strayReport(r *wire.Report) {
	l := c.listed["report "+r.Machine]
	if l == nil {
		c.listed["report "+r.Machine] = &listedMachine{first: c.now, last: c.now, round: c.listRound}
		return
	}
	l.last, l.round = c.now, c.listRound
	if c.now > l.first+6*Second {
		// Only what answers is there: the report may be a late copy of one
		// from a machine long returned. Token 0 has nothing done.
		l.first = c.now
		c.emit(SendCommands{Machine: r.Machine, Addr: r.Addr, Body: wire.CommandRequest{Session: r.Session, Commands: []wire.Command{}}})
	}
}

// adopt records a stray machine in a partition of ours; it is used or returned
// like any other.
func (c *Core) adopt(name, typ, zone string, spot bool, how string) {
	if at, ok := c.deletedAt[name]; ok && c.now < at+120*Second {
		return
	}
	for _, p := range c.partitions {
		if p.held {
			c.info("stray machine adopted", "machine", name, "type", typ, "how", how)
			c.recordMachines(p, []machineRow{{Name: name, Type: typ, Zone: zone, Spot: spot, Home: p.idx, Cur: p.idx, At: c.now}}, true, func() {})
			return
		}
	}
}

// rent asks for machines. The name of the request is never used again: it
// has this process's number in it.
func (c *Core) rent(p *partition, k sched.Kind, count int) {
	c.rentSeq++
	req := &wire.Rent{Request: c.set.Node + "-" + strconv.FormatUint(c.inc, 36) + "-" + strconv.Itoa(c.rentSeq),
		Type: k.Type, Zone: k.Zone, Spot: k.Spot, Count: min(count, 50)}
	p.renting(c, k, req.Count)
	c.tryRent(p, k, req, 1)
}

func (p *partition) renting(c *Core, k sched.Kind, n int) {
	if p.rents == nil {
		p.rents = map[sched.Kind]int{}
	}
	p.rents[k] += n
	if p.rents[k] <= 0 {
		delete(p.rents, k)
	}
}

func (c *Core) tryRent(p *partition, k sched.Kind, req *wire.Rent, try int) {
	c.callCloud(CloudCall{Op: OpRent, Rent: req}, func(r *CloudReply) {
		if r.Status == 200 {
			c.info("machines rented", "partition", p.idx, "kind", kindName(k).String(), "asked", req.Count, "got", len(r.Names))
			if len(r.Names) < req.Count {
				c.refused[k] = c.now + secs(c.set.Ops.RefusalS)
				p.renting(c, k, len(r.Names)-req.Count)
				c.planWithin(Second / 5)
			}
			// As many at a time as leave room in an entry of the log.
			for names := range slices.Chunk(r.Names, max(1, c.maxValue()/3/rowBytes)) {
				var rows []machineRow
				for _, name := range names {
					rows = append(rows, machineRow{Name: name, Type: k.Type, Zone: k.Zone, Spot: k.Spot, Home: p.idx, Cur: p.idx, At: c.now})
				}
				c.recordMachines(p, rows, false, func() { p.renting(c, k, -len(names)) })
			}
			return
		}
		if r.Status == 0 && try < 4 && p.held {
			// Whether it was carried out is not known: the same name gives
			// the same machines.
			c.tryRent(p, k, req, try+1)
			return
		}
		p.renting(c, k, -req.Count)
		c.planWithin(Second)
		if r.Status == 429 {
			return // our budget, not the cloud's room
		}
		c.refused[k] = c.now + c.jitter(secs(c.set.Ops.RefusalS))
		c.info("rental refused", "partition", p.idx, "kind", kindName(k).String(), "status", r.Status)
	})
}
