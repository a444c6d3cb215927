package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"tulipshelf/internal/cloud"
	"tulipshelf/internal/config"
	"tulipshelf/internal/fleet"
	"tulipshelf/internal/job"
	"tulipshelf/internal/ledger"
	"tulipshelf/internal/pause"
	"tulipshelf/internal/placement"
	"tulipshelf/internal/rental"
	"tulipshelf/internal/statestore"
	"tulipshelf/internal/wire"
)

const (
	refusalPause = 20 * time.Second             // a pool that refused is left alone for so long
	bootPatience = 4                            // times the usual boot time, after which a machine is given up
	bootOverdue  = 1.6                          // times the usual boot time, after which it is not counted on
	maxDeadShare = 3                            // one in so many silent machines at once: rather our own network
	cutMissed    = 10                           // reports missed in a row of a zone: it is cut off
	cutPatience  = 3                            // leases for which the machines of a zone that is cut off are kept
	deafPatience = lodgeUnheard + 3*time.Second // in a cut late copies of reports look like that until others pass them on
	minPaid      = 55 * time.Second             // a machine costs 60 s at least
	cancelLeeway = 0.55                         // share of the cancellation time after which a machine is given up
)

// stuckCancelled is why a machine is given up that can't be told of a cancellation. It
// is returned even while it is not sure that this node still leads, as its time runs
// out: the worst is work lost on it that another leader has sent there.
const stuckCancelled = "holds a cancelled task that cannot be stopped"

func giveUp(m *fleet.Machine, why string) {
	m.Retire = why
	slog.Info("machine given up", "machine", m.Name, "why", why, "tasks", len(m.Holds))
}

// retire decides which machines are given up for what time has shown.
func (l *lead) retire(now time.Time) {
	l.fleet.Each(func(m *fleet.Machine) {
		if m.Retire != stuckCancelled && l.overdueCancel(m, now) {
			giveUp(m, stuckCancelled)
		}
	})
	if !l.reign.Valid() || !l.surveyed(now) {
		return
	}
	op := &l.n.operator
	report, lease := l.n.settings.Workers.Report, l.n.settings.Workers.Lease
	known, silent := 0, 0
	quiet := func(m *fleet.Machine) time.Duration {
		since := l.started
		if m.Known {
			since = m.Heard
		}
		return now.Sub(since)
	}
	zoneKnown, zoneSilent := make([]int, len(l.zones)), make([]int, len(l.zones))
	zoneHeard := make([]time.Time, len(l.zones)) // when any machine there was last heard
	l.fleet.Each(func(m *fleet.Machine) {
		if m.Known || len(m.Holds) > 0 {
			known++
			isSilent := quiet(m) >= op.Silent
			if isSilent {
				silent++
			}
			if m.Zone >= 0 {
				zoneKnown[m.Zone]++
				if m.Heard.After(zoneHeard[m.Zone]) {
					zoneHeard[m.Zone] = m.Heard
				}
				if isSilent {
					zoneSilent[m.Zone]++
				}
			}
		}
	})
	cut := func(silent, known int) bool { return silent > 2 && silent*maxDeadShare > known }
	for z := range l.zones {
		// Of hundreds of machines dozens report each second. Where none does, the zone is
		// cut off, long before a third of its machines count as silent; those that reported
		// last before the cut would be given up until then.
		gap := now.Sub(zoneHeard[z])
		missed := float64(zoneKnown[z]) * gap.Seconds() / report.Seconds()
		none := !zoneHeard[z].IsZero() && zoneKnown[z] > 2 && gap >= time.Second && missed >= cutMissed
		if none || cut(silent, known) || cut(zoneSilent[z], zoneKnown[z]) {
			l.cutUntil[z] = now
		}
	}
	// Where a zone is cut off its machines are not dead. A controller there may keep
	// their leases; without one their tasks end with those, and then nothing is gained
	// by returning them either, unless services wait to start elsewhere: others in
	// their place would be cut off too (rough of omaruru-fares-grown: 129 machines
	// given up with 516 tasks in a cut of 55 s, in which no zone had room for others).
	// Once the cut is over they have the usual time anew to come back, and after an
	// election a lease's time, as they may have to try every node (inc-2c92: 77 given
	// up as soon as two thirds were back). Those that serve in a zone of which a new
	// leader has heard nobody were silent before it: the zone was cut off, as others
	// have found their way by then (zone of omaruru-fares-fleet: replicas of a quarter
	// of the fleet were gone for 15 s more than need be).
	lost := func(m *fleet.Machine) bool {
		since := quiet(m)
		if m.Zone >= 0 && !l.cutUntil[m.Zone].IsZero() {
			if l.cutUntil[m.Zone].Equal(now) {
				if m.Serves() && !l.n.settings.Controls(l.zones[m.Zone]) {
					if !m.Known && zoneSilent[m.Zone] == zoneKnown[m.Zone] {
						return since >= op.Abandon
					}
					return since >= max(op.Abandon, lease)
				}
				return since >= max(op.Abandon, cutPatience*lease)
			}
			since = min(since, now.Sub(l.cutUntil[m.Zone]))
		}
		if !m.Known {
			return since >= max(op.Abandon, lease)
		}
		// Only where a cut would have shown by now may it be the machine alone.
		alone := m.Zone >= 0 && now.Sub(l.cutUntil[m.Zone]) > lease &&
			float64(zoneKnown[m.Zone])*(op.Silent-report*5/4).Seconds() >= cutMissed*report.Seconds()
		return since >= op.Abandon || alone && m.Unreached && since >= op.Silent
	}
	l.fleet.Each(func(m *fleet.Machine) {
		why := ""
		switch {
		case m.Retire != "":
		case m.Failed:
			why = "failed"
		case m.Sick:
			why = "faulty"
		case !m.Known && len(m.Holds) == 0 && now.Sub(m.Created) > l.bootLimit(m):
			why = "never came up"
		case (m.Known || len(m.Holds) > 0) && lost(m):
			why = "silent"
		case !m.Recall.IsZero() && now.After(m.Recall) && quiet(m) >= op.Silent:
			why = "taken back"
		case m.Known && len(m.Holds) == 0 && (m.Type < 0 || m.Zone < 0):
			why = "of no known type or zone"
		case !m.DeafSince.IsZero() && now.Sub(m.DeafSince) >= deafPatience:
			why = "gets no commands"
		}
		if why != "" {
			giveUp(m, why)
		}
	})
}

