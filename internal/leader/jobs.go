package leader

import (
	"time"

	"tulipshelf/internal/api"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
)

// jobTable is the unfinished jobs and what this leader has worked out of each.
type jobTable struct {
	*environment
	topology *topology
	store    *jobstore.Store
	states   map[*jobstore.Job]*jobState

	// failing holds the IDs of jobs that an earlier leader found to fail on every machine.
	failing map[string]bool
}

// jobState is what the leader knows of a job beyond its record.
type jobState struct {
	team  int    // index, or unknownIndex
	zone  int    // the only one in which its tasks may run, or unknownIndex for any
	types []bool // allowed machine types, by index
	need  placement.Amounts

	failedOn       map[string]struct{} // machines on which its tasks failed lately
	failedAttempts int                 // since the last that was done
	notBefore      time.Time           // no task starts earlier
	backoff        time.Duration
}

// A job whose attempts have failed so often, with none done in between, was probably submitted with
// a mistake: one task at a time is tried, with an exponential back-off.
const (
	minFailedAttempts = 4
	minFailingBackoff = 2 * time.Second
	maxFailingBackoff = time.Minute
)

func newJobTable(env *environment, topology *topology) *jobTable {
	return &jobTable{environment: env, topology: topology, store: jobstore.New(),
		states: map[*jobstore.Job]*jobState{}, failing: map[string]bool{}}
}

// admit maps a job's names to dense indices. It returns false if the job has been admitted before.
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
		failedOn: map[string]struct{}{},
	}
	if spec.Zone != "" {
		state.zone = indexOf(t.topology.zoneIndex, spec.Zone)
		if state.zone == unknownIndex {
			state.zone = len(t.topology.zones) // a zone without machines
		}
	}
	if t.failing[spec.ID] {
		state.failedAttempts, state.backoff = minFailedAttempts, minFailingBackoff
	}
	for i := range t.topology.types {
		state.types[i] = api.Allows(spec, &t.topology.types[i])
	}
	t.states[newJob] = state
	return state, true
}

// isFailing reports whether the job seems to fail on every machine.
func (s *jobState) isFailing() bool { return s.failedAttempts >= minFailedAttempts }

// attemptDone resets what earlier failures have brought about.
func (s *jobState) attemptDone() { s.failedAttempts, s.backoff = 0, 0 }

// attemptFailed counts a failure on a machine and reports whether the job now counts as failing.
func (s *jobState) attemptFailed(machine string, now time.Time) (failing bool) {
	s.failedOn[machine] = struct{}{}
	s.failedAttempts++
	if !s.isFailing() {
		return false
	}
	if s.backoff == 0 {
		s.backoff = minFailingBackoff
		s.notBefore = now.Add(s.backoff)
	}
	clear(s.failedOn) // it may be tried anywhere again
	return true
}

// attemptStarted delays the next attempt of a failing job.
func (s *jobState) attemptStarted(now time.Time) {
	if s.isFailing() {
		s.notBefore = now.Add(s.backoff)
		s.backoff = min(2*s.backoff, maxFailingBackoff)
	}
}

// hasTeam reports whether the job's team is one of the settings'. Others' jobs are never placed.
func (t *jobTable) hasTeam(j *jobstore.Job) bool { return t.states[j].team != unknownIndex }

// opportunistic reports whether a job's team has no guarantee.
func (t *jobTable) opportunistic(j *jobstore.Job) bool {
	return t.topology.teams[t.states[j].team].Opportunistic()
}

// tasksToStart returns how many of a job's waiting tasks should start.
//
// It guards against jobs that fail on every machine: all of their tasks were tried again each
// minute, with as many writes, machines were rented for them, and they counted in their team's
// guarantee before jobs in order.
func (t *jobTable) tasksToStart(j *jobstore.Job) int {
	startable := j.StartableTasks(t.Node.ValueBytes())
	if t.states[j].isFailing() && !j.IsGang() {
		return min(1, startable)
	}
	return startable
}

// resultSettled reports whether the result of a task is recorded, or needed by nobody.
func (t *jobTable) resultSettled(taskName string) bool {
	jobID, task, ok := job.ParseTaskName(taskName)
	if !ok {
		return true
	}
	j := t.store.Job(jobID)
	return j == nil || j.ResultDurable(task)
}

// teamUsage returns the teams' limits and what they use; every attempt counts that is not proven
// gone.
func (t *jobTable) teamUsage() []placement.Team {
	usage := make([]placement.Team, len(t.topology.teams))
	for i := range t.topology.teams {
		team := &t.topology.teams[i]
		usage[i] = placement.Team{CPUsMax: team.MaxCPUs, GPUsMax: team.MaxGPUs, Opportunistic: team.Opportunistic()}
	}
	t.store.Each(func(j *jobstore.Job) {
		if team := t.states[j].team; team != unknownIndex {
			usage[team].CPUsUsed += float64(j.LiveTasks()) * j.Spec.CPUs
			usage[team].GPUsUsed += float64(j.LiveTasks()) * j.Spec.GPUs
		}
	})
	return usage
}
