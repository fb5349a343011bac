package provisioning

import (
	"slices"
	"strconv"

	"spurmoor/internal/cluster"

	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// How often the cloud's catalog is read, and how soon again after a failure.
const (
	catalogInterval      = 60 * micros.Second
	catalogRetryInterval = 2 * micros.Second
)

// MachineCatalog is which types of machines the cloud has, at which prices, and the copy
// of that in the store.
type MachineCatalog struct {
	*coordination.Environment
	budget  *coordination.WriteBudget
	cache   *coordination.WatchCache
	cluster *cluster.State
	roles   *coordination.RoleManager
	schema  *coordination.SchemaTracker

	// What is known of the types, from the cloud or, until it answers, from the store.
	MachineTypes      []api.MachineType
	machineTypeByName map[string]*api.MachineType

	// Reading the cloud's catalog.
	NextCatalogReadAt   micros.Micros
	catalogReadInFlight bool

	// The copy in the store, as the watch cache shows it.
	catalogVersion     api.Revision                 // of its first page's key
	storedCatalogShape string                       // see catalogShape
	catalogPages       map[string]storedCatalogPage // by what follows records.CatalogKey
}

// storedCatalogPage is a page of the catalog as the store has it.
type storedCatalogPage struct {
	records.CatalogPage
	version api.Revision
}

// NewMachineCatalog returns a catalog that knows no types yet.
func NewMachineCatalog(
	env *coordination.Environment, budget *coordination.WriteBudget, cache *coordination.WatchCache,
	cluster *cluster.State, roles *coordination.RoleManager, schema *coordination.SchemaTracker,
) *MachineCatalog {
	return &MachineCatalog{
		Environment: env, budget: budget, cache: cache, cluster: cluster, roles: roles, schema: schema,
		machineTypeByName: map[string]*api.MachineType{}, catalogPages: map[string]storedCatalogPage{},
	}
}

// TypeNamed returns the type of a name; nil: it is not known.
func (c *MachineCatalog) TypeNamed(name string) *api.MachineType { return c.machineTypeByName[name] }

// ReadCatalogWhenDue reads the cloud's catalog now and then: prices change.
func (c *MachineCatalog) ReadCatalogWhenDue() {
	if c.catalogReadInFlight || c.Now < c.NextCatalogReadAt {
		return
	}
	c.catalogReadInFlight = true
	c.CallCloud(message.CloudCall{Op: message.OpReadCatalog}, c.catalogRead)
}

func (c *MachineCatalog) catalogRead(reply *message.CloudReply) {
	c.catalogReadInFlight = false
	if reply.Status != message.StatusOK || len(reply.Catalog.Types) == 0 {
		c.NextCatalogReadAt = c.Now + c.Jitter(catalogRetryInterval)
		return
	}
	c.NextCatalogReadAt = c.Now + catalogInterval
	c.setMachineTypes(reply.Catalog.Types)
	c.storeCatalog()
}

func (c *MachineCatalog) setMachineTypes(types []api.MachineType) {
	c.MachineTypes = types
	for i := range types {
		c.machineTypeByName[types[i].Name] = &types[i]
	}
	for _, machine := range c.cluster.Machines {
		machine.MachineType = c.machineTypeByName[machine.Record.Type]
	}
}

// SlowestFetchSecondsPerGB returns how many seconds a machine of the slowest type takes to
// fetch a gigabyte; 0: not known.
func (c *MachineCatalog) SlowestFetchSecondsPerGB() float64 {
	slowest := 0.0
	for _, machineType := range c.MachineTypes {
		if machineType.FetchGBPerS > 0 {
			slowest = max(slowest, 1/machineType.FetchGBPerS)
		}
	}
	return slowest
}

// catalogShape is a catalog without its prices: they change often, and a copy with those of
// some time ago is good enough.
func catalogShape(types []api.MachineType) string {
	types = slices.Clone(types)
	for i := range types {
		types[i].Price, types[i].SpotPrice = 0, 0
	}
	return string(records.MustMarshal(types))
}

// ObserveCatalogPage records a page of the copy in the store, whose key has a version. The
// copy is known once all its pages are.
func (c *MachineCatalog) ObserveCatalogPage(name string, record records.CatalogPage, version api.Revision) {
	c.catalogPages[name] = storedCatalogPage{CatalogPage: record, version: version}
	first := c.catalogPages[""]
	types := slices.Clone(first.Types)
	for n := 1; n <= first.Pages; n++ {
		page := c.catalogPages[strconv.Itoa(n)]
		if page.version != first.version {
			return
		}
		types = append(types, page.Types...)
	}
	c.catalogVersion, c.storedCatalogShape = first.version, catalogShape(types)
	if len(c.MachineTypes) == 0 {
		c.LogInfo("machine catalog read", logkey.Types, len(types))
		c.setMachineTypes(types)
	}
}

// paginateCatalog splits the catalog into pages of which each fits into a value.
func (c *MachineCatalog) paginateCatalog() []records.CatalogPage {
	pages := []records.CatalogPage{{}}
	for _, machineType := range c.MachineTypes {
		last := &pages[len(pages)-1]
		// The number of pages, which is not known yet, has no more digits than that of types.
		longer := records.CatalogPage{Types: append(slices.Clip(last.Types), machineType), Pages: len(c.MachineTypes)}
		if len(last.Types) > 0 && len(records.MustMarshal(longer)) > c.Settings.MaxValueBytes() {
			pages = append(pages, records.CatalogPage{Types: []api.MachineType{machineType}})
			continue
		}
		last.Types = longer.Types
	}
	pages[0].Pages = len(pages) - 1
	return pages
}

// storeCatalog keeps a copy of the catalog in the store, if this controller is the one to
// do so and the types have changed. A controller that starts while the cloud does not
// answer could else neither accept nor place anything.
func (c *MachineCatalog) storeCatalog() {
	if !c.cache.Synced || c.storedCatalogShape == catalogShape(c.MachineTypes) {
		return
	}
	grant := c.roles.FleetGrant(leadership.CatalogUpdater, leadership.Write)
	if grant.Check(leadership.Write, c.Now) != "" {
		return
	}
	pages := c.paginateCatalog()
	if len(pages) > 1 && !c.schema.AllRead(records.SchemaDependencies) {
		return // the first versions would take the first page for the whole catalog
	}
	if len(pages) > c.Settings.Deployment.Store.MaxTransactionOps {
		return
	}
	c.budget.ChargeUnthrottled(len(pages))
	order := leadership.NewOrder(grant, c.catalogTransaction(grant, pages))
	c.CallStore(message.StoreCall{Op: message.OpTransaction, Transaction: order}, func(*message.StoreReply) {
		// The watch cache shows whether it was carried out; if not, the next read of the
		// cloud's catalog tries again.
	})
}

// catalogTransaction writes the pages of the catalog, unless the copy has changed or
// another controller keeps it now.
func (c *MachineCatalog) catalogTransaction(grant leadership.Grant, pages []records.CatalogPage) *api.Transaction {
	transaction := &api.Transaction{Compares: []api.Compare{{Key: records.CatalogKey, Version: c.catalogVersion}}}
	if grant.Term() > 0 {
		key := coordination.RoleKey(leadership.Role{Kind: leadership.CatalogUpdater})
		transaction.Compares = append(transaction.Compares, api.Compare{Key: key, Version: api.Revision(grant.Term())})
	}
	for n, page := range pages {
		key := records.CatalogKey
		if n > 0 {
			key += "/" + strconv.Itoa(n)
		}
		transaction.Writes = append(transaction.Writes, api.Write{Put: key, Value: records.MustMarshal(page)})
	}
	return transaction
}
