package cluster

import (
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
)

const (
	// commitInterval is the minimum time between two commits of a partition. It lets the changes
	// of that time share one commit.
	commitInterval = micros.Second / 10
	// minCommitBudget is how many writes the budget must hold before a commit is sent.
	minCommitBudget = 4
)

// Shares of the write rate that the store admits for all controllers together.
const (
	// baseRateShare is the share of a controller that leads no partition.
	baseRateShare = 0.1
	// partitionsRateShare is divided equally among the partitions, for their leaders. Together
	// with the base shares of three controllers it adds up to 0.95.
	partitionsRateShare = 0.65
	// usableRateShare is the share that all controllers together may use while the rates of all
	// other controllers are known.
	usableRateShare = 0.9
	// maxRateShare bounds the share of one controller.
	maxRateShare = 0.8
	// peerRateHeadroom is the factor by which another controller's rate may exceed the rate that
	// it reported.
	peerRateHeadroom = 1.2
	// peerRateTimeout is how long a rate that another controller reported is valid.
	peerRateTimeout = 3 * micros.Second
)

// PartitionLog commits the changes to the partitions that this controller leads. It writes the
// changes of each partition as entries of its log, several in one transaction, within the
// write budget.
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

// NewPartitionLog returns a partition log for the partitions in cluster.
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

// CommitChanges sends the next commit of each partition that this controller leads, if the
// partition has changes, the outcome of its last commit is known and the budget permits it. It
// also resends transactions whose outcome is unknown.
func (l *PartitionLog) CommitChanges() {
	l.transactions.Resend()
	if !l.cache.Synced {
		return
	}
	l.budget.Refill(l.allowedWriteRate())
	partitions := l.cluster.Partitions
	for offset := range partitions {
		// Each commit advances nextPartition, so that the partitions take turns in being first.
		// Since that takes effect within this loop, a partition may be skipped until the next
		// call.
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
		l.transactions.Submit(commit.Transaction)
		l.nextPartition++
	}
}

// mayCommit reports whether a partition has changes and may commit them now.
func (l *PartitionLog) mayCommit(partition *Partition) bool {
	if !partition.Leads() || partition.CommitInFlight != nil {
		return false
	}
	if l.Now < partition.lastCommitAt+commitInterval {
		return false
	}
	return partition.hasChanges() && l.storeLease.Valid()
}

// allowedWriteRate returns how many writes per second this controller may make. It is at least
// a fixed share, which grows with the number of partitions that it leads. If other controllers
// report lower rates than their shares, it may also use the difference. Several controllers may
// claim the same difference at once. The store then refuses some transactions, which are
// repeated until each controller knows the others' rates.
func (l *PartitionLog) allowedWriteRate() float64 {
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
			return fixed // its rate is not known: it may use its whole share
		}
		free -= max(peer.WriteRate*peerRateHeadroom, baseRateShare*admitted)
	}
	return max(fixed, min(free, maxRateShare*admitted))
}
