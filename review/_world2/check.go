package main

// The record of what users were told and what ran, and the rules of the protocol page.

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

type jobInfo struct {
	id, team, shape, image string
	tasks                  int
	cpus, ram, imageGB     float64
	run                    time.Duration
	zone                   string
	oneZone, apart         bool
	submitted              bool
	accepted               time.Time
	cancelAsked, cancelled time.Time
	toldDone               bool
	lastDone               time.Time
	done                   map[string]bool
	lastAnswer             time.Time
	body                   map[string]any
}

type checker struct {
	w      *world
	mu     sync.Mutex
	jobs   map[string]*jobInfo
	on     map[string]map[*worker]time.Time // machines by task
	limit  map[string]float64
	broken []string
	starts int
}

func (c *checker) breakRule(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	c.broken = append(c.broken, text)
	logf("RULE BROKEN %s", text)
}

func jobID(task string) string { id, _, _ := strings.Cut(task, "/"); return id }

func (c *checker) jobOf(task string) *jobInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[jobID(task)]
	if j == nil || !j.submitted {
		return nil
	}
	return j
}

func (c *checker) isDone(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[jobID(task)].done[task]
}

func (c *checker) started(task string, m *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[jobID(task)]
	c.starts++
	if len(c.on[task]) > 0 {
		for other := range c.on[task] {
			c.breakRule("ran_twice", "%s starts on %s while it is on %s", task, m.name, other.name)
		}
	}
	if !j.cancelled.IsZero() {
		late := time.Since(j.cancelled)
		logf("note: %s starts on %s %.1f s after its user was told of the cancellation", task, m.name, late.Seconds())
		if late > c.w.cancelS {
			c.breakRule("ran_cancelled", "%s starts %.1f s after its user was told of the cancellation", task, late.Seconds())
		}
	}
	if j.zone != "" && j.zone != m.zone {
		c.breakRule("wrong_place", "%s starts in zone %s", task, m.zone)
	}
	inZone, outside := 0, 0
	for t, on := range c.on {
		if jobID(t) != j.id {
			continue
		}
		for other := range on {
			if other.zone == m.zone {
				inZone++
			} else {
				outside++
			}
		}
	}
	if j.oneZone && outside > 0 || j.apart && inZone+1 > (j.tasks+1)/2 {
		c.breakRule("wrong_place", "%s starts in zone %s: %d tasks there, %d elsewhere", task, m.zone, inZone, outside)
	}
	if c.on[task] == nil {
		c.on[task] = map[*worker]time.Time{}
	}
	c.on[task][m] = time.Now()
	used := 0.0
	for t, on := range c.on {
		if o := c.jobs[jobID(t)]; o.team == j.team {
			used += float64(len(on)) * o.cpus
		}
	}
	if limit := c.limit[j.team]; limit > 0 && used > limit+1e-6 {
		c.breakRule("quota", "%s uses %.1f CPUs, limit %.1f", j.team, used, limit)
	}
	debugf("%s starts on %s", task, m.name)
}

func (c *checker) left(task string, m *worker, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.on[task], m)
	if len(c.on[task]) == 0 {
		delete(c.on, task)
	}
	j := c.jobs[jobID(task)]
	if why == "done" {
		j.done[task] = true
		j.lastDone = time.Now()
	}
	debugf("%s leaves %s: %s", task, m.name, why)
}

// tick checks the rules that depend on time alone.
func (c *checker) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, on := range c.on {
		j := c.jobs[jobID(task)]
		if j.cancelled.IsZero() || time.Since(j.cancelled) <= c.w.cancelS {
			continue
		}
		for m := range on {
			c.breakRule("ran_cancelled", "%s is on %s %.1f s after its user was told of the cancellation", task, m.name, time.Since(j.cancelled).Seconds())
			delete(on, m)
		}
	}
}

// answered checks the answer to a poll, a submission or a cancellation that was sent at a time.
func (c *checker) answered(kind, node, id string, status int, state string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	debugf("%s %s at %s: %d %s", kind, id, node, status, state)
	if j == nil || !j.submitted {
		if status == 200 || status == 201 {
			c.breakRule("invented", "%s %s: %d at %s", kind, id, status, node)
		}
		return
	}
	wasAccepted := !j.accepted.IsZero() && j.accepted.Before(sent)
	switch status {
	case 200, 201:
		j.lastAnswer = time.Now()
		if j.accepted.IsZero() && kind != "poll" {
			j.accepted = time.Now()
		}
		if !j.cancelled.IsZero() && j.cancelled.Before(sent) && state != "withdrawn" {
			c.breakRule("went_back", "%s %s at %s: %s after withdrawn", kind, id, node, state)
		}
		if j.toldDone && state != "done" {
			c.breakRule("went_back", "%s %s at %s: %s after done", kind, id, node, state)
		}
		switch state {
		case "done":
			if len(j.done) < j.tasks {
				c.breakRule("not_done", "%s %s at %s: done, %d of %d tasks are", kind, id, node, len(j.done), j.tasks)
			}
			j.toldDone = true
		case "withdrawn":
			if j.cancelAsked.IsZero() {
				c.breakRule("went_back", "%s %s at %s: withdrawn, but its user did not cancel it", kind, id, node)
			}
			if j.cancelled.IsZero() {
				j.cancelled = time.Now()
			}
		}
	case 404:
		if wasAccepted {
			c.breakRule("forgotten", "%s %s at %s: 404", kind, id, node)
		}
	case 400, 422:
		if wasAccepted {
			c.breakRule("forgotten", "%s %s at %s: %d", kind, id, node, status)
		}
	}
}
