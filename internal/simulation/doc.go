// Package simulation runs scenarios in simulated time: the cores of several controllers
// against stand-ins of the key-value store, the cloud, the workers and the users, with
// faults injected at set times. An invariant checker that shares no code with the core
// watches, from the workers' and the users' side, that the guarantees of PROTOCOL hold.
//
// Only tests import this package; no program links it. A run depends on nothing but its
// scenario and the seed in it: events of one instant happen in the order in which they
// were scheduled, and all randomness is drawn from one seeded generator, so that a
// scenario run twice produces the same log.
package simulation
