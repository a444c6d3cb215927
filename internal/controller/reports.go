package controller

import (
	"context"
	"log/slog"
	"math"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/wire"
)

const (
	maxOrders = 40 // commands in one answer: far below the protocol's 64 KiB
	raiseGap  = 10 * time.Second
	maxExited = 40 // exited tasks a worker may keep reporting before a new term lets them be forgotten
)

// onReport handles a report and gives its answer.
func (l *leader) onReport(r *agent.Heartbeat) wire.Response {
	if !l.loaded.Load() {
		return wire.Response{Status: 503, RetryAfter: 1}
	}
	term := l.term.Number()
	if r.FencingToken > term {
		// Whatever we answer would be dropped and keep the worker here.
		l.spawn(func() { l.node.candidate.ObserveToken(l.ctx, r.FencingToken) })
		return wire.Response{Status: 421}
	}
	now := time.Now()
	m := l.applyReport(r, now)
	if m == nil {
		return wire.Response{Status: 503, RetryAfter: 1}
	}
	if !l.node.mayExtendLease() {
		return wire.Response{Status: 503, RetryAfter: 1}
	}
	answer := agent.HeartbeatResponse{FencingToken: term}
	// A late copy says nothing of the way that newer reports take.
	if r.Incarnation == m.Incarnation && r.Sequence == m.Sequence {
		m.RelayedBy = ""
		m.HeartbeatAnswered(term, l.node.settings.Workers.Lease, now)
		answer.Commands = l.orders(m, now)
	}
	return wire.Response{Status: 200, Body: wire.Marshal(answer)}
}

// orders returns the commands for a machine. While it is not sure that this node still
// leads, they end what is left of cancelled jobs and do nothing else.
//
// It guards against an outage of the state service, or a cut from it, that outlasts the
// time in which a cancelled task must be gone (ran_cancelled on days of our own).
func (l *leader) orders(m *agent.Machine, now time.Time) []agent.Command {
	if !l.term.Valid() {
		return m.HaltCommands(maxOrders)
	}
	return m.PendingCommands(l.term.Number(), maxOrders, l.settled, now)
}

// applyReport learns from a report, or from the answer to a direct command.
func (l *leader) applyReport(r *agent.Heartbeat, now time.Time) *agent.Machine {
	if l.fleet.Add(r.Machine, now) == nil {
		return nil
	}
	m := l.machine(r.Machine, now)
	m.Type, m.Zone = l.lookup(r.Type, r.Zone)
	was := m.Version
	idle := !m.Registered || now.Sub(m.LastHeartbeat) >= l.node.operator.UnhealthyAfter
	if !m.Registered {
		l.learnImages(m, r, now)
	}
	outcomes, fresh := m.ApplyHeartbeat(r, l.node.settings.Workers.Lease, now)
	if !fresh {
		return m
	}
	l.replan = l.replan || idle || m.Version != was
	for _, o := range outcomes {
		l.outcome(m, o, now)
	}
	for _, h := range m.Assignments {
		if h.RunningSince.Equal(now) {
			slog.Debug("attempt running", "task", h.TaskName(), "try", h.Number, "machine", m.Name,
				"placed_s", h.AssignedAt.Sub(h.Job.SubmittedAt).Seconds(), "running_s", now.Sub(h.Job.SubmittedAt).Seconds())
		}
	}
	return m
}

// learnImages takes from a machine's first report to this leader which images it has:
// those of the tasks that run or have run there. Without it a new leader knows only of
// what runs, and sends work to fetch what is there.
func (l *leader) learnImages(m *agent.Machine, r *agent.Heartbeat, now time.Time) {
	if m.Type < 0 {
		return
	}
	for _, t := range r.Tasks {
		id, _, _ := job.ParseTaskName(t.Task)
		if j := l.jobs.Job(id); j != nil && (t.Status == agent.StatusRunning || t.Cause == agent.CauseDone) {
			m.Images.Use(j.Spec.Image, j.Spec.ImageGB, l.types[m.Type].Disk, now)
			m.Images.Fetched(j.Spec.Image)
		}
	}
}

