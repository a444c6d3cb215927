package fake

// The checker of the rules that no controller may break, whatever fails. Agents report to it which
// tasks start and end; docs/safety.md lists the rules.

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"tulipshelf/internal/job"
)

// InvariantChecker records violations of the rules. It also keeps the jobs' specifications, which
// agents look up as real ones do at the place where users upload them.
type InvariantChecker struct {
	// CancelDeadline is the time in which all tasks of a cancelled job must be gone; 0: not checked.
	// It is set before the first use.
	CancelDeadline time.Duration

	mu                      sync.Mutex         // guards all below
	maxCPUs                 map[string]float64 // by team; others may use any number
	jobs                    map[string]*job.Spec
	running                 map[string]placement // by task
	cancelled               map[string]time.Time // when the cancellation was first confirmed, by job
	lastZone                map[string]string    // where each task started last
	starts                  map[string]int       // by task
	completed               map[string]bool      // by task
	startsAfterCancellation int                  // starts after a confirmed cancellation
	violations              []string
}

// placement is where a task runs, in which attempt.
type placement struct {
	machine, zone string
	attempt       uint64
}

// NewInvariantChecker returns a checker that has seen nothing.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{maxCPUs: map[string]float64{}, jobs: map[string]*job.Spec{}, running: map[string]placement{},
		cancelled: map[string]time.Time{}, lastZone: map[string]string{}, starts: map[string]int{}, completed: map[string]bool{}}
}

// SetMaxCPUs sets how many CPUs a team may use at once.
func (c *InvariantChecker) SetMaxCPUs(team string, cpus float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxCPUs[team] = cpus
}

// AddJob uploads a job's specification, as users do before they submit it.
func (c *InvariantChecker) AddJob(spec *job.Spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[spec.ID] = spec
}

// CancellationConfirmed records that the cancellation of a job was confirmed to a user. From the first
// time on its tasks have CancelDeadline to be gone.
func (c *InvariantChecker) CancellationConfirmed(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, before := c.cancelled[id]; before {
		return
	}
	c.cancelled[id] = time.Now()
	if c.CancelDeadline > 0 {
		time.AfterFunc(c.CancelDeadline, func() { c.checkCancelledTasksGone(id) })
	}
}

// checkCancelledTasksGone checks that no task of a cancelled job is left.
func (c *InvariantChecker) checkCancelledTasksGone(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.running {
		if jobOf(task) == id {
			c.addViolation("%s is on a machine %v after its cancellation was confirmed", task, c.CancelDeadline)
		}
	}
}

// Violations returns what has broken a rule so far.
func (c *InvariantChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// StartsAfterCancellation returns how many tasks were started after the cancellation of their job was
// confirmed.
func (c *InvariantChecker) StartsAfterCancellation() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsAfterCancellation
}

// RunningTasks returns how many tasks are on machines.
func (c *InvariantChecker) RunningTasks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running)
}

// RunningTasksOf returns how many tasks of a job are on machines.
func (c *InvariantChecker) RunningTasksOf(id string) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.running {
		if jobOf(task) == id {
			count++
		}
	}
	return count
}

// Zones returns the zone in which each task started last.
func (c *InvariantChecker) Zones() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.lastZone)
}

// Completed reports whether a task has completed.
func (c *InvariantChecker) Completed(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completed[task]
}

// StartsByTask returns how often each task has started so far.
func (c *InvariantChecker) StartsByTask() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.starts)
}

// taskStarted checks and records the start of a task. It returns the specification of the job; nil if
// there is none, and then nothing starts.
func (c *InvariantChecker) taskStarted(task string, at placement) *job.Spec {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := jobOf(task)
	spec := c.jobs[id]
	if spec == nil {
		return nil
	}
	if other, isRunning := c.running[task]; isRunning {
		c.addViolation("%s starts on %s while on %s", task, at.machine, other.machine)
	}
	if confirmed, isCancelled := c.cancelled[id]; isCancelled {
		c.startsAfterCancellation++
		if c.CancelDeadline > 0 && time.Since(confirmed) > c.CancelDeadline {
			c.addViolation("%s starts %v after its cancellation was confirmed", task, time.Since(confirmed))
		}
	}
	c.running[task] = at
	c.lastZone[task] = at.zone
	c.starts[task]++
	c.checkPlacement(task, spec, at)
	return spec
}

// checkPlacement checks the team's maximum and the job's rules on zones and attempts as a task starts.
// The caller holds mu.
func (c *InvariantChecker) checkPlacement(task string, spec *job.Spec, at placement) {
	usedCPUs, tasksInZone := 0.0, 0
	for other, otherAt := range c.running {
		otherSpec := c.jobs[jobOf(other)]
		if otherSpec.Team == spec.Team {
			usedCPUs += otherSpec.CPUs
		}
		if otherSpec.ID != spec.ID {
			continue
		}
		if otherAt.zone == at.zone {
			tasksInZone++
		}
		c.checkTaskPair(spec, task, at, other, otherAt)
	}
	const roundingTolerance = 1e-6 // of sums of CPUs
	if maximum, isLimited := c.maxCPUs[spec.Team]; isLimited && usedCPUs > maximum+roundingTolerance {
		c.addViolation("%s starts and %s uses %g of %g CPUs", task, spec.Team, usedCPUs, maximum)
	}
	if spec.Zone != "" && spec.Zone != at.zone {
		c.addViolation("%s starts in zone %s, not in %s", task, at.zone, spec.Zone)
	}
	if spec.Apart && tasksInZone > (spec.Tasks+1)/2 {
		c.addViolation("%s starts as number %d in zone %s", task, tasksInZone, at.zone)
	}
}

// checkTaskPair checks what a job demands of a task that starts and another that runs. The caller
// holds mu.
func (c *InvariantChecker) checkTaskPair(spec *job.Spec, task string, at placement, other string, otherAt placement) {
	if spec.Shape == job.Gang && otherAt.attempt != at.attempt {
		c.addViolation("%s starts in attempt %d while %s is on in attempt %d", task, at.attempt, other, otherAt.attempt)
	}
	if spec.OneZone && otherAt.zone != at.zone {
		c.addViolation("%s starts in zone %s while %s is in %s", task, at.zone, other, otherAt.zone)
	}
}

// taskEnded records that a task is no longer on a machine, and whether it has completed.
func (c *InvariantChecker) taskEnded(task, machine string, completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[task].machine == machine {
		delete(c.running, task)
	}
	c.completed[task] = c.completed[task] || completed
}

// addViolation records a violation. The caller holds mu.
func (c *InvariantChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// jobOf returns the id of the job that a task belongs to.
func jobOf(task string) string {
	id, _, _ := job.ParseTaskName(task)
	return id
}
