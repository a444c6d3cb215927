package main

import (
	"time"
)

func init() { scenarios["sick"] = sickMachine }

// sickMachine: the only machine fails the one task that it starts and is then well again. The job must run.
func sickMachine(trouble bool) int {
	s := omaruru()
	w := newWorld(s, 1)
	w.cloud.boot = 2 * time.Second
	w.cloud.onRent = func(m *worker) { m.sick = trouble }
	w.startAll(s)
	j := w.newJob("service", "tap-validate", "fare-core-0", 1, 1, 1.1, 0)
	if !w.submitUntil(j, 20*time.Second) {
		logf("the job was not accepted")
		return 2
	}
	failed := func() bool {
		w.check.mu.Lock()
		defer w.check.mu.Unlock()
		return w.check.starts > 0
	}
	if !await(30*time.Second, failed) {
		logf("no task was started")
		return 2
	}
	time.Sleep(3 * time.Second)
	for _, m := range w.cloud.list() {
		m.set(func(m *worker) { m.sick = false })
	}
	logf("the trouble is over")
	// From here on the rule allows 90 s. It holds as soon as the task runs. A machine has room while it is up
	// and holds no task: a task needs a quarter of it.
	waited := time.Now()
	for time.Since(waited) < 90*time.Second {
		room := 0
		for _, m := range w.cloud.list() {
			m.mu.Lock()
			if m.up && !m.gone && m.live() == 0 {
				room++
			}
			m.mu.Unlock()
		}
		status, state := w.poll(w.nodes[w.rand(3)], j.id)
		if w.onMachines(j.id) > 0 {
			logf("the job runs %.1f s after the end of the trouble", time.Since(waited).Seconds())
			return 0
		}
		debugf("job %s: %d %s; machines up with room: %d", j.id, status, state, room)
		if room == 0 {
			waited = time.Now()
		}
		time.Sleep(2 * time.Second)
	}
	w.check.mu.Lock()
	w.check.breakRule("left waiting", "%s waited for 90 s after the end of the trouble while a machine that fits had room", j.id)
	w.check.mu.Unlock()
	return 1
}
