package leader

import (
	"math"
	"time"

	"tulipshelf/internal/api"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
)

// jobTable holds the unfinished jobs and the state that this leader derives from each.
type jobTable struct {
	*environment
	topology *topology
	store    *jobstore.Store
	states   map[*jobstore.Job]*jobState

	// failingIDs is the set of IDs of the jobs that the previous leader's estimates name as failing on
	// every machine.
	failingIDs map[string]bool
}

// jobState is the leader's state of a job beyond the job's record.
type jobState struct {
	team  int               // index of the job's team; unknownIndex: not in the settings
	zone  int               // index of the only allowed zone; unknownIndex: any; len(zones): no such zone
	types []bool            // allowed machine types, by index
	need  placement.Amounts // resources of one task

	unplacedSince  time.Time            // start of the first pass since which tasks found no machine; zero: none wait
	failedOn       map[string]time.Time // when a task last failed, by machine; cleared once the job is failing
	failedAttempts int                  // failed attempts since the last that was done, or has run well
	lastFailure    time.Time            // time of the last failed attempt; zero: none
	notBefore      time.Time            // earliest start of a task; zero: any time
	backoff        time.Duration        // delay after the next start; zero: not failing
}

// Limits for failing jobs. A job with minFailedAttempts failures and no attempt done in between was
// probably submitted with an error. From then on its tasks start one by one, or those of a gang
// together, with an exponential backoff from minFailingBackoff to maxFailingBackoff between two starts,
// until an attempt is done or has run well (runsWellAfter).
const (
	minFailedAttempts = 4
	minFailingBackoff = 2 * time.Second
	maxFailingBackoff = time.Minute
)

func newJobTable(env *environment, topology *topology) *jobTable {
	return &jobTable{environment: env, topology: topology, store: jobstore.New(),
		states: map[*jobstore.Job]*jobState{}, failingIDs: map[string]bool{}}
}

// admit adds a job with its names mapped to dense indices, and returns its state. It returns false if
// the job has been admitted before.
func (t *jobTable) admit(newJob *jobstore.Job) (*jobState, bool) {
	if state := t.states[newJob]; state != nil {
		return state, false
	}
	spec := newJob.Spec
	state := &jobState{
		team:     indexOf(t.topology.teamIndex, spec.Team),
		zone:     unknownIndex,
		types:    make([]bool, len(t.topology.types)),
		need:     placement.Amounts{placement.CPU: spec.CPUs, placement.Memory: spec.RAM, placement.GPU: spec.GPUs},
		failedOn: map[string]time.Time{},
	}
	if spec.Zone != "" {
		state.zone = indexOf(t.topology.zoneIndex, spec.Zone)
		if state.zone == unknownIndex {
			state.zone = len(t.topology.zones) // a zone without machines
		}
	}
	if t.failingIDs[spec.ID] {
		state.failedAttempts, state.backoff = minFailedAttempts, minFailingBackoff
	}
	for i := range t.topology.types {
		state.types[i] = api.Allows(spec, &t.topology.types[i])
	}
	t.states[newJob] = state
	return state, true
}

// isFailing reports whether the job counts as failing on every machine.
func (s *jobState) isFailing() bool { return s.failedAttempts >= minFailedAttempts }

// attemptSucceeded resets the count of failed attempts and the backoff after an attempt was done, or has run well.
func (s *jobState) attemptSucceeded() { s.failedAttempts, s.backoff = 0, 0 }

// avoidAfterFailure is the time for which a job is kept off a machine after one of its tasks has failed there. A
// machine that stays faulty is quarantined sooner, by the failures of other jobs, or fails the job until it counts as
// failing.
const avoidAfterFailure = 30 * time.Second

// avoids reports whether the job is to be kept off a machine now.
func (s *jobState) avoids(machine string, now time.Time) bool {
	failedAt, failed := s.failedOn[machine]
	return failed && now.Sub(failedAt) < avoidAfterFailure
}

// runsWellAfter is the time from which on a running attempt counts as a success for a failing job. It is long enough
// for a task that fails soon after each start.
const runsWellAfter = 30 * time.Second

