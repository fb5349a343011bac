package cluster

import (
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
)

const (
	// commitInterval is the least time between two commits of a partition: what is decided
	// in between goes together.
	commitInterval = micros.Second / 10
	// minCommitBudget is how many writes the budget must have for a commit to be sent.
	minCommitBudget = 4
)

// Shares of the writes a second that the store admits to all controllers together.
const (
	// baseRateShare is the share of a controller that leads no partition.
	baseRateShare = 0.1
	// partitionsRateShare is divided among the partitions, for their leaders. With the base
	// shares of three controllers that makes 0.95.
	partitionsRateShare = 0.65
	// usableRateShare is what all controllers together may use, where the rates of all
	// others are known.
	usableRateShare = 0.9
	// maxRateShare bounds what one controller may use.
	maxRateShare = 0.8
	// peerRateHeadroom is by how much another controller's rate may exceed what it said.
	peerRateHeadroom = 1.2
	// peerRateTimeout is for how long a rate that another controller said holds.
	peerRateTimeout = 3 * micros.Second
)

// PartitionLog commits what was decided of the partitions that we lead: each partition's
// changes as entries of its log, several in one transaction, within the write budget.
type PartitionLog struct {
	*coordination.Environment
	budget       *coordination.WriteBudget
	cache        *coordination.WatchCache
	cluster      *State
	dependencies *DependencyGraph
	peers        *coordination.PeerTracker
	registry     *MachineRegistry
	storeLease   *coordination.StoreLease
	transactions *coordination.TransactionSender

	nextPartition int // offset of the partition that may commit first
}

// NewPartitionLog returns a partition log with nothing to commit.
func NewPartitionLog(
	env *coordination.Environment, budget *coordination.WriteBudget, cache *coordination.WatchCache, cluster *State,
	dependencies *DependencyGraph, peers *coordination.PeerTracker, registry *MachineRegistry,
	lease *coordination.StoreLease, transactions *coordination.TransactionSender,
) *PartitionLog {
	return &PartitionLog{
		Environment: env, budget: budget, cache: cache, cluster: cluster, dependencies: dependencies,
		peers: peers, registry: registry, storeLease: lease, transactions: transactions,
	}
}

// CommitChanges sends the next commit of each partition that we lead, if there is something
// to commit, the outcome of the last is known and the budget permits it.
func (l *PartitionLog) CommitChanges() {
	l.transactions.ResendTransactions()
	if !l.cache.Synced {
		return
	}
	l.budget.RefillBudget(l.writeRateShare())
	partitions := l.cluster.Partitions
	for offset := range partitions {
		// Each commit moves nextPartition on, so that all partitions come first in turn. As
		// that takes effect at once, a partition may be passed over until the next call.
		partition := partitions[(offset+l.nextPartition)%len(partitions)]
		if !l.mayCommit(partition) {
			continue
		}
		maxWrites := min(l.Settings.Deployment.Store.MaxTransactionOps, int(l.budget.Available))
		if maxWrites < min(minCommitBudget, l.Settings.Deployment.Store.MaxTransactionOps) {
			return
		}
		commit := l.BuildCommit(partition, maxWrites)
		if commit == nil {
			continue
		}
		l.budget.Charge(len(commit.Request.Writes))
		partition.CommitInFlight, partition.lastCommitAt = commit, l.Now
		l.transactions.SubmitTransaction(commit.Transaction)
		l.nextPartition++
	}
}

// mayCommit reports whether a partition has something to commit and may do so now.
func (l *PartitionLog) mayCommit(partition *Partition) bool {
	if !partition.Leads() || partition.CommitInFlight != nil {
		return false
	}
	if l.Now < partition.lastCommitAt+commitInterval {
		return false
	}
	return partition.hasChanges() && l.storeLease.LeaseValid()
}

// writeRateShare returns how many writes a second we may make: a fixed share, by the
// partitions that we lead, and of the rest what the others said they do not use. All may
// want that at once: then some transactions are refused, and repeated until each
// controller has heard of the others' rates.
func (l *PartitionLog) writeRateShare() float64 {
	led := 0
	for _, partition := range l.cluster.Partitions {
		if partition.Leads() {
			led++
		}
	}
	admitted := l.Settings.Deployment.Store.WriteRPS
	fixed := admitted * (baseRateShare + partitionsRateShare*float64(led)/float64(len(l.cluster.Partitions)))
	free := usableRateShare * admitted
	for _, node := range l.Settings.Nodes {
		if node == l.Settings.Node {
			continue
		}
		peer := l.peers.ByNode[node]
		if peer == nil || l.Now > peer.LastHeartbeatAt+peerRateTimeout || peer.WriteRate == 0 {
			return fixed // its rate is not known: it may use its share
		}
		free -= max(peer.WriteRate*peerRateHeadroom, baseRateShare*admitted)
	}
	return max(fixed, min(free, maxRateShare*admitted))
}
