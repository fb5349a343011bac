package simulation

import (
	"strings"

	"spurmoor/internal/micros"
)

// FaultKind is the kind of a fault, as named in scenario files. Some kinds have an argument
// after a colon or a slash: "cut:store", "late_writes/at_once".
type FaultKind string

// Faults of controllers.
const (
	FaultCrash          FaultKind = "crash"
	FaultCrashAll       FaultKind = "crash_all"
	FaultBriefRestart   FaultKind = "blink"
	FaultUpgrade        FaultKind = "upgrade"    // restarts with settings that announce the next limits
	FaultPause          FaultKind = "freeze"     // its clock keeps running
	FaultDelayedOrders  FaultKind = "sends_wait" // orders wait in the process for a connection
	FaultRefusedByStore FaultKind = "refused"    // the store refuses this controller only
	FaultWatchStalled   FaultKind = "watch_hangs"
	FaultLeaseExpiry    FaultKind = "lease_runs_out" // the leases of its partitions expire
)

// Faults of links.
const (
	FaultLinkCut   FaultKind = "cut"        // argument: the linkName
	FaultIsolation FaultKind = "isolated"   // from the store and the other controllers, but not from workers
	FaultZoneCut   FaultKind = "zone_cut"   // packets are delivered after the cut
	FaultSlowLinks FaultKind = "slow_links" // of all nodes
)

// Faults of the key-value store and of the cloud.
const (
	FaultStoreOutage     FaultKind = "store_outage"
	FaultSlowStore       FaultKind = "slow_store"
	FaultLowerLimits     FaultKind = "limits" // the store's next limits take effect
	FaultCorruptLogEntry FaultKind = "garble" // the value of a log entry becomes unreadable
	FaultCloudOutage     FaultKind = "cloud_outage"
	FaultNoCapacity      FaultKind = "no_capacity"
	FaultSlowBoot        FaultKind = "boot_trouble"
	FaultLateLaunch      FaultKind = "late_rental" // a machine comes up that no controller recorded
)

// Faults of machines. They affect the healthy machines with most tasks.
const (
	FaultMachineTermination FaultKind = "machine_die"
	FaultMachineHang        FaultKind = "machine_hang"
	FaultMachineFailing     FaultKind = "machine_sick" // all tasks that it starts fail
	FaultMachineRestart     FaultKind = "machine_blink"
	FaultMachineInboundCut  FaultKind = "machine_deaf"
	FaultMachineOutboundCut FaultKind = "machine_mute" // optional argument: modeLate
	FaultInterruption       FaultKind = "spot_notice"
)

// Faults of messages, and unusual behaviour of users.
const (
	FaultLateWrites      FaultKind = "late_writes"  // optional argument: modeAtOnce
	FaultLateHeartbeats  FaultKind = "late_reports" // optional argument: modeForNext
	FaultLateCommands    FaultKind = "late_commands"
	FaultCancelAtEnd     FaultKind = "cancel_at_end"
	FaultCancelRunning   FaultKind = "cancel_now"
	FaultQueryBursts     FaultKind = "close_looks"
	FaultInvalidRequests FaultKind = "odd_requests"
)

// Deliberate violations of invariants, with which tests verify the invariant checker.
const (
	FaultWithheldAnswers     FaultKind = "mute"
	FaultEarlyStart          FaultKind = "early_start"
	FaultDoubleStart         FaultKind = "double_start"
	FaultOrphanedDependant   FaultKind = "orphan"
	FaultUnrequestedCancel   FaultKind = "unasked"
	FaultStaleRead           FaultKind = "older_look"
	FaultInvalidAccepted     FaultKind = "bad_accepted"
	FaultStartAfterCancelled FaultKind = "start_told"
	FaultStarvedJob          FaultKind = "held_back"
)

const (
	modeAtOnce  = "at_once"  // late writes are executed without delay, but not answered
	modeForNext = "for_next" // late heartbeats arrive when a partition has another leader
	modeLate    = "late"     // a share of the direct commands to the machines is late as well
	// defaultShare is the share of messages or jobs that a fault affects if it names none.
	defaultShare = 0.3
)

// Names of the occurrences whose numbers scenario files bound.
const (
	occurredPacketLoss         = "packets lost and resent"
	occurredOrderRefused       = "orders refused at the gate"
	occurredLateLaunch         = "late copies of refused rentals"
	occurredNeverBooted        = "machines that never come up"
	occurredBusyMachineDeleted = "machines deleted at work"
	occurredTaskFailure        = "tasks that failed"
	occurredCutHeartbeat       = "reports of mute machines"
	occurredCutAnswer          = "answers to deaf machines"
	occurredLostAnswer         = "answers lost"
	occurredLateWrite          = "late writes"
	occurredLateHeartbeat      = "late reports"
	occurredHeldHeartbeat      = "reports kept for the next leader"
	occurredLateCommands       = "late commands"
	occurredLeaderChange       = "changes of leader"
	occurredCancelRunning      = "cancelled while they ran"
	occurredHungWithCancelled  = "machines hung with cancelled tasks"
	occurredCancelAtEnd        = "cancelled at the end"
	occurredUnseenCancellation = "cancellations that the holder can't see"
	occurredLateEnd            = "ends told late"
	occurredBurstQuery         = "close looks"
	occurredInvalidRequest     = "odd requests"
)

// countOccurrence counts an occurrence. A scenario can then demand that the situation which
// it tests has really come about.
func (s *Simulation) countOccurrence(name string) { s.occurrences[name]++ }

