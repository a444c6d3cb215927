package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/api"
	"tulipshelf/internal/autoscaler"
	"tulipshelf/internal/clock"
	"tulipshelf/internal/cloud"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/leadership"
	"tulipshelf/internal/placement"
	"tulipshelf/internal/wire"
)

// leader is one term's state. Its loop alone touches the fields below events;
// everything else reaches it as a function sent to events.
type leader struct {
	node   *Node
	term   *leadership.Term
	ctx    context.Context // ends with the term
	events chan func()
	wg     sync.WaitGroup

	types     []cloud.Type
	typeIndex map[string]int
	zoneIndex map[string]int
	zones     []string
	teamIndex map[string]int

	started         time.Time
	firstTerm       uint64 // of this term
	loaded          atomic.Bool
	gathered        bool
	listed          bool // the cloud's list has been read
	jobs            *jobstore.Store
	fleet           *agent.Registry
	machines        map[*agent.Machine]*machineState
	jobStates       map[*jobstore.Job]*jobState
	writing         bool // a transaction of job records or a raise is in flight
	orphans         []kvstore.Mutation
	raised          time.Time
	raiseAsked      time.Time // when it was last looked whether a new term is needed
	workerClients   map[string]*wire.Client
	replan          bool // something has changed since the last pass
	placed          time.Time
	passTook        time.Duration
	pushing         int // machines that are being sent commands
	probing         int // machines that are being asked directly
	unplaced        int // tasks that found no machine in the last pass
	blocked         map[pool]time.Time
	cutUntil        []time.Time // by zone: when it was last seen cut off
	redirectedSince time.Time   // since when machines go to another node; zero: they do not
	offered         autoscaler.DemandHistory
	gangs           autoscaler.DemandHistory // the same for gangs
	learned         autoscaler.RuntimeEstimator
	estimatesUntil  time.Time       // up to when an earlier leader's estimates reach
	failed          map[string]bool // jobs that failed on every machine under it
	estimatesSaved  time.Time       // when the estimates were last kept
	lastArray       *jobState
	lastGangs       map[string]gangKind // of each class that has come, the largest
	rentSeq         int
	relays          map[string]*proxyState // by node
	renting         map[string]string      // why machines were asked for, by request not yet answered
}

// jobState is what the leader knows of a job beyond its record.
type jobState struct {
	team      int
	zone      int // -1: any
	types     []bool
	need      placement.Amounts
	failedOn  map[string]struct{} // machines on which its tasks failed lately
	errors    int                 // failed attempts since the last that was done
	notBefore time.Time
	backoff   time.Duration
}

// machineState is what the leader works out of a machine: its index, and what is
// on it as placement sees it, made anew when the machine's version has changed.
type machineState struct {
	index    placement.Index
	version  uint64
	typ      int
	valid    bool
	free     placement.Amounts
	tasks    []placement.Task
	assigned []*agent.Assignment
}

// pool is a kind of machine that is rented as one.
type pool struct {
	typ, zone int
	spot      bool
}

// Times of the loop: how often it looks at what time alone brings about, and the least time
// between two looks. Reports come by the hundred a second, and a look goes through all
// machines: made after each report, it cost the square of their number.
const (
	loopTick = 100 * time.Millisecond
	loopGap  = 10 * time.Millisecond
)

// minEvents is the least number of events that may wait for the loop. Otherwise they are
// bounded by the connections: each has one request in flight.
const minEvents = 512

func newLeader(ctx context.Context, n *Node, r *leadership.Term) *leader {
	l := &leader{
		node: n, term: r, ctx: ctx,
		events:    make(chan func(), max(minEvents, n.settings.Resources.MaxSockets)),
		typeIndex: map[string]int{}, zoneIndex: map[string]int{}, teamIndex: map[string]int{},
		jobs: jobstore.New(), fleet: agent.NewRegistry(),
		machines: map[*agent.Machine]*machineState{}, jobStates: map[*jobstore.Job]*jobState{},
		workerClients: map[string]*wire.Client{},
		blocked:       map[pool]time.Time{}, renting: map[string]string{}, failed: map[string]bool{}, relays: map[string]*proxyState{},
		offered: autoscaler.DemandHistory{Memory: 150 * time.Second}, gangs: autoscaler.DemandHistory{Memory: 150 * time.Second},
		lastGangs: map[string]gangKind{},
		started:   time.Now(), firstTerm: r.Number(),
	}
	for _, z := range n.settings.Zones {
		l.zoneIndex[z] = len(l.zones)
		l.zones = append(l.zones, z)
	}
	for i, t := range n.settings.Teams {
		l.teamIndex[t.Name] = i
	}
	return l
}

// call runs f on the loop and waits for it. It returns false if f may not run.
func (l *leader) call(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case l.events <- func() { f(); close(done) }:
	default:
		return false // bounded: the sender comes back
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return false
}

// tell runs f on the loop some time if there is room; what it tells comes again.
func (l *leader) tell(f func()) {
	select {
	case l.events <- f:
	default:
	}
}

