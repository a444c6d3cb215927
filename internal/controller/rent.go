package controller

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/autoscaler"
	"tulipshelf/internal/clock"
	"tulipshelf/internal/cloud"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
)

const (
	refusalPause = 20 * time.Second // a pool that refused is left alone for so long
	minPaid      = 55 * time.Second // a machine costs 60 s at least
)

// rent is the goroutine that talks to the cloud.
func (l *leader) rent(ctx context.Context) {
	const (
		decideEvery = 500 * time.Millisecond
		maxPause    = 5 * time.Second
	)
	var listed time.Time
	listEvery := max(2*time.Second, l.node.settings.Cloud.ListLag/2)
	machines := 0              // of the last list
	var pending []cloud.Rental // asked for and not answered for certain
	gap := decideEvery         // grows while the cloud does not serve
	for ctx.Err() == nil {
		failed := false
		if time.Since(listed) >= max(listEvery, l.node.cloud.ListEvery(machines)) {
			asked := time.Now()
			list, err := l.node.cloud.List(ctx)
			if err != nil {
				slog.Debug("machines not listed", "err", err)
				failed = true
			} else {
				machines = len(list)
				l.post(func() { l.onList(list, asked) })
			}
			listed = asked
		}
		var names []string
		var asks []cloud.Rental
		if l.call(ctx, func() { names, asks = l.decide(time.Now()) }) {
			if len(names) > 0 {
				if err := l.node.cloud.Return(ctx, names); err != nil {
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
			got, err := l.node.cloud.Rent(ctx, r)
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
		clock.Sleep(ctx, gap*3/4+rand.N(gap/2))
	}
}

func (l *leader) returned(names []string) {
	now := time.Now()
	for _, name := range names {
		m := l.fleet.Machine(name)
		for _, o := range l.fleet.Remove(name, now) {
			l.outcome(m, o, now)
		}
		delete(l.machines, m)
		delete(l.workerClients, name)
	}
	l.replan = true
	slog.Info("machines returned", "machines", names)
}

func (l *leader) rented(r cloud.Rental, names []string) {
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
		m.Listed, m.Booting = true, !m.Registered
		if m.Type < 0 {
			m.Type, m.Zone, m.Spot = p.typ, p.zone, p.spot
		}
	}
}

// onList takes a list of machines. A machine that is missing from it proves
// nothing by that, but a silent one that is missing is asked back, and the
// answer to that does.
func (l *leader) onList(list []cloud.Machine, asked time.Time) {
	now := time.Now()
	l.listed = true
	lag := 2*l.node.settings.Cloud.ListLag + 2*time.Second
	in := make(map[string]bool, len(list))
	for i := range list {
		c := &list[i]
		in[c.Name] = true
		if l.fleet.Add(c.Name, now.Add(-time.Duration(c.AgeS*float64(time.Second)))) == nil {
			continue
		}
		m := l.machine(c.Name, now)
		if !m.Registered {
			m.Type, m.Zone = l.lookup(c.Type, c.Zone)
			m.Spot, m.Addr = c.Spot, c.Addr
		}
		m.Failed = c.Status == cloud.Failed
		m.Listed = m.Listed || c.Status == cloud.Running
		m.Booting = c.Status == cloud.Starting && !m.Registered
	}
	l.fleet.Each(func(m *agent.Machine) {
		heard := m.Created
		if m.Registered {
			heard = m.LastHeartbeat
		}
		if !in[m.Name] && m.RetireReason == agent.NotRetired && asked.Sub(heard) > lag && asked.Sub(m.Created) > lag {
			giveUp(m, agent.RetireUnlisted)
		}
	})
}

// decide returns the machines to return and the rentals to ask for.
func (l *leader) decide(now time.Time) (names []string, asks []cloud.Rental) {
	if !l.loaded.Load() || !l.term.Valid() || !l.surveyed(now) {
		return l.givenUp(func(m *agent.Machine) bool { return m.RetireReason == agent.RetireStuckCancelled }), nil
	}
	l.reprice(*l.node.types.Load())
	var ms []*agent.Machine
	var machines []autoscaler.Machine
	l.fleet.Each(func(m *agent.Machine) {
		if m.Type < 0 || m.Zone < 0 || m.RetireReason != agent.NotRetired {
			return
		}
		v, _ := l.view(m, now)
		ms = append(ms, m)
		machines = append(machines, autoscaler.Machine{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Free: v.Free,
			Usable: v.Open || !m.Registered && !m.Failed && !l.overdueBoot(m, now),
			Empty:  m.Registered && len(m.Assignments) == 0 && l.nothingUnsettled(m), Idle: min(now.Sub(m.IdleSince), now.Sub(m.Created)-minPaid+l.node.operator.IdleReturn)})
	})
	var pools []autoscaler.Pool
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
				pools = append(pools, autoscaler.Pool{Type: t, Zone: zi, Spot: spot, Price: price,
					Blocked: now.Before(l.blocked[pool{t, zi, spot}]), Capacity: l.capacity(t)})
			}
		}
	}
	demand, why := l.demand(now)
	d := autoscaler.Plan(demand, machines, pools, l.node.operator.IdleReturn)
	l.logFleet(now, d)
	for _, i := range d.ScaleIn {
		giveUp(ms[i], agent.RetireIdle)
	}
	names = l.givenUp(func(m *agent.Machine) bool { return m.RetireReason != agent.NotRetired })
	if len(l.renting) > 0 {
		return names, nil // what is asked for is not in the list of machines yet
	}
	// No more than can be asked for at once: what would wait is decided anew, for what
	// has come by then. At the start of visitors of omaruru-fares-ops eight requests for
	// two machines each took 4 s, while 900 tasks came.
	for _, r := range d.ScaleOut[:min(len(d.ScaleOut), l.node.cloud.Ready())] {
		p := pools[r.Pool]
		ask := cloud.Rental{Name: l.rentalName(), Type: l.types[p.Type].Name, Zone: l.zones[p.Zone], Spot: p.Spot,
			Count: min(r.Count, cloud.MaxRent)}
		l.renting[ask.Name] = why
		asks = append(asks, ask)
	}
	return names, asks
}

