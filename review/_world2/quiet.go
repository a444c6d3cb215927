package main

import (
	"os"
	"strconv"
	"time"
)

func init() { scenarios["quiet"] = quiet }

// quiet plays one or two troubles against a few jobs, and then waits until all tasks run or are done.
func quiet(trouble bool) int {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	s := kapana()
	if seed%2 == 1 {
		s = omaruru()
	}
	w := newWorld(s, seed)
	w.cloud.boot = 3 * time.Second
	w.startAll(s)
	var jobs []*jobInfo
	submit := func() {
		t := s.teams[w.rand(min(3, len(s.teams)))].name
		var j *jobInfo
		switch w.rand(2) {
		case 0:
			j = w.newJob("service", "order-intake", t, 1+w.rand(3), 1+float64(w.rand(2)), 1.1, 0)
		default:
			j = w.newJob("array", "menu-sync", t, 1+w.rand(12), 1+float64(w.rand(4)), 1.2, 5+float64(w.rand(20)))
			j.body["loaners"] = w.rand(2) == 0
		}
		if w.rand(4) == 0 {
			j.zone = s.zones[w.rand(len(s.zones))]
			j.body["depot"] = j.zone
		}
		j.body["rank"] = []string{"critical", "high", "standard", "best_effort"}[w.rand(4)]
		jobs = append(jobs, j)
		go w.submitUntil(j, time.Minute)
	}
	for range 1 + w.rand(4) {
		submit()
	}
	time.Sleep(time.Duration(2000+w.rand(12000)) * time.Millisecond)
	if trouble {
		for range 1 + w.rand(2) {
			w.trouble(s)
			time.Sleep(time.Duration(w.rand(6000)) * time.Millisecond)
			if w.rand(2) == 0 {
				submit()
			}
		}
	}
	time.Sleep(35 * time.Second) // all troubles are over
	stuck := ""
	ok := await(75*time.Second, func() bool {
		stuck = ""
		w.check.mu.Lock()
		defer w.check.mu.Unlock()
		for _, j := range jobs {
			if !j.cancelAsked.IsZero() || j.accepted.IsZero() {
				continue
			}
			on := 0
			for t := range w.check.on {
				if jobID(t) == j.id {
					on++
				}
			}
			if on+len(j.done) < j.tasks && (j.shape == "service" || on == 0) {
				stuck += " " + j.id
			}
		}
		return stuck == ""
	})
	if !ok {
		logf("RULE stuck:%s", stuck)
	}
	for _, j := range jobs {
		w.poll(w.nodes[0], j.id)
	}
	if !ok || len(w.check.broken) > 0 || len(w.unexpected) > 0 {
		return 1
	}
	return 0
}
