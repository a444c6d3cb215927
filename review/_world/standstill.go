package main

import "time"

// standstill is the case of review/1: all controllers are away for longer than lease_s while many arrays run.
// Once they are back, no job may be left waiting for 90 s while a machine that fits has room and its team is
// under its limit.
func standstill(w *World, trouble bool) int {
	const machines, arrays, tasks = 750, 5, 580
	w.fleet()
	w.oneAddr = true
	w.lease = 20 * time.Second // the script has to end within 120 s
	w.pull = 4
	w.cancelWithin = 54 * time.Second
	w.startNodes(3)
	w.cloud.mu.Lock()
	for i := range machines {
		w.cloud.addMachine(w.zones[i%len(w.zones)], false, 0, 5*time.Minute)
	}
	w.cloud.mu.Unlock()
	heard := func() (n int) {
		for _, m := range w.cloud.all() {
			m.mu.Lock()
			if m.baton > 0 {
				n++
			}
			m.mu.Unlock()
		}
		return n
	}
	if !await(10*time.Second, func() bool { return heard() >= machines*95/100 }) {
		w.fatal("only %d machines were answered", heard())
	}
	w.logf("%d machines are answered", heard())
	var jobs []*Job
	for i := range arrays {
		j := w.users.add(func(j *Job) {
			j.Lane, j.Crew, j.Rank, j.Tickets = "audit-backfill", w.teams[i%len(w.teams)]["name"].(string), "best_effort", tasks
			j.RAM, j.ImageGB, j.Bundle, j.Loaners, j.ExpectS, j.runS = 1.6, 0.2, "img-01", true, 200, 200
		})
		if !w.users.submit(j) {
			w.fatal("%s was not accepted", j.UID)
		}
		jobs = append(jobs, j)
		if !await(4*time.Second, func() bool { return w.rules.onMachines(j.UID) >= tasks*9/10 }) {
			w.fatal("%s has only %d tasks on machines before the trouble", j.UID, w.rules.onMachines(j.UID))
		}
	}
	w.logf("%d arrays of %d tasks run", arrays, tasks)
	away := w.lease + 500*time.Millisecond
	if trouble {
		w.logf("TROUBLE all controllers are away for %.1f s, lease_s is %.0f", away.Seconds(), w.lease.Seconds())
		for _, n := range w.nodes {
			n.kill(away)
		}
	}
	time.Sleep(away)
	w.logf("the controllers are back, no trouble from here on")
	over := time.Now()
	service := w.users.add(func(j *Job) {
		j.Lane, j.Crew, j.Shape, j.Rank, j.RAM, j.ImageGB, j.ExpectS = "tap-validate", "fare-core-9", "service", "high", 1.1, 0.2, 0
	})
	accepted := make(chan bool, 1)
	go func() { accepted <- w.users.submit(service) }()
	return w.judgeWaiting(over, jobs, service, accepted)
}
