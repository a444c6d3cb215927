package controller

import (
	"log/slog"
	"maps"
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

// mates returns how many tasks on other machines lose as much when one task stops.
func (l *leader) mates(j *jobstore.Job) int {
	if j.IsGang() {
		return j.Spec.Tasks - 1
	}
	return 0
}

// reconcileGang withdraws an attempt to run a gang of which a part is gone: what is left only
// holds room and waits, or ends by itself a little later. The gang starts anew once all of
// it is proven gone.
//
// It guards against gangs that nobody completes: a leader that ends while it records or
// sends the starts of one, a machine that dies before the others have begun.
func (l *leader) reconcileGang(j *jobstore.Job, now time.Time) {
	if !j.IsGang() || j.Cancelled || j.LiveTasks() == 0 || j.DoneTasks() > 0 || j.GangComplete() {
		return
	}
	l.stopAttempts(j, now)
}

// stopGang lets a gang save its progress and stop, if all of its machines can be told in
// time; otherwise nobody is told, as a part would only lose the progress of all.
func (l *leader) stopGang(j *jobstore.Job, now time.Time) {
	reach := true
	j.EachAttempt(func(a *jobstore.Attempt) {
		m := l.machine(a.Machine, now)
		h := m.AssignmentOf(a)
		reach = reach && h != nil && l.reaches(m, now)
	})
	if !reach || j.DoneTasks() > 0 || !j.GangComplete() {
		slog.Debug("gang not stopped", "job", j.Spec.ID)
		return
	}
	j.EachAttempt(func(a *jobstore.Attempt) {
		m := l.machine(a.Machine, now)
		m.Stop(m.AssignmentOf(a), j.Spec.SaveS)
	})
}

// reaches tells whether a machine has been heard lately and gets what it is told.
func (l *leader) reaches(m *agent.Machine, now time.Time) bool {
	return m.Registered && !m.Gone && m.RelayedBy == "" && !m.ProbeFailed && !m.RequestInFlight && m.UnresponsiveSince.IsZero() && !m.Failed &&
		now.Sub(m.LastHeartbeat) < l.node.settings.Workers.HeartbeatInterval*3/2
}

// gangKind is what a gang of a class needs.
type gangKind struct {
	spec  *job.Spec
	state *jobState
}

// gangArrived notes what gangs usually bring.
func (l *leader) gangArrived(j *jobstore.Job) {
	if j.SubmittedAt.After(l.estimatesUntil) {
		l.gangs.Add(float64(j.Spec.Tasks)*size(l.jobStates[j].need)*(l.expect(j)+l.fetchSeconds(j)), j.SubmittedAt)
	}
	if last := l.lastGangs[j.Spec.Class]; last.spec == nil || last.spec.Tasks <= j.Spec.Tasks {
		l.lastGangs[j.Spec.Class] = gangKind{j.Spec, l.jobStates[j]}
	}
}

// gangsKept returns the gangs to come for which room is kept, the largest of its class each:
// one of each class that should start sooner than a machine boots, and in turn as many more
// as gangs usually use room beyond what they do now.
func (l *leader) gangsKept(now time.Time) (out []gangKind) {
	if l.gangs.Empty() {
		return nil
	}
	spare := l.gangs.Rate(now)
	if spare < 1 {
		return nil
	}
	l.jobs.Each(func(j *jobstore.Job) {
		if j.IsGang() && l.jobStates[j].team >= 0 && !j.Cancelled {
			spare -= float64(j.Spec.Tasks) * size(l.jobStates[j].need)
		}
	})
	var kinds []gangKind
	for _, class := range slices.Sorted(maps.Keys(l.lastGangs)) {
		if l.soon(class) {
			kinds = append(kinds, l.lastGangs[class])
		}
	}
	for more := len(kinds) > 0; more; more = spare > 0 {
		for _, k := range kinds {
			if spare <= 0 && len(out) >= len(kinds) {
				break
			}
			out = append(out, k)
			spare -= float64(k.spec.Tasks) * size(k.state.need)
		}
	}
	return out
}

// gangReserve is the demand for room for gangs to come.
func (l *leader) gangReserve(now time.Time) (out []autoscaler.Demand) {
	for _, k := range l.gangsKept(now) {
		out = append(out, autoscaler.Demand{Need: k.state.need, Types: k.state.types, Zone: k.state.zone, Spot: k.spec.Spot, OneZone: k.spec.OneZone, Tasks: k.spec.Tasks})
	}
	return out
}

// gangsToCome returns them for the placement, which keeps the room free: what is rented for
// them arrays would take. They come behind all gangs that wait, also those beyond their
// teams' guarantees, and before arrays.
//
// It guards against room that is kept from a gang that is there: one stopped 52 tasks in a
// second, and each time the machines were kept for others before all of it was free (inc-f015).
func (l *leader) gangsToCome(now time.Time, waiting []placement.Job) (out []placement.Job) {
	beyond := slices.ContainsFunc(waiting, func(j placement.Job) bool { return j.Gang && j.BeyondGuarantee })
	for _, k := range l.gangsKept(now) {
		s, st := k.spec, k.state
		out = append(out, placement.Job{Team: st.team, Priority: min(s.Rank(), job.Standard), Arrival: math.MaxUint64, BeyondGuarantee: beyond, Need: st.need, Waiting: s.Tasks,
			Types: st.types, Zone: st.zone, Spot: s.Spot, OneZone: s.OneZone, Apart: s.Apart, Gang: true, Reservation: true, Tasks: s.Tasks,
			TasksInZone: make([]int, len(l.zones))})
	}
	return out
}

// soon tells whether tasks of a class should start sooner than a machine boots.
func (l *leader) soon(class string) bool {
	boot := 0.0
	for i := range l.types {
		boot = math.Max(boot, l.types[i].BootS)
	}
	for _, o := range l.node.settings.Objectives {
		if o.Kind == config.KindWait && o.Class == class && o.Within > 0 && o.Within.Seconds() < boot {
			return true
		}
	}
	return false
}

// ends returns about when an attempt ends by itself; zero: it does not.
func (l *leader) ends(h *agent.Assignment) time.Time {
	if h.Job.Spec.Shape == job.Service {
		return time.Time{}
	}
	return h.AssignedAt.Add(time.Duration(l.expect(h.Job) * float64(time.Second)))
}
