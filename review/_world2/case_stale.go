package main

import (
	"slices"
	"syscall"
	"time"
)

func init() { scenarios["stale"] = staleReturn }

// staleReturn: a controller that does not lead stands still for 40 s just after it has told a user that a job
// is cancelled. When it goes on, it must not act on what it knew before.
func staleReturn(trouble bool) int {
	s := kapana()
	w := newWorld(s, 1)
	w.cloud.boot = 2 * time.Second
	w.startAll(s)
	first := w.newJob("service", "order-intake", "kitchen-ops", 1, 2, 4.6, 0)
	if !w.submitUntil(first, 20*time.Second) || !await(20*time.Second, func() bool { return w.onMachines(first.id) == 1 }) {
		logf("the first service does not run")
		return 2
	}
	// The machines that are not needed are returned, so that the second service joins the first.
	if !await(30*time.Second, func() bool { return w.cloud.countUp() == 1 }) {
		logf("%d machines are up", w.cloud.countUp())
		return 2
	}
	second := w.newJob("service", "order-intake", "kitchen-ops", 1, 2, 4.6, 0)
	if !w.submitUntil(second, 20*time.Second) || !await(20*time.Second, func() bool { return w.onMachines(second.id) == 1 }) {
		logf("the second service does not run")
		return 2
	}
	m := w.machineOf(second.id)
	if m == nil || w.machineOf(first.id) != m {
		logf("the services are not on one machine")
		return 2
	}
	time.Sleep(5 * time.Second)
	leader := w.leader()
	if leader == nil {
		return 2
	}
	still := w.nodes[(w.index(leader.name)+1)%len(w.nodes)]
	broken := make(chan string, 10)
	w.cloud.mu.Lock()
	w.cloud.onReturn = func(node string, names []string) {
		logf("%s returns %v to the cloud; %s leads", node, names, w.store.holder())
		if node == still.name && node != w.store.holder() && slices.Contains(names, m.name) {
			select {
			case broken <- node:
			default:
			}
		}
	}
	w.cloud.mu.Unlock()
	if status, state := w.cancel(still, first); status != 200 || state != "withdrawn" {
		logf("the cancellation was not confirmed: %d %s", status, state)
		return 2
	}
	if trouble {
		still.signal(syscall.SIGSTOP)
	}
	time.Sleep(40 * time.Second)
	logf("the cancelled service has %d tasks on machines, the other %d; %s leads", w.onMachines(first.id), w.onMachines(second.id), w.store.holder())
	if w.onMachines(first.id) != 0 || w.onMachines(second.id) != 1 || w.store.holder() != leader.name {
		return 2
	}
	if trouble {
		still.signal(syscall.SIGCONT)
	}
	select {
	case node := <-broken:
		time.Sleep(500 * time.Millisecond)
		w.check.mu.Lock()
		w.check.breakRule("a stale one acts", "%s, which does not lead, returned %s, on which no cancelled task was; %d tasks of %s, which nobody cancelled, run now", node, m.name, w.runningLocked(second.id), second.id)
		w.check.mu.Unlock()
		await(25*time.Second, func() bool { return w.onMachines(second.id) == 1 })
		logf("%s has %d tasks on machines", second.id, w.onMachines(second.id))
		return 1
	case <-time.After(10 * time.Second):
	}
	if w.onMachines(second.id) != 1 {
		return 1
	}
	return 0
}
