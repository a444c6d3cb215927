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
// placement decide, and applies the plan.
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

	lastPass     time.Time
	passDuration time.Duration
	unplaced     int // tasks that found no machine in the last pass
}

// A pass follows what has changed, but not so closely that passes alone keep the processor busy:
// renewals and heartbeats come first. What time alone changes is looked at each second.
const (
	minPassInterval    = 50 * time.Millisecond
	maxPassInterval    = time.Second
	passIntervalFactor = 5 // at most one second in so many goes into passes
)

// passIfDue makes a scheduling pass if one is due.
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
	s.unplaced = 0
	waiting := s.waitingJobs(now)
	if len(waiting) == 0 {
		return
	}
	machines, assignments := s.snapshotMachines(now)
	jobs := s.snapshotJobs(waiting, now)
	reserved := s.reservations.asJobs(now, jobs)
	plan := placement.Place(now, machines, append(jobs, reserved...), s.jobs.teamUsage())
	s.startAssigned(plan.Assignments, waiting, now)
	s.stopPreempted(plan.Preemptions, waiting, assignments, now)
	for _, tasks := range plan.Unplaced[:len(waiting)] {
		s.unplaced += tasks
	}
}

// waitingJobs returns the jobs of which tasks may start, by arrival.
func (s *scheduler) waitingJobs(now time.Time) (waiting []*jobstore.Job) {
	s.jobs.store.Each(func(j *jobstore.Job) {
		// A gang starts anew only once all of it is gone: a part would wait in vain.
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

// snapshotMachines returns all machines as placement sees them, by index, and their assignments in
// the order of the snapshots' tasks.
func (s *scheduler) snapshotMachines(now time.Time) ([]placement.Machine, [][]*agent.Assignment) {
	machines := make([]placement.Machine, s.machines.registry.Size())
	assignments := make([][]*agent.Assignment, len(machines))
	for i := range machines {
		machines[i], assignments[i] = s.machines.snapshot(s.machines.registry.At(i), now)
	}
	return machines, assignments
}

// startAssigned books the attempts that a pass has placed; they are sent once they are recorded.
// The tasks of a gang share one attempt number.
func (s *scheduler) startAssigned(assignments []placement.Assignment, waiting []*jobstore.Job, now time.Time) {
	nextTask := make([]int, len(waiting))
	attemptNumbers := make([]uint64, len(waiting))
	for _, assigned := range assignments {
		j, machine := waiting[assigned.Job], s.machines.registry.At(assigned.Machine)
		task := j.NextStartable(nextTask[assigned.Job], s.Node.ValueBytes())
		if task < 0 {
			continue // the key-value store has shown meanwhile that it takes less
		}
		nextTask[assigned.Job] = task + 1
		if attemptNumbers[assigned.Job] == 0 || !j.IsGang() {
			attemptNumbers[assigned.Job] = s.jobs.store.NextAttemptNumber(s.term.Number())
		}
		s.start(j, task, attemptNumbers[assigned.Job], machine, now)
	}
}

func (s *scheduler) start(j *jobstore.Job, task int, number uint64, machine *agent.Machine, now time.Time) {
	attempt := s.jobs.store.StartAttempt(j, task, number, machine.Name, machine.Incarnation, now)
	machine.Assign(attempt, now)
	machine.Images.Use(j.Spec.Image, j.Spec.ImageGB, s.topology.types[machine.Type].Disk, now)
	s.jobs.states[j].attemptStarted(now)
	slog.Debug("attempt placed", "task", attempt.TaskName(), "attempt", number, "machine", machine.Name)
}

// stopPreempted stops the victims of a pass's preemptions.
func (s *scheduler) stopPreempted(preemptions []placement.Preemption, waiting []*jobstore.Job, assignments [][]*agent.Assignment, now time.Time) {
	for _, preemption := range preemptions {
		victim := assignments[preemption.Machine][preemption.TaskID]
		slog.Info("task preempted", "task", victim.TaskName(), "machine", victim.Machine, "for", waiting[preemption.Job].Spec.ID)
		if victim.Job.IsGang() {
			s.attempts.checkpointGang(victim.Job, now)
			continue
		}
		s.machines.registry.At(preemption.Machine).Stop(victim, victim.Job.Spec.SaveS)
	}
}
