package main

import "time"

// standstill is the case of review/1: all controllers are away for longer than lease_s while many arrays run.
// Once they are back, no job may be left waiting for 90 s while a machine that fits has room and its team is
// under its limit.
func standstill(w *World, trouble bool) int {
	const machines, arrays, tasks = 750, 5, 580
	const mayWait = 90 * time.Second
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
	nextLine := over
	waiting := map[string]time.Time{} // since when a job has waited without a break
	for time.Since(over) < mayWait+3*time.Second {
		time.Sleep(250 * time.Millisecond)
		select {
		case ok := <-accepted:
			if ok {
				jobs = append(jobs, service)
			}
		default:
		}
		room := w.machinesWithRoom(1, 1.6)
		left := 0
		for i, j := range jobs {
			running, done := w.rules.onMachines(j.UID), w.rules.doneTasks(j.UID)
			used := w.rules.usedBy(j.Crew)
			if running+done >= j.Tickets || room == 0 || used+j.CPUs > w.limits[j.Crew] {
				delete(waiting, j.UID)
				continue
			}
			left++
			if waiting[j.UID].IsZero() {
				waiting[j.UID] = time.Now()
			}
			if time.Since(waiting[j.UID]) >= mayWait {
				_, a := w.users.poll(j, i%3)
				w.rules.report("waiting", "%s (%s of %s, %.0f of %.0f CPUs in use) has %d of %d tasks on machines and %d done, %d machines have room; its user is told %q",
					j.UID, j.Lane, j.Crew, used, w.limits[j.Crew], running, j.Tickets, done, room, a.Status)
				waiting[j.UID] = time.Now()
			}
		}
		if time.Now().After(nextLine) {
			nextLine = time.Now().Add(5 * time.Second)
			w.logf("after %.0f s: %d jobs wait, %d machines have room", time.Since(over).Seconds(), left, room)
		}
	}
	return w.verdict("waiting")
}

// machinesWithRoom returns the number of machines that are up and have room for a task.
func (w *World) machinesWithRoom(cpus, ram float64) (n int) {
	for _, m := range w.cloud.all() {
		m.mu.Lock()
		usedCPUs, usedRAM := 0.0, 0.0
		for id, t := range m.tasks {
			if spec := w.users.spec(jobOf(id.ticket)); t.status != "exited" && spec != nil {
				usedCPUs, usedRAM = usedCPUs+spec.CPUs, usedRAM+spec.RAM
			}
		}
		if m.up && !m.hung && usedCPUs+cpus <= w.cpus && usedRAM+ram <= w.ram {
			n++
		}
		m.mu.Unlock()
	}
	return n
}
