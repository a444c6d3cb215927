package fake

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"tulipshelf/internal/job"
)

// InvariantChecker watches the rules and keeps the jobs' descriptions for the workers.
type InvariantChecker struct {
	Within time.Duration // in which tasks of a cancelled job must be gone

	mu     sync.Mutex
	limits map[string]float64 // CPUs by team; a team that is not named has no limit
	jobs   map[string]*job.Spec
	on     map[string]place // by task
	told   map[string]time.Time
	zones  map[string]string // by task, where it started last
	faults []string
	starts map[string]int // by task
	done   map[string]bool
	late   int // starts after a user was told of the cancellation
}

// place is where a task is.
type place struct {
	machine, zone string
	try           uint64
}

// NewInvariantChecker returns a referee that has seen nothing.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{jobs: map[string]*job.Spec{}, on: map[string]place{}, told: map[string]time.Time{}, zones: map[string]string{},
		limits: map[string]float64{}, starts: map[string]int{}, done: map[string]bool{}}
}

// Limit says how many CPUs a team may use at once.
func (r *InvariantChecker) Limit(team string, cpus float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits[team] = cpus
}

// CancellationConfirmed notes that a user was told that a job is cancelled.
func (r *InvariantChecker) CancellationConfirmed(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, before := r.told[id]; before {
		return
	}
	r.told[id] = time.Now()
	if r.Within > 0 {
		time.AfterFunc(r.Within, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			for task := range r.on {
				if of, _, _ := job.ParseTaskName(task); of == id {
					r.fault("%s is on a machine %v after its cancellation was told", task, r.Within)
				}
			}
		})
	}
}

// StartsAfterCancellation returns how many tasks were started after a user was told that their job is
// cancelled.
func (r *InvariantChecker) StartsAfterCancellation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.late
}

// Violations returns what has broken a rule so far.
func (r *InvariantChecker) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.faults)
}

func (r *InvariantChecker) fault(format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

// AddJob uploads a job's description, as users do.
func (r *InvariantChecker) AddJob(s *job.Spec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[s.ID] = s
}

// RunningTasks returns how many tasks are on machines.
func (r *InvariantChecker) RunningTasks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.on)
}

// RunningTasksOf returns how many tasks of a job are on machines.
func (r *InvariantChecker) RunningTasksOf(id string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task := range r.on {
		if of, _, _ := job.ParseTaskName(task); of == id {
			n++
		}
	}
	return n
}

// Zones returns the zone in which each task started last.
func (r *InvariantChecker) Zones() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.zones)
}

// Ended tells whether a task has completed.
func (r *InvariantChecker) Ended(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[task]
}

// StartsByTask returns how often each task has started so far.
func (r *InvariantChecker) StartsByTask() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.starts)
}

func (r *InvariantChecker) start(task string, at place) (*job.Spec, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, _, _ := job.ParseTaskName(task)
	s := r.jobs[id]
	if s == nil {
		return nil, false
	}
	if other, ok := r.on[task]; ok {
		r.fault("%s starts on %s while on %s", task, at.machine, other.machine)
	}
	if told, ok := r.told[id]; ok {
		r.late++
		if r.Within > 0 && time.Since(told) > r.Within {
			r.fault("%s starts %v after its cancellation was told", task, time.Since(told))
		}
	}
	r.on[task] = at
	r.zones[task] = at.zone
	r.starts[task]++
	r.place(task, id, s, at)
	return s, true
}

// place checks limits and zones as a task starts.
func (r *InvariantChecker) place(task, id string, s *job.Spec, at place) {
	used, there := 0.0, 0
	for other, p := range r.on {
		of, _, _ := job.ParseTaskName(other)
		spec := r.jobs[of]
		if spec.Team == s.Team {
			used += spec.CPUs
		}
		if of == id && p.zone == at.zone {
			there++
		}
		if of == id && s.Shape == job.Gang && p.try != at.try {
			r.fault("%s starts in attempt %d while %s is on in attempt %d", task, at.try, other, p.try)
		}
		if of == id && s.OneZone && p.zone != at.zone {
			r.fault("%s starts in zone %s while %s is in %s", task, at.zone, other, p.zone)
		}
	}
	if limit, ok := r.limits[s.Team]; ok && used > limit+1e-6 {
		r.fault("%s starts and %s uses %g of %g CPUs", task, s.Team, used, limit)
	}
	if s.Zone != "" && s.Zone != at.zone {
		r.fault("%s starts in zone %s, not in %s", task, at.zone, s.Zone)
	}
	if s.Apart && there > (s.Tasks+1)/2 {
		r.fault("%s starts as number %d in zone %s", task, there, at.zone)
	}
}

func (r *InvariantChecker) end(task, machine string, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.on[task].machine == machine {
		delete(r.on, task)
	}
	r.done[task] = r.done[task] || done
}