func (l *lead) bootLimit(m *fleet.Machine) time.Duration {
	if m.Type < 0 {
		return time.Minute
	}
	return time.Duration(bootPatience * l.types[m.Type].BootS * float64(time.Second))
}

// overdueBoot tells whether a machine has taken longer to boot than any that is
// in order. It may never come up, so what it was rented for is rented again.
func (l *lead) overdueBoot(m *fleet.Machine, now time.Time) bool {
	return m.Type >= 0 && now.Sub(m.Created).Seconds() > bootOverdue*l.types[m.Type].BootS
}

func (l *lead) overdueCancel(m *fleet.Machine, now time.Time) bool {
	limit := time.Duration(cancelLeeway * float64(l.n.settings.Workers.Cancel))
	for _, h := range m.Holds {
		if h.Job.Cancelled && now.Sub(h.Job.CancelledAt) > limit {
			return true
		}
	}
	return false
}

// rent is the goroutine that talks to the cloud.
func (l *lead) rent(ctx context.Context) {
	const (
		decideEvery = 500 * time.Millisecond
		maxPause    = 5 * time.Second
	)
	var listed time.Time
	var pending []cloud.Rental // asked for and not answered for certain
	gap := decideEvery         // grows while the cloud does not serve
	for ctx.Err() == nil {
		failed := false
		if time.Since(listed) >= max(2*time.Second, l.n.settings.Cloud.ListLag/2) {
			asked := time.Now()
			list, err := l.n.cloud.List(ctx)
			if err != nil {
				slog.Debug("machines not listed", "err", err)
				failed = true
			} else {
				l.post(func() { l.onList(list, asked) })
			}
			listed = asked
		}
		var names []string
		var asks []cloud.Rental
		if l.call(ctx, func() { names, asks = l.decide(time.Now()) }) {
			if len(names) > 0 {
				if err := l.n.cloud.Return(ctx, names); err != nil {
					slog.Debug("machines not returned", "machines", names, "err", err)
					failed = true
				} else {
					l.post(func() { l.returned(names) })
				}
			}
			pending = append(pending, asks...)
		}
		var again []cloud.Rental
		for _, r := range pending {
			got, err := l.n.cloud.Rent(ctx, r)
			if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
				slog.Debug("rental not answered", "request", r.Name, "err", err)
				failed = true
				again = append(again, r) // the same name, so that nothing is rented twice
				continue
			}
			l.post(func() { l.rented(r, got) })
		}
		pending = again
		switch {
		case !failed:
			gap = decideEvery
		default:
			if gap == decideEvery {
				slog.Info("cloud does not serve", "pending", len(pending))
			}
			gap = min(2*gap, maxPause)
		}
		pause.For(ctx, gap*3/4+rand.N(gap/2))
	}
}

