package simulation

import (
	"strings"

	"spurmoor/internal/micros"
)

// FaultKind names what a fault does, as scenario files do. Some kinds have an argument,
// after a colon or a slash: "cut:store", "late_writes/at_once".
type FaultKind string

// Faults of controllers.
const (
	FaultCrash          FaultKind = "crash"
	FaultCrashAll       FaultKind = "crash_all"
	FaultBriefRestart   FaultKind = "blink"
	FaultUpgrade        FaultKind = "upgrade"    // back with settings that name the next limits
	FaultPause          FaultKind = "freeze"     // its clock runs on
	FaultSendsWait      FaultKind = "sends_wait" // orders wait for a connection in the process
	FaultRefusedByStore FaultKind = "refused"    // by the store, which serves the others
	FaultWatchStalled   FaultKind = "watch_hangs"
	FaultLeaseExpiry    FaultKind = "lease_runs_out" // of its partitions, as if cut off for long enough
)

// Faults of links.
const (
	FaultCut       FaultKind = "cut"        // argument: the link
	FaultIsolated  FaultKind = "isolated"   // from all but its workers
	FaultZoneCut   FaultKind = "zone_cut"   // held back until it ends
	FaultSlowLinks FaultKind = "slow_links" // of everybody
)

// Faults of the key-value store and of the cloud.
const (
	FaultStoreOutage FaultKind = "store_outage"
	FaultLowerLimits FaultKind = "limits" // the store's next limits are in force from now on
	FaultGarble      FaultKind = "garble" // a log entry's value becomes unreadable
	FaultCloudOutage FaultKind = "cloud_outage"
	FaultNoCapacity  FaultKind = "no_capacity"
	FaultSlowBoot    FaultKind = "boot_trouble"
	FaultLateLaunch  FaultKind = "late_rental" // a machine turns up that nobody recorded
)

// Faults of machines: they befall the healthy machines with most tasks.
const (
	FaultMachineDeath       FaultKind = "machine_die"
	FaultMachineHang        FaultKind = "machine_hang"
	FaultMachineFailing     FaultKind = "machine_sick" // all tasks that it starts fail
	FaultMachineRestart     FaultKind = "machine_blink"
	FaultMachineInboundCut  FaultKind = "machine_deaf"
	FaultMachineOutboundCut FaultKind = "machine_mute"
	FaultInterruption       FaultKind = "spot_notice"
)

// Faults of messages, and of users who ask much at once.
const (
	FaultLateWrites      FaultKind = "late_writes"  // argument: modeAtOnce
	FaultLateHeartbeats  FaultKind = "late_reports" // argument: modeForNext
	FaultCancelAtEnd     FaultKind = "cancel_at_end"
	FaultCancelRunning   FaultKind = "cancel_now"
	FaultCloseQueries    FaultKind = "close_looks"
	FaultInvalidRequests FaultKind = "odd_requests"
)

// Deliberate violations, which show that the invariant checker detects them.
const (
	FaultMuteAnswers         FaultKind = "mute"
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
	modeAtOnce  = "at_once"
	modeForNext = "for_next"
	// defaultShare is the share of messages or jobs that a fault befalls if it names none.
	defaultShare = 0.3
)

// Names of occurrences, which scenario files count.
const (
	occurredPacketLoss         = "packets lost and resent"
	occurredGateRefusal        = "orders refused at the gate"
	occurredLateLaunch         = "late copies of refused rentals"
	occurredNeverBooted        = "machines that never come up"
	occurredDeletedAtWork      = "machines deleted at work"
	occurredTaskFailure        = "tasks that failed"
	occurredCutHeartbeat       = "reports of mute machines"
	occurredCutAnswer          = "answers to deaf machines"
	occurredLostAnswer         = "answers lost"
	occurredLateWrite          = "late writes"
	occurredLateHeartbeat      = "late reports"
	occurredKeptHeartbeat      = "reports kept for the next leader"
	occurredLeaderChange       = "changes of leader"
	occurredCancelRunning      = "cancelled while they ran"
	occurredHungWithCancelled  = "machines hung with cancelled tasks"
	occurredCancelAtEnd        = "cancelled at the end"
	occurredUnseenCancellation = "cancellations that the holder can't see"
	occurredLateEnd            = "ends told late"
	occurredCloseQuery         = "close looks"
	occurredInvalidRequest     = "odd requests"
)

// countOccurrence counts that something was brought about, so that a scenario can demand
// that it was.
func (s *Simulation) countOccurrence(what string) { s.occurrences[what]++ }

// faultState is what injected faults have changed outside nodes and stand-ins.
type faultState struct {
	lateWrites        partialFault
	lateHeartbeats    partialFault
	heldForNextLeader []func() // heartbeats kept until a partition has another leader
	cancelAtEnd       partialFault
	closeQueriesUntil micros.Micros
	mutedJob          string // the job whose user gets no answers
	slowLinksUntil    micros.Micros
	isolatedZone      string // the zone that is cut off from all others
	heldAtZoneCut     []func()
}

