package simulation

import (
	"fmt"
	"net/http"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// Properties that all simulated machine types have.
	machineMemoryGB   = 100
	machineCacheGB    = 50
	machineFetchGBs   = 1
	spotPriceDivisor  = 3
	instanceIDFormat  = "n-%06d"
	neverBootsSeconds = 1e6 // longer than any scenario lasts
	// listLag is how long after its launch the cloud lists an instance; the settings
	// announce the same lag.
	listLag = listLagS * micros.Second
)

// cloud stands in for the cloud's interface.
type cloud struct {
	sim          *Simulation
	catalog      []api.MachineType
	launchedFor  map[string][]string // instances by the name of the launch request
	nextInstance int
	down         bool
	noCapacity   bool
	calls        int
	// While boot faults last, a share of machines never boots, and the others boot slower
	// or faster by a factor.
	bootFaultsUntil micros.Micros
	bootFailShare   float64
	bootFactor      float64
}

func newCloud(sim *Simulation) *cloud {
	standIn := &cloud{sim: sim, launchedFor: map[string][]string{}}
	for _, machineType := range sim.scenario.MachineTypes {
		standIn.catalog = append(standIn.catalog, api.MachineType{
			Name: machineType.Name, CPUs: machineType.CPUs, GPUs: machineType.GPUs,
			MemoryGB: machineMemoryGB, CacheGB: machineCacheGB, FetchGBPerS: machineFetchGBs,
			Price: machineType.Price, SpotPrice: machineType.Price / spotPriceDivisor,
			BootS: machineType.BootS, Zones: zones,
		})
	}
	return standIn
}

// call answers a request of a node's.
func (c *cloud) call(sender *node, call message.CloudCall) *message.CloudReply {
	reply := &message.CloudReply{CallID: call.CallID, Status: http.StatusOK}
	c.calls++
	if c.down {
		reply.Status = http.StatusServiceUnavailable
		if call.Op == message.OpLaunch {
			c.noteLaunch(sender, call.Launch, false)
		}
		return reply
	}
	switch call.Op {
	case message.OpReadCatalog:
		reply.Catalog.Types = c.catalog
	case message.OpLaunch:
		machinesBefore := len(c.sim.workers)
		if reply.Launched = c.launch(call.Launch.Body()); len(reply.Launched) == 0 {
			reply.Status = http.StatusServiceUnavailable
		}
		c.noteLaunch(sender, call.Launch, len(c.sim.workers) > machinesBefore)
	case message.OpDelete:
		c.sim.noteOrderUnder(sender, call.Delete.Grant(), "", c.delete(call.Delete.Body()))
	case message.OpListInstances:
		reply.Instances.Instances = c.list(call.After)
	}
	return reply
}

// list returns the instances whose names follow one. New ones are not listed at once.
func (c *cloud) list(after string) []api.Instance {
	var instances []api.Instance
	for _, worker := range c.sim.workers {
		if worker.gone || worker.name <= after || c.sim.now < worker.launchedAt+listLag {
			continue
		}
		state := api.InstanceBooting
		if worker.up {
			state = api.InstanceRunning
		}
		instances = append(instances, api.Instance{
			ID: worker.name, Address: worker.addr, Type: worker.machineType.Name, Zone: worker.zone,
			Spot: worker.spot, State: state, AgeS: (c.sim.now - worker.launchedAt).Seconds(),
		})
	}
	return instances
}

// noteLaunch notes that a launch request arrived.
func (c *cloud) noteLaunch(sender *node, launch leadership.Order[*api.LaunchRequest], tookEffect bool) {
	grant := launch.Grant()
	c.sim.noteOrder(receivedOrder{
		sender: sender.name, role: grant.RoleName(), term: grant.Term(), action: leadership.Launch,
		request: launch.Body().Name, tookEffect: tookEffect,
	})
}

// delete deletes machines, and reports whether any of them was still there.
func (c *cloud) delete(names []string) bool {
	deleted := false
	for _, worker := range c.sim.workers {
		if !slices.Contains(names, worker.name) || worker.gone {
			continue
		}
		deleted = true
		if !worker.idle() {
			c.sim.countOccurrence(occurredDeletedAtWork)
		}
		worker.terminate()
	}
	return deleted
}

// launch launches machines as far as there is capacity. A request that is repeated under
// its name gets the machines that it got at first.
func (c *cloud) launch(request *api.LaunchRequest) []string {
	if names := c.launchedFor[request.Name]; names != nil {
		return names
	}
	for i, machineType := range c.catalog {
		if machineType.Name != request.Type || c.noCapacity {
			continue
		}
		for range min(c.capacity(c.sim.scenario.MachineTypes[i].Count, request), request.Count) {
			c.drawBootTime(&machineType, c.sim.scenario.MachineTypes[i].BootS)
			name := fmt.Sprintf(instanceIDFormat, c.nextInstance)
			launched := newWorker(c.sim, name, machineType, request.Zone, request.Spot)
			c.nextInstance++
			c.launchedFor[request.Name] = append(c.launchedFor[request.Name], launched.name)
		}
	}
	return c.launchedFor[request.Name]
}

// capacity returns how many more machines there may be of those that a request names.
func (c *cloud) capacity(limit int, request *api.LaunchRequest) int {
	for _, worker := range c.sim.workers {
		if !worker.gone && worker.machineType.Name == request.Type && worker.zone == request.Zone && worker.spot == request.Spot {
			limit--
		}
	}
	return limit
}

// drawBootTime draws how long a machine boots while there are boot faults.
func (c *cloud) drawBootTime(machineType *api.MachineType, bootSeconds float64) {
	if c.sim.now >= c.bootFaultsUntil {
		return
	}
	machineType.BootS = bootSeconds * c.bootFactor
	if c.sim.rng.Float64() < c.bootFailShare {
		c.sim.countOccurrence(occurredNeverBooted)
		machineType.BootS = neverBootsSeconds
	}
}
