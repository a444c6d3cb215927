// Package fleet keeps what is known of the workers: their sessions, what their
// reports prove about attempts, and the commands that they are to get.
package fleet

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/ledger"
	"tulipshelf/internal/wire"
)

// Report is a worker's report.
type Report struct {
	Machine string       `cbor:"shelf"`
	Addr    string       `cbor:"endpoint"`
	Type    string       `cbor:"build"`
	Zone    string       `cbor:"depot"`
	Spot    bool         `cbor:"loaners"`
	Session uint64       `cbor:"shift"`
	Tick    uint64       `cbor:"tick"`
	Token   uint64       `cbor:"baton"`
	RecallS *float64     `cbor:"recall_s"`
	Tasks   []TaskReport `cbor:"tickets"`
}

// Proves tells whether the report, however late it comes, proves that an attempt made in
// a session is gone (see Machine.Handle).
func (r *Report) Proves(task string, try, session uint64) bool {
	if r.Session != session {
		return r.Session > session
	}
	for _, t := range r.Tasks {
		if t.Task == task && t.Try == try {
			return t.Status == Exited
		}
	}
	return ledger.TryTerm(try) < r.Token
}

// TaskReport is one attempt as a worker has it.
type TaskReport struct {
	Task   string `cbor:"ticket"`
	Try    uint64 `cbor:"try"`
	Status string `cbor:"status"`
	Cause  string `cbor:"cause"`
}

// States and causes of the protocol that are acted on.
const (
	Pulling    = "pulling"
	Waiting    = "waiting" // for the others of its gang
	Running    = "running"
	Saving     = "saving"
	Exited     = "exited"
	CauseDone  = "done"
	CauseStop  = "stopped"
	CauseError = "error"
	CauseRoom  = "no_room"
	CauseInUse = "in_use"
	CauseNoJob = "unknown"

	CauseMatesGone  = "mates_gone" // another task of its gang is gone
	CauseIncomplete = "incomplete" // its gang was not complete in time
	CauseLost       = ""           // gone without an exit: session over, or never started
)

// Order is one command to a worker.
type Order struct {
	Verb     string   `cbor:"verb"`
	Task     string   `cbor:"ticket"`
	Try      uint64   `cbor:"try"`
	WindDown *float64 `cbor:"wind_down_s,omitempty"`
}

// Commands is the body of a direct command.
type Commands struct {
	Token   uint64  `cbor:"baton"`
	Session uint64  `cbor:"shift"`
	Orders  []Order `cbor:"orders"`
}

// Answer is the body of the response to a report.
type Answer struct {
	Token  uint64  `cbor:"baton"`
	Orders []Order `cbor:"orders"`
}

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
	*ledger.Attempt
	Since    time.Time // decided, or found by a new leader
	Running  time.Time // first reported running; zero: not yet
	Sent     time.Time // first sent; zero: never by this leader
	Stopping bool      // a halt is wanted
	WindDown float64
	Missing  int // newer reports in a row that do not list it
}

// Machine is one rented machine.
type Machine struct {
	Index     int // dense; that of a machine that is gone is given anew
	Name      string
	Addr      string
	Type      int
	Zone      int
	Spot      bool
	Known     bool // has reported to this leader
	Session   uint64
	Tick      uint64
	Token     uint64
	Heard     time.Time // last report under this leader
	Created   time.Time // when this leader first knew of it
	Recall    time.Time // when the cloud takes it away; zero: no notice
	Seen      map[key]Seen
	Assignments     map[key]*Assignment
	Errors    int                 // failed attempts since the last that was done
	Blamed    map[string]struct{} // jobs whose tasks failed since then
	Sick      bool
	Pushing   bool
	Probed   time.Time // when the leader last asked directly it, unheard
	Unreached bool      // it did not answer
	Via       string    // node through which it is heard, if not directly
	Failed    bool      // the cloud lists it as failed
	Booting   bool      // the cloud lists it as starting and it has not reported
	RetireReason    string    // why it is being returned, empty: it is not
	Gone      bool

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
	Assignment  *Assignment
	Cause string
}

// Fleet is all machines that this leader knows.
type Fleet struct {
	byName map[string]*Machine
	all    []*Machine
	free   int // no dense index below it is free
	gone   map[string]time.Time
	pruned time.Time // when names that are long gone were last dropped
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{byName: map[string]*Machine{}, gone: map[string]time.Time{}}
}

// Machine returns the machine of that name, or nil.
func (f *Fleet) Machine(name string) *Machine { return f.byName[name] }

// At returns the machine with a dense index.
func (f *Fleet) At(i int) *Machine { return f.all[i] }

// Size returns one more than the largest dense index.
func (f *Fleet) Size() int { return len(f.all) }

// Each calls fn for each machine that is not gone, in order of index.
func (f *Fleet) Each(fn func(*Machine)) {
	for _, m := range f.all {
		if !m.Gone {
			fn(m)
		}
	}
}

