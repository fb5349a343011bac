// Package simulation runs scenarios in simulated time. A scenario runs the cores of several
// controllers against simulated versions of the key-value store, the cloud, the workers and
// the users, and injects faults at set times. An invariant checker that shares no code with
// the core verifies, from the workers' and the users' side, that the guarantees of PROTOCOL
// hold.
//
// Only tests import this package; no program links it. A run depends only on its scenario
// and the scenario's seed: events due at the same instant run in the order in which they
// were scheduled, and all random numbers come from generators seeded by the scenario. A
// scenario that runs twice therefore produces the same log.
package simulation