// partialFault befalls a share of something until an instant.
type partialFault struct {
	share float64
	until micros.Micros
	mode  string
}

// befalls draws whether the fault befalls something now.
func (f partialFault) befalls(s *Simulation) bool {
	return s.now < f.until && s.rng.Float64() < f.share
}

// injection is a fault as it is injected.
type injection struct {
	Fault
	argument string // of the kind
	target   *node
	lasts    micros.Micros
	until    micros.Micros
}

// partial returns the fault as one that befalls a share of something.
func (i injection) partial() partialFault {
	share := i.Share
	if share == 0 {
		share = defaultShare
	}
	mode := i.argument
	if i.Mode != "" {
		mode = i.Mode
	}
	return partialFault{share: share, until: i.until, mode: mode}
}

// injectors has the code of each kind of fault.
var injectors = map[FaultKind]func(*Simulation, injection){
	FaultCrash:          (*Simulation).injectCrash,
	FaultCrashAll:       (*Simulation).injectCrashAll,
	FaultBriefRestart:   (*Simulation).injectBriefRestart,
	FaultUpgrade:        (*Simulation).injectUpgrade,
	FaultPause:          (*Simulation).injectPause,
	FaultSendsWait:      (*Simulation).injectSendsWait,
	FaultRefusedByStore: (*Simulation).injectRefusedByStore,
	FaultWatchStalled:   (*Simulation).injectWatchStalled,
	FaultLeaseExpiry:    (*Simulation).injectLeaseExpiry,

	FaultCut:       (*Simulation).injectCut,
	FaultIsolated:  (*Simulation).injectIsolated,
	FaultZoneCut:   (*Simulation).injectZoneCut,
	FaultSlowLinks: (*Simulation).injectSlowLinks,

	FaultStoreOutage: (*Simulation).injectStoreOutage,
	FaultLowerLimits: (*Simulation).injectLowerLimits,
	FaultGarble:      (*Simulation).injectGarble,
	FaultCloudOutage: (*Simulation).injectCloudOutage,
	FaultNoCapacity:  (*Simulation).injectNoCapacity,
	FaultSlowBoot:    (*Simulation).injectSlowBoot,
	FaultLateLaunch:  (*Simulation).injectLateLaunch,

	FaultMachineDeath:       (*Simulation).injectMachineFaults,
	FaultMachineHang:        (*Simulation).injectMachineFaults,
	FaultMachineFailing:     (*Simulation).injectMachineFaults,
	FaultMachineRestart:     (*Simulation).injectMachineFaults,
	FaultMachineInboundCut:  (*Simulation).injectMachineFaults,
	FaultMachineOutboundCut: (*Simulation).injectMachineFaults,
	FaultInterruption:       (*Simulation).injectMachineFaults,

	FaultLateWrites:      (*Simulation).injectLateWrites,
	FaultLateHeartbeats:  (*Simulation).injectLateHeartbeats,
	FaultCancelAtEnd:     (*Simulation).injectCancelAtEnd,
	FaultCancelRunning:   (*Simulation).injectCancelRunning,
	FaultCloseQueries:    (*Simulation).injectCloseQueries,
	FaultInvalidRequests: (*Simulation).injectInvalidRequests,

	FaultMuteAnswers:         (*Simulation).violateByMuteAnswers,
	FaultEarlyStart:          (*Simulation).violateByEarlyStart,
	FaultDoubleStart:         (*Simulation).violateByDoubleStart,
	FaultOrphanedDependant:   (*Simulation).violateByOrphanedDependant,
	FaultUnrequestedCancel:   (*Simulation).violateByUnrequestedCancel,
	FaultStaleRead:           (*Simulation).violateByStaleRead,
	FaultInvalidAccepted:     (*Simulation).violateByAcceptedInvalid,
	FaultStartAfterCancelled: (*Simulation).violateByStartAfterCancelled,
	FaultStarvedJob:          (*Simulation).violateByStarvedJob,
}

// inject injects a fault.
func (s *Simulation) inject(fault Fault) {
	target := s.nodes[fault.Node%controllerCount]
	if fault.Partition > 0 {
		if leader := s.leaderOf(fault.Partition - 1); leader != nil {
			target = leader
		}
	}
	s.logf("FAULT %s %s for %.1f s", fault.Kind, target.name, fault.ForS)
	kind, argument := fault.Kind.split()
	injector := injectors[kind]
	if injector == nil {
		s.checker.violated(invariantScenario, "unknown fault "+string(fault.Kind))
		return
	}
	lasts := micros.FromSeconds(fault.ForS)
	injector(s, injection{Fault: fault, argument: argument, target: target, lasts: lasts, until: s.now + lasts})
}

// split returns the kind without its argument, and the argument.
func (k FaultKind) split() (FaultKind, string) {
	separator := strings.IndexAny(string(k), ":/")
	if separator < 0 {
		return k, ""
	}
	return k[:separator], string(k[separator+1:])
}