// logFleet notes what the machines are used for.
func (l *leader) logFleet(now time.Time, d autoscaler.Decision) {
	if !slog.Default().Enabled(l.ctx, slog.LevelDebug) {
		return
	}
	var all, spot, up, empty, waiting int
	var cpus, free float64
	l.fleet.Each(func(m *agent.Machine) {
		if m.Type < 0 {
			return
		}
		all++
		if m.Spot {
			spot++
		}
		if m.Registered {
			v, assigned := l.view(m, now)
			up++
			cpus += l.types[m.Type].CPUs
			free += v.Free[placement.CPU]
			if len(assigned) == 0 {
				empty++
			}
		}
	})
	l.jobs.Each(func(j *jobstore.Job) { waiting += j.WaitingTasks() })
	backlog := l.jobs.Backlog()
	slog.Debug("unwritten", "starts", backlog.Starts, "chunks", backlog.StartChunks, "ends", backlog.Ends)
	slog.Debug("fleet", "machines", all, "spot", spot, "up", up, "empty", empty, "cpus", cpus, "free", free, "waiting", waiting, "rent", d.ScaleOut, "return", len(d.ScaleIn))
}

// reprice takes current prices. Types that are new to this leader wait for the
// next: jobs and machines hold dense indices of those it began with.
func (l *leader) reprice(types []cloud.Type) {
	for _, t := range types {
		if i, ok := l.typeIndex[t.Name]; ok {
			l.types[i].Hourly, l.types[i].SpotPrice = t.Hourly, t.SpotPrice
		}
	}
}

// nothingUnsettled tells whether all results on a machine are written.
func (l *leader) nothingUnsettled(m *agent.Machine) bool {
	ok := true
	m.EachExited(func(task string) { ok = ok && l.settled(task) })
	return ok
}

// rentalName returns a request name that is never used again, by any leader.
func (l *leader) rentalName() string {
	l.rentSeq++
	return "r-" + strconv.FormatUint(l.term.Number(), 10) + "-" + strconv.Itoa(l.rentSeq)
}
