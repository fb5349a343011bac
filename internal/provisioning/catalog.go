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

const (
	// catalogInterval is how often the cloud's catalog is read.
	catalogInterval = 60 * micros.Second
	// catalogRetryInterval is about how long after a failure it is read again.
	catalogRetryInterval = 2 * micros.Second
)

// MachineCatalog holds the machine types that the cloud offers, with their prices, and
// keeps a copy of them in the key-value store.
type MachineCatalog struct {
	*coordination.Environment
	budget  *coordination.WriteBudget
	cache   *coordination.WatchCache
	cluster *cluster.State
	roles   *coordination.RoleManager
	schema  *coordination.SchemaTracker

	// The machine types as read from the cloud or, until it answers, from the store.
	MachineTypes      []api.MachineType
	machineTypeByName map[string]*api.MachineType

	// State of the reads of the cloud's catalog.
	NextReadAt   micros.Micros
	readInFlight bool

	// The copy in the store, as the watch cache shows it.
	storedVersion       api.Revision          // version of the first page's key
	storedWithoutPrices string                // the types, see encodeWithoutPrices
	storedPages         map[string]storedPage // by page name, see ObservePage
}

// storedPage is a page of the catalog in the store, and the version of its key.
type storedPage struct {
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
		machineTypeByName: map[string]*api.MachineType{}, storedPages: map[string]storedPage{},
	}
}

// TypeNamed returns the machine type with the name, or nil if it is not known.
func (c *MachineCatalog) TypeNamed(name string) *api.MachineType { return c.machineTypeByName[name] }

// ReadWhenDue reads the cloud's catalog every catalogInterval, as prices change. One read
// is in flight at a time.
func (c *MachineCatalog) ReadWhenDue() {
	if c.readInFlight || c.Now < c.NextReadAt {
		return
	}
	c.readInFlight = true
	c.CallCloud(message.CloudCall{Op: message.OpReadCatalog}, c.handleCatalogReply)
}

// handleCatalogReply sets the types to those that the cloud listed and stores a copy. A reply
// without types counts as a failure.
func (c *MachineCatalog) handleCatalogReply(reply *message.CloudReply) {
	c.readInFlight = false
	if reply.Status != message.StatusOK || len(reply.Catalog.Types) == 0 {
		c.NextReadAt = c.Now + c.Jitter(catalogRetryInterval)
		return
	}
	c.NextReadAt = c.Now + catalogInterval
	c.setMachineTypes(reply.Catalog.Types)
	c.storeCatalog()
}

// setMachineTypes replaces the listed types and updates the type of each machine. Types
// that are no longer listed can still be found by name.
func (c *MachineCatalog) setMachineTypes(types []api.MachineType) {
	c.MachineTypes = types
	for i := range types {
		c.machineTypeByName[types[i].Name] = &types[i]
	}
	for _, machine := range c.cluster.Machines {
		machine.MachineType = c.machineTypeByName[machine.Record.Type]
	}
}

// SlowestFetchSecondsPerGB returns how many seconds the slowest machine type takes to fetch
// a gigabyte of an image, or 0 if that is not known.
func (c *MachineCatalog) SlowestFetchSecondsPerGB() float64 {
	slowest := 0.0
	for _, machineType := range c.MachineTypes {
		if machineType.FetchGBPerS > 0 {
			slowest = max(slowest, 1/machineType.FetchGBPerS)
		}
	}
	return slowest
}

// encodeWithoutPrices returns the types as JSON with all prices set to 0, to find out
// whether the stored copy must be written again. Prices change often, and the copy may
// have outdated ones.
func encodeWithoutPrices(types []api.MachineType) string {
	types = slices.Clone(types)
	for i := range types {
		types[i].Price, types[i].SpotPrice = 0, 0
	}
	return string(records.MustMarshal(types))
}

// ObservePage handles a page of the copy in the store, at a version of its key. The first
// page has the empty name, the others are named by their numbers, from "1". The copy is
// used once all its pages have the version of the first: they are written together.
func (c *MachineCatalog) ObservePage(name string, record records.CatalogPage, version api.Revision) {
	c.storedPages[name] = storedPage{CatalogPage: record, version: version}
	first := c.storedPages[""]
	types := slices.Clone(first.Types)
	for n := 1; n <= first.Pages; n++ {
		page := c.storedPages[strconv.Itoa(n)]
		if page.version != first.version {
			return
		}
		types = append(types, page.Types...)
	}
	c.storedVersion, c.storedWithoutPrices = first.version, encodeWithoutPrices(types)
	if len(c.MachineTypes) == 0 {
		c.LogInfo("machine catalog read", logkey.Types, len(types))
		c.setMachineTypes(types)
	}
}

// paginate splits the catalog into pages that each fit into a value of the store.
func (c *MachineCatalog) paginate() []records.CatalogPage {
	pages := []records.CatalogPage{{}}
	for _, machineType := range c.MachineTypes {
		last := &pages[len(pages)-1]
		// The number of pages is not known yet. The number of types has at least as many digits.
		extended := records.CatalogPage{Types: append(slices.Clip(last.Types), machineType), Pages: len(c.MachineTypes)}
		if len(last.Types) > 0 && len(records.MustMarshal(extended)) > c.Settings.MaxValueBytes() {
			pages = append(pages, records.CatalogPage{Types: []api.MachineType{machineType}})
			continue
		}
		last.Types = extended.Types
	}
	pages[0].Pages = len(pages) - 1
	return pages
}

// storeCatalog writes the catalog to the store if this controller may act as catalog updater
// and the types differ from the stored ones by more than their prices. Without the copy, a
// controller that starts while the cloud does not answer could neither accept jobs nor place
// tasks.
func (c *MachineCatalog) storeCatalog() {
	if !c.cache.Synced || c.storedWithoutPrices == encodeWithoutPrices(c.MachineTypes) {
		return
	}
	grant := c.roles.FleetGrant(leadership.CatalogUpdater, leadership.ActionWrite)
	if grant.Check(leadership.ActionWrite, c.Now) != "" {
		return
	}
	pages := c.paginate()
	if len(pages) > 1 && !c.schema.AllRead(records.SchemaDependencies) {
		return // versions before this schema treat the first page as the whole catalog
	}
	if len(pages) > c.Settings.Deployment.Store.MaxTransactionOps {
		return
	}
	c.budget.ChargeUnthrottled(len(pages))
	order := leadership.NewOrder(grant, c.catalogTransaction(grant, pages))
	c.CallStore(message.StoreCall{Op: message.OpTransaction, Transaction: order}, func(*message.StoreReply) {
		// The reply is not needed: the watch cache shows whether the pages were written.
		// If not, they are written after the next read of the cloud's catalog.
	})
}

// catalogTransaction returns the transaction that writes the pages of the catalog. It
// fails if the copy has changed or another controller has become the catalog updater.
func (c *MachineCatalog) catalogTransaction(grant leadership.Grant, pages []records.CatalogPage) *api.Transaction {
	transaction := &api.Transaction{Compares: []api.Compare{{Key: records.CatalogKey, Version: c.storedVersion}}}
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
