package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"sort"
	"strconv"
	"sync"
	"time"

	"tulipshelf/internal/cloud"
	"tulipshelf/internal/fleet"
	"tulipshelf/internal/intake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/leadership"
	"tulipshelf/internal/ledger"
	"tulipshelf/internal/placement"
	"tulipshelf/internal/rental"
	"tulipshelf/internal/statestore"
	"tulipshelf/internal/wire"
)

// lead is one reign's state. Its loop alone touches the fields below events;
// everything else reaches it as a function sent to events.
type lead struct {
	n      *Node
	reign  *leadership.Reign
	ctx    context.Context
	events chan func()
	wg     sync.WaitGroup

	types     []cloud.Type
	typeIndex map[string]int
	zoneIndex map[string]int
	zones     []string
	teamIndex map[string]int

	started   time.Time
	firstTerm uint64 // of this reign
	loaded    bool
	gathered  bool
	listed    bool // the cloud's list has been read
	book      *ledger.Book
	fleet     *fleet.Fleet
	index     map[*fleet.Machine]*placement.Index
	jobs      map[*ledger.Job]*jobState
	writing   bool // a ledger transaction or a raise is in flight
	orphans   []statestore.Op
	raised    time.Time
	pushers   map[string]*wire.Client
	starved   map[*ledger.Job]int
	blocked   map[pool]time.Time
	offered   rental.Offered
	learned   rental.Learned
	lastArray *jobState
	rentSeq   int
	relays    map[string]*relayed // by node
	renting   map[string]int      // machines asked for and not yet answered, by request
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

// pool is a kind of machine that is rented as one.
type pool struct {
	typ, zone int
	spot      bool
}

const maxEvents = 512

func newLead(n *Node, r *leadership.Reign) *lead {
	l := &lead{
		n: n, reign: r,
		events:    make(chan func(), maxEvents),
		typeIndex: map[string]int{}, zoneIndex: map[string]int{}, teamIndex: map[string]int{},
		book: ledger.NewBook(), fleet: fleet.New(),
		index: map[*fleet.Machine]*placement.Index{}, jobs: map[*ledger.Job]*jobState{},
		pushers: map[string]*wire.Client{}, starved: map[*ledger.Job]int{},
		blocked: map[pool]time.Time{}, renting: map[string]int{}, relays: map[string]*relayed{},
		offered: rental.Offered{Memory: 150 * time.Second},
		started: time.Now(), firstTerm: r.Term(),
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
func (l *lead) call(ctx context.Context, f func()) bool {
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

// post runs f on the loop some time; it waits for room.
func (l *lead) post(f func()) {
	select {
	case l.events <- f:
	case <-l.ctx.Done():
	}
}

// spawn runs f beside the loop until it returns.
func (l *lead) spawn(f func()) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		f()
	}()
}

var errDeposed = errors.New("controller: another term has begun")

// run loads the records and then runs the loop until ctx ends or this leader
// finds that it is deposed.
func (l *lead) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer l.wg.Wait()
	defer cancel(nil)
	l.ctx = ctx
	rev, err := l.load(ctx)
	if err != nil {
		return err
	}
	l.loaded = true
	l.spawn(func() { l.watch(ctx, rev, cancel) })
	l.spawn(func() { l.rent(ctx) })
	l.spawn(func() { l.followRelay(ctx) })
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	slow := time.Now()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case f := <-l.events:
			f()
			for len(l.events) > 0 && ctx.Err() == nil {
				(<-l.events)()
			}
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(slow) >= time.Second {
			slow = now
			l.everySecond(now)
		}
		l.place(now)
		l.write(now, cancel)
		l.push(now)
		l.writeRelay(now)
	}
}

