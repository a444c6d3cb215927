package fake

import (
	"math"
	"sync"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
)

// Gangs plays what the tasks of gangs do together, by the page that the operators wrote:
// they wait for each other by attempt, run and complete together, notice that one is gone,
// and save together or not at all.
type Gangs struct {
	Wait time.Duration // for which a task waits for the others
	Peer time.Duration // within which the others notice, and have to be told to stop

	mu    sync.Mutex
	jobs  map[string]*gangJob
	Count GangCount
}

// GangCount is what has happened to gangs so far.
type GangCount struct {
	Began, Done, Stored, MatesGone, Incomplete int // attempts begun, done and saved; tasks that ended so
}

// gangJob is one gang over all its attempts.
type gangJob struct {
	spec  *job.Spec
	saved time.Duration // progress that the next attempt continues from
	tries map[uint64]*gangTry
}

// gangTry is one attempt.
type gangTry struct {
	job     *gangJob
	members map[string]*member // by task
	began   time.Time          // zero: it waits
	halted  time.Time          // first orderly halt; zero: none
	over    bool
	fell    bool // back to the last checkpoint
	end     *time.Timer
}

// member is one task of an attempt on its machine.
type member struct {
	w      *Agent
	t      *task
	key    job.AttemptID
	told   bool // to save and stop
	absent bool // gone, or its machine hangs
}

func newGangs(wait, peer time.Duration) *Gangs {
	return &Gangs{Wait: wait, Peer: peer, jobs: map[string]*gangJob{}}
}

// Counted returns what has happened so far.
func (g *Gangs) Counted() GangCount {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Count
}

// Saved returns the progress that a gang continues from.
func (g *Gangs) Saved(id string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if j := g.jobs[id]; j != nil {
		return j.saved
	}
	return 0
}

// join adds a task that waits, with its machine's lock held.
func (g *Gangs) join(s *job.Spec, w *Agent, k job.AttemptID, t *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	j := g.jobs[s.ID]
	if j == nil {
		j = &gangJob{spec: s, tries: map[uint64]*gangTry{}}
		g.jobs[s.ID] = j
	}
	try := j.tries[k.Number]
	if try == nil {
		try = &gangTry{job: j, members: map[string]*member{}}
		j.tries[k.Number] = try
	}
	m := &member{w: w, t: t, key: k}
	try.members[k.Task] = m
	t.stop = time.AfterFunc(g.Wait, func() { g.exit(m, agent.CauseIncomplete) })
	t.left = func(halt bool, windDown float64) { g.leave(try, m, halt, windDown) }
	t.hung = func(hung bool) { g.hang(try, m, hung) }
	if len(try.members) == s.Tasks && try.began.IsZero() && !try.over {
		g.begin(try)
	}
}

func (g *Gangs) begin(try *gangTry) {
	try.began = time.Now()
	g.Count.Began++
	for _, m := range try.members {
		time.AfterFunc(0, func() {
			m.w.mu.Lock()
			defer m.w.mu.Unlock()
			if m.t.status == agent.StatusWaiting {
				m.t.stop.Stop()
				m.t.status = agent.StatusRunning
				m.w.changed()
			}
		})
	}
	run := time.Duration(try.job.spec.ExpectS*float64(time.Second)) - try.job.saved
	try.end = time.AfterFunc(run, func() {
		g.mu.Lock()
		if try.over || !try.halted.IsZero() || try.missing() {
			g.mu.Unlock()
			return
		}
		try.over = true
		g.Count.Done++
		g.mu.Unlock()
		for _, m := range try.members {
			g.exit(m, agent.CauseDone)
		}
	})
}

func (try *gangTry) missing() bool {
	for _, m := range try.members {
		if m.absent {
			return true
		}
	}
	return false
}