func (l *lead) returned(names []string) {
	now := time.Now()
	for _, name := range names {
		m := l.fleet.Machine(name)
		for _, o := range l.fleet.Removed(name, now) {
			l.outcome(m, o, now)
		}
		delete(l.machines, m)
		delete(l.pushers, name)
	}
	l.replan = true
	slog.Info("machines returned", "machines", names)
}

func (l *lead) rented(r cloud.Rental, names []string) {
	now := time.Now()
	why := l.renting[r.Name]
	delete(l.renting, r.Name)
	p := pool{l.typeIndex[r.Type], l.zoneIndex[r.Zone], r.Spot}
	if len(names) < r.Count {
		l.blocked[p] = now.Add(refusalPause)
	}
	slog.Info("machines rented", "request", r.Name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "machines", names, "why", why)
	for _, name := range names {
		if l.fleet.Add(name, now) == nil {
			continue
		}
		m := l.machine(name, now)
		// Until the list tells of it, it boots. Taken for one that should report, it kept
		// a new leader from renting more until the gathering's time was over (the start of
		// every day of omaruru-fares, at which no machine is up: 4 s).
		m.Listed, m.Booting = true, !m.Known
		if m.Type < 0 {
			m.Type, m.Zone, m.Spot = p.typ, p.zone, p.spot
		}
	}
}

// onList takes a list of machines. A machine that is missing from it proves
// nothing by that, but a silent one that is missing is asked back, and the
// answer to that does.
func (l *lead) onList(list []cloud.Machine, asked time.Time) {
	now := time.Now()
	l.listed = true
	lag := 2*l.n.settings.Cloud.ListLag + 2*time.Second
	in := make(map[string]bool, len(list))
	for i := range list {
		c := &list[i]
		in[c.Name] = true
		if l.fleet.Add(c.Name, now.Add(-time.Duration(c.AgeS*float64(time.Second)))) == nil {
			continue
		}
		m := l.machine(c.Name, now)
		if !m.Known {
			m.Type, m.Zone = l.lookup(c.Type, c.Zone)
			m.Spot, m.Addr = c.Spot, c.Addr
		}
		m.Failed = c.Status == cloud.Failed
		m.Listed = m.Listed || c.Status == cloud.Running
		m.Booting = c.Status == cloud.Starting && !m.Known
	}
	l.fleet.Each(func(m *fleet.Machine) {
		heard := m.Created
		if m.Known {
			heard = m.Heard
		}
		if !in[m.Name] && m.Retire == "" && asked.Sub(heard) > lag && asked.Sub(m.Created) > lag {
			giveUp(m, "no longer listed")
		}
	})
}

// decide returns the machines to return and the rentals to ask for.
func (l *lead) decide(now time.Time) (names []string, asks []cloud.Rental) {
	if !l.loaded || !l.reign.Valid() || !l.surveyed(now) {
		return l.givenUp(func(m *fleet.Machine) bool { return m.Retire == stuckCancelled }), nil
	}
	l.reprice(*l.n.types.Load())
	var ms []*fleet.Machine
	var machines []rental.Machine
	l.fleet.Each(func(m *fleet.Machine) {
		if m.Type < 0 || m.Zone < 0 || m.Retire != "" {
			return
		}
		v, _ := l.view(m, now)
		ms = append(ms, m)
		machines = append(machines, rental.Machine{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Free: v.Free,
			Usable: v.Open || !m.Known && !m.Failed && !l.overdueBoot(m, now),
			Empty:  m.Known && len(m.Holds) == 0 && l.nothingUnsettled(m), Idle: min(now.Sub(m.IdleSince), now.Sub(m.Created)-minPaid+l.n.operator.IdleReturn)})
	})
	var pools []rental.Pool
	for t := range l.types {
		for _, z := range l.types[t].Zones {
			for _, spot := range []bool{true, false} {
				price := l.types[t].Hourly
				if spot {
					price = l.types[t].SpotPrice
				}
				if spot && price <= 0 {
					continue
				}
				zi := l.zoneIndex[z]
				pools = append(pools, rental.Pool{Type: t, Zone: zi, Spot: spot, Price: price,
					Blocked: now.Before(l.blocked[pool{t, zi, spot}]), Capacity: l.capacity(t)})
			}
		}
	}
	demand, why := l.demand(now)
	d := rental.Plan(demand, machines, pools, l.n.operator.IdleReturn)
	l.logFleet(now, d)
	for _, i := range d.Return {
		giveUp(ms[i], "idle")
	}
	names = l.givenUp(func(m *fleet.Machine) bool { return m.Retire != "" })
	if len(l.renting) > 0 {
		return names, nil // what is asked for is not in the list of machines yet
	}
	// No more than can be asked for at once: what would wait is decided anew, for what
	// has come by then. At the start of visitors of omaruru-fares-ops eight requests for
	// two machines each took 4 s, while 900 tasks came.
	for _, r := range d.Rent[:min(len(d.Rent), l.n.cloud.Ready())] {
		p := pools[r.Pool]
		ask := cloud.Rental{Name: l.rentalName(), Type: l.types[p.Type].Name, Zone: l.zones[p.Zone], Spot: p.Spot,
			Count: min(r.Count, cloud.MaxRent)}
		l.renting[ask.Name] = why
		asks = append(asks, ask)
	}
	return names, asks
}

