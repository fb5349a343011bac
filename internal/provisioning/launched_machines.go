package provisioning

import (
	"slices"

	"spurmoor/internal/cluster"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

const (
	// shortfallPlanDelay is the longest time to the next scheduling cycle after the cloud
	// launched fewer machines than were requested.
	shortfallPlanDelay = micros.Second / 5
	// A batch of new machines may fill 1/machineBatchDivisor of the largest log entry. The
	// rest is left for tasks and other machines.
	machineBatchDivisor = 3
)

// recordLaunched queues the machines that the cloud launched for a request to be recorded.
// Fewer machines than requested mean that the cloud has no more of the kind.
func (p *Provisioner) recordLaunched(partition *cluster.Partition, request *provisioningRequest, names []string) {
	p.LogInfo("machines launched",
		logkey.Partition, partition.Index,
		logkey.Kind, request.kind.String(),
		logkey.Request, request.launch.Name,
		logkey.Requested, request.launch.Count,
		logkey.Launched, len(names))
	if len(names) < request.launch.Count {
		p.unavailableUntil[request.kind] = p.Now + p.refusalBackoff()
		p.tracker(partition).adjustPendingMachines(request.kind, len(names)-request.launch.Count)
		p.trigger.RequestWithin(shortfallPlanDelay)
	}
	for batch := range slices.Chunk(names, p.machineBatchSize()) {
		p.queueMachineBatch(partition, request, batch)
	}
	if request.unrecordedBatches == 0 {
		p.tracker(partition).remove(request)
	}
}

// machineBatchSize returns how many machines a batch has at most.
func (p *Provisioner) machineBatchSize() int {
	return max(1, p.Settings.MaxValueBytes()/machineBatchDivisor/cluster.MaxMachineRecordBytes)
}

// queueMachineBatch queues some of the machines of a request to be recorded together. The
// request is removed once all its batches are recorded.
func (p *Provisioner) queueMachineBatch(partition *cluster.Partition, request *provisioningRequest, names []string) {
	request.unrecordedBatches++
	onRecorded := func() {
		p.tracker(partition).adjustPendingMachines(request.kind, -len(names))
		request.unrecordedBatches--
		if request.unrecordedBatches == 0 {
			p.tracker(partition).remove(request)
		}
	}
	partition.MachineBatches = append(partition.MachineBatches, &cluster.MachineBatch{
		Records:    p.launchedRecords(partition, request, names),
		OnRecorded: onRecorded,
	})
}

// launchedRecords returns the records of launched machines. It leaves out machines that
// were adopted as orphans and deleted before the answer came.
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