// exit ends a task on its machine.
func (g *Gangs) exit(m *member, cause agent.ExitCause) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if m.t.status == agent.StatusExited || m.w.tasks[m.key] != m.t {
		return
	}
	if cause == agent.CauseIncomplete && m.t.status != agent.StatusWaiting {
		return
	}
	if m.w.hung {
		time.AfterFunc(time.Second, func() { g.exit(m, cause) }) // once it goes on
		return
	}
	g.mu.Lock()
	switch cause {
	case agent.CauseIncomplete:
		g.Count.Incomplete++
	case agent.CauseMembersGone:
		g.Count.MatesGone++
	}
	for _, try := range g.jobs[m.id()].tries {
		if try.members[m.key.Task] == m && try.began.IsZero() {
			delete(try.members, m.key.Task)
		}
	}
	g.mu.Unlock()
	m.t.stop.Stop()
	m.t.status, m.t.cause = agent.StatusExited, cause
	m.w.cloud.referee.end(m.key.Task, m.w.Name, cause == agent.CauseDone)
	m.w.changed()
}

func (m *member) id() string {
	id, _, _ := job.ParseTaskName(m.key.Task)
	return id
}

// leave tells that a task was halted, or else killed with all else on its machine; with
// that machine's lock held. It returns through the task's status whether it saves first.
func (g *Gangs) leave(try *gangTry, m *member, halt bool, windDown float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := try.job.spec
	switch {
	case try.began.IsZero():
		delete(try.members, m.key.Task) // the rest keep waiting
		return
	case try.over, halt && m.told && windDown > 0:
		return
	case halt && m.t.status == agent.StatusRunning && s.CheckpointS > 0 && windDown >= s.SaveS && !try.missing():
		m.told = true
		m.t.status = agent.StatusCheckpointing
		if try.halted.IsZero() {
			try.halted = time.Now()
			time.AfterFunc(g.Peer, func() { g.stop(try) })
		}
		return
	}
	m.absent = true
	if !try.fell {
		try.fallBack()
	}
	time.AfterFunc(g.Peer, func() { g.lose(try) })
}

// fallBack returns the gang to its last checkpoint.
func (try *gangTry) fallBack() {
	if every := try.job.spec.CheckpointS; every > 0 {
		reached := (try.job.saved + time.Since(try.began)).Seconds()
		try.job.saved = time.Duration(math.Floor(reached/every) * every * float64(time.Second))
	}
	try.fell = true
}

// stop ends an orderly stop: all were told in time, or the save fails.
func (g *Gangs) stop(try *gangTry) {
	g.mu.Lock()
	if try.over {
		g.mu.Unlock()
		return
	}
	for _, m := range try.members {
		if !m.told || m.absent {
			g.mu.Unlock()
			g.lose(try)
			return
		}
	}
	try.over = true
	try.job.saved += try.halted.Sub(try.began)
	g.Count.Stored++
	save := time.Duration(try.job.spec.SaveS * float64(time.Second))
	rest := max(0, time.Until(try.halted.Add(save)))
	g.mu.Unlock()
	time.AfterFunc(rest, func() {
		for _, m := range try.members {
			g.exit(m, agent.CauseStopped)
		}
	})
}

// lose ends an attempt of which a task is gone: what is left of it notices, and the gang
// falls back to its last checkpoint.
func (g *Gangs) lose(try *gangTry) {
	g.mu.Lock()
	if try.over || !try.missing() && try.halted.IsZero() {
		g.mu.Unlock()
		return // a machine that hung goes on in time
	}
	try.over = true
	if !try.fell {
		try.fallBack()
	}
	g.mu.Unlock()
	for _, m := range try.members {
		g.exit(m, agent.CauseMembersGone)
	}
}

// hang tells that a task's machine hangs or goes on, with its lock held.
func (g *Gangs) hang(try *gangTry, m *member, hung bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.absent = hung
	if hung && !try.began.IsZero() && !try.over {
		time.AfterFunc(g.Peer, func() { g.lose(try) })
	}
}
