package agent

import (
	"cmp"
	"slices"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// key tells attempts apart; attempts are numbered across all tasks.
type key struct {
	task string
	try  uint64
}

// Seen is what the newest report says of one attempt.
type Seen struct {
	Status string
	Cause  string
}

// Assignment is an attempt on a machine, from its start being decided until there is
// proof that it is gone.
type Assignment struct {
	*jobstore.Attempt
	Since    time.Time // decided, or found by a new leader
	Running  time.Time // first reported running; zero: not yet
	Sent     time.Time // first sent; zero: never by this leader
	Stopping bool      // a halt is wanted
	WindDown float64
	Missing  int // newer reports in a row that do not list it
}

// Machine is one rented machine.
type Machine struct {
	Index        int // dense; that of a machine that is gone is given anew
	Name         string
	Addr         string
	Type         int
	Zone         int
	Spot         bool
	Known        bool // has reported to this leader
	Session      uint64
	Tick         uint64
	Token        uint64
	Heard        time.Time // last report under this leader
	Created      time.Time // when this leader first knew of it
	Recall       time.Time // when the cloud takes it away; zero: no notice
	Seen         map[key]Seen
	Assignments  map[key]*Assignment
	Errors       int                 // failed attempts since the last that was done
	Blamed       map[string]struct{} // jobs whose tasks failed since then
	Sick         bool
	Pushing      bool
	Probed       time.Time // when the leader last asked directly it, unheard
	Unreached    bool      // it did not answer
	Via          string    // node through which it is heard, if not directly
	Failed       bool      // the cloud lists it as failed
	Booting      bool      // the cloud lists it as starting and it has not reported
	RetireReason string    // why it is being returned, empty: it is not
	Gone         bool

	Images    Images
	IdleSince time.Time
	Version   uint64    // raised by every change of what is on the machine
	Listed    bool      // the cloud has named it to this leader, as rented or running
	DeafSince time.Time // since when it seems that nothing reaches it; zero: it does
	urgent    bool      // commands wait to be pushed
	foreign   bool
	answers   answers
}

// Outcome is the proof that an assignment has ended.
type Outcome struct {
	Assignment *Assignment
	Cause      string
}

// Assign books an attempt on its machine.
func (m *Machine) Assign(a *jobstore.Attempt, now time.Time) *Assignment {
	h := &Assignment{Attempt: a, Since: now}
	m.Assignments[key{a.TaskName(), a.Number}] = h
	m.Version++
	return h
}

// Release forgets an attempt that was never sent.
func (m *Machine) Release(a *jobstore.Attempt) {
	k := key{a.TaskName(), a.Number}
	delete(m.Assignments, k)
	if s, listed := m.Seen[k]; listed && s.Status != Exited {
		m.foreign = true
	}
	m.Version++
}

// Renumber books an attempt that was never sent under its new number.
func (m *Machine) Renumber(a *jobstore.Attempt, was uint64) {
	old := key{a.TaskName(), was}
	if h := m.Assignments[old]; h != nil {
		delete(m.Assignments, old)
		m.Assignments[key{a.TaskName(), a.Number}] = h
		m.Version++
	}
}

// AssignmentOf returns the assignment of an attempt, or nil.
func (m *Machine) AssignmentOf(a *jobstore.Attempt) *Assignment {
	return m.Assignments[key{a.TaskName(), a.Number}]
}

// Foreign tells whether the newest report listed a live attempt that was booked
// nowhere: it takes room all the same.
func (m *Machine) Foreign() bool { return m.foreign }

// Serves tells whether a service's task is booked on the machine.
func (m *Machine) Serves() bool {
	for _, h := range m.Assignments {
		if h.Job.Spec.Shape == job.Service {
			return true
		}
	}
	return false
}

// Retained returns how many exited attempts the worker still reports.
func (m *Machine) Retained() int {
	n := 0
	for _, s := range m.Seen {
		if s.Status == Exited {
			n++
		}
	}
	return n
}

// Sorted returns the assignments in a fixed order, so that runs repeat.
func (m *Machine) Sorted() []*Assignment {
	out := make([]*Assignment, 0, len(m.Assignments))
	for _, h := range m.Assignments {
		out = append(out, h)
	}
	slices.SortFunc(out, compare)
	return out
}

func compare(a, b *Assignment) int {
	// The tasks of a gang share a try.
	return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Task, b.Task))
}

// Handle takes a report and returns what it proves. It returns false for a
// report that is older than one already taken.
//
// An attempt is proven gone by a newer session, by its exit, or by its absence
// from a report of a worker that has seen a higher token than the attempt's:
// such a worker executes no late copy of the start. Absence under the same
// token proves nothing, since the start may still be on its way.
func (m *Machine) Handle(r *Report, lease time.Duration, now time.Time) (out []Outcome, fresh bool) {
	if r.Session < m.Session || r.Session == m.Session && r.Tick <= m.Tick {
		return nil, false
	}
	known, session, token := m.Known, m.Session, m.Token
	m.Session, m.Tick, m.Token = r.Session, r.Tick, r.Token
	m.Addr, m.Spot, m.Known, m.Booting, m.Heard, m.Unreached = r.Addr, r.Spot, true, false, now, false
	m.Recall = time.Time{}
	if r.RecallS != nil {
		m.Recall = now.Add(time.Duration(*r.RecallS * float64(time.Second)))
	}
	clear(m.Seen)
	for _, t := range r.Tasks {
		m.Seen[key{t.Task, t.Try}] = Seen{t.Status, t.Cause}
	}
	for k, h := range m.Assignments {
		s, listed := m.Seen[k]
		switch {
		case h.Incarnation < r.Session:
			out = append(out, Outcome{h, CauseLost})
		case listed && s.Status == Exited:
			out = append(out, Outcome{h, s.Cause})
		case listed:
			h.Missing = 0
			if s.Status != Pulling && s.Status != Waiting && h.Running.IsZero() {
				h.Running = now
			}
			continue
		case jobstore.AttemptTerm(h.Number) < r.Token:
			out = append(out, Outcome{h, CauseLost})
		default:
			h.Missing++
			continue
		}
		delete(m.Assignments, k)
		m.Version++
	}
	foreign := false
	for k, s := range m.Seen {
		foreign = foreign || s.Status != Exited && m.Assignments[k] == nil
	}
	if foreign != m.foreign {
		m.foreign = foreign
		m.Version++
	}
	m.listen(r, known, session, token, lease, now)
	slices.SortFunc(out, func(a, b Outcome) int { return compare(a.Assignment, b.Assignment) })
	return out, true
}

// Newest returns the newest report, but for its type, zone and notice.
func (m *Machine) Newest() Report {
	r := Report{Machine: m.Name, Addr: m.Addr, Spot: m.Spot, Session: m.Session, Tick: m.Tick, Token: m.Token}
	for k, s := range m.Seen {
		r.Tasks = append(r.Tasks, TaskReport{k.task, k.try, s.Status, s.Cause})
	}
	return r
}

// Finished calls fn for each exited task that the worker still reports.
func (m *Machine) Finished(fn func(task string)) {
	for k, s := range m.Seen {
		if s.Status == Exited {
			fn(k.task)
		}
	}
}
