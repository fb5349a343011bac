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
	// Properties with the same values for all simulated machine types.
	machineMemoryGB    = 100
	machineCacheGB     = 50
	machineFetchGBPerS = 1
	spotPriceDivisor   = 3
	instanceIDFormat   = "n-%06d"
	neverBootsS        = 1e6 // longer than any scenario lasts
	// listLag is the time from the launch of an instance until the cloud lists it. The
	// settings of the controllers name the same lag.
	listLag = listLagS * micros.Second
)

// cloud simulates the cloud's interface: its catalog and the machines launched from it.
type cloud struct {
	sim          *Simulation
	catalog      []api.MachineType
	launchedFor  map[string][]string // names of instances, by the name of the launch request
	nextInstance int
	down         bool
	noCapacity   bool
	calls        int
	// Until bootFaultsUntil a share of the launched machines never boots. The boot time of
	// the others is multiplied by a factor.
	bootFaultsUntil micros.Micros
	bootFailShare   float64
	bootFactor      float64
}

func newCloud(sim *Simulation) *cloud {
	simulated := &cloud{sim: sim, launchedFor: map[string][]string{}}
	for _, machineType := range sim.scenario.MachineTypes {
		simulated.catalog = append(simulated.catalog, api.MachineType{
			Name: machineType.Name, CPUs: machineType.CPUs, GPUs: machineType.GPUs,
			MemoryGB: machineMemoryGB, CacheGB: machineCacheGB, FetchGBPerS: machineFetchGBPerS,
			Price: machineType.Price, SpotPrice: machineType.Price / spotPriceDivisor,
			BootS: machineType.BootS, Zones: zones,
		})
	}
	return simulated
}

// call executes a request of a node and returns the reply.
func (c *cloud) call(sender *node, call message.CloudCall) *message.CloudReply {
	reply := &message.CloudReply{CallID: call.CallID, Status: http.StatusOK}
	c.calls++
	if c.down {
		reply.Status = http.StatusServiceUnavailable
		if call.Op == message.OpLaunch {
			c.recordLaunch(sender, call.Launch, false)
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
		c.recordLaunch(sender, call.Launch, len(c.sim.workers) > machinesBefore)
	case message.OpDelete:
		c.sim.recordGrantedOrder(sender, call.Delete.Grant(), "", c.delete(call.Delete.Body()))
	case message.OpListInstances:
		reply.Instances.Instances = c.list(call.After)
	}
	return reply
}

// list returns the instances whose names sort after the given one. An instance is listed only
// once listLag has passed since its launch.
func (c *cloud) list(after string) []api.Instance {
	var instances []api.Instance
	for _, worker := range c.sim.workers {
		if worker.terminated || worker.name <= after || c.sim.now < worker.launchedAt+listLag {
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

// recordLaunch records a launch request on its arrival.
func (c *cloud) recordLaunch(sender *node, launch leadership.Order[*api.LaunchRequest], tookEffect bool) {
	grant := launch.Grant()
	c.sim.recordOrder(receivedOrder{
		sender: sender.name, role: grant.RoleName(), term: grant.Term(), action: leadership.ActionLaunch,
		request: launch.Body().Name, tookEffect: tookEffect,
	})
}

// delete terminates machines, and reports whether any of them still existed.
func (c *cloud) delete(names []string) bool {
	deleted := false
	for _, worker := range c.sim.workers {
		if !slices.Contains(names, worker.name) || worker.terminated {
			continue
		}
		deleted = true
		if !worker.idle() {
			c.sim.countOccurrence(occurredBusyMachineDeleted)
		}
		worker.terminate()
	}
	return deleted
}

// launch launches machines within the capacity and returns their names. It is idempotent by
// the name of the request: a repeated request gets the machines of the first one.
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

// capacity returns how many more machines of the request's type and zone the cloud can launch,
// given the limit on their number. The limit applies to spot machines and to others separately.
func (c *cloud) capacity(limit int, request *api.LaunchRequest) int {
	for _, worker := range c.sim.workers {
		if !worker.terminated && worker.machineType.Name == request.Type && worker.zone == request.Zone && worker.spot == request.Spot {
			limit--
		}
	}
	return limit
}

// drawBootTime sets a machine's boot time while boot faults last: slower or faster by the
// factor, or too long for the machine ever to come up.
func (c *cloud) drawBootTime(machineType *api.MachineType, regularBootS float64) {
	if c.sim.now >= c.bootFaultsUntil {
		return
	}
	machineType.BootS = regularBootS * c.bootFactor
	if c.sim.rng.Float64() < c.bootFailShare {
		c.sim.countOccurrence(occurredNeverBooted)
		machineType.BootS = neverBootsS
	}
}