// runsWell reports whether an attempt that began to run at runningSince shows that the job does not fail everywhere.
// Attempts that ran already when the last one failed show nothing: the others may fail all the same.
func (s *jobState) runsWell(runningSince, now time.Time) bool {
	return runningSince.After(s.lastFailure) && now.Sub(runningSince) >= runsWellAfter
}

// attemptFailed records a failed attempt on a machine and reports whether the job counts as failing. If
// it does, the machines on which it has failed are cleared.
func (s *jobState) attemptFailed(machine string, now time.Time) (failing bool) {
	s.failedOn[machine] = now
	s.failedAttempts++
	s.lastFailure = now
	if !s.isFailing() {
		return false
	}
	if s.backoff == 0 {
		s.backoff = minFailingBackoff
		s.notBefore = now.Add(s.backoff)
	}
	clear(s.failedOn) // no machine is avoided, as the job is probably at fault
	return true
}

// attemptStarted delays the next attempt of a failing job by its backoff, and doubles the backoff up to
// maxFailingBackoff.
func (s *jobState) attemptStarted(now time.Time) {
	if s.isFailing() {
		s.notBefore = now.Add(s.backoff)
		s.backoff = min(2*s.backoff, maxFailingBackoff)
	}
}

// recordUnplaced records how many of the job's tasks found no machine in a pass that began at now.
func (s *jobState) recordUnplaced(tasks int, now time.Time) {
	if tasks == 0 {
		s.unplacedSince = time.Time{}
	} else if s.unplacedSince.IsZero() {
		s.unplacedSince = now
	}
}

// hasTeam reports whether the job's team is in the settings. Jobs of other teams are never placed.
func (t *jobTable) hasTeam(j *jobstore.Job) bool { return t.states[j].team != unknownIndex }

// opportunistic reports whether a job's team has no guarantee. The team must be in the settings
// (hasTeam).
func (t *jobTable) opportunistic(j *jobstore.Job) bool {
	return t.topology.teams[t.states[j].team].Opportunistic()
}

// tasksToStart returns the number of a job's waiting tasks that should start now.
//
// Exception 7 to the design (docs/placement.md): a job that fails on every machine, unless it is a gang,
// starts one task after each backoff. Without the limit all of its tasks were tried again each minute,
// with as many writes, and machines were rented for them. Such jobs also claim their team's guarantee
// last (jobsByGuaranteeClaim). Otherwise they counted against it before jobs that do not fail.
func (t *jobTable) tasksToStart(j *jobstore.Job) int {
	startable := j.StartableTasks(t.Node.ValueBytes())
	if t.states[j].isFailing() && !j.IsGang() {
		return min(1, startable)
	}
	return startable
}

// resultSettled reports whether the result of a task is recorded, or not needed: the task's job has
// ended, or the name is not that of a task.
func (t *jobTable) resultSettled(taskName string) bool {
	jobID, task, ok := job.ParseTaskName(taskName)
	if !ok {
		return true
	}
	j := t.store.Job(jobID)
	return j == nil || j.ResultDurable(task)
}

// teamUsage returns the limits and the resource usage of the teams, by index. Every attempt that is not
// proven gone counts as used.
func (t *jobTable) teamUsage() []placement.Team {
	usage := make([]placement.Team, len(t.topology.teams))
	for i := range t.topology.teams {
		team := &t.topology.teams[i]
		usage[i] = placement.Team{CPUsMax: team.MaxCPUs, GPUsMax: team.MaxGPUs, Opportunistic: team.Opportunistic(),
			GuaranteedCPUs: team.GuaranteedCPUs, GuaranteedGPUs: team.GuaranteedGPUs, FirstBeyond: math.MaxUint64}
	}
	t.store.Each(func(j *jobstore.Job) {
		if team := t.states[j].team; team != unknownIndex {
			usage[team].CPUsUsed += float64(j.LiveTasks()) * j.Spec.CPUs
			usage[team].GPUsUsed += float64(j.LiveTasks()) * j.Spec.GPUs
		}
	})
	return usage
}
