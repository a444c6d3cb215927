package controller

import (
	"cmp"
	"log/slog"
	"slices"
	"sort"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
)

// everySecond updates the index and looks after what time alone brings about.
func (l *leader) everySecond(now time.Time) {
	op := &l.node.operator
	l.fleet.Each(func(m *agent.Machine) {
		var counts placement.Amounts
		for _, h := range m.Assignments {
			s := h.Job.Spec
			if m.Type >= 0 {
				m.Images.Use(s.Image, s.ImageGB, l.types[m.Type].Disk, now)
				if !h.RunningSince.IsZero() {
					m.Images.Fetched(s.Image)
				}
			}
			for r, n := range l.jobStates[h.Job].need {
				if n > 0 {
					counts[r]++
				}
			}
		}
		l.machines[m].index.Update(counts, now, op.IndexUpdate, op.Smoothing)
		if len(m.Assignments) > 0 {
			m.IdleSince = now
		}
		l.drain(m, now)
	})
	l.jobs.Each(func(j *jobstore.Job) {
		l.reconcileGang(j, now)
		if j.Cancelled {
			l.stopAttempts(j, now)
		} else if l.node.cancelled.Contains(j.Spec.ID) {
			l.onCancelled([]string{j.Spec.ID}, now) // it was told of while its events were full
		}
	})
	l.retire(now)
	l.probeSilent(now)
	l.handOver(now)
	// A connection kept for each machine would take a third of all sockets.
	for _, c := range l.workerClients {
		c.Trim(2 * time.Second)
	}
}

// saveLeeway is how long before a notice runs out tasks are told to save, beside
// the time that they need for it: the command has to reach them.
const saveLeeway = 8 * time.Second

// drain empties a machine that the cloud takes back. Services stop at once, since
// they cannot start elsewhere before they are gone here; tasks that can save their
// progress go on for as long as they can; the others may yet be done in time.
func (l *leader) drain(m *agent.Machine, now time.Time) {
	if m.TerminationAt.IsZero() {
		return
	}
	for _, h := range m.SortedAssignments() {
		s := h.Job.Spec
		save := time.Duration(s.SaveS * float64(time.Second))
		switch {
		case s.Shape == job.Service:
			m.Stop(h, s.SaveS)
		case s.CheckpointS > 0 && h.Job.IsGang():
			if m.TerminationAt.Sub(now) < save+saveLeeway+l.node.settings.Workers.GangNotice {
				l.stopGang(h.Job, now)
			}
		case s.CheckpointS > 0 && m.TerminationAt.Sub(now) < save+saveLeeway:
			m.Stop(h, s.SaveS)
		}
	}
}

// capacity returns what a machine of a type holds.
func (l *leader) capacity(typ int) placement.Amounts {
	t := &l.types[typ]
	return placement.Amounts{placement.CPU: t.CPUs, placement.Memory: t.RAM, placement.GPU: t.GPUs}
}

