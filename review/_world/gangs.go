package main

// Gangs, by the operators' page "Run cooperating tasks together or not". No gang here saves checkpoints.

import (
	"sync"
	"time"
)

type gangMember struct {
	gang    *gangAttempt
	machine *Machine
	id      attemptID
	task    *machineTask
}

type gangAttempt struct {
	spec    *Job
	members map[string]*gangMember
	begun   bool
	ended   bool
}

type Gangs struct {
	w        *World
	mu       sync.Mutex
	attempts map[string]map[uint64]*gangAttempt
}

// join adds a waiting task to its attempt. The caller holds the lock of the machine.
func (g *Gangs) join(spec *Job, m *Machine, id attemptID, t *machineTask) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.attempts[spec.UID] == nil {
		g.attempts[spec.UID] = map[uint64]*gangAttempt{}
	}
	a := g.attempts[spec.UID][id.try]
	if a == nil {
		a = &gangAttempt{spec: spec, members: map[string]*gangMember{}}
		g.attempts[spec.UID][id.try] = a
	}
	t.member = &gangMember{a, m, id, t}
	a.members[id.ticket] = t.member
	t.timer = time.AfterFunc(45*time.Second, func() {
		m.whenAwake(id, t, func() {
			if t.status == "waiting" {
				g.gone(t.member)
				m.exit(id, t, "incomplete")
			}
		})
	})
	if len(a.members) == spec.Tickets && !a.begun {
		a.begun = true
		for _, member := range a.members {
			go member.set("running", "")
		}
		time.AfterFunc(time.Duration(spec.runS*float64(time.Second)), func() { g.complete(a) })
	}
}

// set makes a member run or exit once its machine does not hang.
func (g *gangMember) set(status, cause string) {
	g.machine.whenAwake(g.id, g.task, func() {
		if cause != "" {
			g.machine.exit(g.id, g.task, cause)
		} else if g.task.status == "waiting" {
			g.task.status = status
			g.machine.signal()
		}
	})
}

func (g *Gangs) complete(a *gangAttempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.ended {
		return
	}
	for _, member := range a.members {
		member.machine.mu.Lock()
		hung := member.machine.hung
		member.machine.mu.Unlock()
		if hung {
			a.ended = true
			time.AfterFunc(4*time.Second, func() { a.exitAll("mates_gone") })
			return
		}
	}
	a.ended = true
	for task := range a.members {
		g.w.rules.markDone(task)
	}
	a.exitAll("done")
}

func (a *gangAttempt) exitAll(cause string) {
	for _, member := range a.members {
		go member.set("exited", cause)
	}
}

// gone handles that a member disappears. The caller holds the lock of its machine.
func (g *Gangs) gone(member *gangMember) {
	go func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		a := member.gang
		if !a.begun {
			if a.members[member.id.ticket] == member {
				delete(a.members, member.id.ticket)
			}
			return
		}
		if !a.ended {
			a.ended = true
			time.AfterFunc(4*time.Second, func() { a.exitAll("mates_gone") })
		}
	}()
}
