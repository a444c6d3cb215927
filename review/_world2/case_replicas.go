package main

import (
	"time"
)

func init() { scenarios["replicas"] = replicas }

// replicas: the first machine fails the four tasks of a service and is then well again. All four must run
// within 90 s of the end of the trouble, as there is room for them.
func replicas(trouble bool) int {
	s := omaruru()
	w := newWorld(s, 1)
	w.cloud.boot = 2 * time.Second
	w.cloud.onRent = func(m *worker) { // the first machine is up soon, the others after the usual time
		m.sick = trouble && w.cloud.boot == 2*time.Second
		w.cloud.boot = 30 * time.Second
	}
	w.startAll(s)
	j := w.newJob("service", "tap-validate", "fare-core-0", 4, 1, 1.1, 0)
	if !w.submitUntil(j, 20*time.Second) {
		return 2
	}
	begun := func() bool {
		w.check.mu.Lock()
		defer w.check.mu.Unlock()
		return w.check.starts >= 7 || w.check.starts >= 4 && !trouble
	}
	if !await(40*time.Second, begun) {
		logf("the tasks were not started")
		return 2
	}
	time.Sleep(time.Second)
	for _, m := range w.cloud.list() {
		m.set(func(m *worker) { m.sick = false })
	}
	logf("the trouble is over")
	waited, running := time.Now(), 0
	for time.Since(waited) < 90*time.Second {
		running = w.onMachines(j.id)
		room := 0.0
		for _, m := range w.cloud.list() {
			m.mu.Lock()
			if m.up && !m.gone {
				room += m.mt.cpus - float64(m.live())
			}
			m.mu.Unlock()
		}
		w.poll(w.nodes[w.rand(3)], j.id)
		debugf("job %s: %d of 4 tasks on machines, room for %.0f", j.id, running, room)
		if running == 4 {
			logf("all tasks run %.1f s after the end of the trouble", time.Since(waited).Seconds())
			return 0
		}
		if room < 1 {
			waited = time.Now()
		}
		time.Sleep(2 * time.Second)
	}
	w.check.mu.Lock()
	w.check.breakRule("left waiting", "%s: %d of 4 tasks run 90 s after the end of the trouble, although machines had room", j.id, running)
	w.check.mu.Unlock()
	return 1
}
