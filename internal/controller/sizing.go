package controller

import (
	"cmp"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/autoscaler"
	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
)

// demand returns the tasks that should get a machine soon, the most important
// first, and behind them the reserve, and says why. Running tasks are left out.
func (l *leader) demand(now time.Time) ([]autoscaler.Demand, string) {
	d := &demandList{l: l, teams: l.teams()}
	whole, arrays := l.byImportance()
	for _, j := range whole {
		d.addWhole(j)
	}
	reserved := 0
	for _, r := range append(l.reserve(), l.gangReserve(now)...) {
		reserved += r.Tasks
		d.out = append(d.out, r)
	}
	// Arrays share what they need together: their tasks take turns on a machine.
	taken := 0.0
	for _, x := range d.out {
		taken += float64(x.Tasks) * x.Need[placement.CPU]
	}
	turns, usual := l.arrayCPUs(taken, d.teams, now)
	why := fmt.Sprintf("%d tasks without room, %.0f CPUs more for arrays, room for %d of services to come",
		l.unplaced, math.Max(0, turns), reserved)
	for _, j := range arrays {
		if turns <= 0 {
			break
		}
		each := size(l.jobStates[j].need)
		n := float64(d.add(j, min(l.wanted(j), int(math.Ceil(turns/each)))))
		turns -= n * each
		usual -= n * each
	}
	// Room kept for arrays to come, of the kind of the last one. What waits beyond
	// its team's limit asks for none (omaruru-fares-grown: a quarter of all machines
	// stood free for tasks that were not allowed to start).
	if usual > 0 && l.lastArray != nil {
		st := l.lastArray
		d.out = append(d.out, autoscaler.Demand{Need: st.need, Types: st.types, Zone: -1, Spot: true, Tasks: int(usual/size(st.need) + 0.5)})
	}
	return d.out, why
}

// byImportance returns the jobs that wait for machines, the most important first: services
// and gangs, which start whole, and arrays.
func (l *leader) byImportance() (whole, arrays []*jobstore.Job) {
	l.jobs.Each(func(j *jobstore.Job) {
		switch {
		case l.jobStates[j].team < 0 || j.WaitingTasks() == 0:
		case j.Spec.Shape == job.Array:
			arrays = append(arrays, j)
		default:
			whole = append(whole, j)
		}
	})
	compare := func(a, b *jobstore.Job) int {
		return cmp.Or(b.Spec.Rank()-a.Spec.Rank(), cmp.Compare(a.Arrival, b.Arrival))
	}
	slices.SortFunc(whole, compare)
	slices.SortFunc(arrays, compare)
	return whole, arrays
}

// demandList is demand as it is put together, with what it takes of the teams' limits.
type demandList struct {
	l     *leader
	teams []placement.Team
	out   []autoscaler.Demand
}

// add adds up to n tasks of a job, as far as its team's limit has room, and returns how many.
func (d *demandList) add(j *jobstore.Job, n int) int {
	st := d.l.jobStates[j]
	team := &d.teams[st.team]
	n = within(n, team.CPUsMax-team.CPUsUsed, j.Spec.CPUs)
	n = within(n, team.GPUsMax-team.GPUsUsed, j.Spec.GPUs)
	if n == 0 {
		return 0
	}
	team.CPUsUsed += float64(n) * j.Spec.CPUs
	team.GPUsUsed += float64(n) * j.Spec.GPUs
	d.out = append(d.out, autoscaler.Demand{Need: st.need, Types: st.types, Zone: st.zone, Spot: j.Spec.Spot, OneZone: j.IsGang() && j.Spec.OneZone, Tasks: n})
	return n
}

// addWhole adds a service, or a gang of which nothing is left on machines and which its team's
// limit has room for.
func (d *demandList) addWhole(j *jobstore.Job) {
	team := &d.teams[d.l.jobStates[j].team]
	switch {
	case j.IsGang() && j.LiveTasks() > 0:
		// It starts anew where it was, or as a whole later.
	case j.IsGang() && within(j.Spec.Tasks, team.CPUsMax-team.CPUsUsed, j.Spec.CPUs) < j.Spec.Tasks:
		// A part of it is of no use.
	default:
		d.add(j, d.l.wanted(j))
	}
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
// as those of another array stand in the line before them (TestSmallTasksDoNotOverprovision).
func (l *leader) arrayCPUs(taken float64, teams []placement.Team, now time.Time) (need, usual float64) {
	live, boot := 0.0, 0.0
	var works []autoscaler.ArrayWork
	room := make([]float64, len(teams))
	for i := range teams {
		room[i] = teams[i].CPUsMax - teams[i].CPUsUsed
	}
	for i := range l.types {
		boot = math.Max(boot, l.types[i].BootS)
	}
	l.jobs.Each(func(j *jobstore.Job) {
		if j.Spec.Shape != job.Array || j.Cancelled || l.jobStates[j].team < 0 {
			return
		}
		each := size(l.jobStates[j].need)
		at := float64(j.LiveTasks()) * each
		live += at
		run := l.expect(j) + l.fetchSeconds(j)
		waits := float64(l.wanted(j)) * each
		works = append(works, autoscaler.ArrayWork{Due: l.dueIn(j, now).Seconds(), Run: run, Seconds: run * (waits + at/2)})
		if t := l.jobStates[j].team; j.Spec.CPUs > 0 {
			may := math.Min(waits, math.Max(0, room[t]))
			room[t] -= may
			works[len(works)-1].Waits = run * may
		}
	})
	free := 0.0
	l.fleet.Each(func(m *agent.Machine) {
		if m.Type >= 0 && m.RetireReason == agent.NotRetired && !m.Quarantined && (m.Registered || !l.overdueBoot(m, now)) {
			v, _ := l.view(m, now)
			free += v.Free[placement.CPU]
		}
	})
	cpus := live + math.Max(0, free-taken)
	usual = l.offered.Rate(now)
	slots := autoscaler.Slots(works, cpus, boot)
	drain := autoscaler.Drain(works, cpus, usual, boot)
	slog.Debug("arrays sized", "need", slots, "usual", usual, "drain", drain, "live", live, "cpus", cpus, "taken", taken)
	return math.Max(math.Max(slots, usual), drain) - live, usual - live
}

// fetchSeconds is about how long a machine takes to fetch a job's image.
func (l *leader) fetchSeconds(j *jobstore.Job) float64 {
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
func (l *leader) dueIn(j *jobstore.Job, now time.Time) time.Duration {
	due := time.Duration(j.Spec.DueS * float64(time.Second))
	if due == 0 {
		for _, o := range l.node.settings.Objectives {
			if o.Class == j.Spec.Class && o.Within > 0 && (due == 0 || o.Within < due) && o.Kind != config.KindWait {
				due = o.Within
			}
		}
	}
	if due == 0 {
		due = 4 * j.Spec.Expect()
	}
	return due - now.Sub(j.SubmittedAt)
}

// reserve keeps room free for services to come, which start at once or miss
// their aim: a share of what services use, in tasks of the largest size seen.
func (l *leader) reserve() []autoscaler.Demand {
	var cpus float64
	var typical *jobstore.Job
	l.jobs.Each(func(j *jobstore.Job) {
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
	n := int(math.Ceil(cpus * l.node.operator.Reserve / typical.Spec.CPUs))
	return []autoscaler.Demand{{Need: l.jobStates[typical].need, Types: l.jobStates[typical].types, Zone: -1, Tasks: n}}
}