// givenUp returns the names of machines to return, as many as one request takes.
func (l *lead) givenUp(which func(*fleet.Machine) bool) (names []string) {
	l.fleet.Each(func(m *fleet.Machine) {
		if which(m) && len(names) < cloud.MaxReturn {
			names = append(names, m.Name)
		}
	})
	return names
}

// memoKey holds the leader's estimates for the next one, which would otherwise
// take all unfinished jobs for what arrives in a moment and rent for that, and
// then forget what usually comes (apart of kapana-orders-grown: 110 machines too
// many after an election).
const (
	memoKey    = "rental/memo"
	memoEvery  = 10 * time.Second
	maxFailing = 200 // jobs named in it
)

// memo is its value. It names the jobs that fail on every machine, too: a new leader
// would try all of their tasks at once (TestMistakenJob).
type memo struct {
	Estimates rental.Memo `cbor:"estimates"`
	Failing   []string    `cbor:"failing"`
}

func (l *lead) keepMemo(now time.Time) {
	if now.Sub(l.memoAt) < memoEvery || l.offered.Empty() || !l.reign.Valid() {
		return
	}
	l.memoAt = now
	m := memo{Estimates: rental.Remember(&l.offered, &l.learned)}
	for j, st := range l.jobs {
		if st.failing() && len(m.Failing) < maxFailing {
			m.Failing = append(m.Failing, j.Spec.ID)
		}
	}
	fence, value := l.reign.Fence(), wire.Marshal(m)
	if len(value) > l.n.settings.State.ValueBytes {
		return
	}
	l.spawn(func() {
		_, err := l.n.store.Txn(l.ctx, []statestore.Cond{fence}, []statestore.Op{{Put: memoKey, Value: value}}, statestore.Rest)
		if err != nil {
			slog.Debug("estimates not kept", "err", err)
		}
	})
}

// recall takes the estimates that an earlier leader has kept. Without them this
// one begins from the jobs it reads.
func (l *lead) recall(ctx context.Context) {
	it, err := l.n.store.Get(ctx, memoKey, statestore.Lease)
	if err != nil {
		slog.Debug("no estimates recalled", "err", err)
		return
	}
	var m memo
	if err := wire.Unmarshal(it.Value, &m); err != nil {
		slog.Error("estimates unreadable", "err", err)
		return
	}
	m.Estimates.Recall(&l.offered, &l.learned)
	l.recalled = time.UnixMilli(m.Estimates.LastMS)
	for _, id := range m.Failing {
		l.failed[id] = true
	}
}

// logFleet notes what the machines are used for.
func (l *lead) logFleet(now time.Time, d rental.Decision) {
	if !slog.Default().Enabled(l.ctx, slog.LevelDebug) {
		return
	}
	var all, spot, up, empty, waiting int
	var cpus, free float64
	l.fleet.Each(func(m *fleet.Machine) {
		if m.Type < 0 {
			return
		}
		all++
		if m.Spot {
			spot++
		}
		if m.Known {
			v, holds := l.view(m, now)
			up++
			cpus += l.types[m.Type].CPUs
			free += v.Free[placement.CPU]
			if len(holds) == 0 {
				empty++
			}
		}
	})
	l.book.Jobs(func(j *ledger.Job) { waiting += j.WaitingTasks() })
	starts, chunks, ends := l.book.Backlog()
	slog.Debug("unwritten", "starts", starts, "chunks", chunks, "ends", ends)
	slog.Debug("fleet", "machines", all, "spot", spot, "up", up, "empty", empty, "cpus", cpus, "free", free, "waiting", waiting, "rent", d.Rent, "return", len(d.Return))
}

