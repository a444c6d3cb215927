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
	"tulipshelf/internal/relay"
	"tulipshelf/internal/wire"
)

// forecast estimates run times and what usually arrives. The estimates are kept in the key-value
// store for the next leader, which would otherwise take all unfinished jobs for what arrives in a
// moment, rent for that, and then forget what usually comes.
type forecast struct {
	*environment
	topology *topology
	jobs     *jobTable

	runtimes autoscaler.RuntimeEstimator // by class, against what owners expect
	arrays   autoscaler.DemandHistory    // CPU seconds of arrays
	gangs    autoscaler.DemandHistory    // CPU seconds of gangs

	// restoredUntil is up to when the estimates of an earlier leader reach. Jobs submitted before
	// are in them already.
	restoredUntil time.Time
	savedAt       time.Time

	lastArray    *jobState               // the kind for which room is kept
	largestGangs map[string]gangTemplate // by class
}

// gangTemplate is what a gang of a class needs.
type gangTemplate struct {
	spec  *job.Spec
	state *jobState
}

// cpus returns what the whole gang uses.
func (g gangTemplate) cpus() float64 { return float64(g.spec.Tasks) * sizingCPUs(g.state.need) }

// demandMemory is how long the past counts in what usually arrives.
const demandMemory = 150 * time.Second

func newForecast(env *environment, topology *topology, jobs *jobTable) *forecast {
	return &forecast{environment: env, topology: topology, jobs: jobs, largestGangs: map[string]gangTemplate{},
		arrays: autoscaler.DemandHistory{Memory: demandMemory}, gangs: autoscaler.DemandHistory{Memory: demandMemory}}
}

// runSeconds returns about how long a task of a job runs.
func (f *forecast) runSeconds(spec *job.Spec) float64 {
	return math.Max(1, spec.ExpectS*f.runtimes.Factor(spec.Class))
}

// sizingCPUs returns what a task counts when the cluster is sized: its CPUs.
func sizingCPUs(need placement.Amounts) float64 {
	if need[placement.CPU] > 0 {
		return need[placement.CPU]
	}
	return 1
}

// jobArrived adds a job that was not known before to what usually arrives.
func (f *forecast) jobArrived(arrived *jobstore.Job, state *jobState) {
	if arrived.Cancelled || state.team == unknownIndex {
		return
	}
	if arrived.IsGang() {
		f.gangArrived(arrived, state)
	}
	// Room is not kept for teams without a guarantee: machines would stand empty for long after
	// their arrays have gone.
	if arrived.Spec.Shape == job.Array && !f.jobs.opportunistic(arrived) {
		f.arrayArrived(arrived, state)
	}
}

func (f *forecast) gangArrived(j *jobstore.Job, state *jobState) {
	gang := gangTemplate{j.Spec, state}
	if j.SubmittedAt.After(f.restoredUntil) {
		f.gangs.Add(gang.cpus()*(f.runSeconds(j.Spec)+f.topology.fetchSeconds(j.Spec.ImageGB)), j.SubmittedAt)
	}
	if largest := f.largestGangs[j.Spec.Class]; largest.spec == nil || largest.spec.Tasks <= j.Spec.Tasks {
		f.largestGangs[j.Spec.Class] = gang
	}
}

func (f *forecast) arrayArrived(j *jobstore.Job, state *jobState) {
	if j.SubmittedAt.After(f.restoredUntil) {
		f.arrays.Add(float64(j.Spec.Tasks)*sizingCPUs(state.need)*f.runSeconds(j.Spec), j.SubmittedAt)
	}
	f.lastArray = state
}

const (
	estimatesKey      = "rental/memo"
	estimatesInterval = 10 * time.Second

	// maxFailingJobs are kept with the estimates, as far as their names take half of a value.
	maxFailingJobs    = 200
	failingJobIDBytes = 16
)

// storedEstimates is the value under estimatesKey. It names the jobs that fail on every machine,
// too: a new leader would try all of their tasks at once (TestAlwaysFailingJobIsThrottled).
type storedEstimates struct {
	Estimates autoscaler.Estimates `cbor:"estimates"`
	Failing   []string             `cbor:"failing"`
	Gangs     autoscaler.Estimates `cbor:"gangs"`
}

// saveIfDue keeps the estimates for the next leader.
func (f *forecast) saveIfDue(now time.Time) {
	nothingToSave := f.arrays.Empty() && f.gangs.Empty()
	if now.Sub(f.savedAt) < estimatesInterval || nothingToSave || !f.term.Valid() {
		return
	}
	f.savedAt = now
	value := wire.Marshal(f.estimates())
	if len(value) > relay.UsableBytes(f.Settings.Store.ValueBytes) {
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

// restore takes the estimates that an earlier leader has kept. Without them this one begins from
// the jobs that it reads.
func (f *forecast) restore(ctx context.Context) {
	item, err := f.Store.Get(ctx, estimatesKey, kvstore.PriorityLease)
	if err != nil {
		slog.Debug("estimates not restored", "err", err)
		return
	}
	var stored storedEstimates
	if err := wire.Unmarshal(item.Value, &stored); err != nil {
		slog.Error("estimates unreadable", "err", err)
		return
	}
	stored.Estimates.Restore(&f.arrays, &f.runtimes)
	if stored.Gangs.LastArrivalMS > 0 {
		stored.Gangs.Restore(&f.gangs, &autoscaler.RuntimeEstimator{})
	}
	f.restoredUntil = time.UnixMilli(stored.Estimates.DecayedAtMS)
	for _, id := range stored.Failing {
		f.jobs.failing[id] = true
	}
}
