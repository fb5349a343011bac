package core

import (
	"slices"
	"strconv"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// listedInstance is what the cloud's list said of a machine lately.
type listedInstance struct {
	firstSeenAt micros.Micros
	lastSeenAt  micros.Micros
	listRound   int
}

// readCatalogWhenDue reads the cloud's catalogue now and then.
func (c *Controller) readCatalogWhenDue() {
	if !c.catalogReadInFlight && c.now >= c.nextCatalogReadAt {
		c.readCatalog()
	}
}

// trackSweeping notes when it becomes or ceases to be this controller's task to act on
// the cloud's list.
func (c *Controller) trackSweeping() {
	if sweeps := c.mayPerform(leadership.InstanceSweeper); sweeps != c.sweeping {
		c.sweeping, c.nextListAt = sweeps, c.now
	}
}

// sweepsExclusively tells whether no other controller acts on the cloud's list.
func (c *Controller) sweepsExclusively() bool {
	return c.sweeping && c.isExclusive(leadership.InstanceSweeper)
}

// listInstancesWhenDue reads the cloud's list now and then.
func (c *Controller) listInstancesWhenDue() {
	if !c.listInFlight && c.now >= c.nextListAt {
		c.listInFlight = true
		c.listRound++
		c.listInstances("")
	}
}

// deleteInstancesWhenDue has the cloud delete what it should, one request at a time.
func (c *Controller) deleteInstancesWhenDue() {
	if !c.deleteInFlight && c.now >= c.nextDeleteAt {
		c.deleteInstances()
	}
}

// How often the catalogue is read, and after a failure.
const (
	catalogInterval      = 60 * micros.Second
	catalogRetryInterval = 2 * micros.Second
)

func (c *Controller) readCatalog() {
	c.catalogReadInFlight = true
	c.callCloud(CloudCall{Op: OpReadCatalog}, func(r *CloudReply) {
		c.catalogReadInFlight = false
		if r.Status != 200 || len(r.Catalog.Types) == 0 {
			c.nextCatalogReadAt = c.now + c.jitter(catalogRetryInterval)
			return
		}
		c.nextCatalogReadAt = c.now + catalogInterval
		c.setMachineTypes(r.Catalog.Types)
		c.storeCatalog()
	})
}

// maxDeletesPerCall is how many machines one request deletes.
const maxDeletesPerCall = 100

// deleteInstances has the cloud delete our machines that are never to be used again:
// those of one partition at a time, each in its turn. That they are never used again
// is committed before, and never taken back, so a request that is carried out late
// changes nothing.
func (c *Controller) deleteInstances() {
	for i := range c.partitions {
		p := c.partitions[(c.nextDeletePartition+i)%len(c.partitions)]
		if names := c.instancesToDelete(p); len(names) > 0 {
			c.nextDeletePartition += i + 1
			c.sendDelete(p, names)
			return
		}
	}
}

// instancesToDelete lists machines of a partition of ours that the cloud is to delete.
func (c *Controller) instancesToDelete(p *partition) []string {
	var names []string
	if !p.Leads() {
		return nil
	}
	for _, m := range c.machinesByName {
		if m.record.Condemned && m.record.Partition == p.index && !m.recordChangePending() && !m.deleteSent && len(names) < maxDeletesPerCall {
			names = append(names, m.name)
		}
	}
	return names
}

func (c *Controller) sendDelete(p *partition, names []string) {
	grant := c.grant(p.RoleState, leadership.Delete)
	if grant.Check(leadership.Delete, c.now) != "" {
		return
	}
	for _, name := range names {
		c.machines[name].deleteSent = true
	}
	c.deleteInFlight = true
	c.callCloud(CloudCall{Op: OpDelete, Delete: leadership.NewOrder(grant, names)}, func(r *CloudReply) {
		c.deleteInFlight = false
		c.nextDeleteAt = c.now + micros.Second // more come meanwhile: one call for them
		for _, name := range names {
			if m := c.machines[name]; m != nil {
				// 200: the machines and all on them are gone.
				m.deleteConfirmed = m.deleteConfirmed || r.Status == 200
				m.deleteSent = r.Status == 200
			}
		}
		if r.Status != 200 {
			c.nextDeleteAt = c.now + c.jitter(2*micros.Second)
		}
	})
}

func (c *Controller) setMachineTypes(types []api.MachineType) {
	c.machineTypes = types
	for i := range types {
		c.machineTypeByName[types[i].Name] = &types[i]
	}
	for _, m := range c.machines {
		m.machineType = c.machineTypeByName[m.record.Type]
	}
}

// catalogShape is a catalogue without its prices.
func catalogShape(types []api.MachineType) string {
	types = slices.Clone(types)
	for i := range types {
		types[i].Price, types[i].SpotPrice = 0, 0
	}
	return string(mustMarshal(types))
}

// storedCatalogPage is a page of the catalogue as the state service has it.
type storedCatalogPage struct {
	catalogRecord
	version uint64
}

// observeCatalogPage takes in a page; the catalogue is known once all its pages are.
func (c *Controller) observeCatalogPage(name string, rec catalogRecord, ver uint64) {
	c.catalogPages[name] = storedCatalogPage{rec, ver}
	first := c.catalogPages[""]
	types := slices.Clone(first.Types)
	for n := 1; n <= first.Pages; n++ {
		p := c.catalogPages[strconv.Itoa(n)]
		if p.version != first.version {
			return
		}
		types = append(types, p.Types...)
	}
	c.catalogVersion, c.storedCatalogShape = first.version, catalogShape(types)
	if len(c.machineTypes) == 0 {
		c.logInfo("catalogue read", "types", len(types))
		c.setMachineTypes(types)
	}
}

// paginateCatalog deals the catalogue out to pages that a value holds.
func (c *Controller) paginateCatalog() []catalogRecord {
	pages := []catalogRecord{{}}
	for _, t := range c.machineTypes {
		last := &pages[len(pages)-1]
		more := catalogRecord{Types: append(slices.Clip(last.Types), t), Pages: len(c.machineTypes)}
		if len(last.Types) > 0 && len(mustMarshal(more)) > c.maxValueBytes() {
			pages = append(pages, catalogRecord{Types: []api.MachineType{t}})
			continue
		}
		last.Types = more.Types
	}
	pages[0].Pages = len(pages) - 1
	return pages
}

// storeCatalog keeps the catalogue in the state service: a controller that
// starts while the cloud is away could else neither accept nor place anything.
func (c *Controller) storeCatalog() {
	grant := c.fleetGrant(leadership.CatalogKeeper, leadership.Write)
	if !c.synced || c.storedCatalogShape == catalogShape(c.machineTypes) || grant.Check(leadership.Write, c.now) != "" {
		return
	}
	pages := c.paginateCatalog()
	if len(pages) > 1 && !c.allReadSchema(schemaDependencies) || len(pages) > c.settings.Deployment.Store.MaxTransactionOps {
		return // the first versions take the first page for all
	}
	req := &api.Transaction{Compares: []api.Compare{{Key: catalogKey, Version: c.catalogVersion}}}
	if grant.Term() > 0 {
		req.Compares = append(req.Compares, api.Compare{Key: roleKey(leadership.Role{Kind: leadership.CatalogKeeper}), Version: grant.Term()})
	}
	for n, p := range pages {
		key := catalogKey
		if n > 0 {
			key += "/" + strconv.Itoa(n)
		}
		req.Writes = append(req.Writes, api.Write{Put: key, Value: mustMarshal(p)})
	}
	c.chargeWrites(len(pages))
	c.callStore(StoreCall{Op: OpTransaction, Transaction: leadership.NewOrder(grant, req)}, func(*StoreReply) {})
}

func (c *Controller) listInstances(after string) {
	c.callCloud(CloudCall{Op: OpListInstances, After: after}, func(r *CloudReply) {
		if r.Status != 200 {
			c.listInFlight = false
			c.nextListAt = c.now + c.jitter(5*micros.Second)
			return
		}
		for _, cm := range r.Instances.Instances {
			after = cm.ID
			c.observeListed(cm)
		}
		if r.Instances.More && len(r.Instances.Instances) > 0 {
			c.listInstances(after)
			return
		}
		c.listInFlight = false
		c.nextListAt = c.now + c.jitter(c.listInterval())
		c.expireUnlisted()
	})
}

// addressListInterval is how often a controller reads the cloud's list that does not sweep it:
// it only wants the addresses of machines that came up meanwhile.
const addressListInterval = 60 * micros.Second

// listInterval is how often the cloud's list is read. All controllers' lists together
// take at most a third of the calls that the cloud admits, however many machines
// there are.
func (c *Controller) listInterval() micros.Micros {
	if !c.sweeping {
		return addressListInterval
	}
	readers := len(c.settings.Nodes)
	if c.isExclusive(leadership.InstanceSweeper) {
		readers = 1
	}
	pages := float64(1 + len(c.machines)/instancesPerPage)
	paced := pages * float64(readers) / (listCallShare * c.settings.Deployment.Cloud.RPS)
	return micros.FromSeconds(max(5, c.settings.Deployment.Cloud.ListLagS, paced))
}

const (
	instancesPerPage = 500     // machines in a page of the cloud's list
	listCallShare    = 1.0 / 3 // of the cloud's calls
)

// expireUnlisted drops what was listed before and is absent from several lists.
func (c *Controller) expireUnlisted() {
	for _, name := range sortedKeys(c.listedInstances) {
		l := c.listedInstances[name]
		if l.listRound < c.listRound-2 && c.now > l.lastSeenAt+c.unlistedTimeout() {
			delete(c.listedInstances, name)
			if c.sweeping {
				c.handleUnlistedInstance(name)
			}
		}
	}
}

func (c *Controller) observeListed(cm api.Instance) {
	l := c.listedInstances[cm.ID]
	if l == nil {
		l = &listedInstance{firstSeenAt: c.now}
		c.listedInstances[cm.ID] = l
	}
	l.lastSeenAt, l.listRound = c.now, c.listRound
	if m := c.machines[cm.ID]; m != nil {
		if m.address == "" {
			m.address = cm.Address
		}
		m.launchedAt = min(m.launchedAt, c.now-micros.FromSeconds(cm.AgeS))
		if cm.State == api.InstanceFailed && !m.record.Condemned {
			c.handleFailedInstance(m)
		}
		return
	}
	// A rental that was not expected: of a late request, or one whose renter
	// ended before it could record it. Lists lag, so it is given time.
	if c.sweeping && c.now > l.firstSeenAt+micros.FromSeconds(2*c.settings.Deployment.Cloud.ListLagS+orphanGraceS) {
		c.handleOrphan(cm)
		l.firstSeenAt = c.now
	}
}

// observeUnknownWorker notes a worker that no record is known of.
func (c *Controller) observeUnknownWorker(r *api.Heartbeat) {
	l := c.listedInstances["report "+r.Machine]
	if l == nil {
		c.listedInstances["report "+r.Machine] = &listedInstance{firstSeenAt: c.now, lastSeenAt: c.now, listRound: c.listRound}
		return
	}
	l.lastSeenAt, l.listRound = c.now, c.listRound
	if c.now > l.firstSeenAt+6*micros.Second && c.mayPerform(leadership.OrphanAdopter) {
		// Only what answers is there: the report may be a late copy of one
		// from a machine long returned.
		l.firstSeenAt = c.now
		c.emit(probeCommand(r.Machine, r.Address, r.Incarnation))
	}
}

// adoptOrphan records a stray machine in a partition of ours; it is used or returned
// like any other. It tells whether that is ours to do.
func (c *Controller) adoptOrphan(stray peer.Orphan, how string) bool {
	if !c.mayPerform(leadership.OrphanAdopter) || !c.leadsAnyPartition() {
		return false
	}
	if c.recentlyDeleted(stray.Machine) || c.isBeingRecorded(stray.Machine) {
		return true
	}
	for _, p := range c.partitions {
		if !p.Leads() {
			continue
		}
		c.logInfo("stray machine adopted", "machine", stray.Machine, "type", stray.Type, "how", how)
		row := machineRecord{Name: stray.Machine, Type: stray.Type, Zone: stray.Zone, Spot: stray.Spot, HomePartition: p.index, Partition: p.index, LaunchedAt: c.now}
		p.machineBatches = append(p.machineBatches, &machineBatch{records: []machineRecord{row}, adopt: true, onRecorded: func() {}})
		break
	}
	return true
}

// isBeingRecorded tells whether a machine is about to be recorded.
func (c *Controller) isBeingRecorded(name string) bool {
	for _, p := range c.partitions {
		for _, n := range p.machineBatches {
			if slices.ContainsFunc(n.records, func(r machineRecord) bool { return r.Name == name }) {
				return true
			}
		}
	}
	return false
}
