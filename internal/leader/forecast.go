package leader

import (
	"context"
	"log/slog"
	"math"
	"time"

	"tulipshelf/internal/autoscaler"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/placement"
	"tulipshelf/internal/wire"
)

// forecast estimates run times and the average load of arrivals. Only the event loop uses it.
//
// The estimates are stored in the key-value store for the next leader. Guards against too low a forecast
// after an election: without them the history of a new leader holds only the unfinished jobs, each as an
// arrival at the time of its submission. Without the jobs that have ended, the average load can be
// estimated too low, and too few machines are then rented for it. A new leader without the stored
// estimates also cannot correct the owners' estimates of run times until tasks are done.
type forecast struct {
	*environment
	topology *topology
	jobs     *jobTable

	runtimes autoscaler.RuntimeEstimator // by class, relative to the owners' estimates
	arrays   autoscaler.DemandHistory    // CPU seconds of arrays
	gangs    autoscaler.DemandHistory    // CPU seconds of gangs

	// Times up to which the restored histories of an earlier leader include arrivals: jobs submitted until
	// then are not counted again. Zero: none were restored.
	arraysRestoredUntil time.Time
	gangsRestoredUntil  time.Time

	savedAt time.Time // when saving was last due; zero: never

	lastArray    *jobState               // last array that arrived, the model for the reserve; nil: none
	largestGangs map[string]gangTemplate // largest gang that arrived, by class
}

// gangTemplate is a gang that arrived, as the model for anticipated gangs of its class.
type gangTemplate struct {
	spec  *job.Spec
	state *jobState
}

// cpus returns the CPUs of all tasks of the gang together, as sizingCPUs counts them.
func (g gangTemplate) cpus() float64 { return float64(g.spec.Tasks) * sizingCPUs(g.state.need) }

// demandMemory is the time in which an arrival loses all but 1/e of its weight in the demand histories.
const demandMemory = 150 * time.Second

func newForecast(env *environment, topology *topology, jobs *jobTable) *forecast {
	return &forecast{environment: env, topology: topology, jobs: jobs, largestGangs: map[string]gangTemplate{},
		arrays: autoscaler.DemandHistory{TimeConstant: demandMemory}, gangs: autoscaler.DemandHistory{TimeConstant: demandMemory}}
}

// runSeconds returns the estimated run time of a task of a job, in seconds and at least 1: the owner's
// estimate, corrected by the run times of its class.
func (f *forecast) runSeconds(spec *job.Spec) float64 {
	return math.Max(1, spec.ExpectS*f.runtimes.Factor(spec.Class))
}

// sizingCPUs returns the CPUs that a task counts for when the cluster is sized: those that it needs, or 1
// if it needs none.
func sizingCPUs(need placement.Amounts) float64 {
	if need[placement.CPU] > 0 {
		return need[placement.CPU]
	}
	return 1
}

// jobArrived adds a newly admitted job to the forecast. Cancelled jobs and those of unknown teams are
// left out.
func (f *forecast) jobArrived(arrived *jobstore.Job, state *jobState) {
	if arrived.Cancelled || state.team == unknownIndex {
		return
	}
	if arrived.IsGang() {
		f.gangArrived(arrived, state)
	}
	// Arrays of teams without a guarantee are left out. Guards against empty machines: the machines kept
	// for further such arrays would stay long after the arrays are done.
	if arrived.Spec.Shape == job.Array && !f.jobs.opportunistic(arrived) {
		f.arrayArrived(arrived, state)
	}
}

func (f *forecast) gangArrived(j *jobstore.Job, state *jobState) {
	gang := gangTemplate{j.Spec, state}
	if j.SubmittedAt.After(f.gangsRestoredUntil) {
		f.gangs.Add(gang.cpus()*(f.runSeconds(j.Spec)+f.topology.fetchSeconds(j.Spec.ImageGB)), j.SubmittedAt)
	}
	if largest := f.largestGangs[j.Spec.Class]; largest.spec == nil || largest.spec.Tasks <= j.Spec.Tasks {
		f.largestGangs[j.Spec.Class] = gang
	}
}

