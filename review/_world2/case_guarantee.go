package main

import (
	"sync"
	"time"
)

func init() { scenarios["guarantee"] = guarantee }

// guarantee: the cloud has fewer machines to give. kitchen-ops borrows 40 CPUs beyond its guarantee, and
// rider-desk then submits its only job, which needs a sixth of its guarantee. It must not wait for the
// other teams.
func guarantee(trouble bool) int {
	s := kapana()
	if trouble {
		s.capacity["windhoek-north"] = 7 // 0.6 of 11, rounded up
	}
	w := newWorld(s, 1)
	w.cloud.boot = 2 * time.Second
	w.startAll(s)
	var jobs []*jobInfo
	for range 32 {
		jobs = append(jobs, w.newJob("service", "order-intake", "kitchen-ops", 1, 2, 4.6, 0))
	}
	for range 10 {
		jobs = append(jobs, w.newJob("service", "order-intake", "ledger-crew", 1, 2, 4.6, 0))
	}
	var wg sync.WaitGroup
	for _, j := range jobs {
		wg.Go(func() { w.submitUntil(j, 30*time.Second) })
		time.Sleep(150 * time.Millisecond)
	}
	wg.Wait()
	all := func() bool {
		for _, j := range jobs {
			if w.onMachines(j.id) == 0 {
				return false
			}
		}
		return true
	}
	if !await(35*time.Second, all) {
		logf("the work of kitchen-ops and ledger-crew does not run")
		return 2
	}
	logf("kitchen-ops uses 64 CPUs (guarantee 24), ledger-crew 20 (guarantee 40); %d machines are up", w.cloud.countUp())
	j := w.newJob("service", "order-intake", "rider-desk", 4, 2, 4.6, 0)
	if !w.submitUntil(j, 20*time.Second) {
		return 2
	}
	submitted := time.Now()
	for time.Since(submitted) < 60*time.Second {
		status, state := w.poll(w.nodes[w.rand(3)], j.id)
		running := w.onMachines(j.id)
		debugf("job %s of rider-desk: %d %s; %d of 4 tasks on machines, %d machines up", j.id, status, state, running, w.cloud.countUp())
		if running == 4 {
			logf("all tasks of rider-desk run %.1f s after the submission", time.Since(submitted).Seconds())
			return 0
		}
		time.Sleep(2 * time.Second)
	}
	w.check.mu.Lock()
	w.check.breakRule("guarantee", "the only job of rider-desk, 8 of its 48 CPUs, has waited for 60 s for other teams: %d of 4 tasks run, and kitchen-ops uses 64 CPUs, 40 beyond its guarantee", w.runningLocked(j.id))
	w.check.mu.Unlock()
	return 1
}