// faultState holds the effects of injected faults that belong to no single node, service or
// worker.
type faultState struct {
	lateWrites              probabilisticFault
	lateHeartbeats          probabilisticFault
	lateCommands            probabilisticFault
	heartbeatsForNextLeader []func() // heartbeats held until a partition has another leader
	cancelAtEnd             probabilisticFault
	queryBurstsUntil        micros.Micros
	unansweredJob           string // ID of the job whose user gets no answers to its polls
	slowLinksUntil          micros.Micros
	slowStoreUntil          micros.Micros
	isolatedZone            string // the zone that is cut off from all others
	heldPackets             []func()
}

// probabilisticFault affects a share of all messages or jobs of one kind until a set time.
type probabilisticFault struct {
	share float64
	until micros.Micros
	mode  string
}

// applies reports whether the fault affects the next message or job. It draws a random number
// only while the fault lasts.
func (f probabilisticFault) applies(s *Simulation) bool {
	return s.now < f.until && s.rng.Float64() < f.share
}

// injection is a fault at the time of its injection.
type injection struct {
	Fault
	argument string // of the kind; empty: none
	target   *node
	duration micros.Micros
	until    micros.Micros
}

// probabilistic converts the fault to one that affects a share of messages or jobs.
func (i injection) probabilistic() probabilisticFault {
	share := i.Share
	if share == 0 {
		share = defaultShare
	}
	mode := i.argument
	if i.Mode != "" {
		mode = i.Mode
	}
	return probabilisticFault{share: share, until: i.until, mode: mode}
}

// injectors maps each kind of fault to the method that injects it.
var injectors = map[FaultKind]func(*Simulation, injection){
	FaultCrash:          (*Simulation).injectCrash,
	FaultCrashAll:       (*Simulation).injectCrashAll,
	FaultBriefRestart:   (*Simulation).injectBriefRestart,
	FaultUpgrade:        (*Simulation).injectUpgrade,
	FaultPause:          (*Simulation).injectPause,
	FaultDelayedOrders:  (*Simulation).injectDelayedOrders,
	FaultRefusedByStore: (*Simulation).injectRefusedByStore,
	FaultWatchStalled:   (*Simulation).injectWatchStalled,
	FaultLeaseExpiry:    (*Simulation).injectLeaseExpiry,

	FaultLinkCut:   (*Simulation).injectLinkCut,
	FaultIsolation: (*Simulation).injectIsolation,
	FaultZoneCut:   (*Simulation).injectZoneCut,
	FaultSlowLinks: (*Simulation).injectSlowLinks,

	FaultStoreOutage:     (*Simulation).injectStoreOutage,
	FaultSlowStore:       (*Simulation).injectSlowStore,
	FaultLowerLimits:     (*Simulation).injectLowerLimits,
	FaultCorruptLogEntry: (*Simulation).injectCorruptLogEntry,
	FaultCloudOutage:     (*Simulation).injectCloudOutage,
	FaultNoCapacity:      (*Simulation).injectNoCapacity,
	FaultSlowBoot:        (*Simulation).injectSlowBoot,
	FaultLateLaunch:      (*Simulation).injectLateLaunch,

	FaultMachineTermination: (*Simulation).injectMachineFaults,
	FaultMachineHang:        (*Simulation).injectMachineFaults,
	FaultMachineFailing:     (*Simulation).injectMachineFaults,
	FaultMachineRestart:     (*Simulation).injectMachineFaults,
	FaultMachineInboundCut:  (*Simulation).injectMachineFaults,
	FaultMachineOutboundCut: (*Simulation).injectMachineFaults,
	FaultInterruption:       (*Simulation).injectMachineFaults,

	FaultLateWrites:      (*Simulation).injectLateWrites,
	FaultLateHeartbeats:  (*Simulation).injectLateHeartbeats,
	FaultLateCommands:    (*Simulation).injectLateCommands,
	FaultCancelAtEnd:     (*Simulation).injectCancelAtEnd,
	FaultCancelRunning:   (*Simulation).injectCancelRunning,
	FaultQueryBursts:     (*Simulation).injectQueryBursts,
	FaultInvalidRequests: (*Simulation).injectInvalidRequests,

	FaultWithheldAnswers:     (*Simulation).violateByWithheldAnswers,
	FaultEarlyStart:          (*Simulation).violateByEarlyStart,
	FaultDoubleStart:         (*Simulation).violateByDoubleStart,
	FaultOrphanedDependant:   (*Simulation).violateByOrphanedDependant,
	FaultUnrequestedCancel:   (*Simulation).violateByUnrequestedCancel,
	FaultStaleRead:           (*Simulation).violateByStaleRead,
	FaultInvalidAccepted:     (*Simulation).violateByAcceptedInvalid,
	FaultStartAfterCancelled: (*Simulation).violateByStartAfterCancelled,
	FaultStarvedJob:          (*Simulation).violateByStarvedJob,
}

// inject injects a fault. It reports a violation of the scenario if the kind is unknown.
func (s *Simulation) inject(fault Fault) {
	target := s.nodes[fault.Node%len(s.nodes)]
	if fault.Partition > 0 {
		if leader := s.leaderOf(fault.Partition - 1); leader != nil {
			target = leader
		}
	}
	s.logf("FAULT %s %s for %.1f s", fault.Kind, target.name, fault.ForS)
	kind, argument := fault.Kind.split()
	injector := injectors[kind]
	if injector == nil {
		s.checker.report(invariantScenario, "unknown fault "+string(fault.Kind))
		return
	}
	duration := micros.FromSeconds(fault.ForS)
	injector(s, injection{Fault: fault, argument: argument, target: target, duration: duration, until: s.now + duration})
}

// split separates the kind from its argument.
func (k FaultKind) split() (FaultKind, string) {
	separator := strings.IndexAny(string(k), ":/")
	if separator < 0 {
		return k, ""
	}
	return k[:separator], string(k[separator+1:])
}