// view returns a machine as placement sees it, and its assignments in the order of its
// tasks. What is on it is worked out anew only when it has changed: a pass looks
// at every machine, and most have changed nothing since the last.
func (l *leader) view(m *agent.Machine, now time.Time) (placement.Machine, []*agent.Assignment) {
	v := placement.Machine{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
	if m.Gone || m.Type < 0 || m.Zone < 0 {
		return v, nil
	}
	st := l.machines[m]
	if !st.valid || st.version != m.Version || st.typ != m.Type {
		st.valid, st.version, st.typ = true, m.Version, m.Type
		st.free = l.capacity(m.Type)
		st.assigned = m.SortedAssignments()
		st.tasks = make([]placement.Task, 0, len(st.assigned))
		for i, h := range st.assigned {
			job := l.jobStates[h.Job]
			st.free = st.free.Add(job.need, -1)
			st.tasks = append(st.tasks, placement.Task{ID: i, Need: job.need,
				Priority: h.Job.Spec.Rank(), Team: job.team, StartedAt: h.AssignedAt, Stopping: h.Stopping,
				MembersElsewhere: l.mates(h.Job), EndsAt: l.ends(h)})
		}
	}
	for _, h := range st.assigned {
		v.Fetch = v.Fetch || h.RunningSince.IsZero()
	}
	v.Free, v.Tasks, v.Load = st.free, st.tasks, st.index.Value()
	v.Open = l.present(m) && !m.HasUnknownTask() && !m.Quarantined && !m.Failed && m.RetireReason == agent.NotRetired && m.TerminationAt.IsZero() &&
		m.UnresponsiveSince.IsZero() && now.Sub(m.LastHeartbeat) < l.node.operator.UnhealthyAfter
	return v, st.assigned
}

// present tells whether a machine is known to be there, by its token, which it can
// only have from an answer of this leader, or by the cloud's list. A report alone
// may be a late copy: to a new leader, of a machine that was returned before.
func (l *leader) present(m *agent.Machine) bool {
	return m.Registered && (m.FencingToken >= l.firstTerm || m.Listed)
}

// teams returns limits and use; every attempt counts that is not proven gone.
func (l *leader) teams() []placement.Team {
	out := make([]placement.Team, len(l.node.settings.Teams))
	for i, t := range l.node.settings.Teams {
		out[i] = placement.Team{CPUsMax: t.MaxCPUs, GPUsMax: t.MaxGPUs, Opportunistic: t.Opportunistic()}
	}
	l.jobs.Each(func(j *jobstore.Job) {
		if t := l.jobStates[j].team; t >= 0 {
			out[t].CPUsUsed += float64(j.LiveTasks()) * j.Spec.CPUs
			out[t].GPUsUsed += float64(j.LiveTasks()) * j.Spec.GPUs
		}
	})
	return out
}

// A pass follows what has changed, but not so closely that passes alone keep the
// processor busy: renewals and reports come first. What time alone changes is
// looked at once a second.
const (
	passGap   = 50 * time.Millisecond
	passShare = 5 // at most one in so many seconds goes into passes
)

// place makes one placement pass if one is due.
func (l *leader) place(now time.Time) {
	since := now.Sub(l.placed)
	if since < max(passGap, passShare*l.passTook) || !l.replan && since < time.Second {
		return
	}
	if !l.term.Valid() || !l.ready(now) {
		return
	}
	l.replan, l.placed = false, now
	l.pass(now)
	l.passTook = time.Since(now)
}

// beginBy is when a job of which no task has begun may begin with one before all
// others: half of the four minutes that the users allow.
const beginBy = 2 * time.Minute

// pass makes one placement pass over all waiting jobs.
func (l *leader) pass(now time.Time) {
	l.unplaced = 0
	waiting := l.waitingJobs(now)
	if len(waiting) == 0 {
		return
	}
	machines := make([]placement.Machine, l.fleet.Size())
	assigned := make([][]*agent.Assignment, len(machines))
	for i := range machines {
		machines[i], assigned[i] = l.view(l.fleet.At(i), now)
	}
	jobs := l.jobViews(waiting, now)
	plan := placement.Place(now, machines, append(jobs, l.gangsToCome(now, jobs)...), l.teams())
	l.startAssigned(plan.Assignments, waiting, now)
	l.stopPreempted(plan.Preemptions, waiting, assigned, now)
	for _, n := range plan.Unplaced[:len(waiting)] {
		l.unplaced += n
	}
}

// waitingJobs returns the jobs of which tasks may start, by arrival.
func (l *leader) waitingJobs(now time.Time) (waiting []*jobstore.Job) {
	l.jobs.Each(func(j *jobstore.Job) {
		// A gang starts anew only once all of it is gone: a part would wait in vain.
		parted := j.IsGang() && j.LiveTasks() > 0
		if j.WaitingTasks() > 0 && !parted && l.jobStates[j].team >= 0 && !now.Before(l.jobStates[j].notBefore) {
			waiting = append(waiting, j)
		}
	})
	slices.SortFunc(waiting, func(a, b *jobstore.Job) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return waiting
}

// jobViews returns jobs as placement sees them.
func (l *leader) jobViews(waiting []*jobstore.Job, now time.Time) []placement.Job {
	jobs := make([]placement.Job, len(waiting))
	images := map[string][]placement.Image{}
	beyond, first := l.beyond(), l.firstGangs(waiting)
	for i, j := range waiting {
		st, s := l.jobStates[j], j.Spec
		v := placement.Job{
			Team: st.team, Priority: l.priority(j), Arrival: j.Arrival, Ratio: l.ratio(j, now), BeyondGuarantee: beyond[j] && !first[j],
			Need: st.need, Waiting: l.wanted(j), Tasks: s.Tasks, Gang: j.IsGang(),
			Types: st.types, Zone: st.zone, Spot: s.Spot, OneZone: s.OneZone, Apart: s.Apart, Avoid: l.avoid(st),
			Urgent: s.Shape != job.Array, MayDisplace: l.displaces(j, now) && !beyond[j], Overdue: l.overdue(j, now),
		}
		v.Image, v.FetchTooSlow = l.images(j, images)
		var known bool
		if v.TasksInZone, known = l.inZones(j); !known && (s.OneZone || s.Apart) {
			v.Waiting = 0
		}
		jobs[i] = v
	}
	return jobs
}

// firstGangs returns the gang of each team that has waited longest.
//
// Exception to the exception that work within a guarantee goes first: one waiting gang of each
// team is not behind it. It guards against gangs that wait for as long as arrays within their
// teams' guarantees come, which take each gap, while a gang needs all of its gaps at once
// (inc-82e5, TestGangBeyondGuaranteeNotStarvedByArrays).
func (l *leader) firstGangs(waiting []*jobstore.Job) map[*jobstore.Job]bool {
	first := map[*jobstore.Job]bool{}
	seen := map[int]bool{}
	for _, j := range waiting {
		if team := l.jobStates[j].team; j.IsGang() && !seen[team] {
			seen[team], first[j] = true, true
		}
	}
	return first
}

// overdue tells whether a job has waited too long with none of its tasks begun.
func (l *leader) overdue(j *jobstore.Job, now time.Time) bool {
	late := beginBy
	if !l.gangs.Empty() {
		late /= 2 // room kept for gangs keeps no job waiting for long
	}
	return now.Sub(j.SubmittedAt) > late && j.LiveTasks() == 0 && j.DoneTasks() == 0
}

// startAssigned books the attempts that a pass has placed; they are sent once they are
// recorded. The tasks of a gang share one number.
func (l *leader) startAssigned(assigned []placement.Assignment, waiting []*jobstore.Job, now time.Time) {
	next := make([]int, len(waiting))
	tries := make([]uint64, len(waiting))
	for _, a := range assigned {
		j, m := waiting[a.Job], l.fleet.At(a.Machine)
		task := j.NextStartable(next[a.Job], int(l.node.valueBytes.Load()))
		if task < 0 {
			continue // the state service has shown meanwhile that it takes less
		}
		next[a.Job] = task + 1
		if tries[a.Job] == 0 || !j.IsGang() {
			tries[a.Job] = l.jobs.NextAttemptNumber(l.term.Number())
		}
		h := m.Assign(l.jobs.StartAttempt(j, task, tries[a.Job], m.Name, m.Incarnation, now), now)
		m.Images.Use(j.Spec.Image, j.Spec.ImageGB, l.types[m.Type].Disk, now)
		if st := l.jobStates[j]; st.failing() {
			st.notBefore = now.Add(st.backoff)
			st.backoff = min(2*st.backoff, maxBackoff)
		}
		slog.Debug("attempt placed", "task", h.TaskName(), "try", h.Number, "machine", m.Name)
	}
}

// stopPreempted stops the tasks that give way to others.
func (l *leader) stopPreempted(stops []placement.Preemption, waiting []*jobstore.Job, assigned [][]*agent.Assignment, now time.Time) {
	for _, s := range stops {
		h := assigned[s.Machine][s.Task]
		slog.Info("task preempted", "task", h.TaskName(), "machine", h.Machine, "for", waiting[s.For].Spec.ID)
		if h.Job.IsGang() {
			l.stopGang(h.Job, now)
			continue
		}
		l.fleet.At(s.Machine).Stop(h, h.Job.Spec.SaveS)
	}
}

// startShare is the part of a class's start aim, one in so many, that a fetch may take
// before machines that have the image are preferred.
const startShare = 4

// displaces tells whether a job of a team with a guarantee has waited for so long that
// work of teams without a guarantee is to be stopped for it: half of the time in which work within a
// guarantee should start. Until then short tasks of theirs end by themselves.
func (l *leader) displaces(j *jobstore.Job, now time.Time) bool {
	patience := l.node.operator.UnhealthyAfter
	for _, o := range l.node.settings.Objectives {
		if o.Kind == config.KindGuarantee {
			patience = o.Within / 2
		}
	}
	return now.Sub(j.SubmittedAt) >= patience && !l.opportunistic(j)
}

// priority returns a waiting job's priority: of teams without a guarantee the lowest, whatever they say. They
// would take the room that was just made for work within a guarantee, and be stopped for
// it again, for ever (TestTeamWithoutGuaranteeUsesIdleCapacity).
func (l *leader) priority(j *jobstore.Job) int {
	if l.opportunistic(j) {
		return job.BestEffort
	}
	return j.Spec.Rank()
}

// inZones returns how many live attempts of a job are in each zone, and whether
// the zones of all are known. After an election those of machines that neither
// the cloud's list nor a report has named are not; a job whose tasks are tied to
// each other by zone is not placed on a guess.
func (l *leader) inZones(j *jobstore.Job) (in []int, known bool) {
	in, known = make([]int, len(l.zones)), true
	j.EachAttempt(func(a *jobstore.Attempt) {
		if m := l.fleet.Machine(a.Machine); m != nil && m.Zone >= 0 {
			in[m.Zone]++
		} else {
			known = false
		}
	})
	return in, known
}

// ratio returns the inverse of an array's response ratio: its work left over the
// time that its user has waited, one task's run included.
func (l *leader) ratio(j *jobstore.Job, now time.Time) float64 {
	if j.Spec.Shape != job.Array {
		return 0
	}
	run := l.expect(j)
	return float64(j.WaitingTasks()) * run / (run + max(0, now.Sub(j.SubmittedAt).Seconds()))
}

// beyond tells which jobs do not fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func (l *leader) beyond() map[*jobstore.Job]bool {
	jobs := make([]*jobstore.Job, 0, l.jobs.Len())
	l.jobs.Each(func(j *jobstore.Job) {
		if l.jobStates[j].team >= 0 && !j.Cancelled {
			jobs = append(jobs, j)
		}
	})
	// What fails on every machine takes nothing of the guarantee from the good jobs.
	sort.Slice(jobs, func(x, y int) bool {
		if a, b := l.jobStates[jobs[x]].failing(), l.jobStates[jobs[y]].failing(); a != b {
			return b
		}
		return jobs[x].Arrival < jobs[y].Arrival
	})
	teams := l.node.settings.Teams
	cpus, gpus := make([]float64, len(teams)), make([]float64, len(teams))
	out := make(map[*jobstore.Job]bool)
	for _, j := range jobs {
		t := l.jobStates[j].team
		n := float64(j.Spec.Tasks - j.DoneTasks())
		cpus[t] += n * j.Spec.CPUs
		gpus[t] += n * j.Spec.GPUs
		if cpus[t] > teams[t].GuaranteedCPUs+1e-6 || gpus[t] > teams[t].GuaranteedGPUs+1e-6 {
			out[j] = true
		}
	}
	return out
}

// avoid returns the machines on which a job has failed lately.
func (l *leader) avoid(st *jobState) []bool {
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

// images returns what the machines have of a job's image, if a fetch of it takes
// longer than the index remembers, or a good part of the time in which its class
// should start: on kapana-orders-grown 2 s of 4. Jobs with the same image share the
// list, so that one pass sends them to the same machines. It also tells whether the
// fetch takes up all of that time.
func (l *leader) images(j *jobstore.Job, lists map[string][]placement.Image) (list []placement.Image, costly bool) {
	limit, fetch := l.node.operator.Smoothing, l.fetchSeconds(j)
	for _, o := range l.node.settings.Objectives {
		if o.Within <= 0 || o.Kind != config.KindGuarantee && (o.Kind != config.KindWait || o.Class != j.Spec.Class) {
			continue
		}
		costly = costly || fetch*fetchSpread >= o.Within.Seconds()
		if o.Kind == config.KindWait {
			limit = min(limit, o.Within/startShare)
		}
	}
	if fetch <= limit.Seconds() {
		return nil, false
	}
	list = lists[j.Spec.Image]
	if list == nil {
		list = make([]placement.Image, l.fleet.Size())
		for i := range list {
			switch m := l.fleet.At(i); {
			case m.Images.Ready(j.Spec.Image):
				list[i] = placement.Warm
			case m.Images.Has(j.Spec.Image):
				list[i] = placement.Coming
			}
		}
		lists[j.Spec.Image] = list
	}
	return list, costly
}

// fetchSpread is how many times as long as usual a fetch may take: "give or take a
// third" (PROTOCOL-tulipshelf.md).
const fetchSpread = 4.0 / 3

// ready tells whether the gathering of reports is over, so that tasks may be
// placed: after the design's time, or sooner.
//
// Exception to the design (10 s of gathering for every new leader): it ends as
// soon as nearly every machine that the records or the cloud's list name has
// reported. Forced by the crashes of the troubles and rough days, on which each
// election cost services 10 s of their start aim; and nearly, since of hundreds of
// machines some are always dying, hanging or cut off, and get no tasks anyway.
func (l *leader) ready(now time.Time) bool {
	if !l.gathered && (now.Sub(l.started) >= l.node.operator.ReconcileTimeout || l.listed && l.reported() >= nearlyAll) {
		l.gathered = true
		slog.Info("gathering over", "term", l.term.Number(), "after", now.Sub(l.started).Round(time.Millisecond))
	}
	return l.gathered
}

// nearlyAll is the part of the machines whose reports are enough to place tasks.
const nearlyAll = 0.9

// surveyed tells whether machines that have not reported may be taken for lost, and
// others rented in their place.
func (l *leader) surveyed(now time.Time) bool {
	return l.ready(now) && (now.Sub(l.started) >= l.node.operator.ReconcileTimeout || l.reported() == 1)
}

// reported returns the part of the machines that should report and have.
func (l *leader) reported() float64 {
	all, heard := 0, 0
	l.fleet.Each(func(m *agent.Machine) {
		switch {
		case m.Registered:
			heard++
			all++
		case !m.Booting && !m.Failed:
			all++
		}
	})
	if all == 0 {
		return 1
	}
	return float64(heard) / float64(all)
}