// Add returns the machine of that name and makes it if it is new. A name that
// was returned stays gone: names are never given twice, and lists lag.
func (f *Fleet) Add(name string, now time.Time) *Machine {
	if m := f.byName[name]; m != nil {
		return m
	}
	if f.Returned(name) {
		return nil
	}
	i := f.free
	for i < len(f.all) && !f.all[i].Gone {
		i++
	}
	f.free = i + 1
	m := &Machine{Index: i, Name: name, Created: now, IdleSince: now,
		Seen: map[key]Seen{}, Assignments: map[key]*Assignment{}, Blamed: map[string]struct{}{}}
	f.byName[name] = m
	if i == len(f.all) {
		f.all = append(f.all, m)
	} else {
		f.all[i] = m
	}
	return m
}

// Returned tells whether the machine of that name has been returned.
func (f *Fleet) Returned(name string) bool {
	_, ok := f.gone[name]
	return ok
}

// Assign books an attempt on its machine.
func (m *Machine) Assign(a *ledger.Attempt, now time.Time) *Assignment {
	h := &Assignment{Attempt: a, Since: now}
	m.Assignments[key{a.Name(), a.Try}] = h
	m.Version++
	return h
}

// Release forgets an attempt that was never sent.
func (m *Machine) Release(a *ledger.Attempt) {
	k := key{a.Name(), a.Try}
	delete(m.Assignments, k)
	if s, listed := m.Seen[k]; listed && s.Status != Exited {
		m.foreign = true
	}
	m.Version++
}

// Renumber books an attempt that was never sent under its new number.
func (m *Machine) Renumber(a *ledger.Attempt, was uint64) {
	old := key{a.Name(), was}
	if h := m.Assignments[old]; h != nil {
		delete(m.Assignments, old)
		m.Assignments[key{a.Name(), a.Try}] = h
		m.Version++
	}
}

// AssignmentOf returns the assignment of an attempt, or nil.
func (m *Machine) AssignmentOf(a *ledger.Attempt) *Assignment { return m.Assignments[key{a.Name(), a.Try}] }

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

// forgetGone is far beyond the time for which a list or a report of a machine
// that is gone may still arrive.
const (
	forgetGone = 30 * time.Minute
	pruneEvery = time.Minute
)

