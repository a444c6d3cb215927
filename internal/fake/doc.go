// Package fake provides in-memory fakes of what a controller talks to: the network (Network), the
// key-value store (Store), the cloud (Cloud) with the agents on its machines (Agent) and the gangs that
// run on them (Gangs). All speak the published protocols. InvariantChecker watches the rules that no
// controller may break.
//
// The fakes run in simulated time (testing/synctest) and are for tests only. Their methods may be called
// by any goroutine. Faults are injected by one typed value a fake (NetworkFaults, StoreFaults,
// CloudFaults, AgentFaults): SetFaults replaces all of its present faults, and UpdateFaults changes some
// of them; the zero value means that it works.
//
// Nothing here makes a timer that has expired, or waits a second time on a timer's channel. Go 1.26 runs
// such a timer at once on the thread that meets it, for the race detector in the one context that all
// timers of the simulated time share, and the detector's state breaks if another thread does the same:
// the test ends by SIGSEGV in runtime.(*timer).maybeRunChan. Contexts with a deadline and goroutines
// that sleep are safe.
package fake
