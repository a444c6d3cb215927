// Package fake provides in-memory fakes of the systems that a controller communicates with, for tests:
// the network (Network), the key-value store (Store), the cloud (Cloud), the worker agents on its machines
// (Agent) and the gangs that run on them (Gangs). All speak the published protocols. InvariantChecker
// checks the rules that no controller may break.
//
// The fakes run in simulated time (testing/synctest). Their methods are safe for concurrent use. Faults
// are injected through one struct per fake (NetworkFaults, StoreFaults, CloudFaults, AgentFaults), whose
// zero value means no fault. SetFaults replaces all active faults of a fake, and UpdateFaults changes some
// of them; Cloud has only SetFaults.
//
// Code in this package must not create a timer that has already expired, nor receive from the channel of
// a timer a second time: under the race detector the test then may end with SIGSEGV in
// runtime.(*timer).maybeRunChan. Go 1.26 runs such a timer immediately on the thread that accesses it. The
// race detector attributes the run to the one context that all timers of the simulated time share, and
// its state becomes corrupt when another thread does the same. Contexts with a deadline and goroutines
// that sleep are safe.
package fake