// post runs f on the loop some time; it waits for room.
func (l *leader) post(f func()) {
	select {
	case l.events <- f:
	case <-l.ctx.Done():
	}
}

// spawn runs f beside the loop until it returns.
func (l *leader) spawn(f func()) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		f()
	}()
}

var errDeposed = errors.New("controller: another term has begun")

// run loads the records and then runs the loop until its context ends or this leader
// finds that it is deposed, which it tells by cancel.
func (l *leader) run(cancel context.CancelCauseFunc) error {
	ctx := l.ctx
	defer l.wg.Wait()
	defer cancel(nil)
	rev, err := l.load(ctx)
	if err != nil {
		return err
	}
	l.loaded.Store(true)
	l.spawn(func() { l.watch(ctx, rev, cancel) })
	l.spawn(func() { l.rent(ctx) })
	l.spawn(func() { l.followRelay(ctx) })
	next := time.NewTimer(loopTick)
	defer next.Stop()
	slow, looked := time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case f := <-l.events:
			f()
			for len(l.events) > 0 && ctx.Err() == nil {
				(<-l.events)()
			}
			if rest := loopGap - time.Since(looked); rest > 0 {
				next.Reset(rest)
				continue
			}
		case <-next.C:
		}
		now := time.Now()
		looked = now
		next.Reset(loopTick)
		if now.Sub(slow) >= time.Second {
			slow = now
			l.everySecond(now)
		}
		l.place(now)
		l.write(now, cancel)
		l.push(now)
		l.writeRelay(now)
		l.saveEstimates(now)
	}
}