// reprice takes current prices. Types that are new to this leader wait for the
// next: jobs and machines hold dense indices of those it began with.
func (l *lead) reprice(types []cloud.Type) {
	for _, t := range types {
		if i, ok := l.typeIndex[t.Name]; ok {
			l.types[i].Hourly, l.types[i].SpotPrice = t.Hourly, t.SpotPrice
		}
	}
}

// nothingUnsettled tells whether all results on a machine are written.
func (l *lead) nothingUnsettled(m *fleet.Machine) bool {
	ok := true
	m.Finished(func(task string) { ok = ok && l.settled(task) })
	return ok
}

// demand returns the tasks that should get a machine soon, the most important
// first, and behind them the reserve, and says why. Running tasks are left out.
func (l *lead) demand(now time.Time) (out []rental.Demand, why string) {
	used := l.teams()
	var whole, arrays []*ledger.Job
	l.book.Jobs(func(j *ledger.Job) {
		switch {
		case l.jobs[j].team < 0 || j.WaitingTasks() == 0:
		case j.Spec.Shape == job.Array:
			arrays = append(arrays, j)
		default:
			whole = append(whole, j)
		}
	})
	byImportance := func(jobs []*ledger.Job) {
		sort.Slice(jobs, func(x, y int) bool {
			a, b := jobs[x], jobs[y]
			if a.Spec.Rank() != b.Spec.Rank() {
				return a.Spec.Rank() > b.Spec.Rank()
			}
			return a.Arrival < b.Arrival
		})
	}
	byImportance(whole)
	byImportance(arrays)
	add := func(j *ledger.Job, n int) int {
		st := l.jobs[j]
		team := &used[st.team]
		n = within(n, team.CPUsMax-team.CPUsUsed, j.Spec.CPUs)
		n = within(n, team.GPUsMax-team.GPUsUsed, j.Spec.GPUs)
		if n == 0 {
			return 0
		}
		team.CPUsUsed += float64(n) * j.Spec.CPUs
		team.GPUsUsed += float64(n) * j.Spec.GPUs
		out = append(out, rental.Demand{Need: st.need, Types: st.types, Zone: st.zone, Spot: j.Spec.Spot, Tasks: n})
		return n
	}
	for _, j := range whole {
		add(j, l.wanted(j))
	}
	reserved := 0
	for _, d := range l.reserve() {
		reserved += d.Tasks
		out = append(out, d)
	}
	// Arrays share what they need together: their tasks take turns on a machine.
	taken := 0.0
	for _, d := range out {
		taken += float64(d.Tasks) * d.Need[placement.CPU]
	}
	turns, usual := l.arrayCPUs(taken, used, now)
	why = fmt.Sprintf("%d tasks without room, %.0f CPUs more for arrays, room for %d of services to come",
		l.without, math.Max(0, turns), reserved)
	for _, j := range arrays {
		if turns <= 0 {
			break
		}
		each := size(l.jobs[j].need)
		n := float64(add(j, min(l.wanted(j), int(math.Ceil(turns/each)))))
		turns -= n * each
		usual -= n * each
	}
	// Room kept for arrays to come, of the kind of the last one. What waits beyond
	// its team's limit asks for none (omaruru-fares-grown: a quarter of all machines
	// stood free for tasks that were not allowed to start).
	if usual > 0 && l.lastArray != nil {
		st := l.lastArray
		out = append(out, rental.Demand{Need: st.need, Types: st.types, Zone: -1, Spot: true, Tasks: int(usual/size(st.need) + 0.5)})
	}
	return out, why
}

// within returns how many of n tasks that take so much each fit into some room, which
// may be without bounds.
func within(n int, room, each float64) int {
	if each > 0 {
		return int(math.Max(0, math.Min(float64(n), room/each+1e-6)))
	}
	return max(n, 0)
}

