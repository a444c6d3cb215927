package main

import (
	"os"
	"time"
)

func init() { scenarios["guest"] = guest }

// guest: an array of a team with a guarantee is bound to a zone and loses its machine there. An array of a
// guest team, which has no guarantee, runs in the other zone. The first must not wait for the guest.
func guest(trouble bool) int {
	s := kapana()
	s.teams = append(s.teams, team{"etosha-analytics", 0, 0})
	w := newWorld(s, 1)
	w.cloud.boot = 2 * time.Second
	w.startAll(s)
	j := w.newJob("array", "menu-sync", "kitchen-ops", 4, 1, 3.4, 80)
	j.zone, j.body["depot"] = "walvis-bay", "walvis-bay"
	j.body["loaners"], j.body["due_s"] = false, 190.0
	if !w.submitUntil(j, 20*time.Second) || !await(20*time.Second, func() bool { return w.onMachines(j.id) == 4 }) {
		logf("the array does not run")
		return 2
	}
	g := w.newJob("array", "receipt-sweep", "etosha-analytics", 16, 1, 3.4, 300)
	g.zone, g.body["depot"] = "windhoek-north", "windhoek-north"
	g.body["loaners"], g.body["rank"], g.body["expect_s"] = false, "best_effort", 200.0
	if os.Getenv("GUEST") != "0" {
		if !w.submitUntil(g, 20*time.Second) || !await(30*time.Second, func() bool { return w.onMachines(g.id) >= 12 }) {
			logf("the array of the guest does not run")
			return 2
		}
	}
	// Machines that are not needed are returned.
	alone := func() bool {
		n := 0
		for _, m := range w.cloud.list() {
			if m.zone == "walvis-bay" {
				n++
			}
		}
		return n == 1 && w.onMachines(j.id) == 4
	}
	if !await(40*time.Second, alone) {
		logf("the array is not alone in its zone on one machine")
		return 2
	}
	if trouble {
		for w.machineOf(j.id) != nil {
			w.machineOf(j.id).kill("dies")
		}
	}
	lost := time.Now()
	for time.Since(lost) < 100*time.Second && time.Since(started) < 114*time.Second {
		status, state := w.poll(w.nodes[w.rand(3)], j.id)
		w.check.mu.Lock()
		done, running := len(j.done), w.runningLocked(j.id)
		w.check.mu.Unlock()
		zone := 0
		for _, m := range w.cloud.list() {
			if m.zone == "walvis-bay" && m.isUp() {
				zone++
			}
		}
		debugf("job %s: %d %s; %d tasks run, %d done; %d machines up in walvis-bay of 14, %d tasks of the guest run", j.id, status, state, running, done, zone, w.onMachines(g.id))
		if done+running == 4 {
			logf("the tasks run %.1f s after the loss", time.Since(lost).Seconds())
			return 0
		}
		time.Sleep(2 * time.Second)
	}
	w.check.mu.Lock()
	w.check.breakRule("guarantee", "%.0f s after the loss of their machine no task of %s runs: 4 CPUs of 24 guaranteed, and the cloud has 13 more machines in its zone", time.Since(lost).Seconds(), j.id)
	w.check.mu.Unlock()
	return 1
}
