package main

import "time"

// avoided is the case of review/2: the machines of a zone fail every task that they start, for a short time. A
// service that is submitted meanwhile must not be left waiting once they are healthy again.
func avoided(w *World, trouble bool) int {
	w.omaruru()
	w.oneAddr = true
	w.pull, w.cloud.boot = 4, 2*time.Second // fast, so that the script ends within 120 s
	zone := "rehoboth-depot"
	tap := func(j *Job) {
		j.Lane, j.Crew, j.Shape, j.Rank, j.RAM, j.ImageGB, j.ExpectS, j.Depot = "tap-validate", "fare-core-0", "service", "high", 1.1, 0.4, 0, &zone
	}
	w.startNodes(3)
	if !await(10*time.Second, func() bool { return w.leaderIndex() >= 0 }) {
		w.fatal("no leader")
	}
	for range 2 {
		j := w.users.add(tap)
		if !w.users.submit(j) || !await(20*time.Second, func() bool { return w.rules.onMachines(j.UID) == 1 }) {
			w.fatal("%s does not run before the trouble", j.UID)
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		n := 0
		for _, m := range w.cloud.all() {
			m.mu.Lock()
			if m.up && m.Zone == zone {
				m.sick = true
				n++
				w.logf("TROUBLE %s fails every task that it starts", m.Name)
			}
			m.mu.Unlock()
		}
		if n != 1 {
			w.fatal("%d machines are up in %s", n, zone)
		}
	}
	j := w.users.add(tap)
	if !w.users.submit(j) {
		w.fatal("%s was not accepted", j.UID)
	}
	time.Sleep(10 * time.Second)
	for _, m := range w.cloud.all() {
		m.mu.Lock()
		m.sick = false
		m.mu.Unlock()
	}
	w.logf("all machines are healthy, no trouble from here on")
	return w.judgeWaiting(time.Now(), []*Job{j}, nil, nil)
}