// size returns what a task counts in the sizing for arrays: its CPUs.
func size(need placement.Amounts) float64 {
	if need[placement.CPU] > 0 {
		return need[placement.CPU]
	}
	return 1
}

// arrayCPUs returns how many more CPUs tasks of arrays should have, if taken CPUs of what
// is free will go to others: for those that wait, and for those that usually come.
//
// It counts CPUs, not tasks: what many tiny tasks wait for would be rented in CPUs as soon
// as those of another array stand in the line before them (TestSmallTasksRentLittle).
func (l *lead) arrayCPUs(taken float64, teams []placement.Team, now time.Time) (need, usual float64) {
	live, boot := 0.0, 0.0
	var works []rental.Work
	room := make([]float64, len(teams))
	for i := range teams {
		room[i] = teams[i].CPUsMax - teams[i].CPUsUsed
	}
	for i := range l.types {
		boot = math.Max(boot, l.types[i].BootS)
	}
	l.book.Jobs(func(j *ledger.Job) {
		if j.Spec.Shape != job.Array || j.Cancelled || l.jobs[j].team < 0 {
			return
		}
		each := size(l.jobs[j].need)
		at := float64(j.LiveTasks()) * each
		live += at
		run := l.expect(j) + l.fetchSeconds(j)
		waits := float64(l.wanted(j)) * each
		works = append(works, rental.Work{Due: l.dueIn(j, now).Seconds(), Run: run, Seconds: run * (waits + at/2)})
		if t := l.jobs[j].team; j.Spec.CPUs > 0 {
			may := math.Min(waits, math.Max(0, room[t]))
			room[t] -= may
			works[len(works)-1].Waits = run * may
		}
	})
	free := 0.0
	l.fleet.Each(func(m *fleet.Machine) {
		if m.Type >= 0 && m.Retire == "" && !m.Sick && (m.Known || !l.overdueBoot(m, now)) {
			v, _ := l.view(m, now)
			free += v.Free[placement.CPU]
		}
	})
	cpus := live + math.Max(0, free-taken)
	usual = l.offered.Rate(now)
	slots := rental.Slots(works, cpus, boot)
	drain := rental.Drain(works, cpus, usual, boot)
	slog.Debug("arrays sized", "need", slots, "usual", usual, "drain", drain, "live", live, "cpus", cpus, "taken", taken)
	return math.Max(math.Max(slots, usual), drain) - live, usual - live
}

// fetchSeconds is about how long a machine takes to fetch a job's image.
func (l *lead) fetchSeconds(j *ledger.Job) float64 {
	rate := 0.0
	for i := range l.types {
		rate = math.Max(rate, l.types[i].FetchRate)
	}
	if rate <= 0 {
		return 0
	}
	return j.Spec.ImageGB / rate
}

// dueIn returns the time until a job should be complete, by its own deadline or
// by its class's objective.
func (l *lead) dueIn(j *ledger.Job, now time.Time) time.Duration {
	due := time.Duration(j.Spec.DueS * float64(time.Second))
	if due == 0 {
		for _, o := range l.n.settings.Objectives {
			if o.Class == j.Spec.Class && o.Within > 0 && (due == 0 || o.Within < due) && o.Kind != config.KindWait {
				due = o.Within
			}
		}
	}
	if due == 0 {
		due = 4 * j.Spec.Expect()
	}
	return due - now.Sub(j.At)
}

// reserve keeps room free for services to come, which start at once or miss
// their aim: a share of what services use, in tasks of the largest size seen.
func (l *lead) reserve() []rental.Demand {
	var cpus float64
	var typical *ledger.Job
	l.book.Jobs(func(j *ledger.Job) {
		if j.Spec.Shape == job.Service && !j.Cancelled {
			cpus += float64(j.Spec.Tasks) * j.Spec.CPUs
			if typical == nil || j.Spec.CPUs > typical.Spec.CPUs {
				typical = j
			}
		}
	})
	if typical == nil || typical.Spec.CPUs <= 0 {
		return nil
	}
	n := int(math.Ceil(cpus * l.n.operator.Reserve / typical.Spec.CPUs))
	return []rental.Demand{{Need: l.jobs[typical].need, Types: l.jobs[typical].types, Zone: -1, Tasks: n}}
}

// rentalName returns a request name that is never used again, by any leader.
func (l *lead) rentalName() string {
	l.rentSeq++
	return "r-" + strconv.FormatUint(l.reign.Term(), 10) + "-" + strconv.Itoa(l.rentSeq)
}