func (l *leader) lookup(typ, zone string) (int, int) {
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
func (l *leader) settled(task string) bool {
	id, n, ok := job.ParseTaskName(task)
	if !ok {
		return true
	}
	j := l.jobs.Job(id)
	return j == nil || j.ResultDurable(n)
}

// expect returns about how many seconds a task of a job runs.
func (l *leader) expect(j *jobstore.Job) float64 {
	return math.Max(1, j.Spec.ExpectS*l.learned.Factor(j.Spec.Class))
}

// A machine is taken for faulty once tasks of so many jobs have failed on it with
// none done in between, or so many tasks of a job that does well elsewhere.
const (
	sickJobs   = 2
	sickErrors = 2
)

// A job whose tasks have failed so often with none done in between was probably
// submitted with a mistake: one task at a time is tried, with a pause that grows.
const (
	jobErrors  = 4
	minBackoff = 2 * time.Second
	maxBackoff = time.Minute
)

func (st *jobState) failing() bool { return st.errors >= jobErrors }

// wanted returns how many of a job's waiting tasks should start. It guards against jobs
// that fail on every machine: all of their tasks were tried again each minute, 283 starts
// and as many writes for one, machines were rented for them, and they counted in their
// team's guarantee before the good ones (operations of both ops deployments).
func (l *leader) wanted(j *jobstore.Job) int {
	n := j.StartableTasks(int(l.node.valueBytes.Load()))
	if l.jobStates[j].failing() && !j.IsGang() {
		return min(1, n)
	}
	return n
}

func (l *leader) outcome(m *agent.Machine, o agent.Outcome, now time.Time) {
	a := o.Assignment.Attempt
	slog.Debug("attempt ended", "task", a.TaskName(), "try", a.Number, "machine", m.Name, "cause", o.Cause)
	l.jobs.EndAttempt(a, o.Cause == agent.CauseDone, now)
	l.replan = true
	if a.Job.IsGang() && o.Cause != agent.CauseDone {
		l.reconcileGang(a.Job, now)
	}
	st := l.jobStates[a.Job]
	if st == nil {
		return
	}
	switch o.Cause {
	case agent.CauseDone:
		if !o.Assignment.RunningSince.IsZero() {
			l.learned.Add(a.Job.Spec.Class, a.Job.Spec.ExpectS, now.Sub(o.Assignment.RunningSince).Seconds())
		}
		m.Images.Fetched(a.Job.Spec.Image)
		m.FailedAttempts = 0
		clear(m.FailedJobs)
		st.errors, st.backoff = 0, 0
	case agent.CauseError:
		st.failedOn[m.Name] = struct{}{}
		if st.errors++; st.failing() {
			if st.backoff == 0 {
				st.backoff = minBackoff
				st.notBefore = now.Add(st.backoff)
			}
			clear(st.failedOn) // it may try anywhere again
			l.fleet.Each(func(m *agent.Machine) {
				if _, blamed := m.FailedJobs[a.Job.Spec.ID]; blamed {
					delete(m.FailedJobs, a.Job.Spec.ID)
					m.Quarantined = m.Quarantined && (m.RetireReason != agent.NotRetired || len(m.FailedJobs) >= sickJobs)
				}
			})
			return
		}
		m.FailedAttempts++
		m.FailedJobs[a.Job.Spec.ID] = struct{}{}
		well := a.Job.DoneTasks() > 0
		if (len(m.FailedJobs) >= sickJobs || well && m.FailedAttempts >= sickErrors) && !m.Quarantined {
			m.Quarantined = true
			slog.Info("machine quarantined", "machine", m.Name, "errors", m.FailedAttempts)
		}
	case agent.CauseNoRoom, agent.CauseInUse, agent.CauseUnknownJob:
		st.notBefore = now.Add(time.Second)
	}
}

// pushShare bounds the machines that get commands at once: one socket in so many. A
// burst of starts on hundreds of machines must not take the sockets of workers.
const pushShare = 20

// push sends urgent commands directly, one request a machine at a time.
func (l *leader) push(now time.Time) {
	l.fleet.Each(func(m *agent.Machine) {
		if !m.Urgent() || now.Sub(m.LastHeartbeat) >= l.node.operator.UnhealthyAfter || l.pushing >= l.node.settings.Resources.MaxSockets/pushShare {
			return // its turn comes when others are done, or with its next report
		}
		orders := l.orders(m, now)
		if len(orders) == 0 {
			return
		}
		m.RequestInFlight = true
		l.pushing++
		c := l.workerClient(m)
		body := wire.Marshal(agent.CommandRequest{FencingToken: l.term.Number(), Incarnation: m.Incarnation, Commands: orders})
		l.spawn(func() {
			ctx, cancel := context.WithTimeout(l.ctx, 1500*time.Millisecond)
			defer cancel()
			r, err := agent.Call(ctx, c, "POST", "/commands", body)
			l.post(func() {
				l.pushing--
				l.pushed(m, &r, err)
			})
		})
	})
}

func (l *leader) pushed(m *agent.Machine, r *agent.Heartbeat, err error) {
	m.RequestInFlight = false
	if err != nil {
		// Whether they were carried out, or yet will be, is unknown; reports tell.
		slog.Debug("commands not answered", "machine", m.Name, "err", err)
		return
	}
	if m.Gone || r.Machine != m.Name {
		return
	}
	if r.FencingToken > l.term.Number() {
		l.spawn(func() { l.node.candidate.ObserveToken(l.ctx, r.FencingToken) })
		return
	}
	m.MarkResponsive()
	l.applyStatus(m, r)
}

// applyStatus learns from what a machine answers to a direct request. It is no sign that
// its reports still arrive, and without them its lease runs out.
func (l *leader) applyStatus(m *agent.Machine, r *agent.Heartbeat) {
	heard := m.LastHeartbeat
	l.applyReport(r, time.Now())
	if m.Registered && !heard.IsZero() {
		m.LastHeartbeat = heard
	}
}

// probeEvery is how often one machine is asked directly.
const probeEvery = 5 * time.Second

// probeSilent brings this leader's token to machines that it does not hear. They may
// still report to an earlier leader which is cut off from the state service and
// from its peers but not from them; once they show it the higher token it turns
// them away. A machine that seems deaf is asked too: one that answers is not. One that
// does not answer is given up sooner: of a hundred that hang or die together each second
// counts for what was on them (zone and loss of both fleet deployments).
func (l *leader) probeSilent(now time.Time) {
	quiet := l.node.settings.Workers.HeartbeatInterval * 3 / 2
	l.fleet.Each(func(m *agent.Machine) {
		since := l.started
		if m.Registered {
			since = m.LastHeartbeat
		}
		if now.Sub(since) < quiet && m.UnresponsiveSince.IsZero() || m.Addr == "" || m.RetireReason != agent.NotRetired || m.Booting || m.RequestInFlight || m.RelayedBy != "" ||
			now.Sub(m.LastProbe) < probeEvery || l.probing >= l.node.settings.Resources.MaxSockets/pushShare {
			return
		}
		m.LastProbe, m.RequestInFlight = now, true
		l.probing++
		c, term := l.workerClient(m), l.term.Number()
		l.spawn(func() {
			ctx, cancel := context.WithTimeout(l.ctx, 1500*time.Millisecond)
			defer cancel()
			r, err := agent.Call(ctx, c, "GET", "/status", nil)
			if err == nil && r.FencingToken < term {
				r, err = agent.Call(ctx, c, "POST", "/commands", wire.Marshal(agent.CommandRequest{FencingToken: term, Incarnation: r.Incarnation, Commands: []agent.Command{}}))
			}
			l.post(func() {
				l.probing--
				m.ProbeFailed = err != nil
				l.pushed(m, &r, err)
			})
		})
	})
}

// How many times as many machines must come to another node as this leader hears,
// before it lets that one lead, how recently the other must have said so, and for how
// long: until the third node knows as well which one is to be elected.
const (
	handOverTimes  = 2
	handOverWithin = 3 * time.Second
	handOverAfter  = 1500 * time.Millisecond

	// For so long a leader stays that cannot have lost them: fewer have ever shown a token of
	// its term than come to the other node. It guards against leaders that hand over to
	// each other for ever where machines are deaf: their reports go round the nodes, and it
	// takes three of them to one leader to tell (TestAllUnresponsiveMachinesAreReplaced).
	handOverLost = time.Minute
)

// handOver ends this term of leadership if another node hears far more machines than this one.
//
// It guards against a leader that has lost its workers, but neither the state service
// nor its peers: they sent the workers back to it until their leases ran out (apart of
// both fleet deployments: 885 and 1,536 tasks killed by their lease in 40 s, and none
// started).
func (l *leader) handOver(now time.Time) {
	if now.Sub(l.started) < l.node.operator.ReconcileTimeout || !l.term.Valid() {
		return // workers still find their way here
	}
	heard, answered := 0, 0
	l.fleet.Each(func(m *agent.Machine) {
		if m.Registered && m.RelayedBy == "" && now.Sub(m.LastHeartbeat) < l.node.settings.Workers.HeartbeatInterval*3/2 {
			heard++
		}
		if m.Registered && m.FencingToken >= l.firstTerm {
			answered++
		}
	})
	others := l.node.peers.MostRedirected(handOverWithin)
	if others <= handOverTimes*max(heard, 1) || answered < others && now.Sub(l.started) < handOverLost {
		l.redirectedSince = time.Time{}
		return
	}
	if l.redirectedSince.IsZero() {
		l.redirectedSince = now
	}
	if now.Sub(l.redirectedSince) >= handOverAfter {
		slog.Info("handing over: machines come to another node", "term", l.term.Number(), "heard", heard, "elsewhere", others)
		l.node.candidate.TransferLeadership()
	}
}

// workerClient returns the client for direct requests to a machine.
func (l *leader) workerClient(m *agent.Machine) *wire.Client {
	c := l.workerClients[m.Name]
	if c == nil || c.Addr != m.Addr {
		c = &wire.Client{Dial: l.node.dial, Addr: m.Addr, MaxIdle: 1}
		l.workerClients[m.Name] = c
	}
	return c
}
