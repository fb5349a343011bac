package cluster

import (
	"slices"
	"strconv"

	"spurmoor/internal/logkey"

	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/records"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// MachineCatalog is which types of machines the cloud has, at which prices, and the copy
// of it in the key-value store.
type MachineCatalog struct {
	*coordination.Environment
	budget  *coordination.WriteBudget
	cache   *coordination.WatchCache
	cluster *State
	roles   *coordination.RoleManager
	schema  *coordination.SchemaTracker

	MachineTypes        []api.MachineType
	MachineTypeByName   map[string]*api.MachineType
	NextCatalogReadAt   micros.Micros
	catalogReadInFlight bool
	catalogVersion      uint64                       // of the copy in the store
	storedCatalogShape  string                       // of the copy, without its prices
	catalogPages        map[string]storedCatalogPage // of the copy, by what follows its key
}

// NewMachineCatalog makes a machine catalog.
func NewMachineCatalog(env *coordination.Environment, budget *coordination.WriteBudget, cache *coordination.WatchCache, cluster *State, roles *coordination.RoleManager, schema *coordination.SchemaTracker) *MachineCatalog {
	return &MachineCatalog{Environment: env, budget: budget, cache: cache, cluster: cluster, roles: roles, schema: schema,
		MachineTypeByName: map[string]*api.MachineType{}, catalogPages: map[string]storedCatalogPage{}}
}

// How often the catalogue is read, and after a failure.
const (
	catalogInterval      = 60 * micros.Second
	catalogRetryInterval = 2 * micros.Second
)

// ReadCatalogWhenDue reads the cloud's catalogue now and then.
func (c *MachineCatalog) ReadCatalogWhenDue() {
	if !c.catalogReadInFlight && c.Now >= c.NextCatalogReadAt {
		c.readCatalog()
	}
}

func (c *MachineCatalog) readCatalog() {
	c.catalogReadInFlight = true
	c.CallCloud(message.CloudCall{Op: message.OpReadCatalog}, func(r *message.CloudReply) {
		c.catalogReadInFlight = false
		if r.Status != 200 || len(r.Catalog.Types) == 0 {
			c.NextCatalogReadAt = c.Now + c.Jitter(catalogRetryInterval)
			return
		}
		c.NextCatalogReadAt = c.Now + catalogInterval
		c.setMachineTypes(r.Catalog.Types)
		c.storeCatalog()
	})
}

func (c *MachineCatalog) setMachineTypes(types []api.MachineType) {
	c.MachineTypes = types
	for i := range types {
		c.MachineTypeByName[types[i].Name] = &types[i]
	}
	for _, m := range c.cluster.Machines {
		m.MachineType = c.MachineTypeByName[m.Record.Type]
	}
}

// SlowestFetchSPerGB is how many seconds the slowest type takes to fetch a gigabyte.
func (c *MachineCatalog) SlowestFetchSPerGB() float64 {
	s := 0.0
	for _, t := range c.MachineTypes {
		if t.FetchGBPerS > 0 {
			s = max(s, 1/t.FetchGBPerS)
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
	return string(records.MustMarshal(types))
}

// storedCatalogPage is a page of the catalogue as the state service has it.
type storedCatalogPage struct {
	records.CatalogRecord
	version uint64
}

// ObserveCatalogPage takes in a page; the catalogue is known once all its pages are.
func (c *MachineCatalog) ObserveCatalogPage(name string, rec records.CatalogRecord, ver uint64) {
	c.catalogPages[name] = storedCatalogPage{CatalogRecord: rec, version: ver}
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
	if len(c.MachineTypes) == 0 {
		c.LogInfo("machine catalog read", logkey.Types, len(types))
		c.setMachineTypes(types)
	}
}

// paginateCatalog deals the catalogue out to pages that a value holds.
func (c *MachineCatalog) paginateCatalog() []records.CatalogRecord {
	pages := []records.CatalogRecord{{}}
	for _, t := range c.MachineTypes {
		last := &pages[len(pages)-1]
		more := records.CatalogRecord{Types: append(slices.Clip(last.Types), t), Pages: len(c.MachineTypes)}
		if len(last.Types) > 0 && len(records.MustMarshal(more)) > c.Settings.MaxValueBytes() {
			pages = append(pages, records.CatalogRecord{Types: []api.MachineType{t}})
			continue
		}
		last.Types = more.Types
	}
	pages[0].Pages = len(pages) - 1
	return pages
}

// storeCatalog keeps the catalogue in the state service: a controller that
// starts while the cloud is away could else neither accept nor place anything.
func (c *MachineCatalog) storeCatalog() {
	grant := c.roles.FleetGrant(leadership.CatalogKeeper, leadership.Write)
	if !c.cache.Synced || c.storedCatalogShape == catalogShape(c.MachineTypes) || grant.Check(leadership.Write, c.Now) != "" {
		return
	}
	pages := c.paginateCatalog()
	if len(pages) > 1 && !c.schema.AllReadSchema(records.SchemaDependencies) || len(pages) > c.Settings.Deployment.Store.MaxTransactionOps {
		return // the first versions take the first page for all
	}
	req := &api.Transaction{Compares: []api.Compare{{Key: records.CatalogKey, Version: c.catalogVersion}}}
	if grant.Term() > 0 {
		req.Compares = append(req.Compares, api.Compare{Key: coordination.RoleKey(leadership.Role{Kind: leadership.CatalogKeeper}), Version: grant.Term()})
	}
	for n, p := range pages {
		key := records.CatalogKey
		if n > 0 {
			key += "/" + strconv.Itoa(n)
		}
		req.Writes = append(req.Writes, api.Write{Put: key, Value: records.MustMarshal(p)})
	}
	c.budget.ChargeWrites(len(pages))
	c.CallStore(message.StoreCall{Op: message.OpTransaction, Transaction: leadership.NewOrder(grant, req)}, func(*message.StoreReply) {})
}