// load reads every unfinished job. Writes of earlier leaders that are applied
// later fail on their condition, so what is read stays true.
func (l *leader) load(ctx context.Context) (uint64, error) {
	for l.node.types.Load() == nil {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	l.types = slices.Clone(*l.node.types.Load())
	for i, t := range l.types {
		l.typeIndex[t.Name] = i
		for _, z := range t.Zones {
			if _, ok := l.zoneIndex[z]; !ok {
				l.zoneIndex[z] = len(l.zones)
				l.zones = append(l.zones, z)
			}
		}
	}
	l.loadEstimates(ctx)
	l.cutUntil = make([]time.Time, len(l.zones))
	var rev uint64
	after := ""
	for {
		page, err := l.node.store.List(ctx, jobstore.JobPrefix, after, 1000, kvstore.PriorityLease)
		if err != nil {
			slog.Debug("records not read", "err", err)
			select {
			case <-ctx.Done():
				return 0, ctx.Err()
			case <-time.After(200 * time.Millisecond):
			}
			continue
		}
		if rev == 0 {
			rev = page.Revision // changes behind the first page are seen by the watch
		}
		for _, it := range page.Items {
			if err := l.loadItem(it); err != nil {
				slog.Error("record skipped", "key", it.Key, "err", err)
			}
			after = it.Key
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	now := time.Now()
	l.jobs.Each(func(j *jobstore.Job) {
		j.EachAttempt(func(a *jobstore.Attempt) {
			l.machine(a.Machine, now).Assign(a, now)
		})
	})
	l.jobs.FinishLoading()
	slog.Info("records read", "term", l.term.Number(), "jobs", l.jobs.Len(), "machines", l.fleet.Size())
	return rev, nil
}

func (l *leader) loadItem(it kvstore.Item) error {
	id, chunk, ok := jobstore.SplitKey(it.Key)
	if !ok {
		return fmt.Errorf("controller: unexpected key")
	}
	if chunk < 0 {
		j, _, err := l.jobs.ApplyRecord(it.Value, it.Revision)
		if err == nil {
			l.addJob(j)
		}
		return err
	}
	if l.jobs.Job(id) == nil {
		l.orphans = append(l.orphans, kvstore.Mutation{Delete: it.Key})
		return nil
	}
	return l.jobs.LoadChunk(id, chunk, it.Value, it.Revision)
}

// addJob maps a job's names to dense indices.
func (l *leader) addJob(j *jobstore.Job) {
	if l.jobStates[j] != nil {
		return
	}
	s := j.Spec
	st := &jobState{zone: -1, team: -1, failedOn: map[string]struct{}{},
		need: placement.Amounts{placement.CPU: s.CPUs, placement.Memory: s.RAM, placement.GPU: s.GPUs}}
	if t, ok := l.teamIndex[s.Team]; ok {
		st.team = t
	}
	if s.Zone != "" {
		st.zone = len(l.zones) // a zone without machines
		if z, ok := l.zoneIndex[s.Zone]; ok {
			st.zone = z
		}
	}
	if l.failed[s.ID] {
		st.errors, st.backoff = jobErrors, minBackoff
	}
	st.types = make([]bool, len(l.types))
	for i := range l.types {
		st.types[i] = api.Allows(s, &l.types[i])
	}
	l.jobStates[j] = st
	l.replan = true
	if j.IsGang() && !j.Cancelled && st.team >= 0 {
		l.gangArrived(j)
	}
	if s.Shape == job.Array && !j.Cancelled && st.team >= 0 && !l.opportunistic(j) {
		if j.SubmittedAt.After(l.estimatesUntil) {
			l.offered.Add(float64(s.Tasks)*size(st.need)*l.expect(j), j.SubmittedAt)
		}
		l.lastArray = st
	}
}

// opportunistic tells whether a job's team has no guarantee. Machines are rented for what waits
// of its arrays, but none are kept for more of the kind to come.
//
// It guards against machines kept for teams without a guarantee that have gone: after an array of 25,000
// tasks up to 117 machines stood empty for 150 s (visitors of kapana-orders-ops).
func (l *leader) opportunistic(j *jobstore.Job) bool {
	return l.node.settings.Teams[l.jobStates[j].team].Opportunistic()
}

// watch follows the jobs that users submit and cancel on any node.
func (l *leader) watch(ctx context.Context, rev uint64, fail context.CancelCauseFunc) {
	for ctx.Err() == nil {
		events, at, err := l.node.store.Watch(ctx, jobstore.JobPrefix, rev, 10*time.Second)
		if errors.Is(err, kvstore.ErrCompacted) {
			fail(fmt.Errorf("controller: watch: %w", err)) // a new term reads everything again
			return
		}
		if err != nil {
			slog.Debug("watch failed", "err", err)
			clock.Sleep(ctx, 300*time.Millisecond)
			continue
		}
		rev = max(rev, at)
		l.post(func() {
			for i := range events {
				l.onChange(&events[i])
			}
		})
		// Changes come in company, our own among them; each new watch is a request.
		clock.Sleep(ctx, 50*time.Millisecond)
	}
}

// readJobs reads jobs that another node says have changed. The watch tells of
// them too, but its connection may hang without an error.
func (l *leader) readJobs(ids []string) {
	l.tell(func() {
		l.spawn(func() {
			for _, id := range ids {
				if !job.ValidID(id) {
					continue
				}
				it, err := l.node.store.Get(l.ctx, jobstore.JobKey(id), kvstore.PriorityBackground)
				if err != nil {
					return
				}
				l.post(func() { l.onJob(it.Value, it.Revision) })
			}
		})
	})
}

func (l *leader) onChange(e *kvstore.Event) {
	if id, chunk, ok := jobstore.SplitKey(e.Delete); e.Delete != "" && ok && chunk < 0 {
		if j := l.jobs.RecordDeleted(id); j != nil {
			l.ended(j)
		}
		return
	}
	if _, chunk, ok := jobstore.SplitKey(e.Put); e.Put == "" || !ok || chunk >= 0 {
		return
	}
	l.onJob(e.Value, e.Revision)
}

func (l *leader) onJob(value []byte, rev uint64) {
	j, news, err := l.jobs.ApplyRecord(value, rev)
	if err != nil {
		slog.Error("job record unreadable", "err", err)
		return
	}
	if news {
		l.addJob(j)
		if j.Cancelled {
			l.stopAttempts(j, time.Now())
		}
	}
}

// onCancelled takes the word of nodes that jobs are cancelled. The records say so
// too, but the state service may be away for longer than their tasks may go on.
func (l *leader) onCancelled(ids []string, now time.Time) {
	for _, id := range ids {
		if j := l.jobs.MarkCancelled(id, now); j != nil {
			l.replan = true
			l.stopAttempts(j, now)
		}
	}
}

// stopAttempts stops what is left of a cancelled job: starts that were never sent are
// taken back, the others are halted. What this node has learnt to be gone, by itself or from
// the others, is so whoever led when it was reported.
//
// The latter guards against machines returned by a new leader for tasks that had long gone,
// where the ends of their jobs could not be recorded in time (inc-b469).
func (l *leader) stopAttempts(j *jobstore.Job, now time.Time) {
	if !l.writing {
		for _, a := range l.jobs.WithdrawUnrecorded(j, now) {
			l.machine(a.Machine, now).Release(a)
		}
	}
	var gone []*jobstore.Attempt
	j.EachAttempt(func(a *jobstore.Attempt) {
		m := l.machine(a.Machine, now)
		h := m.AssignmentOf(a)
		switch {
		case h == nil || !a.Recorded:
		case j.Cancelled && l.node.guard.proven(a.ID()):
			gone = append(gone, a)
		case h.FirstSent.IsZero() && a.ID().Term() >= l.firstTerm:
			gone = append(gone, a) // recorded by this leader and never sent
		default:
			m.Stop(h, 0)
		}
	})
	for _, a := range gone {
		l.machine(a.Machine, now).Release(a)
		l.jobs.EndAttempt(a, false, now)
	}
}

// machine returns the machine of a recorded attempt, known to the cloud or not.
func (l *leader) machine(name string, now time.Time) *agent.Machine {
	m := l.fleet.Add(name, now)
	if m == nil {
		// A machine that was returned holds nothing; an empty one stands for it.
		m = &agent.Machine{Name: name, Gone: true}
	}
	if l.machines[m] == nil && !m.Gone {
		m.Type, m.Zone = -1, -1
		l.machines[m] = &machineState{}
		l.replan = true
	}
	return m
}