// Removed takes the cloud's word (200 to a return) that a machine and all on it
// are gone.
func (f *Fleet) Removed(name string, now time.Time) []Outcome {
	f.gone[name] = now
	if now.Sub(f.pruned) >= pruneEvery {
		f.pruned = now
		for n, t := range f.gone {
			if now.Sub(t) > forgetGone {
				delete(f.gone, n)
			}
		}
	}
	m := f.byName[name]
	if m == nil {
		return nil
	}
	delete(f.byName, name)
	m.Gone = true
	f.free = min(f.free, m.Index)
	var out []Outcome
	for _, h := range m.Sorted() {
		out = append(out, Outcome{h, CauseLost})
	}
	m.Assignments = nil
	m.Seen = nil
	m.Version++
	return out
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
	return cmp.Or(cmp.Compare(a.Try, b.Try), cmp.Compare(a.Task, b.Task))
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
		case h.Session < r.Session:
			out = append(out, Outcome{h, CauseLost})
		case listed && s.Status == Exited:
			out = append(out, Outcome{h, s.Cause})
		case listed:
			h.Missing = 0
			if s.Status != Pulling && s.Status != Waiting && h.Running.IsZero() {
				h.Running = now
			}
			continue
		case ledger.TryTerm(h.Try) < r.Token:
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

// answers is what shows whether a machine gets what it is told.
type answers struct {
	since    time.Time // when reports began to be answered without a long gap
	last     time.Time // last answer to a report
	term     uint64    // the token that it carried
	unheeded int       // reports in a row since that show a lower token
}

// A machine is taken for deaf when so many reports in a row show no sign of what
// the answers to the ones before said, and starts were sent for so long.
const (
	deafReports = 3
	deafAfter   = 8 * time.Second
)

// Answered notes that a report is answered under the given token.
func (m *Machine) Answered(term uint64, lease time.Duration, now time.Time) {
	if now.Sub(m.answers.last) >= lease/2 {
		m.answers.since = now
	}
	m.answers.last, m.answers.term = now, term
}

// Hears notes that the machine has answered or heeded something. A session that has
// ended may also be that of a machine which was back at once.
func (m *Machine) Hears() { m.DeafSince, m.answers.unheeded = time.Time{}, 0 }

// listen judges from a new report whether answers and commands reach the machine.
// It guards against one whose reports arrive while nothing gets back to it: it
// looks healthy, takes up no start, and loses what it has with each lease. Signs
// are a token that does not rise, starts that do not appear, and a session that
// ended although its reports had been answered.
func (m *Machine) listen(r *Report, known bool, session, token uint64, lease time.Duration, now time.Time) {
	if r.Token > token {
		m.Hears()
		return
	}
	deaf := false
	if r.Token < m.answers.term {
		m.answers.unheeded++
		deaf = m.answers.unheeded >= deafReports
	}
	// Answers that have only just begun again prove nothing: a cut hands out the reports
	// that it held back, and behind them those of the next session (apart of both fleet
	// deployments: 350 and 360 sound machines given up at once).
	if known && r.Session > session && now.Sub(m.answers.last) < lease/2 && now.Sub(m.answers.since) >= lease {
		deaf = true
	}
	for k, h := range m.Assignments {
		if _, listed := m.Seen[k]; !listed && m.Via == "" && h.Missing >= deafReports && !h.Sent.IsZero() && now.Sub(h.Sent) >= deafAfter {
			deaf = true
		}
	}
	if deaf && m.DeafSince.IsZero() {
		m.DeafSince = now
	}
}

// Orders returns the commands that the machine needs under the given token, at
// most limit, and marks starts as sent. Starts already listed are left out. An
// exited task is only forgotten once settled says that its result is durable.
func (m *Machine) Orders(token uint64, limit int, settled func(task string) bool, now time.Time) []Order {
	m.urgent = false
	var need []*Assignment
	for k, h := range m.Assignments {
		_, listed := m.Seen[k]
		switch {
		case h.Stopping && (listed || !h.Sent.IsZero()):
			need = append(need, h)
		case !listed && !h.Stopping && h.Sendable() && h.Session == m.Session && ledger.TryTerm(h.Try) == token:
			// A start recorded under an earlier token is never sent again: the
			// worker's next reports prove it gone.
			need = append(need, h)
		}
	}
	slices.SortFunc(need, compare)
	var out []Order
	for _, h := range need {
		if len(out) == limit {
			m.urgent = true
			return out
		}
		if h.Stopping {
			out = append(out, Order{"halt", h.Name(), h.Try, &h.WindDown})
			continue
		}
		out = append(out, Order{Verb: "run", Task: h.Name(), Try: h.Try})
		if h.Sent.IsZero() {
			h.Sent = now
		}
	}
	for k, s := range m.Seen {
		if len(out) == limit {
			break
		}
		if m.Assignments[k] != nil {
			continue
		}
		switch {
		case s.Status != Exited:
			// On the machine but in no record, so it must not be.
			zero := 0.0
			out = append(out, Order{"halt", k.task, k.try, &zero})
		case ledger.TryTerm(k.try) < m.Token && settled(k.task):
			// Only now can no late copy of its start run it again.
			out = append(out, Order{Verb: "forget", Task: k.task, Try: k.try})
		}
	}
	return out
}

// Halts returns the commands that end what is left of cancelled jobs, at most limit.
// They are right whoever leads by now: a job that is cancelled stays so.
func (m *Machine) Halts(limit int) (out []Order) {
	for _, h := range m.Sorted() {
		if h.Job.Cancelled && h.Stopping && len(out) < limit {
			out = append(out, Order{"halt", h.Name(), h.Try, &h.WindDown})
		}
	}
	if out != nil {
		m.urgent = false
	}
	return out
}

// Newest returns the newest report, but for its type, zone and notice.
func (m *Machine) Newest() Report {
	r := Report{Machine: m.Name, Addr: m.Addr, Spot: m.Spot, Session: m.Session, Tick: m.Tick, Token: m.Token}
	for k, s := range m.Seen {
		r.Tasks = append(r.Tasks, TaskReport{k.task, k.try, s.Status, s.Cause})
	}
	return r
}

// Stop asks for an assigned attempt to be halted.
func (m *Machine) Stop(h *Assignment, windDown float64) {
	if h.Stopping && h.WindDown <= windDown {
		return
	}
	h.Stopping, h.WindDown = true, windDown
	m.Version++
	m.urgent = true
}

// Kick marks the machine as having commands to push.
func (m *Machine) Kick() { m.urgent = true }

// Urgent tells whether commands wait that should not wait for a report.
func (m *Machine) Urgent() bool {
	return m.urgent && m.Known && !m.Pushing && !m.Gone && m.Via == ""
}

// Ask makes a direct request to a worker and returns its report.
func Ask(ctx context.Context, c *wire.Client, method, path string, body []byte) (r Report, err error) {
	resp, err := c.Do(ctx, method, path, body)
	if err != nil {
		return r, err
	}
	if resp.Status != 200 && resp.Status != 409 {
		return r, fmt.Errorf("status %d", resp.Status)
	}
	return r, wire.Unmarshal(resp.Body, &r)
}

// SplitTask takes apart the protocol's name of a task.
func SplitTask(name string) (id string, task int, ok bool) {
	id, n, found := strings.Cut(name, "/")
	task, err := strconv.Atoi(n)
	return id, task, found && err == nil && task >= 0
}

// Finished calls fn for each exited task that the worker still reports.
func (m *Machine) Finished(fn func(task string)) {
	for k, s := range m.Seen {
		if s.Status == Exited {
			fn(k.task)
		}
	}
}
