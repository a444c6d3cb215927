package main

import (
	"time"
)

func init() { scenarios["apart"] = apartService }

// apartService: a service of two tasks in different zones loses the machine of one task. The lost task must
// run again: the cloud has machines in every zone.
func apartService(trouble bool) int {
	s := omaruru()
	w := newWorld(s, 1)
	w.cloud.boot = 2 * time.Second
	w.startAll(s)
	// Two helpers, one in each of two zones, bring up a machine in each. They are cancelled once the
	// service runs, so that the machines hold the service alone.
	var helpers []*jobInfo
	for _, zone := range []string{"windhoek-depot", "katutura-depot"} {
		h := w.newJob("service", "tap-validate", "fare-core-1", 1, 1, 1.1, 0)
		h.zone, h.body["depot"] = zone, zone
		helpers = append(helpers, h)
		if !w.submitUntil(h, 20*time.Second) {
			return 2
		}
	}
	if !await(20*time.Second, func() bool { return w.onMachines(helpers[0].id)+w.onMachines(helpers[1].id) == 2 }) {
		logf("the helpers do not run")
		return 2
	}
	j := w.newJob("service", "tap-validate", "fare-core-0", 2, 1, 1.1, 0)
	j.apart, j.body["apart"] = true, true
	if !w.submitUntil(j, 20*time.Second) {
		return 2
	}
	if !await(20*time.Second, func() bool { return w.onMachines(j.id) == 2 }) {
		logf("the service does not run")
		return 2
	}
	for _, h := range helpers {
		if !w.cancelUntil(h, 10*time.Second) {
			return 2
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.machineOf(j.id).kill("dies")
	}
	lost := time.Now()
	hired := w.cloud.rentals()
	for time.Since(lost) < 95*time.Second && time.Since(started) < 112*time.Second {
		status, state := w.poll(w.nodes[w.rand(3)], j.id)
		running := w.onMachines(j.id)
		debugf("job %s: %d %s; %d of 2 tasks on machines, %d machines up, %d rentals since the loss", j.id, status, state, running, w.cloud.countUp(), w.cloud.rentals()-hired)
		if running == 2 {
			logf("both tasks run %.1f s after the loss", time.Since(lost).Seconds())
			return 0
		}
		time.Sleep(3 * time.Second)
	}
	w.check.mu.Lock()
	w.check.breakRule("job does not run", "the lost task of %s has not run again %.0f s after its machine died, and no machine was rented for it", j.id, time.Since(lost).Seconds())
	w.check.mu.Unlock()
	return 1
}
