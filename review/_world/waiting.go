package main

import "time"

// mayWait is the time for which a job may wait once the troubles are over.
const mayWait = 90 * time.Second

// judgeWaiting looks for jobs that wait for mayWait without a break, from the end of the trouble on, while a
// machine that fits has room and their team is under its limit. It returns the exit status. The job late, if
// not nil, is judged from its acceptance on.
func (w *World) judgeWaiting(over time.Time, jobs []*Job, late *Job, accepted chan bool) int {
	nextLine := over
	waiting := map[string]time.Time{} // since when a job has waited without a break
	for time.Since(over) < mayWait+1500*time.Millisecond {
		time.Sleep(250 * time.Millisecond)
		select {
		case ok := <-accepted:
			if ok {
				jobs = append(jobs, late)
			}
		default:
		}
		left := 0
		for i, j := range jobs {
			running, done := w.rules.onMachines(j.UID), w.rules.doneTasks(j.UID)
			used, room := w.rules.usedBy(j.Crew), w.machinesWithRoom(j)
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
				w.rules.report("waiting", "%s (%s of %s, %.0f of %.0f CPUs in use) has %d of %d tasks on machines and %d done, %d machines that fit have room; its user is told %q",
					j.UID, j.Lane, j.Crew, used, w.limits[j.Crew], running, j.Tickets, done, room, a.Status)
				waiting[j.UID] = time.Now()
			}
		}
		if time.Now().After(nextLine) {
			nextLine = time.Now().Add(5 * time.Second)
			w.logf("after %.0f s: %d jobs wait", time.Since(over).Seconds(), left)
		}
	}
	return w.verdict("waiting")
}

// machinesWithRoom returns the number of healthy machines that a task of the job may start on and that have
// room for it.
func (w *World) machinesWithRoom(j *Job) (n int) {
	for _, m := range w.cloud.all() {
		m.mu.Lock()
		usedCPUs, usedRAM := 0.0, 0.0
		for id, t := range m.tasks {
			if spec := w.users.spec(jobOf(id.ticket)); t.status != "exited" && spec != nil {
				usedCPUs, usedRAM = usedCPUs+spec.CPUs, usedRAM+spec.RAM
			}
		}
		healthy := m.up && !m.hung && !m.sick && !m.dead
		allowed := (j.Depot == nil || *j.Depot == m.Zone) && (j.Loaners || !m.Spot)
		if healthy && allowed && usedCPUs+j.CPUs <= w.cpus && usedRAM+j.RAM <= w.ram {
			n++
		}
		m.mu.Unlock()
	}
	return n
}