// load reads every unfinished job. Writes of earlier leaders that are applied
// later fail on their condition, so what is read stays true.
func (l *lead) load(ctx context.Context) (uint64, error) {
	for l.n.types.Load() == nil {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	l.types = *l.n.types.Load()
	for i, t := range l.types {
		l.typeIndex[t.Name] = i
		for _, z := range t.Zones {
			if _, ok := l.zoneIndex[z]; !ok {
				l.zoneIndex[z] = len(l.zones)
				l.zones = append(l.zones, z)
			}
		}
	}
	var rev uint64
	after := ""
	for {
		page, err := l.n.store.List(ctx, ledger.JobPrefix, after, 1000, statestore.Lease)
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
			rev = page.Rev // changes behind the first page are seen by the watch
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
	l.book.Jobs(func(j *ledger.Job) {
		j.Attempts(func(a *ledger.Attempt) {
			l.machine(a.Machine, now).Hold(a, now)
		})
	})
	l.book.Loaded()
	slog.Info("records read", "term", l.reign.Term(), "jobs", l.book.Len(), "machines", l.fleet.Size())
	return rev, nil
}

func (l *lead) loadItem(it statestore.Item) error {
	id, chunk, ok := ledger.SplitKey(it.Key)
	if !ok {
		return fmt.Errorf("controller: unexpected key")
	}
	if chunk < 0 {
		j, _, err := l.book.PutJob(it.Value, it.Rev)
		if err == nil {
			l.admit(j)
		}
		return err
	}
	if l.book.Job(id) == nil {
		l.orphans = append(l.orphans, statestore.Op{Delete: it.Key})
		return nil
	}
	return l.book.PutChunk(id, chunk, it.Value, it.Rev)
}

// admit maps a job's names to dense indices.
func (l *lead) admit(j *ledger.Job) {
	if l.jobs[j] != nil {
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
	st.types = make([]bool, len(l.types))
	for i := range l.types {
		st.types[i] = intake.Allows(s, &l.types[i])
	}
	l.jobs[j] = st
	if s.Shape == job.Array && !j.Cancelled {
		l.offered.Add(float64(s.Tasks)*l.expect(j), time.Now())
		l.lastArray = st
	}
}

// watch follows the jobs that users submit and cancel on any node.
func (l *lead) watch(ctx context.Context, rev uint64, fail context.CancelCauseFunc) {
	for ctx.Err() == nil {
		events, at, err := l.n.store.Watch(ctx, ledger.JobPrefix, rev, 10*time.Second)
		if errors.Is(err, statestore.ErrCompacted) {
			fail(fmt.Errorf("controller: watch: %w", err)) // a new reign reads everything again
			return
		}
		if err != nil {
			slog.Debug("watch failed", "err", err)
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		rev = max(rev, at)
		l.post(func() {
			for i := range events {
				l.onChange(&events[i])
			}
		})
		// Changes come in company, our own among them; each new watch is a request.
		sleep(ctx, 50*time.Millisecond)
	}
}

// readJobs reads jobs that another node says have changed. The watch tells of
// them too, but its connection may hang without an error.
func (l *lead) readJobs(ids []string) {
	select {
	case l.events <- func() {
		l.spawn(func() {
			for _, id := range ids {
				if !job.ValidID(id) {
					continue
				}
				it, err := l.n.store.Get(l.ctx, ledger.JobKey(id), statestore.Rest)
				if err != nil {
					return
				}
				l.post(func() { l.onJob(it.Value, it.Rev) })
			}
		})
	}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (l *lead) onChange(e *statestore.Event) {
	if id, chunk, ok := ledger.SplitKey(e.Delete); e.Delete != "" && ok && chunk < 0 {
		if j := l.book.Gone(id, true); j != nil {
			l.ended(j)
		}
		return
	}
	if _, chunk, ok := ledger.SplitKey(e.Put); e.Put == "" || !ok || chunk >= 0 {
		return
	}
	l.onJob(e.Value, e.Rev)
}

func (l *lead) onJob(value []byte, rev uint64) {
	j, news, err := l.book.PutJob(value, rev)
	if err != nil {
		slog.Error("job record unreadable", "err", err)
		return
	}
	if news {
		l.admit(j)
		if j.Cancelled {
			l.sweep(j, time.Now())
		}
	}
}

// sweep stops what is left of a cancelled job: starts that were never sent are
// taken back, the others are halted.
func (l *lead) sweep(j *ledger.Job, now time.Time) {
	if !l.writing {
		for _, a := range l.book.DropUnrecorded(j, now) {
			l.machine(a.Machine, now).Release(a)
		}
	}
	var unsent []*ledger.Attempt
	j.Attempts(func(a *ledger.Attempt) {
		m := l.machine(a.Machine, now)
		h := m.HoldOf(a)
		switch {
		case h == nil || !a.Recorded:
		case h.Sent.IsZero() && ledger.TryTerm(a.Try) >= l.firstTerm:
			unsent = append(unsent, a) // recorded by this leader and never sent
		default:
			m.Stop(h, 0)
		}
	})
	for _, a := range unsent {
		l.machine(a.Machine, now).Release(a)
		l.book.End(a, false, now)
	}
}

// machine returns the machine of a recorded attempt, known to the cloud or not.
func (l *lead) machine(name string, now time.Time) *fleet.Machine {
	m := l.fleet.Add(name, now)
	if m == nil {
		// A machine that was returned holds nothing; an empty one stands for it.
		m = &fleet.Machine{Name: name, Gone: true}
	}
	if l.index[m] == nil && !m.Gone {
		m.Type, m.Zone = -1, -1
		l.index[m] = &placement.Index{}
	}
	return m
}

const (
	maxOrders = 40 // commands in one answer: far below the protocol's 64 KiB
	raiseGap  = 10 * time.Second
	maxExited = 40 // exited tasks a worker may keep reporting before a new term lets them be forgotten
)

// onReport handles a report and gives its answer.
func (l *lead) onReport(r *fleet.Report) wire.Response {
	if !l.loaded {
		return wire.Response{Status: 503, RetryAfter: 1}
	}
	term := l.reign.Term()
	if r.Token > term {
		// Whatever we answer would be dropped and keep the worker here.
		return wire.Response{Status: 421}
	}
	now := time.Now()
	m := l.take(r, now)
	if m == nil {
		return wire.Response{Status: 503, RetryAfter: 1}
	}
	m.Via = ""
	answer := fleet.Answer{Token: term}
	if r.Session == m.Session && r.Tick == m.Tick && l.reign.Valid() {
		answer.Orders = m.Orders(term, maxOrders, l.settled, now)
	}
	return wire.Response{Status: 200, Body: wire.Marshal(answer)}
}

// take learns from a report, or from the answer to a direct command.
func (l *lead) take(r *fleet.Report, now time.Time) *fleet.Machine {
	if l.fleet.Add(r.Machine, now) == nil {
		return nil
	}
	m := l.machine(r.Machine, now)
	m.Type, m.Zone = l.lookup(r.Type, r.Zone)
	outcomes, fresh := m.Handle(r, now)
	if !fresh {
		return m
	}
	for _, o := range outcomes {
		l.outcome(m, o, now)
	}
	for _, h := range m.Holds {
		if h.Running.Equal(now) {
			slog.Debug("attempt running", "task", h.Name(), "try", h.Try, "machine", m.Name,
				"placed_s", h.Since.Sub(h.Job.At).Seconds(), "running_s", now.Sub(h.Job.At).Seconds())
		}
	}
	return m
}

func (l *lead) lookup(typ, zone string) (int, int) {
	t, ok := l.typeIndex[typ]
	if !ok {
		t = -1
	}
	z, ok := l.zoneIndex[zone]
	if !ok {
		z = -1
	}
	return t, z
}

// settled tells whether the result of a task is written, or needed by nobody.
func (l *lead) settled(task string) bool {
	id, n, ok := fleet.SplitTask(task)
	if !ok {
		return true
	}
	j := l.book.Job(id)
	return j == nil || j.Durable(n)
}

// expect returns about how many seconds a task of a job runs.
func (l *lead) expect(j *ledger.Job) float64 {
	return math.Max(1, j.Spec.ExpectS*l.learned.Factor(j.Spec.Class))
}

// A machine is taken for faulty once tasks of so many jobs have failed on it with
// none done in between, or so many tasks of a job that does well elsewhere.
const (
	sickJobs   = 2
	sickErrors = 2
)

// A job whose tasks have failed so often with none done in between waits longer
// with each failure: it was probably submitted with a mistake.
const (
	jobErrors  = 4
	maxBackoff = time.Minute
)

func (l *lead) outcome(m *fleet.Machine, o fleet.Outcome, now time.Time) {
	a := o.Hold.Attempt
	slog.Debug("attempt ended", "task", a.Name(), "try", a.Try, "machine", m.Name, "cause", o.Cause)
	l.book.End(a, o.Cause == fleet.CauseDone, now)
	st := l.jobs[a.Job]
	if st == nil {
		return
	}
	switch o.Cause {
	case fleet.CauseDone:
		if !o.Hold.Running.IsZero() {
			l.learned.Add(a.Job.Spec.Class, a.Job.Spec.ExpectS, now.Sub(o.Hold.Running).Seconds())
		}
		m.Errors = 0
		clear(m.Blamed)
		st.errors, st.backoff = 0, 0
	case fleet.CauseError:
		st.failedOn[m.Name] = struct{}{}
		if st.errors++; st.errors >= jobErrors {
			st.backoff = min(max(2*st.backoff, 2*time.Second), maxBackoff)
			st.notBefore = now.Add(st.backoff)
			clear(st.failedOn) // it may try anywhere again
			l.fleet.Each(func(m *fleet.Machine) { delete(m.Blamed, a.Job.Spec.ID) })
			return
		}
		m.Errors++
		m.Blamed[a.Job.Spec.ID] = struct{}{}
		well := a.Job.DoneTasks() > 0
		if (len(m.Blamed) >= sickJobs || well && m.Errors >= sickErrors) && !m.Sick {
			m.Sick = true
			slog.Info("machine quarantined", "machine", m.Name, "errors", m.Errors)
		}
	case fleet.CauseRoom, fleet.CauseInUse, fleet.CauseNoJob:
		st.notBefore = now.Add(time.Second)
	}
}

// everySecond updates the index and looks after what time alone brings about.
func (l *lead) everySecond(now time.Time) {
	op := &l.n.operator
	l.fleet.Each(func(m *fleet.Machine) {
		var counts placement.Amounts
		for _, h := range m.Holds {
			s := h.Job.Spec
			if m.Type >= 0 {
				m.Images.Use(s.Image, s.ImageGB, l.types[m.Type].Disk, now)
			}
			for r, n := range [...]float64{placement.CPU: s.CPUs, placement.Memory: s.RAM, placement.GPU: s.GPUs} {
				if n > 0 {
					counts[r]++
				}
			}
		}
		l.index[m].Update(counts, now, op.IndexUpdate, op.Smoothing)
		if len(m.Holds) > 0 {
			m.IdleSince = now
		}
	})
	l.book.Jobs(func(j *ledger.Job) {
		if j.Cancelled {
			l.sweep(j, now)
		}
	})
	l.retire(now)
}

// capacity returns what a machine of a type holds.
func (l *lead) capacity(typ int) placement.Amounts {
	t := &l.types[typ]
	return placement.Amounts{placement.CPU: t.CPUs, placement.Memory: t.RAM, placement.GPU: t.GPUs}
}

// view returns a machine as placement sees it.
func (l *lead) view(m *fleet.Machine, now time.Time) placement.Machine {
	v := placement.Machine{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
	if m.Gone || m.Type < 0 || m.Zone < 0 {
		return v
	}
	v.Free = l.capacity(m.Type)
	for i, h := range m.Sorted() {
		v.Free = v.Free.Add(l.jobs[h.Job].need, -1)
		v.Tasks = append(v.Tasks, placement.Task{ID: i, Need: l.jobs[h.Job].need,
			Priority: h.Job.Spec.Rank(), Team: l.jobs[h.Job].team, Since: h.Since, Stopping: h.Stopping})
	}
	foreign := false
	m.Foreign(func(string) { foreign = true })
	v.Load = l.index[m].Value()
	v.Open = m.Known && !foreign && !m.Sick && !m.Failed && m.Retire == "" && m.Recall.IsZero() &&
		now.Sub(m.Heard) < l.n.operator.Silent
	return v
}

// teams returns limits and use; every attempt counts that is not proven gone.
func (l *lead) teams() []placement.Team {
	out := make([]placement.Team, len(l.n.settings.Teams))
	for i, t := range l.n.settings.Teams {
		out[i] = placement.Team{CPUs: t.CPUs, GPUs: t.GPUs, CPUsMax: t.CPUsMax, GPUsMax: t.GPUsMax}
	}
	l.book.Jobs(func(j *ledger.Job) {
		if t := l.jobs[j].team; t >= 0 {
			out[t].CPUsUsed += float64(j.LiveTasks()) * j.Spec.CPUs
			out[t].GPUsUsed += float64(j.LiveTasks()) * j.Spec.GPUs
		}
	})
	return out
}

// place makes one placement pass.
func (l *lead) place(now time.Time) {
	if !l.reign.Valid() || !l.ready(now) {
		return
	}
	var waiting []*ledger.Job
	l.book.Jobs(func(j *ledger.Job) {
		// A gang starts anew only once all of it is gone: a part would wait in vain.
		parted := j.Spec.Shape == job.Gang && j.LiveTasks() > 0
		if j.WaitingTasks() > 0 && !parted && l.jobs[j].team >= 0 && !now.Before(l.jobs[j].notBefore) {
			waiting = append(waiting, j)
		}
	})
	clear(l.starved)
	if len(waiting) == 0 {
		return
	}
	sort.Slice(waiting, func(x, y int) bool { return waiting[x].Arrival < waiting[y].Arrival })
	machines := make([]placement.Machine, l.fleet.Size())
	held := make([][]*fleet.Hold, len(machines))
	for i := range machines {
		machines[i] = l.view(l.fleet.At(i), now)
		held[i] = l.fleet.At(i).Sorted()
	}
	jobs := make([]placement.Job, len(waiting))
	warm := map[string][]bool{}
	beyond := l.beyond()
	for i, j := range waiting {
		st := l.jobs[j]
		s := j.Spec
		jobs[i] = placement.Job{ID: i, Team: st.team, Priority: s.Rank(), Arrival: j.Arrival, Beyond: beyond[j], Need: st.need,
			Waiting: j.WaitingTasks(), Types: st.types, Zone: st.zone, Spot: s.Spot, OneZone: s.OneZone, Apart: s.Apart,
			Gang: s.Shape == job.Gang, Tasks: s.Tasks,
			InZone: make([]int, len(l.zones)), Urgent: s.Shape == job.Service, Warm: l.warm(j, warm), Avoid: l.avoid(st)}
		j.Attempts(func(a *ledger.Attempt) {
			if m := l.fleet.Machine(a.Machine); m != nil && m.Zone >= 0 {
				jobs[i].InZone[m.Zone]++
			}
		})
	}
	plan := placement.Place(now, machines, jobs, l.teams())
	next := make([]int, len(waiting))
	tries := make([]uint64, len(waiting))
	for _, a := range plan.Assign {
		j, m := waiting[a.Job], l.fleet.At(a.Machine)
		task := j.NextWaiting(next[a.Job])
		next[a.Job] = task + 1
		if tries[a.Job] == 0 || !jobs[a.Job].Gang {
			tries[a.Job] = l.book.NextTry(l.reign.Term())
		}
		h := m.Hold(l.book.Start(j, task, tries[a.Job], m.Name, m.Session, now), now)
		m.Images.Use(j.Spec.Image, j.Spec.ImageGB, l.types[m.Type].Disk, now)
		slog.Debug("attempt placed", "task", h.Name(), "try", h.Try, "machine", m.Name)
	}
	for _, s := range plan.Stops {
		h := held[s.Machine][s.Task]
		slog.Info("task preempted", "task", h.Name(), "machine", h.Machine, "for", waiting[s.For].Spec.ID)
		l.fleet.At(s.Machine).Stop(h, h.Job.Spec.SaveS)
	}
	for i, n := range plan.Starved {
		if n > 0 {
			l.starved[waiting[i]] = n
		}
	}
}

// beyond tells which jobs do not fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func (l *lead) beyond() map[*ledger.Job]bool {
	jobs := make([]*ledger.Job, 0, l.book.Len())
	l.book.Jobs(func(j *ledger.Job) {
		if l.jobs[j].team >= 0 && !j.Cancelled {
			jobs = append(jobs, j)
		}
	})
	sort.Slice(jobs, func(x, y int) bool { return jobs[x].Arrival < jobs[y].Arrival })
	teams := l.n.settings.Teams
	cpus, gpus := make([]float64, len(teams)), make([]float64, len(teams))
	out := make(map[*ledger.Job]bool)
	for _, j := range jobs {
		t := l.jobs[j].team
		n := float64(j.Spec.Tasks - j.DoneTasks())
		cpus[t] += n * j.Spec.CPUs
		gpus[t] += n * j.Spec.GPUs
		if cpus[t] > teams[t].CPUs+1e-6 || gpus[t] > teams[t].GPUs+1e-6 {
			out[j] = true
		}
	}
	return out
}

// avoid returns the machines on which a job has failed lately.
func (l *lead) avoid(st *jobState) []bool {
	if len(st.failedOn) == 0 {
		return nil
	}
	out := make([]bool, l.fleet.Size())
	for name := range st.failedOn {
		if m := l.fleet.Machine(name); m != nil {
			out[m.Index] = true
		}
	}
	return out
}

// warm returns the machines that have a job's image, if a fetch of it takes
// longer than the index remembers. Jobs with the same image share the list, so
// that one pass sends them to the same machines.
func (l *lead) warm(j *ledger.Job, lists map[string][]bool) []bool {
	if l.fetchSeconds(j) <= l.n.operator.Smoothing.Seconds() {
		return nil
	}
	list := lists[j.Spec.Image]
	if list == nil {
		list = make([]bool, l.fleet.Size())
		for i := range list {
			list[i] = l.fleet.At(i).Images.Has(j.Spec.Image)
		}
		lists[j.Spec.Image] = list
	}
	return list
}

// ready tells whether the gathering of reports is over: after the design's time,
// or sooner.
//
// Exception to the design (10 s of gathering for every new leader): it ends as
// soon as every machine that the records or the cloud's list name has reported,
// since nothing is left to gather. Forced by the crashes of the troubles and
// rough days, on which each election cost services 10 s of their start aim.
func (l *lead) ready(now time.Time) bool {
	if !l.gathered && (now.Sub(l.started) >= l.n.operator.Gather || l.listed && l.allReported()) {
		l.gathered = true
		slog.Info("gathering over", "term", l.reign.Term(), "after", now.Sub(l.started).Round(time.Millisecond))
	}
	return l.gathered
}

func (l *lead) allReported() bool {
	all := true
	l.fleet.Each(func(m *fleet.Machine) {
		if !m.Known && !m.Booting && !m.Failed {
			all = false
		}
	})
	return all
}

// write puts the next batch in flight.
func (l *lead) write(now time.Time, depose context.CancelCauseFunc) {
	if l.writing || !l.reign.Valid() {
		return
	}
	if l.needRaise(now) {
		l.raise(now, depose)
		return
	}
	ops := min(l.n.settings.State.TxnOps, l.n.store.Writable(statestore.User))
	fence := l.reign.Fence()
	batch := l.book.NextBatch(fence, ops, now)
	if batch == nil {
		l.clearOrphans(fence)
		return
	}
	l.writing = true
	l.spawn(func() {
		rev, err := l.n.store.Txn(l.ctx, batch.Conds, batch.Ops, statestore.User)
		l.post(func() { l.written(batch, rev, err, fence, depose) })
	})
}

func (l *lead) written(batch *ledger.Batch, rev uint64, err error, fence statestore.Cond, depose context.CancelCauseFunc) {
	now := time.Now()
	l.writing = false
	if err == nil {
		starts, ended := l.book.Committed(batch, rev)
		for _, a := range starts {
			if a.Job.Cancelled {
				continue // the sweep halts it; it was never sent
			}
			l.machine(a.Machine, now).Kick()
		}
		for _, j := range ended {
			l.ended(j)
		}
		return
	}
	l.book.Failed(batch)
	var conflict *statestore.ConflictError
	if !errors.As(err, &conflict) {
		slog.Debug("batch not written", "err", err)
		l.writing = true // wait a little before the next try
		l.spawn(func() {
			sleep(l.ctx, 100*time.Millisecond)
			l.post(func() { l.writing = false })
		})
		return
	}
	for _, key := range conflict.Keys {
		if key == fence.Key && l.reign.Fence() == fence {
			depose(errDeposed)
			return
		}
	}
	l.writing = true
	l.spawn(func() {
		for _, key := range conflict.Keys {
			if key == fence.Key {
				continue
			}
			it, err := l.n.store.Get(l.ctx, key, statestore.User)
			if err != nil && !errors.Is(err, statestore.ErrNotFound) {
				slog.Debug("conflict not read", "key", key, "err", err)
				continue // the next try meets it again
			}
			l.post(func() { l.resolve(key, it, err == nil) })
		}
		l.post(func() { l.writing = false })
	})
}

// resolve learns what stands under a key whose condition failed.
func (l *lead) resolve(key string, it statestore.Item, exists bool) {
	id, chunk, ok := ledger.SplitKey(key)
	switch {
	case !ok:
	case chunk >= 0:
		l.book.ChunkRev(id, chunk, it.Rev)
	case exists:
		l.onJob(it.Value, it.Rev)
	default:
		if j := l.book.Gone(id, false); j != nil {
			l.ended(j)
		}
	}
}

// ended drops what the leader holds of a job whose end is recorded.
func (l *lead) ended(j *ledger.Job) {
	delete(l.jobs, j)
	delete(l.starved, j)
	j.Attempts(func(a *ledger.Attempt) { l.machine(a.Machine, time.Now()).Release(a) })
	l.orphans = append(l.orphans, j.OrphanOps(1<<20)...)
}

func (l *lead) clearOrphans(fence statestore.Cond) {
	n := min(len(l.orphans), l.n.settings.State.TxnOps, l.n.store.Writable(statestore.Rest))
	if n == 0 {
		return
	}
	ops := l.orphans[:n:n]
	l.orphans = l.orphans[n:]
	l.writing = true
	l.spawn(func() {
		_, err := l.n.store.Txn(l.ctx, []statestore.Cond{fence}, ops, statestore.Rest)
		l.post(func() {
			l.writing = false
			if err != nil {
				l.orphans = append(l.orphans, ops...)
			}
		})
	})
}

// needRaise tells whether a new term is needed: to prove that starts which were
// never answered cannot act any more, or to let exited tasks be forgotten.
func (l *lead) needRaise(now time.Time) bool {
	if now.Sub(l.raised) < raiseGap || now.Sub(l.started) < raiseGap {
		return false
	}
	need := false
	l.fleet.Each(func(m *fleet.Machine) {
		if m.Retained() > maxExited {
			need = true
		}
		for _, h := range m.Holds {
			if h.Stopping && h.Missing >= 2 && ledger.TryTerm(h.Try) == l.reign.Term() {
				need = true
			}
		}
	})
	return need
}

func (l *lead) raise(now time.Time, depose context.CancelCauseFunc) {
	l.raised = now
	l.writing = true
	l.spawn(func() {
		err := l.reign.Raise(l.ctx)
		if err != nil {
			slog.Info("term not raised", "err", err)
		} else {
			slog.Info("term raised", "term", l.reign.Term())
		}
		l.post(func() { l.writing = false })
	})
}

// push sends urgent commands directly, one request a machine at a time.
func (l *lead) push(now time.Time) {
	if !l.reign.Valid() {
		return
	}
	l.fleet.Each(func(m *fleet.Machine) {
		if !m.Urgent() || now.Sub(m.Heard) >= l.n.operator.Silent {
			return
		}
		orders := m.Orders(l.reign.Term(), maxOrders, l.settled, now)
		if len(orders) == 0 {
			return
		}
		m.Pushing = true
		c := l.pushers[m.Name]
		if c == nil || c.Addr != m.Addr {
			c = &wire.Client{Dial: l.n.dial, Addr: m.Addr, MaxIdle: 1}
			l.pushers[m.Name] = c
		}
		body := wire.Marshal(fleet.Commands{Token: l.reign.Term(), Session: m.Session, Orders: orders})
		l.spawn(func() {
			ctx, cancel := context.WithTimeout(l.ctx, 1500*time.Millisecond)
			defer cancel()
			resp, err := c.Do(ctx, "POST", "/commands", body)
			var r fleet.Report
			if err == nil && (resp.Status == 200 || resp.Status == 409) {
				err = wire.Unmarshal(resp.Body, &r)
			} else if err == nil {
				err = fmt.Errorf("status %d", resp.Status)
			}
			l.post(func() { l.pushed(m, &r, err) })
		})
	})
}

func (l *lead) pushed(m *fleet.Machine, r *fleet.Report, err error) {
	m.Pushing = false
	if err != nil {
		// Whether they were carried out, or yet will be, is unknown; reports tell.
		slog.Debug("commands not answered", "machine", m.Name, "err", err)
		return
	}
	if m.Gone || r.Machine != m.Name {
		return
	}
	l.take(r, time.Now())
}

// rentalName returns a request name that is never used again, by any leader.
func (l *lead) rentalName() string {
	l.rentSeq++
	return "r-" + strconv.FormatUint(l.reign.Term(), 10) + "-" + strconv.Itoa(l.rentSeq)
}