func (f *forecast) arrayArrived(j *jobstore.Job, state *jobState) {
	if j.SubmittedAt.After(f.arraysRestoredUntil) {
		f.arrays.Add(float64(j.Spec.Tasks)*sizingCPUs(state.need)*f.runSeconds(j.Spec), j.SubmittedAt)
	}
	f.lastArray = state
}

const (
	estimatesKey      = "rental/memo"
	estimatesInterval = 10 * time.Second

	// maxFailingJobs is the largest number of failing jobs that are stored with the estimates. Their IDs,
	// of failingJobIDBytes each, may take at most half of a value.
	maxFailingJobs    = 200
	failingJobIDBytes = 16
)

// storedEstimates is the value under estimatesKey. It includes the IDs of jobs that fail on every
// machine. Guards against a burst of failures after an election: a new leader without the IDs tries all
// tasks of these jobs at once (TestAlwaysFailingJobIsThrottled).
type storedEstimates struct {
	Estimates autoscaler.Estimates `cbor:"estimates"`
	Failing   []string             `cbor:"failing"`
	Gangs     autoscaler.Estimates `cbor:"gangs"`
}

// saveIfDue stores the estimates for the next leader, at most once in estimatesInterval. Nothing is
// stored while the forecast is empty or the lease is not valid, or if the value is too large.
func (f *forecast) saveIfDue(now time.Time) {
	nothingToSave := f.arrays.Empty() && f.gangs.Empty()
	if now.Sub(f.savedAt) < estimatesInterval || nothingToSave || !f.term.Valid() {
		return
	}
	f.savedAt = now
	value := wire.Marshal(f.estimates())
	if wire.JSONSize(value) > f.Settings.Store.ValueBytes {
		return
	}
	fence := f.term.Fence()
	f.loop.start(func() {
		mutations := []kvstore.Mutation{{Put: estimatesKey, Value: value}}
		_, err := f.Store.Txn(f.loop.ctx, []kvstore.Compare{fence}, mutations, kvstore.PriorityBackground)
		if err != nil {
			slog.Debug("estimates not saved", "err", err)
		}
	})
}

func (f *forecast) estimates() storedEstimates {
	stored := storedEstimates{
		Estimates: autoscaler.NewEstimates(&f.arrays, &f.runtimes),
		Gangs:     autoscaler.NewEstimates(&f.gangs, &autoscaler.RuntimeEstimator{}),
	}
	limit := min(maxFailingJobs, f.Settings.Store.ValueBytes/2/failingJobIDBytes)
	for j, state := range f.jobs.states {
		if state.isFailing() && len(stored.Failing) < limit {
			stored.Failing = append(stored.Failing, j.Spec.ID)
		}
	}
	return stored
}

// restore reads the estimates that an earlier leader stored. If there are none, or they cannot be read,
// the forecast begins with the unfinished jobs that this leader reads afterwards.
func (f *forecast) restore(ctx context.Context) {
	item, err := f.Store.Get(ctx, estimatesKey, kvstore.PriorityLease)
	if err != nil {
		slog.Debug("estimates not restored", "err", err)
		return
	}
	var stored storedEstimates
	if err := wire.Unmarshal(item.Value, &stored); err != nil {
		slog.Error("stored estimates unreadable; continuing without them", "err", err)
		return
	}
	f.restoreEstimates(&stored)
}

// restoreEstimates replaces the estimates by those that an earlier leader has stored.
func (f *forecast) restoreEstimates(stored *storedEstimates) {
	stored.Estimates.Restore(&f.arrays, &f.runtimes)
	f.arraysRestoredUntil = time.UnixMilli(stored.Estimates.DecayedAtMS)
	if stored.Gangs.LastArrivalMS > 0 {
		stored.Gangs.Restore(&f.gangs, &autoscaler.RuntimeEstimator{})
		f.gangsRestoredUntil = time.UnixMilli(stored.Gangs.DecayedAtMS)
	}
	for _, id := range stored.Failing {
		f.jobs.failingIDs[id] = true
	}
}
