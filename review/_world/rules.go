package main

// The rules of PROTOCOL-tulipshelf.md, as the platform and the users see them.

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

type running struct {
	try     uint64
	machine *Machine
}

type Rules struct {
	w  *World
	mu sync.Mutex

	on         map[string]map[string]running // task -> machine name -> attempt
	done       map[string]bool
	cancelled  map[string]time.Time // job -> first time at which its user was told
	reported   map[string]bool
	violations []string
	starts     int
	lateStarts int
	used       map[string]float64        // CPUs in use, by team
	zones      map[string]map[string]int // tasks on machines, by job and zone
}

func newRules(w *World) *Rules {
	r := &Rules{w: w, on: map[string]map[string]running{}, done: map[string]bool{}, cancelled: map[string]time.Time{}, reported: map[string]bool{}, used: map[string]float64{}, zones: map[string]map[string]int{}}
	go r.watchCancelled()
	return r
}

// broken records that a rule was broken. The caller holds mu.
func (r *Rules) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.violations = append(r.violations, text)
	r.w.logf("RULE BROKEN %s", text)
}

func (r *Rules) report(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken(rule, format, args...)
}

func (r *Rules) watchCancelled() {
	for range time.Tick(100 * time.Millisecond) {
		r.mu.Lock()
		for task, on := range r.on {
			jobID, _, _ := strings.Cut(task, "/")
			told, ok := r.cancelled[jobID]
			if ok && time.Since(told) > r.w.cancelWithin+50*time.Millisecond && !r.reported[task] {
				for name := range on {
					r.reported[task] = true
					r.broken("ran_cancelled", "%s is on %s %.1f s after its user was told that it is cancelled", task, name, time.Since(told).Seconds())
				}
			}
		}
		r.mu.Unlock()
	}
}

func (r *Rules) isDone(task string) bool { r.mu.Lock(); defer r.mu.Unlock(); return r.done[task] }

func (r *Rules) toldCancelled(jobID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.cancelled[jobID]; !ok {
		r.cancelled[jobID] = time.Now()
	}
}

func (r *Rules) started(id attemptID, m *Machine, spec *Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	r.w.logf("%s: %s try %d starts", m.Name, id.ticket, id.try)
	for name, other := range r.on[id.ticket] {
		if name != m.Name {
			r.broken("ran_twice", "%s try %d starts on %s while try %d is on %s", id.ticket, id.try, m.Name, other.try, name)
		}
	}
	if told, ok := r.cancelled[spec.UID]; ok {
		r.lateStarts++
		r.w.logf("start %.2f s after a confirmed cancellation: %s on %s", time.Since(told).Seconds(), id.ticket, m.Name)
		if time.Since(told) > r.w.cancelWithin {
			r.broken("ran_cancelled", "%s starts %.1f s after the cancellation", id.ticket, time.Since(told).Seconds())
		}
	}
	if r.on[id.ticket] == nil {
		r.on[id.ticket] = map[string]running{}
	}
	r.on[id.ticket][m.Name] = running{id.try, m}
	r.used[spec.Crew] += spec.CPUs
	if r.zones[spec.UID] == nil {
		r.zones[spec.UID] = map[string]int{}
	}
	r.zones[spec.UID][m.Zone]++
	used, inZone, zones := r.used[spec.Crew], r.zones[spec.UID][m.Zone], len(r.zones[spec.UID])
	if limit := r.w.limits[spec.Crew]; limit > 0 && used > limit+1e-6 {
		r.broken("quota", "%s uses %.1f CPUs of %.1f with %s", spec.Crew, used, limit, id.ticket)
	}
	switch {
	case spec.Depot != nil && *spec.Depot != m.Zone, m.Spot && !spec.Loaners, spec.SamePlace && zones > 1,
		spec.Apart && inZone > (spec.Tickets+1)/2:
		r.broken("wrong_place", "%s starts on %s in %s", id.ticket, m.Name, m.Zone)
	}
}

func (r *Rules) gone(task, machine string, done bool, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.on[task][machine]; ok {
		jobID, _, _ := strings.Cut(task, "/")
		spec := r.w.users.spec(jobID)
		r.used[spec.Crew] -= spec.CPUs
		if r.zones[jobID][at.machine.Zone]--; r.zones[jobID][at.machine.Zone] == 0 {
			delete(r.zones[jobID], at.machine.Zone)
		}
	}
	delete(r.on[task], machine)
	if len(r.on[task]) == 0 {
		delete(r.on, task)
	}
	if done {
		r.done[task] = true
	}
	r.w.logf("%s: %s ends: %s", machine, task, why)
}

func (r *Rules) markDone(task string) { r.mu.Lock(); defer r.mu.Unlock(); r.done[task] = true }

func (r *Rules) doneTasks(jobID string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task := range r.done {
		if strings.HasPrefix(task, jobID+"/") {
			n++
		}
	}
	return n
}

// onMachines returns the number of tasks of a job that are on machines.
func (r *Rules) onMachines(jobID string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, tasks := range r.zones[jobID] {
		n += tasks
	}
	return n
}

func (r *Rules) usedBy(crew string) float64 { r.mu.Lock(); defer r.mu.Unlock(); return r.used[crew] }

func (r *Rules) startCount() int { r.mu.Lock(); defer r.mu.Unlock(); return r.starts }
