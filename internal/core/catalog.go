package core

import (
	"slices"
	"strconv"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// machineCatalog is which types of machines the cloud has, at which prices, and the copy
// of it in the key-value store.
type machineCatalog struct {
	*environment
	budget  *writeBudget
	cache   *watchCache
	cluster *clusterState
	roles   *roleManager
	schema  *schemaTracker

	machineTypes        []api.MachineType
	machineTypeByName   map[string]*api.MachineType
	nextCatalogReadAt   micros.Micros
	catalogReadInFlight bool
	catalogVersion      uint64                       // of the copy in the store
	storedCatalogShape  string                       // of the copy, without its prices
	catalogPages        map[string]storedCatalogPage // of the copy, by what follows its key
}

func newMachineCatalog(env *environment, budget *writeBudget, cache *watchCache, cluster *clusterState, roles *roleManager, schema *schemaTracker) *machineCatalog {
	return &machineCatalog{environment: env, budget: budget, cache: cache, cluster: cluster, roles: roles, schema: schema,
		machineTypeByName: map[string]*api.MachineType{}, catalogPages: map[string]storedCatalogPage{}}
}

// How often the catalogue is read, and after a failure.
const (
	catalogInterval      = 60 * micros.Second
	catalogRetryInterval = 2 * micros.Second
)

// readCatalogWhenDue reads the cloud's catalogue now and then.
func (c *machineCatalog) readCatalogWhenDue() {
	if !c.catalogReadInFlight && c.now >= c.nextCatalogReadAt {
		c.readCatalog()
	}
}

func (c *machineCatalog) readCatalog() {
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

func (c *machineCatalog) setMachineTypes(types []api.MachineType) {
	c.machineTypes = types
	for i := range types {
		c.machineTypeByName[types[i].Name] = &types[i]
	}
	for _, m := range c.cluster.machines {
		m.machineType = c.machineTypeByName[m.record.Type]
	}
}

// slowestFetchSPerGB is how many seconds the slowest type takes to fetch a gigabyte.
func (c *machineCatalog) slowestFetchSPerGB() float64 {
	s := 0.0
	for _, t := range c.machineTypes {
		if t.FetchGBs > 0 {
			s = max(s, 1/t.FetchGBs)
		}
	}
	return s
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
func (c *machineCatalog) observeCatalogPage(name string, rec catalogRecord, ver uint64) {
	c.catalogPages[name] = storedCatalogPage{catalogRecord: rec, version: ver}
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
func (c *machineCatalog) paginateCatalog() []catalogRecord {
	pages := []catalogRecord{{}}
	for _, t := range c.machineTypes {
		last := &pages[len(pages)-1]
		more := catalogRecord{Types: append(slices.Clip(last.Types), t), Pages: len(c.machineTypes)}
		if len(last.Types) > 0 && len(mustMarshal(more)) > c.settings.maxValueBytes() {
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
func (c *machineCatalog) storeCatalog() {
	grant := c.roles.fleetGrant(leadership.CatalogKeeper, leadership.Write)
	if !c.cache.synced || c.storedCatalogShape == catalogShape(c.machineTypes) || grant.Check(leadership.Write, c.now) != "" {
		return
	}
	pages := c.paginateCatalog()
	if len(pages) > 1 && !c.schema.allReadSchema(schemaDependencies) || len(pages) > c.settings.Deployment.Store.MaxTransactionOps {
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
	c.budget.chargeWrites(len(pages))
	c.callStore(StoreCall{Op: OpTransaction, Transaction: leadership.NewOrder(grant, req)}, func(*StoreReply) {})
}
