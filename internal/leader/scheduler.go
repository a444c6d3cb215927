package leader

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
)

// scheduler makes scheduling passes: it takes a snapshot of waiting jobs and machines, has package
// placement decide, and applies the plan. Only the event loop uses it.
type scheduler struct {
	*environment
	topology     *topology
	jobs         *jobTable
	machines     *machineTable
	attempts     *attemptTracker
	forecast     *forecast
	reservations *reservations
	recovery     *recovery
	trigger      *passTrigger

	lastPass     time.Time     // start of the last pass; zero: none yet
	passDuration time.Duration // duration of the last pass
	unplaced     int           // sum of placement.Plan.Unplaced over the jobs that waited in the last pass
}

// Intervals from the start of one pass to the start of the next. Guards against passes that keep the
// processor busy: lease renewals and heartbeats would be late.
const (
	minPassInterval = 50 * time.Millisecond // lower bound, whatever has changed
	maxPassInterval = time.Second           // without a change, as some decisions depend only on time

	// passIntervalFactor is the least interval, in durations of the last pass: passes take at most a fifth
	// of the time.
	passIntervalFactor = 5
)

// passIfDue makes a scheduling pass if one is due, the lease is valid and reconciliation is over.
func (s *scheduler) passIfDue(now time.Time) {
	sinceLastPass := now.Sub(s.lastPass)
	tooSoon := sinceLastPass < max(minPassInterval, passIntervalFactor*s.passDuration)
	nothingNew := !s.trigger.requested && sinceLastPass < maxPassInterval
	if tooSoon || nothingNew {
		return
	}
	if !s.term.Valid() || !s.recovery.ready(now) {
		return
	}
	s.trigger.requested, s.lastPass = false, now
	s.pass(now)
	s.passDuration = time.Since(now)
}

// pass makes one scheduling pass over all waiting jobs.
func (s *scheduler) pass(now time.Time) {
	limit := s.startLimit()
	if limit.allowed == 0 {
		s.trigger.request()
		return
	}
	s.unplaced = 0
	waiting := s.waitingJobs(now)
	if len(waiting) == 0 {
		return
	}
	machines, assignments := s.snapshotMachines(now)
	claims := s.guaranteeClaims()
	jobs := s.snapshotJobs(waiting, claims, limit, now)
	reserved := s.reservations.asJobs(now, jobs)
	teams := s.jobs.teamUsage()
	for team := range teams {
		teams[team].FirstBeyond = claims.firstBeyond[team]
	}
	plan := placement.Place(now, machines, append(jobs, reserved...), teams)
	s.startAssigned(limit.first(plan.Assignments, waiting), waiting, now)
	if len(plan.Assignments) >= limit.allowed {
		s.trigger.request() // more tasks may start once these starts are recorded
	}
	s.stopPreempted(plan.Preemptions, waiting, assignments, now)
	for position, tasks := range plan.Unplaced[:len(waiting)] {
		s.unplaced += tasks
		s.jobs.states[waiting[position]].recordUnplaced(tasks, now)
	}
}

// waitingJobs returns the jobs of which tasks may start now, by arrival.
func (s *scheduler) waitingJobs(now time.Time) (waiting []*jobstore.Job) {
	s.jobs.store.Each(func(j *jobstore.Job) {
		// A gang restarts only once none of its tasks is live. Guards against members that wait for
		// others that never start: attempts placed now would have another number than the live ones, and
		// starts of a gang are sent only if all its attempts share one number (Attempt.Dispatchable).
		incompleteGang := j.IsGang() && j.LiveTasks() > 0
		if j.WaitingTasks() == 0 || incompleteGang {
			return
		}
		if s.jobs.hasTeam(j) && !now.Before(s.jobs.states[j].notBefore) {
			waiting = append(waiting, j)
		}
	})
	slices.SortFunc(waiting, func(a, b *jobstore.Job) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return waiting
}

// snapshotMachines returns a snapshot of each machine for placement, by Machine.Index, and each
// machine's assignments in the order of the tasks in its snapshot.
func (s *scheduler) snapshotMachines(now time.Time) ([]placement.Machine, [][]*agent.Assignment) {
	machines := make([]placement.Machine, s.machines.registry.Size())
	assignments := make([][]*agent.Assignment, len(machines))
	for i := range machines {
		machines[i], assignments[i] = s.machines.snapshot(s.machines.registry.At(i), now)
	}
	return machines, assignments
}

// startAssigned creates an attempt for each task that a pass has placed. Attempts are sent to the worker
// agents only once they are recorded. The tasks of a gang share one attempt number.
func (s *scheduler) startAssigned(assignments []placement.Assignment, waiting []*jobstore.Job, now time.Time) {
	nextTask := make([]int, len(waiting))
	attemptNumbers := make([]uint64, len(waiting))
	for _, assigned := range assignments {
		j, machine := waiting[assigned.Job], s.machines.registry.At(assigned.Machine)
		task := j.NextStartable(nextTask[assigned.Job], s.Node.ValueBytes())
		if task < 0 {
			continue // the limit on the size of stored values has dropped since the snapshot
		}
		nextTask[assigned.Job] = task + 1
		if attemptNumbers[assigned.Job] == 0 || !j.IsGang() {
			attemptNumbers[assigned.Job] = s.jobs.store.NextAttemptNumber(s.term.Number())
			s.jobs.states[j].attemptStarted(now) // once for all members of a gang
		}
		s.start(j, task, attemptNumbers[assigned.Job], machine, now)
	}
}

func (s *scheduler) start(j *jobstore.Job, task int, number uint64, machine *agent.Machine, now time.Time) {
	attempt := s.jobs.store.StartAttempt(j, task, number, machine.Name, machine.Incarnation, now)
	machine.Assign(attempt, now)
	machine.Images.Use(j.Spec.Image, j.Spec.ImageGB, s.topology.types[machine.Type].Disk, now)
	slog.Debug("attempt placed", "task", attempt.TaskName(), "attempt", number, "machine", machine.Name)
}

// stopPreempted stops the victims of a pass's preemptions, with a grace period to save a checkpoint. A
// victim in a gang stops with all of its gang, or not at all.
func (s *scheduler) stopPreempted(preemptions []placement.Preemption, waiting []*jobstore.Job, assignments [][]*agent.Assignment, now time.Time) {
	for _, preemption := range preemptions {
		victim := assignments[preemption.Machine][preemption.TaskID]
		if victim.Job.IsGang() {
			if halted := s.attempts.checkpointGang(victim.Job, now); !halted {
				continue
			}
		} else {
			s.machines.registry.At(preemption.Machine).Stop(victim, victim.Job.Spec.SaveS)
		}
		slog.Info("task preempted", "task", victim.TaskName(), "machine", victim.Machine, "for", waiting[preemption.Job].Spec.ID)
	}
}
