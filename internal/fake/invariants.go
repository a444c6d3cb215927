package fake

// The checker of the invariants, the rules that no controller may break under any fault. Agents report
// the starts and ends of tasks to it; docs/safety.md lists the rules.

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"tulipshelf/internal/job"
)

// InvariantChecker records violations of the rules. It also stores the specifications of jobs for the
// agents. Real agents read the specifications from the storage to which users upload them.
type InvariantChecker struct {
	// CancelDeadline is the time from the confirmation of a job's cancellation until all its tasks must be
	// gone; 0 disables the check. It must be set before the first use.
	CancelDeadline time.Duration

	mu                      sync.Mutex         // guards the fields below
	maxCPUs                 map[string]float64 // by team; teams without an entry have no maximum
	jobs                    map[string]*job.Spec
	running                 map[string]placement     // by task
	cancelled               map[string]time.Time     // time of the first confirmed cancellation, by job
	lastZone                map[string]string        // zone of the latest start, by task
	starts                  map[string]int           // number of starts, by task
	startedAttempts         map[job.AttemptID]string // machine on which each attempt was started
	completed               map[string]bool          // by task
	startsAfterCancellation int                      // number of starts after a confirmed cancellation
	refusedLateStarts       int                      // see RefusedLateStarts
	violations              []string
}

// placement is the machine, zone and attempt number of a running task.
type placement struct {
	machine, zone string
	attempt       uint64
}

// NewInvariantChecker returns a checker without jobs, maximums and violations.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{maxCPUs: map[string]float64{}, jobs: map[string]*job.Spec{}, running: map[string]placement{},
		cancelled: map[string]time.Time{}, lastZone: map[string]string{}, starts: map[string]int{},
		startedAttempts: map[job.AttemptID]string{}, completed: map[string]bool{}}
}

// SetMaxCPUs sets the maximum number of CPUs that the running tasks of a team may use together.
func (c *InvariantChecker) SetMaxCPUs(team string, cpus float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxCPUs[team] = cpus
}

// AddJob stores a job's specification, as users upload it before they submit the job.
func (c *InvariantChecker) AddJob(spec *job.Spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[spec.ID] = spec
}

// CancellationConfirmed records that the cancellation of a job was confirmed to a user. All its tasks must
// be gone CancelDeadline after the first confirmation.
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

// checkCancelledTasksGone records a violation for each task of a cancelled job that is still on a machine.
func (c *InvariantChecker) checkCancelledTasksGone(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.running {
		if jobOf(task) == id {
			c.addViolation("%s is still on a machine %v after its cancellation was confirmed", task, c.CancelDeadline)
		}
	}
}

// Violations returns a message for each violation so far.
func (c *InvariantChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// StartsAfterCancellation returns the number of starts of tasks after the cancellation of their job was
// confirmed.
func (c *InvariantChecker) StartsAfterCancellation() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsAfterCancellation
}

// RefusedLateStarts returns how many starts agents have refused, for their token or incarnation, of attempts that
// were started there before and are no longer listed.
func (c *InvariantChecker) RefusedLateStarts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusedLateStarts
}

// lateStartRefused counts a start for RefusedLateStarts.
func (c *InvariantChecker) lateStartRefused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedLateStarts++
}

// RunningTasks returns the number of tasks on all machines.
func (c *InvariantChecker) RunningTasks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running)
}

// RunningTasksOf returns the number of tasks of a job on all machines.
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

// Zones returns the zone of the latest start of each task, by task.
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

// StartsByTask returns the number of starts of each task so far, by task.
func (c *InvariantChecker) StartsByTask() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.starts)
}

// taskStarted checks and records the start of a task, and returns the specification of its job. For an
// unknown job it records nothing and returns nil, and the caller must not start the task.
func (c *InvariantChecker) taskStarted(task string, at placement) *job.Spec {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := jobOf(task)
	spec := c.jobs[id]
	if spec == nil {
		return nil
	}
	if other, isRunning := c.running[task]; isRunning {
		c.addViolation("%s starts on %s while it is still on %s", task, at.machine, other.machine)
	}
	if confirmed, isCancelled := c.cancelled[id]; isCancelled {
		c.startsAfterCancellation++
		if c.CancelDeadline > 0 && time.Since(confirmed) > c.CancelDeadline {
			c.addViolation("%s starts %v after its cancellation was confirmed; at most %v is allowed", task, time.Since(confirmed), c.CancelDeadline)
		}
	}
	c.checkFirstStart(job.AttemptID{Task: task, Number: at.attempt}, at.machine)
	c.running[task] = at
	c.lastZone[task] = at.zone
	c.starts[task]++
	c.checkPlacement(task, spec, at)
	return spec
}

// checkFirstStart records the start of an attempt, which must not be started more than once: a start that was
// carried out and is delivered again has no effect. The caller holds mu.
func (c *InvariantChecker) checkFirstStart(attempt job.AttemptID, machine string) {
	if earlier, started := c.startedAttempts[attempt]; started {
		c.addViolation("attempt %d of %s starts on %s, after it was started on %s before", attempt.Number, attempt.Task, machine, earlier)
	}
	c.startedAttempts[attempt] = machine
}

// checkPlacement checks the start of a task against the maximum of CPUs of its team and the rules of its
// job on zones and attempts. The task is already in running. The caller holds mu.
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
	const roundingTolerance = 1e-6 // CPUs; tolerance for rounding errors in the sum
	if maximum, isLimited := c.maxCPUs[spec.Team]; isLimited && usedCPUs > maximum+roundingTolerance {
		c.addViolation("%s starts and team %s uses %g CPUs; at most %g are allowed", task, spec.Team, usedCPUs, maximum)
	}
	if spec.Zone != "" && spec.Zone != at.zone {
		c.addViolation("%s starts in zone %s, not in %s", task, at.zone, spec.Zone)
	}
	if spec.Apart && tasksInZone > (spec.Tasks+1)/2 {
		c.addViolation("%s starts as task %d of its job in zone %s; at most %d are allowed", task, tasksInZone, at.zone, (spec.Tasks+1)/2)
	}
}

// checkTaskPair checks a task that starts against a running task of the same job: the tasks of a gang must
// be of one attempt, and those of a job with OneZone in one zone. The caller holds mu.
func (c *InvariantChecker) checkTaskPair(spec *job.Spec, task string, at placement, other string, otherAt placement) {
	if spec.Shape == job.Gang && otherAt.attempt != at.attempt {
		c.addViolation("%s starts in attempt %d while %s is on a machine in attempt %d", task, at.attempt, other, otherAt.attempt)
	}
	if spec.OneZone && otherAt.zone != at.zone {
		c.addViolation("%s starts in zone %s while %s is in %s", task, at.zone, other, otherAt.zone)
	}
}

// taskEnded records that a task is no longer on a machine. A task that has completed once stays completed.
func (c *InvariantChecker) taskEnded(task, machine string, completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[task].machine == machine {
		delete(c.running, task)
	}
	c.completed[task] = c.completed[task] || completed
}

// messageTooLarge records that a message to or from a machine has more bytes of JSON than the protocol allows.
func (c *InvariantChecker) messageTooLarge(machine string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("message to or from %s has %d bytes of JSON, want at most %d", machine, bytes, maxBodyBytes)
}

// addViolation records a violation. The caller holds mu.
func (c *InvariantChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// jobOf returns the ID of the job to which a task belongs.
func jobOf(task string) string {
	id, _, _ := job.ParseTaskName(task)
	return id
}
