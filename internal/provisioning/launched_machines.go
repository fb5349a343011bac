package provisioning

import (
	"slices"

	"spurmoor/internal/cluster"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

const (
	// shortfallPlanDelay is how soon it is planned again after the cloud launched fewer
	// machines than were requested.
	shortfallPlanDelay = micros.Second / 5
	// machineBatchDivisor is the part of a log entry, one in so many, that a batch of
	// new machines may fill: the rest is left for tasks and for other machines.
	machineBatchDivisor = 3
)

// recordLaunched has the machines recorded that the cloud launched for a request. Fewer
// than requested mean that the cloud has no more of the kind.
func (p *Provisioner) recordLaunched(partition *cluster.Partition, request *provisioningRequest, names []string) {
	p.LogInfo("machines launched",
		logkey.Partition, partition.Index,
		logkey.Kind, request.kind.String(),
		logkey.Request, request.launch.Name,
		logkey.Requested, request.launch.Count,
		logkey.Launched, len(names))
	if len(names) < request.launch.Count {
		p.unavailableUntil[request.kind] = p.Now + p.refusalMemory()
		p.ledger(partition).countPendingMachines(request.kind, len(names)-request.launch.Count)
		p.trigger.RequestWithin(shortfallPlanDelay)
	}
	for batch := range slices.Chunk(names, p.machineBatchSize()) {
		p.addMachineBatch(partition, request, batch)
	}
	if request.unrecordedBatches == 0 {
		p.ledger(partition).withdraw(request)
	}
}

// machineBatchSize is how many machines are recorded at a time.
func (p *Provisioner) machineBatchSize() int {
	return max(1, p.Settings.MaxValueBytes()/machineBatchDivisor/cluster.MaxMachineRecordBytes)
}

// addMachineBatch has some of the machines of a request recorded. The request is withdrawn
// once all of its batches are.
func (p *Provisioner) addMachineBatch(partition *cluster.Partition, request *provisioningRequest, names []string) {
	request.unrecordedBatches++
	onRecorded := func() {
		p.ledger(partition).countPendingMachines(request.kind, -len(names))
		request.unrecordedBatches--
		if request.unrecordedBatches == 0 {
			p.ledger(partition).withdraw(request)
		}
	}
	partition.MachineBatches = append(partition.MachineBatches, &cluster.MachineBatch{
		Records:    p.launchedRecords(partition, request, names),
		OnRecorded: onRecorded,
	})
}

// launchedRecords makes the records of launched machines, without those that were adopted
// and deleted before the answer came.
func (p *Provisioner) launchedRecords(
	partition *cluster.Partition, request *provisioningRequest, names []string,
) []records.Machine {
	var list []records.Machine
	for _, name := range names {
		if p.deletions.RecentlyDeleted(name) {
			continue
		}
		list = append(list, records.Machine{
			Name:          name,
			Type:          request.kind.Type,
			Zone:          request.kind.Zone,
			Spot:          request.kind.Spot,
			HomePartition: partition.Index,
			Partition:     partition.Index,
			LaunchedAt:    p.Now,
		})
	}
	return list
}
